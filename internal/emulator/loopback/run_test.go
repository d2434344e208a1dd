package loopback

import (
	"testing"
	"time"
)

// A run without faults serves requests through all gateways and keeps all rules.
func TestRunWithoutFaultsServesAndKeepsRules(t *testing.T) {
	o := runScenario(t, newScenario(2*time.Second))
	o.checkRules(t)
	if o.count("answer 1") == 0 || o.count("GatewayStarted") != 2 || o.count("EndpointStarted") != 4 {
		t.Errorf("%+v %v", o.summary, o.seen)
	}
	if o.count("AttemptForwarded") != o.count("AttemptReceived") ||
		int64(o.count("AttemptForwarded")) != o.summary.Attempts {
		t.Errorf("attempts: %+v %v", o.summary, o.seen)
	}
}
