package policy

import (
	"math"
	"testing"
)

func TestHoldSecondsFormula(t *testing.T) {
	engine := startTestGateway(testConfig(), 3).engine
	manager := &engine.manager
	c := &customer{plan: &Plan{QuotaRate: 10}, avgUsage: 4}
	manager.peakUsage, manager.totalQuota, manager.totalUsage = 100, 40, 20
	for _, test := range []struct {
		someUnderQuota       bool
		avgUsage, totalUsage float64
		availableRate        float64
	}{
		{true, 4, 20, 16},  // twice the quota less the usage, for a customer under its quota
		{true, 12, 20, 10}, // else the quota
		{false, 4, 20, 24}, // total quota less the usage of the others, while quota is left
		{false, 4, 50, 10}, // else the quota
	} {
		manager.someUnderQuota, manager.totalUsage = test.someUnderQuota, test.totalUsage
		c.avgUsage = test.avgUsage
		if got := manager.availableRate(c); got != test.availableRate {
			t.Errorf("%+v: available rate %v", test, got)
		}
		if got, want := engine.holdSeconds(c, 2), (1/test.availableRate-1/100.0)*2; math.Abs(got-want) > 1e-12 {
			t.Errorf("%+v: hold of %v s, want %v s", test, got, want)
		}
	}
	manager.peakUsage = 5
	if got := engine.holdSeconds(c, 2); got != 0 {
		t.Errorf("hold of %v s, want the floor of 0", got)
	}
}
