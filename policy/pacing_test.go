package policy

import (
	"math"
	"testing"
)

// Guards against a pacing delay that differs from the formula of Li and Jamin: the units divided by the rate available
// to the customer, less the units divided by the peak usage of all customers, and never below zero.
func TestPacingDelayFollowsAvailableRate(t *testing.T) {
	engine := startTestGateway(testConfig(), 3).engine
	manager := &engine.bandwidth
	c := &customer{plan: &Plan{QuotaRate: 10}, avgUsage: 4}
	manager.peakUsage, manager.totalQuota, manager.totalUsage = 100, 40, 20
	for _, test := range []struct {
		anyUnderQuota        bool
		avgUsage, totalUsage float64
		availableRate        float64
	}{
		{true, 4, 20, 16},  // customer under its quota: twice the quota less its usage
		{true, 12, 20, 10}, // customer over its quota, another one under it: its quota
		{false, 4, 20, 24}, // no customer under its quota, total quota not used up: total quota less the usage of the others
		{false, 4, 50, 10}, // no customer under its quota, total quota used up: its quota
	} {
		manager.anyActiveUnderQuota, manager.totalUsage = test.anyUnderQuota, test.totalUsage
		c.avgUsage = test.avgUsage
		if got := manager.availableRate(c); got != test.availableRate {
			t.Errorf("%+v: available rate is %v", test, got)
		}
		if got, want := engine.pacingDelaySeconds(c, 2), (1/test.availableRate-1/100.0)*2; math.Abs(got-want) > 1e-12 {
			t.Errorf("%+v: pacing delay is %v s, want %v s", test, got, want)
		}
	}
	manager.peakUsage = 5
	if got := engine.pacingDelaySeconds(c, 2); got != 0 {
		t.Errorf("pacing delay is %v s where the formula is negative, want 0", got)
	}
}
