package loopback

import (
	"testing"
	"time"
)

// A run without faults serves requests through all gateways and keeps all rules.
func TestCalmRunServesAndKeepsTheRules(t *testing.T) {
	o := run(t, scenario(2*time.Second))
	o.wantKept(t)
	if o.of("answer 1") == 0 || o.of("GatewayStarted") != 2 || o.of("EndpointStarted") != 4 {
		t.Errorf("%+v %v", o.summary, o.seen)
	}
	if o.of("AttemptForwarded") != o.of("AttemptReceived") || int64(o.of("AttemptForwarded")) != o.summary.Attempts {
		t.Errorf("attempts: %+v %v", o.summary, o.seen)
	}
}
