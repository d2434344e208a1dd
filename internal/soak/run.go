package soak

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/invariant"
	"springfield/internal/emulator/loopback"
	"springfield/internal/faultinjection"
)

const (
	// shutdownTimeout is how long all gateway processes together may take to exit after SIGTERM at the end of a run.
	shutdownTimeout = 6 * time.Second

	// killDelay is added to the time after which a gateway that shuts down is killed, so that a gateway that is slightly
	// late on a busy machine does not count as one that does not exit.
	killDelay = 1500 * time.Millisecond

	pauseLength      = 150 * time.Millisecond  // how long a process is suspended
	pauseInterval    = 600 * time.Millisecond  // time between the starts of two suspensions of a process
	slowListDuration = 3900 * time.Millisecond // longer than the 3.5 s for which a discovery call may be silent
	maxClockOffset   = time.Hour
)

// Options configures the runs of a soak.
type Options struct {
	Gateway     string   // path of the gateway program, built with the tag faultinjection
	GatewayArgs []string // arguments of the gateway program
	Directory   string   // directory of the files of one run; it must exist
	Logger      *slog.Logger

	// CoverageDirectory is the directory to which gateways built with coverage write their counters; empty for none.
	CoverageDirectory string
}

// Result is the result of one run.
type Result struct {
	Plan     Plan
	Findings []Finding
	Requests int64
	Attempts int64
	Elapsed  time.Duration
	Stall    time.Duration // longest time for which this process did not get a processor; see Void
}

// Finding is a broken rule or another failure of a gateway.
type Finding struct {
	What   string // kind of failure, by which a report groups findings
	Count  int
	Detail string
}

// String describes the finding.
func (f Finding) String() string { return fmt.Sprintf("%s, %d times: %s", f.What, f.Count, f.Detail) }

// runner carries out one run.
type runner struct {
	plan          Plan
	options       Options
	world         *loopback.World
	faultyClients faultyClients
	probes        probes
	ctx           context.Context // canceled when the load ends
}

// runOnce carries out a plan once.
func runOnce(ctx context.Context, plan Plan, options Options) (Result, error) {
	started := time.Now()
	stalls := startStallDetector()
	defer stalls.end()
	scenario := plan.scenario()
	checker := invariant.NewChecker(&scenario, invariant.WithSlack(invariant.SocketSlack),
		invariant.WithTransit(plan.transit()))
	starvation := newStarvationDetector()
	var last time.Duration
	world, err := loopback.Start(ctx, loopback.Options{
		Scenario:    scenario,
		Seed:        plan.Seed,
		Gateway:     options.Gateway,
		GatewayArgs: options.GatewayArgs,
		ClockOffset: plan.clockOffset(),
		ColdStart:   plan.has(ClockOffset),
		EndpointAge: plan.endpointAge(),
		KillDelay:   killDelay,
		Directory:   options.Directory,
		Observer:    emulator.Observers{checker, starvation, lastObservation{&last}},
		Logger:      options.Logger,

		CoverageDirectory: options.CoverageDirectory,
	})
	if err != nil {
		return Result{}, fmt.Errorf("seed %d: %w", plan.Seed, err)
	}
	loadCtx, endLoad := context.WithCancel(ctx)
	r := &runner{plan: plan, options: options, world: world, ctx: loadCtx}
	for _, fault := range plan.Faults {
		r.faultyClients.goroutines.Go(func() { r.inject(fault) })
	}
	summary, driveErr := world.Drive(ctx)
	endLoad()
	r.faultyClients.goroutines.Wait()
	remaining := world.ShutDownGateways(shutdownTimeout)
	world.Close()
	result := Result{Plan: plan, Requests: summary.Requests, Attempts: summary.Attempts, Elapsed: time.Since(started)}
	if ctx.Err() != nil {
		return result, ctx.Err()
	}
	result.Stall = stalls.end()
	result.Findings = r.findings(checker.Finish(last), summary, remaining, starvation.excess(plan.Gateways), driveErr)
	return result, nil
}

// lastObservation records the time of the last observation.
type lastObservation struct{ at *time.Duration }

// Observe implements emulator.Observer.
func (l lastObservation) Observe(at time.Duration, _ emulator.Observation) { *l.at = at }

// clockOffset returns the difference between the clocks of the endpoints and of the gateways in a run.
func (p *Plan) clockOffset() time.Duration {
	switch {
	case !p.has(ClockOffset), p.Seed%3 == 0:
		return 0
	case p.Seed%3 == 1:
		return maxClockOffset
	default:
		return -maxClockOffset
	}
}

// pause waits for length. It returns false if the load ends before that.
func (r *runner) pause(length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-r.ctx.Done():
		return false
	}
}

// affectedGateways returns the number of gateways that a fault of single gateways affects. It is larger than the number
// of gateways that may starve without a finding.
func (p *Plan) affectedGateways() int {
	const minimum, divisor = 3, 5
	return max(minimum, p.Gateways/divisor)
}

