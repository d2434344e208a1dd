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
	// shutDownTimeout is for all processes to end after SIGTERM at the end of a run.
	shutDownTimeout = 6 * time.Second

	// killDelay is added to the time after which a gateway that shuts down is killed, so that one that is a little late
	// on a busy machine is told from one that does not end.
	killDelay = 1500 * time.Millisecond

	pauseLength    = 150 * time.Millisecond
	pauseInterval  = 600 * time.Millisecond
	slowListSpread = 3900 * time.Millisecond // longer than a call to discovery may be silent
	hour           = time.Hour
	affected       = 3 // gateways that a fault of single gateways affects
)

// Options are what all runs of a soak share.
type Options struct {
	Gateway     string   // program of the gateways, built with the tag faultinjection
	GatewayArgs []string // its arguments
	Directory   string   // for the files of one run; it must exist
	Logger      *slog.Logger
}

// Result is what one run has found.
type Result struct {
	Plan     Plan
	Findings []Finding
	Requests int64
	Attempts int64
	Elapsed  time.Duration
}

// Finding is a broken rule, or something that a process must not do.
type Finding struct {
	What   string // what was broken, the same for equal findings
	Count  int
	Detail string
}

// String describes the finding.
func (f Finding) String() string { return fmt.Sprintf("%s, %d times: %s", f.What, f.Count, f.Detail) }

// runner carries out one run.
type runner struct {
	plan    Plan
	options Options
	world   *loopback.World
	clients clients
	random  *rand.Rand
	ctx     context.Context // ends with the load
}

// Run carries out a plan. The error says that the run could not be carried out.
func Run(ctx context.Context, plan Plan, options Options) (Result, error) {
	began := time.Now()
	scenario := plan.scenario()
	checker := invariant.NewChecker(&scenario, invariant.WithSlack(invariant.SocketSlack))
	starving := newStarvation()
	var last time.Duration
	world, err := loopback.Start(ctx, loopback.Options{
		Scenario:    scenario,
		Seed:        plan.Seed,
		Gateway:     options.Gateway,
		GatewayArgs: options.GatewayArgs,
		ClockOffset: plan.clockOffset(),
		ColdStart:   plan.has(ClockOffset),
		KillDelay:   killDelay,
		Directory:   options.Directory,
		Observer:    emulator.Observers{checker, starving, lastObserved{&last}},
		Logger:      options.Logger,
	})
	if err != nil {
		return Result{}, fmt.Errorf("seed %d: %w", plan.Seed, err)
	}
	loadCtx, endLoad := context.WithCancel(ctx)
	r := &runner{plan: plan, options: options, world: world, random: rand.New(rand.NewPCG(plan.Seed, 2)), ctx: loadCtx}
	for _, fault := range plan.Faults {
		r.clients.running.Go(func() { r.inject(fault) })
	}
	summary, driveErr := world.Drive(ctx)
	endLoad()
	r.clients.running.Wait()
	remaining := world.ShutDownGateways(shutDownTimeout)
	world.Close()
	result := Result{Plan: plan, Requests: summary.Requests, Attempts: summary.Attempts, Elapsed: time.Since(began)}
	if ctx.Err() != nil {
		return result, ctx.Err()
	}
	result.Findings = r.findings(checker.Finish(last), summary, remaining, starving.starved, driveErr)
	return result, nil
}

// lastObserved notes the time of the last observation.
type lastObserved struct{ at *time.Duration }

// Observe implements emulator.Observer.
func (l lastObserved) Observe(at time.Duration, _ emulator.Observation) { *l.at = at }

// clockOffset is by how much the clocks of the endpoints and of the gateways differ in a run.
func (p *Plan) clockOffset() time.Duration {
	switch {
	case !p.has(ClockOffset), p.Seed%3 == 0:
		return 0
	case p.Seed%3 == 1:
		return hour
	default:
		return -hour
	}
}

// pause waits for a time. It reports false if the load ends before.
func (r *runner) pause(length time.Duration) bool {
	select {
	case <-time.After(length):
		return true
	case <-r.ctx.Done():
		return false
	}
}

