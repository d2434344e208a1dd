package loopback

import (
	"testing"
	"time"
)

// A run without faults must serve requests through all gateways, keep all rules and observe every attempt.
func TestRunWithoutFaultsServesAndKeepsRules(t *testing.T) {
	o := runScenario(t, newScenario(2*time.Second))
	o.checkRules(t)
	if o.count("answer 1") == 0 || o.count("GatewayStarted") != 2 || o.count("EndpointStarted") != 4 {
		t.Errorf("want served requests, 2 gateway starts and 4 endpoint starts: %+v %v", o.summary, o.seen)
	}
	if o.count("AttemptForwarded") != o.count("AttemptReceived") ||
		int64(o.count("AttemptForwarded")) != o.summary.Attempts {
		t.Errorf("attempts forwarded, received and in the summary differ: %+v %v", o.summary, o.seen)
	}
}
