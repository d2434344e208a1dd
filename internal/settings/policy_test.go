package settings

import (
	"encoding/json"
	"testing"
	"time"

	"springfield/policy"
)

// Guards against settings that are not decoded, or that are passed to the wrong field or unit of the policy's
// configuration.
func TestPolicyConfigFollowsJSONSettings(t *testing.T) {
	var s Settings
	text := `{"Balancers":3,"MyNumber":1,"Classes":[{"AimMs":400,"Repeat":"deduplicated","Group":"zone","KeyTtlMs":1500}],
"Contracts":[{"HardRate":9,"AtOnce":2,"Pays":1.5}],"Discovery":"on_request"}`
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		t.Fatal(err)
	}
	config := PolicyConfig(&s, 5)
	if config.GatewayCount != 3 || config.GatewayIndex != 1 || config.Seed != 5 || !config.PolledEndpoints {
		t.Errorf("configuration: %+v", config)
	}
	class := config.Classes[0]
	if class.LatencyObjective != 400*time.Millisecond || class.Idempotency != policy.IdempotentByKey ||
		class.KeyScope != policy.KeyScopeZone || class.KeyTTL != 1500*time.Millisecond {
		t.Errorf("class: %+v", class)
	}
	plan := config.Plans[0]
	if plan.CeilingRate != 9 || plan.MaxConcurrent != 2 || plan.PriceFactor != 1.5 {
		t.Errorf("plan: %+v", plan)
	}
}

// An unknown value of Repeat must be treated as non-idempotent, so that no request is executed twice.
func TestRepeatAndGroupMapToPolicyValues(t *testing.T) {
	for repeat, want := range map[string]policy.Idempotency{
		"idempotent":   policy.Idempotent,
		"deduplicated": policy.IdempotentByKey,
		"at_most_once": policy.NonIdempotent,
		"unknown":      policy.NonIdempotent,
	} {
		if got := idempotency(repeat); got != want {
			t.Errorf("idempotency(%q) = %d, want %d", repeat, got, want)
		}
	}
	for group, want := range map[string]policy.KeyScope{
		"all":     policy.KeyScopeFleet,
		"zone":    policy.KeyScopeZone,
		"cell":    policy.KeyScopeCell,
		"unknown": policy.KeyScopeFleet,
	} {
		if got := keyScope(group); got != want {
			t.Errorf("keyScope(%q) = %d, want %d", group, got, want)
		}
	}
}
