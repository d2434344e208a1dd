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

// forbiddenLogTexts lists texts that must not occur in the log of a gateway.
var forbiddenLogTexts = []string{`msg="invariant violated"`, "panic: ", "fatal error: ", "WARNING: DATA RACE"}

// connectFailureKinds lists the kinds of fault that can make connects fail because of an endpoint or the network.
var connectFailureKinds = []Kind{
	Kind(emulator.FaultDrainEndpoints), Kind(emulator.FaultReplace), Kind(emulator.FaultStopEndpoints),
	Kind(emulator.FaultPartition), Kind(emulator.FaultKillGateways), Kind(emulator.FaultResets),
	Kind(emulator.FaultSpoiltAnswers), Kind(emulator.FaultSilentEndpoints), Kind(emulator.FaultSlowEndpoints),
	PauseGateways, IdleFlood, LateConnects, SpoiltBytes, LostDrain, HangingShutdown, DrainDuringDial, LeavingClients,
	RestartSurge, FailAfterExecution, ShortDeadlines, EvictedRequests, DiscoveryBytes, LeaveDuringPause,
}

// findings returns the failures of a run that the oracles have detected.
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
	add("crash", summary.GatewayCrashes, "gateway processes exited without a signal to do so")
	add("late start", summary.ReadinessTimeouts, "gateways were not ready in time")
	add("late end", summary.DrainsKilled+remaining, "gateways did not exit in time after SIGTERM")
	add("unknown request", int(summary.UnknownRequests), "endpoints received requests that no client had sent")
	if r.plan.has(SlowLists) && r.plan.has(Kind(emulator.FaultDiscoveryDown)) {
		starved = 0 // a gateway that starts without a list gets one only when discovery is up and the slow list is complete
	}
	add("starvation", starved, "gateways rejected all requests for at least five seconds")
	add("stalled client kept", int(r.faultyClients.stalledKept.Load()), "gateways did not close connections in time")
	add("request lost on a kept connection", r.lostProbeRequests(),
		"gateways read requests and ended their connections without responses")
	add("pipelined request unanswered", int(r.faultyClients.unansweredRequests.Load()),
		"connections were closed before the last response")
	return append(findings, r.logFindings()...)
}

// connectFailureCount matches the number of failed connects in a summary line of the log.
var connectFailureCount = regexp.MustCompile(`msg=summary .*\battempt_connect_failed=(\d+)`)

// logFindings returns the failures that show in the logs of the gateways.
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
		for _, entry := range forbiddenLogTexts {
			if count := strings.Count(string(text), entry); count > 0 {
				findings = append(findings, Finding{What: "log: " + entry, Count: count, Detail: findLine(string(text), entry)})
			}
		}
		findings = append(findings, r.localFailureFindings(string(text))...)
	}
	return findings
}

// localFailureFindings returns connect failures of the gateway's own machine that the gateway attributed to endpoints.
// In runs in which connects can also fail for other reasons, it returns none.
func (r *runner) localFailureFindings(log string) []Finding {
	if !r.plan.has(FailConnect) {
		return nil
	}
	for _, kind := range connectFailureKinds {
		if r.plan.has(kind) {
			return nil
		}
	}
	var findings []Finding
	for _, match := range connectFailureCount.FindAllStringSubmatch(log, -1) {
		count, err := strconv.Atoi(match[1])
		if err == nil {
			findings = append(findings, Finding{What: "local failure attributed to endpoints", Count: count, Detail: match[0]})
		}
	}
	return findings
}

// findLine returns the first line that contains part.
func findLine(text, part string) string {
	for line := range strings.Lines(text) {
		if strings.Contains(line, part) {
			return strings.TrimSpace(line)
		}
	}
	return ""
}
