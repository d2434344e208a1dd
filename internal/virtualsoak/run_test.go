package virtualsoak

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/virtual"
	"springfield/internal/soak"
	"springfield/policy"
)

// Guards against runs of a seed that differ, for example because of the order of a map.
func TestSeedDeterminesItsRun(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		var results [2]Result
		for i := range results {
			result, err := Run(t.Context(), seed, newForgetful)
			if err != nil {
				t.Fatal(err)
			}
			result.Elapsed = 0
			results[i] = result
		}
		if !reflect.DeepEqual(results[0], results[1]) {
			t.Errorf("seed %d: two runs differ: %+v and %+v", seed, results[0], results[1])
		}
		if results[0].Requests < 100 || results[0].Attempts == 0 {
			t.Errorf("seed %d: %d requests and %d attempts", seed, results[0].Requests, results[0].Attempts)
		}
	}
}

// Guards against oracles that miss a fault of a gateway.
func TestPlantedFaultsAreFound(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, want string
		newDecider emulator.NewDecider
	}{
		{"never answers", "rule final-answer", newForgetful},
		{"forwards twice", "decision single-attempt", plant(fault{duplicates: true})},
		{"forwards to one endpoint always", "decision ready", plant(fault{endpoint: 1})},
		{"forwards to an ejected endpoint", "decision ejection", plant(fault{endpoint: 1})},
		{"ignores slow start", "rule slow-start", plant(fault{newest: true})},
		{"answers late", "decision answer", plant(fault{answersLate: true})},
		{"exceeds the limit on attempts", "decision attempt-limit",
			changeConfig(func(c *policy.Config) { c.MaxAttempts = 0 })},
		{"exceeds the limit on open requests", "decision open-requests",
			changeConfig(func(c *policy.Config) { c.MaxOpenRequests = 0 })},
		{"retries beyond the budget", "decision retry-budget", newEager},
		{"cancels where that is not allowed", "decision cancel", changeConfig(func(c *policy.Config) { c.CanCancel = true })},
		{"sends a Retry-After where that is not allowed", "decision retry-after",
			changeConfig(func(c *policy.Config) { c.SendRetryAfter = true })},
		{"ignores polled lists", "decision watch", changeConfig(func(c *policy.Config) { c.PolledEndpoints = false })},
		{"rejects everything", "decision starvation", plant(fault{rejectsAll: true})},
		{"ignores the ceiling", "rule ceiling", changeConfig(ignoreCeilings)},
		{"ignores the scope of keys", "rule single-execution", changeConfig(ignoreKeyScopes)},
		{"panics", "panic", plant(fault{panics: true})},
		{"loops", "panic", plant(fault{loops: true})},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			const maxSeeds = 60
			for seed := range uint64(maxSeeds) {
				result, err := Run(t.Context(), seed, test.newDecider)
				if err != nil {
					t.Fatal(err)
				}
				if slices.ContainsFunc(result.Findings, func(f soak.Finding) bool { return f.What == test.want }) {
					return
				}
			}
			t.Errorf("no %q in %d seeds", test.want, maxSeeds)
		})
	}
}

// changeConfig returns the policy with a configuration that differs from the one of its gateway.
func changeConfig(change func(*policy.Config)) emulator.NewDecider {
	return func(config policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
		config.Classes, config.Plans = slices.Clone(config.Classes), slices.Clone(config.Plans)
		change(&config)
		return virtual.PolicyDecider(config, actions, groundTruth)
	}
}

func ignoreCeilings(config *policy.Config) {
	for i := range config.Plans {
		config.Plans[i].CeilingRate = 0
	}
}

func ignoreKeyScopes(config *policy.Config) {
	for i := range config.Classes {
		config.Classes[i].KeyScope = policy.KeyScopeFleet
	}
}

// fault is a fault of a gateway's decider. Each field plants one.
type fault struct {
	endpoint    policy.EndpointID // endpoint that gets all attempts; 0: as the policy chooses
	newest      bool              // the endpoint that a list update last reported as started gets all attempts
	duplicates  bool
	answersLate bool
	rejectsAll  bool
	panics      bool
	loops       bool
}

// faultyDecider is the policy with a planted fault.
type faultyDecider struct {
	emulator.Decider
	policy.Actions // the actions of the gateway
	fault          fault
}

