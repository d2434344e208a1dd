package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"springfield/internal/config"
	"springfield/internal/testkit"
)

// withSlowStart sets the slow-start parameters of real deployments.
func withSlowStart(cfg *config.Config, _ *options) {
	cfg.Settings.Safety.ColdFrom, cfg.Settings.Safety.WarmWithinMs = 0.16, 16_000
	cfg.Settings.Safety.FallMultiple, cfg.Settings.Safety.FallMs = 2.5, 3000
}

// startTimeMS returns a start time that differs from the present by an offset, as it occurs when the clock of the
// endpoint or of the gateway has been stepped.
func startTimeMS(offset time.Duration) int { return int(time.Now().Add(offset).UnixMilli()) }

// A gateway must serve at once if all endpoints have just started, whatever the clock offset to their start times.
// Otherwise it would serve nothing until they count as warm, for an hour if their start times are an hour ahead.
func TestNewGatewayServesWhenAllEndpointsAreStarting(t *testing.T) {
	for _, offset := range []time.Duration{-5 * time.Second, time.Hour, -time.Hour} {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			g, registry := startGatewayWith(t, withSlowStart)
			watch := testkit.Receive(t, "the watch", registry.Watches)
			var lines []string
			for i := range 4 {
				lines = append(lines, testkit.EndpointLine(fmt.Sprint("s-", i), okServer(t).Address(), "up", startTimeMS(offset)))
			}
			send(t, watch, testkit.EndpointListJSON(2, true, lines...))
			if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
				t.Errorf("got %+v", response)
			}
		})
	}
}

// An endpoint that has just started must get a small share of the requests, even if the clock of the gateway differs
// from its start time by an hour.
func TestStartingEndpointGetsFewRequestsDespiteClockOffset(t *testing.T) {
	for _, offset := range []time.Duration{0, time.Hour, -time.Hour} {
		t.Run(fmt.Sprint(offset), func(t *testing.T) {
			warm, starting := okServer(t), okServer(t)
			g, registry := startGatewayWith(t, withSlowStart, warm)
			watch := testkit.Receive(t, "the watch", registry.Watches)
			send(t, watch, testkit.EndpointListJSON(2, false,
				testkit.EndpointLine("starting", starting.Address(), "up", startTimeMS(offset))))
			const requests = 100
			for range requests {
				if response := g.lookup(testkit.Plan); response.Status != http.StatusOK {
					t.Fatalf("got %+v", response)
				}
			}
			if got := starting.Requests.Load(); got > requests/3 {
				t.Errorf("the starting endpoint got %d of %d requests", got, requests)
			}
		})
	}
}
