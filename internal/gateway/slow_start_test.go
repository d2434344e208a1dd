package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"springfield/internal/config"
	"springfield/internal/testkit"
)

// withSlowStart sets the rule on endpoints in slow start, as deployments have it.
func withSlowStart(cfg *config.Config, _ *options) {
	cfg.Settings.Safety.ColdFrom, cfg.Settings.Safety.WarmWithinMs = 0.16, 16_000
	cfg.Settings.Safety.FallMultiple, cfg.Settings.Safety.FallMs = 2.5, 3000
}

// startedMS is a start time that differs from the present by an offset, as endpoints have it whose clock or whose
// gateway's clock has been stepped.
func startedMS(offset time.Duration) int { return int(time.Now().Add(offset).UnixMilli()) }

// A gateway that has just started among endpoints that have all just started serves at once, whatever the clock of its
// machine says of their start times. It once answered nothing until they were warm, for an hour where they lay ahead.
func TestNewGatewayServesAmongStartingEndpoints(t *testing.T) {
	for _, offset := range []time.Duration{-5 * time.Second, time.Hour, -time.Hour} {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			g, registry := startGatewayWith(t, withSlowStart)
			watch := testkit.Receive(t, "the watch", registry.Watches)
			var lines []string
			for i := range 4 {
				lines = append(lines, testkit.EndpointLine(fmt.Sprint("s-", i), okServer(t).Address(), "up", startedMS(offset)))
			}
			send(t, watch, testkit.EndpointListJSON(2, true, lines...))
			if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
				t.Errorf("got %+v", response)
			}
		})
	}
}

// An endpoint that has just started gets a small part of the requests, also where the clock of the gateway's machine is
// ahead of its start time by an hour.
func TestStartingEndpointIsSparedWhateverTheClockSays(t *testing.T) {
	for _, offset := range []time.Duration{0, time.Hour, -time.Hour} {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			warm, starting := okServer(t), okServer(t)
			g, registry := startGatewayWith(t, withSlowStart, warm)
			watch := testkit.Receive(t, "the watch", registry.Watches)
			send(t, watch, testkit.EndpointListJSON(2, false,
				testkit.EndpointLine("starting", starting.Address(), "up", startedMS(offset))))
			const requests = 100
			for range requests {
				if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
					t.Fatalf("got %+v", response)
				}
			}
			if got := starting.Requests.Load(); got > requests/3 {
				t.Errorf("it got %d of %d requests", got, requests)
			}
		})
	}
}
