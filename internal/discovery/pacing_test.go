package discovery

import (
	"fmt"
	"testing"
	"time"

	"springfield/internal/settings"
)

// newFleetClientWithPollLimit returns the client of one gateway of a fleet. The client has a list, and kind is the
// value of the setting Discovery.
func newFleetClientWithPollLimit(kind string, gateways, index int, pollWithinMS float64) *Client {
	s := settings.Settings{Discovery: kind, Balancers: gateways}
	s.Safety.AskWithinMs = pollWithinMS
	client := NewClient(Options{Address: "127.0.0.1:1", Pacing: PacingFor(&s), Seed: uint64(index)}, nil)
	client.listURL = client.url
	return client
}

func newFleetClient(kind string, gateways, index int) *Client {
	return newFleetClientWithPollLimit(kind, gateways, index, 10_000)
}

func (c *Client) startPause() time.Duration { return c.jitter(c.pacing.boundAtStart(c.listURL != "")) }

func (c *Client) migrationPause() time.Duration { return c.jitter(c.pacing.boundAtMigration(0)) }

// A gateway is treated as notified of a change that a broken watch missed 6 s after the watch broke, which may be right
// after its last line. The silence, the pause and the call must fit within that time.
func TestBrokenWatchIsReopenedInTime(t *testing.T) {
	for _, kind := range []string{"pushed", polledDiscovery} {
		for i := range 300 {
			client := newFleetClient(kind, 300, i)
			for _, silence := range []time.Duration{0, 2 * time.Second, watchTimeout} {
				pause := client.jitter(client.pacing.boundAfterBreak(silence))
				if silence+pause > 5500*time.Millisecond {
					t.Fatalf("%s: gateway %d reopens a watch after a silence of %v and a pause of %v", kind, i, silence, pause)
				}
			}
			if bound := client.pacing.boundAfterBreak(time.Hour); bound <= 0 {
				t.Fatalf("got a bound of %v, want a positive one", bound)
			}
		}
	}
}

// A gateway is treated as notified of a change 6 s after discovery had it and was reachable, whatever calls failed
// before. Discovery may become reachable right after the start of a call that fails or hangs, or of the pause that
// follows, and the successful call takes up to half a second. After a migration the limit is 4 s.
func TestDiscoveryIsCalledInTimeAfterFailures(t *testing.T) {
	for _, kind := range []string{"pushed", polledDiscovery} {
		for _, gateways := range []int{1, 20, 300, 3000} {
			for _, pollWithinMS := range []float64{0, 1500, 10_000, 120_000} {
				for i := range 20 {
					client := newFleetClientWithPollLimit(kind, gateways, i, pollWithinMS)
					if err := checkNotifiedInTime(client); err != nil {
						t.Fatalf("%s, gateway %d of %d with a poll limit of %v ms: %v", kind, i, gateways, pollWithinMS, err)
					}
				}
			}
		}
	}
}

// checkNotifiedInTime returns an error for the first pause of a client that is too long.
func checkNotifiedInTime(client *Client) error {
	const callDuration = 500 * time.Millisecond
	if first := client.startPause() + callDuration; first > notificationDeadline {
		return fmt.Errorf("first notified %v after its start", first)
	}
	if migrated := client.migrationPause() + callDuration; migrated > 4*time.Second {
		return fmt.Errorf("notified %v after its migration", migrated)
	}
	const rereads = 2 * time.Second // time for rereading a configuration that is being written
	if migrated := rereads + client.pacing.boundAtMigration(rereads) + callDuration; migrated > 3*time.Second {
		return fmt.Errorf("notified %v after a migration whose configuration was read late", migrated)
	}
	backoff := client.pacing.initialBackoff
	for failure := range 12 {
		for _, failed := range []time.Duration{0, 20 * time.Millisecond, time.Second, watchTimeout} {
			bound := client.pacing.boundAfterFailure(backoff, failed)
			if notified := failed + bound + callDuration; bound <= 0 || notified > notificationDeadline {
				return fmt.Errorf("failure %d after %v: a pause of up to %v, notified after %v", failure, failed, bound, notified)
			}
		}
		backoff = client.pacing.nextBackoff(backoff)
	}
	return nil
}

