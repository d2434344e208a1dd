package policy

import (
	"testing"
	"time"
)

// ceilingTest is a gateway whose customer of ceilingPlan has no quota and a full bucket of testShare units. Only the
// ceiling and a pause in forwarding delay requests on it.
type ceilingTest struct {
	*testGateway
	units map[RequestID]float64
}

// This gateway's share of the ceiling of ceilingPlan, which two gateways share.
const (
	testShare     = 20.0 // units
	testShareRate = 10.0 // units per second
)

func startCeilingTest() *ceilingTest {
	cfg := testConfig()
	cfg.Plans[ceilingPlan].QuotaRate = 0
	gateway := &ceilingTest{startTestGateway(cfg, 9), map[RequestID]float64{}}
	gateway.advanceTo(time.Minute)
	gateway.engine.gatewayLimit = 1000
	return gateway
}

// pause withholds all requests for a time, as the gateway limit does below one unit.
func (g *ceilingTest) pause(duration time.Duration) { g.engine.pausedUntil = g.now + duration }

func (g *ceilingTest) submitUnits(id RequestID, units float64) {
	g.units[id] = units
	g.submit(id, idempotentClass, ceilingPlan, units)
}

// checkShare fails the test if the attempts with the given indexes overdraw this gateway's share of the ceiling.
func (g *ceilingTest) checkShare(t *testing.T, reached ...int) {
	t.Helper()
	level, updatedAt := testShare, time.Duration(0)
	for _, index := range reached {
		attempt := g.forwarded[index]
		level = min(testShare, level+testShareRate*(attempt.at-updatedAt).Seconds()) - g.units[attempt.request]
		updatedAt = attempt.at
		if level < -1e-6 {
			t.Errorf("request %d overdraws the ceiling by %v units: %v", attempt.request, -level, g.log)
		}
	}
}

// A request that has waited for an endpoint must not be sent with units that the ceiling earned for others meanwhile.
func TestCeilingHoldsAfterWaitForEndpoint(t *testing.T) {
	gateway := startCeilingTest()
	gateway.pause(200 * time.Millisecond)
	gateway.submitUnits(1, testShare)
	gateway.advance(220 * time.Millisecond)
	if len(gateway.forwarded) != 1 {
		t.Fatalf("request 1 was not forwarded after the pause: %v", gateway.log)
	}
	gateway.submitUnits(2, 2)
	gateway.advance(time.Second)
	if len(gateway.forwarded) != 2 {
		t.Fatalf("%d requests were forwarded, want 2: %v", len(gateway.forwarded), gateway.log)
	}
	gateway.checkShare(t, 0, 1)
}

// A request that was delayed for the ceiling may be sent before requests that wait for an endpoint. What is left must
// suffice for these, or they must be rejected as soon as they cannot be sent in time.
func TestCeilingRejectsWaitingRequestThatNoLongerFits(t *testing.T) {
	gateway := startCeilingTest()
	gateway.pause(200 * time.Millisecond)
	gateway.submitUnits(1, testShare-2)
	gateway.submitUnits(2, 2)
	gateway.submitUnits(3, 2) // delayed by 200 ms
	gateway.advance(230 * time.Millisecond)
	if len(gateway.forwarded) != 2 || len(gateway.rejected) != 1 {
		t.Fatalf("want two requests forwarded and one rejected after the pause: %v", gateway.log)
	}
	gateway.checkShare(t, 0, 1)
}

// The units of an attempt that never reached its endpoint must not be used by others before the retry.
func TestCeilingCountsTheAttemptThatReachesAnEndpoint(t *testing.T) {
	gateway := startCeilingTest()
	gateway.submitUnits(1, testShare-4)
	gateway.advance(20 * time.Millisecond)
	gateway.submitUnits(2, 4.2)
	gateway.finish(1, StatusConnectFailed, noUsage)
	gateway.advance(time.Second)
	if len(gateway.forwarded) != 2 || len(gateway.rejected) != 1 {
		t.Fatalf("want request 1 rejected, since its retry no longer fits: %v", gateway.log)
	}
	gateway.checkShare(t, 1)
}

// An attempt that never reached its endpoint must not cost the customer its units for good.
func TestCeilingReturnsUnitsOfAttemptThatReachedNoEndpoint(t *testing.T) {
	for _, status := range []Status{StatusConnectFailed, StatusNotSent, StatusLocalFailure} {
		gateway := startCeilingTest()
		gateway.submitUnits(1, testShare)
		gateway.finish(1, status, noUsage)
		gateway.advance(40 * time.Millisecond)
		if len(gateway.forwarded) != 2 {
			t.Errorf("status %v: request 1 was not retried: %v", status, gateway.log)
		}
	}
	gateway := startCeilingTest()
	gateway.submitUnits(1, testShare)
	gateway.finish(1, StatusRejected, noUsage) // by an endpoint that it has reached
	gateway.submitUnits(2, 1)
	if len(gateway.forwarded) != 2 || gateway.forwarded[1].request != 1 {
		t.Errorf("request 2 was forwarded with units that request 1 has used: %v", gateway.log)
	}
}

// A customer that returns after its eviction has a full bucket. It must not be evicted while its bucket is refilled
// after a request that was sent later than it arrived.
func TestCustomerIsEvictedOnlyWithFullCeiling(t *testing.T) {
	gateway := startCeilingTest()
	gateway.engine.cfg.WarmUpDuration = time.Second // in which an idle customer may be evicted
	gateway.advance(400 * time.Millisecond)
	gateway.pause(200 * time.Millisecond)
	gateway.submitUnits(1, testShare)
	gateway.advance(230 * time.Millisecond)
	gateway.finish(1, StatusOK, noUsage)
	gateway.advanceTo(62*time.Second + 510*time.Millisecond) // just after a pass of the bandwidth manager
	gateway.submitUnits(2, testShare)
	gateway.advance(time.Second)
	if len(gateway.forwarded) != 2 {
		t.Fatalf("request 2 was not forwarded: %v", gateway.log)
	}
	gateway.checkShare(t, 0, 1)
}
