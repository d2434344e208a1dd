package model

import (
	"encoding/json"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/settings"
	"springfield/policy"
)

func TestSettingsYieldThePolicyConfigOfAGateway(t *testing.T) {
	scenario := DefaultScenario()
	scenario.Zones = 2
	scenario.Plans[1].CeilingRate, scenario.Plans[1].CeilingBurst, scenario.Plans[1].MaxConcurrent = 9, 30, 3
	scenario.Classes[1].Idempotency, scenario.Classes[1].Scope = "deduplicated", "zone"
	scenario.Classes[1].KeyTTL = emulator.Duration(3 * time.Second)

	// A gateway reads the settings from the JSON of its configuration file.
	encoded, err := json.Marshal(Settings(&scenario, 1))
	if err != nil {
		t.Fatal(err)
	}
	var decoded settings.Settings
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	config := settings.PolicyConfig(&decoded, 5)
	if config.GatewayIndex != 1 || config.GatewayCount != 3 || config.Zone != 1 || config.PolledEndpoints {
		t.Errorf("gateway: %+v", config)
	}
	if config.MeterPeriod != time.Second || config.MaxRequestUnits != 4 || !config.CanCancel ||
		config.MaxAttempts != 4 || config.MaxOpenRequests != 20_000 || config.MaxRetryAfter != time.Second {
		t.Errorf("limits: %+v", config)
	}
	if config.WarmUpInitialCapacity != 0.2 || config.WarmUpDuration != 15*time.Second ||
		config.WarmUpOverloadFactor != 2.5 || config.WarmUpOverloadWindow != 3*time.Second {
		t.Errorf("warm-up: %+v", config)
	}
	wantClass := policy.Class{LatencyObjective: 1500 * time.Millisecond, PriorityWeight: 5,
		Idempotency: policy.IdempotentByKey, KeyScope: policy.KeyScopeZone, KeyTTL: 3 * time.Second}
	if len(config.Classes) != 2 || config.Classes[1] != wantClass {
		t.Errorf("classes %+v, want the second to be %+v", config.Classes, wantClass)
	}
	wantPlan := policy.Plan{QuotaRate: 5, Burst: 20, CeilingRate: 9, CeilingBurst: 30, MaxConcurrent: 3,
		PriceFactor: 1, OverQuotaCost: 1}
	if len(config.Plans) != 3 || config.Plans[1] != wantPlan {
		t.Errorf("plans %+v, want the second to be %+v", config.Plans, wantPlan)
	}
}

func TestSettingsDescribeTheDeployment(t *testing.T) {
	scenario := DefaultScenario()
	scenario.Zones, scenario.Discovery.Polled, scenario.Endpoints.LoadReports = 2, true, true
	scenario.Classes[0].Scope = ""
	got := Settings(&scenario, 2)
	if got.Discovery != settings.DiscoveryPolled || got.Report.How != "inline" || len(got.Report.Columns) == 0 {
		t.Errorf("discovery and load reports: %+v", got)
	}
	if len(got.Zones) != 2 || got.Zones[got.Locality] != ZoneName(0) || got.Classes[0].Group != settings.GroupAll {
		t.Errorf("zones %q, own %d, scope %q", got.Zones, got.Locality, got.Classes[0].Group)
	}
	if got.Limits.ConnIdleMs != 30_000 || got.Limits.DialTimeoutMs != 250 || got.Safety.DrainGraceMs != 1000 ||
		got.Safety.GraceToAnswerMs != 500 || got.Classes[0].HardLimitMs != 4000 {
		t.Errorf("times: %+v", got)
	}
}
