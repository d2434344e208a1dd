package settings

import (
	"encoding/json"
	"testing"
	"time"

	"springfield/policy"
)

func TestSettingsAreTranslated(t *testing.T) {
	var s Settings
	text := `{"Balancers":3,"MyNumber":1,"Classes":[{"AimMs":400,"Repeat":"deduplicated","Group":"zone","KeyTtlMs":1500}],
"Contracts":[{"HardRate":9,"AtOnce":2,"Pays":1.5}],"Discovery":"on_request"}`
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		t.Fatal(err)
	}
	c := Config(&s, 5)
	k, p := c.Classes[0], c.Plans[0]
	if c.GatewayCount != 3 || c.GatewayIndex != 1 || c.Seed != 5 || !c.PolledEndpoints ||
		k.LatencyObjective != 400*time.Millisecond || k.Idempotency != policy.IdempotentByKey || k.KeyScope != policy.KeyScopeZone ||
		k.KeyTTL != 1500*time.Millisecond || p.CeilingRate != 9 || p.MaxConcurrent != 2 || p.PriceFactor != 1.5 {
		t.Errorf("%+v", c)
	}
}
