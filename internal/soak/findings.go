package soak

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"springfield/internal/emulator"
	"springfield/internal/emulator/invariant"
	"springfield/internal/emulator/loopback"
)

// logFaults are what the log of a gateway must not contain.
var logFaults = []string{`msg="invariant violated"`, "panic: ", "fatal error: ", "WARNING: DATA RACE"}

// breaksConnects are the kinds of fault after which a connect may fail for a reason of the endpoint or the network.
var breaksConnects = []Kind{
	Kind(emulator.FaultDrainEndpoints), Kind(emulator.FaultReplace), Kind(emulator.FaultStopEndpoints),
	Kind(emulator.FaultPartition), Kind(emulator.FaultKillGateways), Kind(emulator.FaultResets),
	Kind(emulator.FaultSpoiltAnswers), Kind(emulator.FaultSilentEndpoints), Kind(emulator.FaultSlowEndpoints),
	PauseGateways, IdleFlood, LateConnects, SpoiltBytes,
}

// findings collects what a run has broken.
func (r *runner) findings(rules invariant.Report, summary loopback.Summary, remaining, starved int,
	err error) []Finding {
	var findings []Finding
	add := func(what string, count int, detail string) {
		if count > 0 {
			findings = append(findings, Finding{What: what, Count: count, Detail: detail})
		}
	}
	for _, rule := range rules.Violations {
		add("rule "+string(rule.Rule), rule.Count, rule.First)
	}
	if err != nil {
		add("run", 1, err.Error())
	}
	add("crash", summary.GatewayCrashes, "gateway processes ended without being told to")
	add("late start", summary.ReadinessTimeouts, "gateways were not ready in time")
	add("late end", summary.DrainsKilled+remaining, "gateways did not end after SIGTERM")
	add("unknown request", int(summary.UnknownRequests), "endpoints got requests that no client had sent")
	if r.plan.has(SlowLists) && r.plan.has(Kind(emulator.FaultDiscoveryDown)) {
		starved = 0 // processes without a list get none while discovery is down and for the time of a slow list
	}
	add("starvation", starved, "gateways rejected all that they got for five seconds")
	add("stalled client kept", int(r.clients.kept.Load()), "connections outlasted the time that bad clients are owed")
	add("pipelined request unanswered", int(r.clients.unanswered.Load()), "connections ended before the last answer")
	return append(findings, r.logFindings()...)
}

// connectFailed finds the count of failed connects in a summary line.
var connectFailed = regexp.MustCompile(`msg=summary .*\battempt_connect_failed=(\d+)`)

// logFindings looks through the logs of the gateways.
func (r *runner) logFindings() []Finding {
	paths, err := filepath.Glob(filepath.Join(r.options.Directory, "*.log"))
	if err != nil {
		return []Finding{{What: "logs", Count: 1, Detail: err.Error()}}
	}
	var findings []Finding
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return []Finding{{What: "logs", Count: 1, Detail: err.Error()}}
		}
		for _, fault := range logFaults {
			if count := strings.Count(string(text), fault); count > 0 {
				findings = append(findings, Finding{What: "log: " + fault, Count: count, Detail: lineWith(string(text), fault)})
			}
		}
		findings = append(findings, r.localFindings(string(text))...)
	}
	return findings
}

// localFindings looks for failures of the gateway's machine that were taken for failures of endpoints.
func (r *runner) localFindings(log string) []Finding {
	if !r.plan.has(FailConnect) {
		return nil
	}
	for _, kind := range breaksConnects {
		if r.plan.has(kind) {
			return nil
		}
	}
	var findings []Finding
	for _, match := range connectFailed.FindAllStringSubmatch(log, -1) {
		count, err := strconv.Atoi(match[1])
		if err == nil {
			findings = append(findings, Finding{What: "local failure held against endpoints", Count: count, Detail: match[0]})
		}
	}
	return findings
}

// lineWith returns the first line that contains a text.
func lineWith(text, part string) string {
	for line := range strings.Lines(text) {
		if strings.Contains(line, part) {
			return strings.TrimSpace(line)
		}
	}
	return ""
}