// pickGateways returns the gateways that a fault affects, selected at random by the seed and the start of the fault.
func (r *runner) pickGateways(fault Fault) []int {
	random := rand.New(rand.NewPCG(r.plan.Seed, uint64(fault.At)))
	return random.Perm(r.plan.Gateways)[:r.plan.affectedGateways()]
}

// inject carries out a fault that the scenario's fault schedule does not support.
func (r *runner) inject(fault Fault) {
	if fault.Kind.isScheduled() || fault.Kind == ClockOffset || r.injectEarly(fault) || !r.pause(fault.At) {
		return
	}
	addresses := r.world.Addresses().Gateways
	switch fault.Kind {
	case SlowLists: // the fault lasts to the end of the load, because gateways also start without a list
		r.world.SlowLists(slowListDuration, r.plan.loadLength())
		for _, gateway := range r.pickGateways(fault) {
			r.world.RestartWithoutList(gateway)
		}
		return
	case SpoiltBytes:
		r.world.SpoilBytes(failureShare, fault.Length)
		return
	}
	if r.injectAimed(fault) {
		return
	}
	for position, gateway := range r.pickGateways(fault) {
		r.faultyClients.goroutines.Go(func() { r.injectAt(fault, position, gateway, addresses[gateway].Listen) })
	}
}

// injectAt carries out a fault at one gateway. position is the index of the gateway among those affected.
func (r *runner) injectAt(fault Fault, position, gateway int, address string) {
	switch fault.Kind {
	case PauseGateways:
		for remaining := fault.Length; remaining > 0; remaining -= pauseInterval {
			r.world.PauseGateway(gateway, pauseLength)
			if !r.pause(pauseInterval) {
				return
			}
		}
	case CloseLogs:
		r.world.CloseLog(gateway)
		r.world.HalfWriteConfig(gateway, fault.Length/2) // makes the gateway write to its log
	case StallLogs:
		r.world.StallLog(gateway, fault.Length)
		r.world.HalfWriteConfig(gateway, fault.Length/2) // makes the gateway write to its log
	case HalfConfigs:
		r.world.HalfWriteConfig(gateway, min(fault.Length, configRereadTime))
	case FailAccept:
		r.failCalls(fault, gateway, faultinjection.Accept, acceptErrors[r.errorIndex(position, len(acceptErrors))])
	case FailConnect:
		r.failCalls(fault, gateway, faultinjection.Connect, connectErrors[r.errorIndex(position, len(connectErrors))])
	case LateConnects:
		r.world.FailSystemCalls(gateway, faultinjection.Connect+" "+faultinjection.Late, fault.Length)
	case IdleFlood:
		if position == 0 {
			r.faultyClients.flood(address, fault.Length)
		}
	case StalledClients:
		for i := range stalledClientCount {
			r.faultyClients.goroutines.Go(func() { r.faultyClients.stall(address, partialRequests[i%len(partialRequests)]) })
		}
	case PipeliningCrowd:
		for remaining := fault.Length; remaining > 0; remaining -= pipeliningInterval {
			r.faultyClients.goroutines.Go(func() { r.faultyClients.pipeline(address, r.gatewaysAreKilled) })
			r.faultyClients.goroutines.Go(func() { r.faultyClients.sendGarbage(address) })
			if !r.pause(pipeliningInterval) {
				return
			}
		}
	}
}

// failedCallsDivisor is the ratio of the length of a fault to the time for which failCalls makes system calls fail.
const failedCallsDivisor = 4

// failCalls makes a system call of a gateway fail for a quarter of the length of the fault, because failures of this
// kind are brief.
func (r *runner) failCalls(fault Fault, gateway int, call, failure string) {
	r.world.FailSystemCalls(gateway, call+" "+failure, fault.Length/failedCallsDivisor)
}

// configRereadTime is the longest time for which a configuration file is half written. A gateway rereads a
// configuration file that it cannot use for 2 s; configRereadTime is shorter, so that the gateway still reads the
// complete file.
const configRereadTime = 1500 * time.Millisecond

// Names of the errors that are injected into system calls. Each affected gateway gets one of them.
var (
	acceptErrors  = []string{"ENOBUFS", "ENOMEM", "EPROTO", "ENETUNREACH", "EHOSTUNREACH", "ENETDOWN", "EMFILE", "ENFILE"}
	connectErrors = []string{"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL", "ENETUNREACH"}
)

// errorIndex selects one of count errors by the seed and by the position of the gateway among those affected.
func (r *runner) errorIndex(position, count int) int {
	return int((r.plan.Seed + uint64(position)) % uint64(count))
}

// gatewaysAreKilled reports whether the run kills gateways. A killed gateway closes the connections that it has
// accepted.
func (r *runner) gatewaysAreKilled() bool { return r.plan.has(Kind(emulator.FaultKillGateways)) }