func plant(planted fault) emulator.NewDecider {
	return func(config policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
		d := &faultyDecider{Actions: actions, fault: planted}
		d.Decider = virtual.PolicyDecider(config, d, groundTruth)
		return d
	}
}

func (d *faultyDecider) Forward(id policy.RequestID, endpoint policy.EndpointID, giveUpAt time.Duration) {
	if d.fault.endpoint > 0 {
		endpoint = d.fault.endpoint
	}
	d.Actions.Forward(id, endpoint, giveUpAt)
	if d.fault.duplicates {
		d.Actions.Forward(id, endpoint, giveUpAt)
	}
}

func (d *faultyDecider) UpdateEndpoints(now time.Duration, kind policy.UpdateKind, list []policy.Endpoint) {
	for _, endpoint := range list {
		if d.fault.newest && endpoint.StartedAt > 0 && endpoint.State == policy.StateReady {
			d.fault.endpoint = endpoint.ID
		}
	}
	d.Decider.UpdateEndpoints(now, kind, list)
}

func (d *faultyDecider) Submit(now time.Duration, request policy.Request) {
	if d.fault.answersLate {
		request.TimeLeft += time.Second
	}
	if d.fault.rejectsAll {
		d.Reject(request.ID, 0)
		return
	}
	d.Decider.Submit(now, request)
}

func (d *faultyDecider) TimerFired(now time.Duration, timer policy.Timer) {
	switch {
	case d.fault.panics:
		panic("planted")
	case d.fault.loops:
		d.StartTimer(0, timer)
	default:
		d.Decider.TimerFired(now, timer)
	}
}

// forgetful is the policy without one request in 50.
type forgetful struct{ emulator.Decider }

func newForgetful(
	config policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth,
) emulator.Decider {
	return forgetful{virtual.PolicyDecider(config, actions, groundTruth)}
}

func (d forgetful) Submit(now time.Duration, request policy.Request) {
	if request.ID%50 != 0 {
		d.Decider.Submit(now, request)
	}
}

// eager retries each idempotent request at the same endpoint until it is served, and passes other requests on.
type eager struct {
	emulator.Decider
	actions  policy.Actions
	config   policy.Config
	requests map[policy.RequestID]policy.Request
}

func newEager(config policy.Config, actions policy.Actions, groundTruth emulator.GroundTruth) emulator.Decider {
	return &eager{virtual.PolicyDecider(config, actions, groundTruth), actions, config,
		map[policy.RequestID]policy.Request{}}
}

func (d *eager) Submit(now time.Duration, request policy.Request) {
	d.requests[request.ID] = request
	d.Decider.Submit(now, request)
}

func (d *eager) AttemptFinished(now time.Duration, result policy.AttemptResult) {
	idempotent := d.config.Classes[d.requests[result.Request].Class].Idempotency == policy.Idempotent
	if idempotent && !result.RequestDone && result.Attempt < 3 {
		d.actions.Forward(result.Request, result.Endpoint, 0)
		return
	}
	d.Decider.AttemptFinished(now, result)
}

// Guards against results out of order, seeds that are left out, and soaks that go on after done has returned false or
// a run has failed.
func TestRunSeedsReportsInOrderAndStops(t *testing.T) {
	errBroken := errors.New("broken")
	run := func(_ context.Context, seed uint64) (Result, error) {
		if seed == 90 {
			return Result{}, errBroken
		}
		return Result{Seed: seed}, nil
	}
	for _, test := range []struct {
		last, stopAt uint64
		want         int
		err          error
	}{{last: 40, want: 40}, {last: 80, stopAt: 33, want: 33}, {last: 95, want: 89, err: errBroken}} {
		var seeds []uint64
		err := RunSeeds(t.Context(), 1, test.last, 3, run, func(result Result) bool {
			seeds = append(seeds, result.Seed)
			return result.Seed != test.stopAt
		})
		if len(seeds) != test.want || !slices.IsSorted(seeds) || !errors.Is(err, test.err) {
			t.Errorf("until %d, stopped at %d: seeds %v, error %v; want %d seeds in order, error %v", test.last,
				test.stopAt, seeds, err, test.want, test.err)
		}
	}
}