// While a shared discovery service is down, and when it returns or moves, the calls of the fleet must be spread over
// the pauses, however long the outage was. No tenth of a second may get more than an eighth of the calls.
func TestCallsAfterAnOutageAreSpreadOut(t *testing.T) {
	const gateways = 350
	for name, pause := range map[string]func(*Client) time.Duration{
		"refused": func(c *Client) time.Duration {
			return c.jitter(c.pacing.boundAfterFailure(c.pacing.maxBackoff, 0))
		},
		"hanging": func(c *Client) time.Duration {
			return c.jitter(c.pacing.boundAfterFailure(c.pacing.maxBackoff, watchTimeout))
		},
		"migrated": (*Client).migrationPause,
	} {
		const slotDuration = 100 * time.Millisecond
		slots := map[time.Duration]int{}
		for i := range gateways {
			slots[pause(newFleetClient(polledDiscovery, gateways, i))/slotDuration]++
		}
		for slot, calls := range slots {
			if calls > gateways/8 {
				t.Errorf("%s: %d of %d gateways call in tenth %d of a second", name, calls, gateways, slot)
			}
		}
	}
}

// A gateway is treated as notified at once of what its agent receives. A pause must therefore not exceed the drain
// grace of the settings, however many calls have failed.
func TestAgentIsCalledWithinTheDrainGrace(t *testing.T) {
	for _, graceMS := range []float64{0, 100, 600, 3000} {
		var s settings.Settings
		s.Safety.DrainGraceMs = graceMS
		longest := PacingFor(&s).maxBackoff
		want := time.Duration(graceMS/2) * time.Millisecond
		if graceMS > 0 && longest > want || longest <= 0 || longest > time.Second {
			t.Errorf("grace of %v ms: pauses of up to %v", graceMS, longest)
		}
	}
}

// A fleet that starts at once, or whose watches break at once, must not call a shared discovery service all at once.
// Each gateway must still call before it is treated as notified, also after failures.
func TestCallsToASharedDiscoveryAreSpreadOverTheFleet(t *testing.T) {
	for _, gateways := range []int{80, 300, 3000} {
		early, longestFirst, longestRetry := 0, time.Duration(0), time.Duration(0)
		for i := range gateways {
			client := newFleetClient(polledDiscovery, gateways, i)
			first := client.startPause()
			if first < time.Second {
				early++
			}
			longestFirst = max(longestFirst, first)
			longestRetry = max(longestRetry, client.jitter(client.pacing.maxBackoff))
		}
		// One second gets a sixth of the calls of 80 gateways, which are spread over 6 s, and an eighth of those of larger
		// fleets.
		if early < gateways/20 || early > gateways/3 {
			t.Errorf("%d of %d gateways call in the first second", early, gateways)
		}
		if longestFirst < 4*time.Second || longestFirst >= 5*time.Second || longestRetry >= 5*time.Second {
			t.Errorf("the last of %d gateways first calls after %v, and after a failure after %v",
				gateways, longestFirst, longestRetry)
		}
	}
}

// A gateway is treated as notified of what its agent has. However large the fleet, a gateway that paused before calling
// its agent would send requests to draining endpoints.
func TestAgentIsCalledWithoutPause(t *testing.T) {
	for i := range 300 {
		client := newFleetClient("pushed", 300, i)
		if first, retry := client.startPause(), client.jitter(client.pacing.maxBackoff); first != 0 || retry > time.Second {
			t.Fatalf("gateway %d of 300 calls its agent after %v, and after failures again after %v", i, first, retry)
		}
	}
}