// some returns a few gateways, drawn from the seed and the fault.
func (r *runner) some(fault Fault) []int {
	random := rand.New(rand.NewPCG(r.plan.Seed, uint64(fault.At)))
	return random.Perm(r.plan.Gateways)[:affected]
}

// inject carries out a fault that the scenario's schedule does not have.
func (r *runner) inject(fault Fault) {
	if fault.Kind.isScheduled() || fault.Kind == ClockOffset || !r.pause(fault.At) {
		return
	}
	addresses := r.world.Addresses().Gateways
	switch fault.Kind {
	case SlowLists: // to the end of the load, for processes that start without a list
		r.world.SlowLists(slowListSpread, loadLength)
		for _, gateway := range r.some(fault) {
			r.world.RestartWithoutList(gateway)
		}
		return
	case SpoiltBytes:
		r.world.SpoilBytes(failFactor, fault.Length)
		return
	}
	for place, gateway := range r.some(fault) {
		r.clients.running.Go(func() { r.injectAt(fault, place, gateway, addresses[gateway].Listen) })
	}
}

// injectAt carries out a fault at one gateway.
func (r *runner) injectAt(fault Fault, place, gateway int, address string) {
	switch fault.Kind {
	case PauseGateways:
		for left := fault.Length; left > 0; left -= pauseInterval {
			r.world.PauseGateway(gateway, pauseLength)
			if !r.pause(pauseInterval) {
				return
			}
		}
	case CloseLogs:
		r.world.CloseLog(gateway)
		r.world.HalfWriteConfig(gateway, fault.Length/2) // so that there is something to log
	case StallLogs:
		r.world.StallLog(gateway, fault.Length)
		r.world.HalfWriteConfig(gateway, fault.Length/2)
	case HalfConfigs:
		r.world.HalfWriteConfig(gateway, min(fault.Length, rereadTime))
	case FailAccept:
		r.failCalls(fault, gateway, faultinjection.Accept, acceptErrors[r.choose(place, len(acceptErrors))])
	case FailConnect:
		r.failCalls(fault, gateway, faultinjection.Connect, connectErrors[r.choose(place, len(connectErrors))])
	case LateConnects:
		r.world.FailSystemCalls(gateway, faultinjection.Connect+" "+faultinjection.Late, fault.Length)
	case IdleFlood:
		if place == 0 {
			r.clients.flood(address, fault.Length)
		}
	case StalledClients:
		for i := range stalledClientCount {
			r.clients.running.Go(func() { r.clients.stall(address, partialRequests[i%len(partialRequests)]) })
		}
	case PipeliningCrowd:
		for left := fault.Length; left > 0; left -= crowdInterval {
			r.clients.running.Go(func() { r.clients.pipeline(address, r.mayDie) })
			r.clients.running.Go(func() { r.clients.garbage(address) })
			if !r.pause(crowdInterval) {
				return
			}
		}
	}
}

// failCalls makes a system call of a gateway fail for a part of a fault's time: such failures last for a moment.
func (r *runner) failCalls(fault Fault, gateway int, call, failure string) {
	const share = 4
	r.world.FailSystemCalls(gateway, call+" "+failure, fault.Length/share)
}

// rereadTime is for how long a gateway reads a file again that it cannot use, less a reserve.
const rereadTime = 1500 * time.Millisecond

// The errors that are injected: one for each gateway that a fault affects.
var (
	acceptErrors  = []string{"ENOBUFS", "ENOMEM", "EPROTO", "ENETUNREACH", "EHOSTUNREACH", "ENETDOWN", "EMFILE", "ENFILE"}
	connectErrors = []string{"EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EADDRNOTAVAIL", "ENETUNREACH"}
)

func (r *runner) choose(place, count int) int {
	return int((r.plan.Seed + uint64(place)) % uint64(count))
}

// mayDie reports whether gateways are killed in the run, which ends what they have accepted.
func (r *runner) mayDie() bool { return r.plan.has(Kind(emulator.FaultKillGateways)) }
