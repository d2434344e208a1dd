package testkit

import (
	"encoding/json"
	"testing"

	"springfield/internal/settings"
)

// settingsJSON has the classes "lookup" (idempotent), "add" (idempotent by key) and "pay" (not idempotent). The plan
// "team" is practically unlimited. One request of two units exhausts the burst of the plan "tight".
const settingsJSON = `{"Balancers":1,"MyNumber":0,"Zones":["a"],
"Classes":[{"Name":"lookup","AimMs":5000,"HardLimitMs":8000,"Repeat":"idempotent","Value":1},
	{"Name":"add","AimMs":5000,"HardLimitMs":8000,"Repeat":"deduplicated","Group":"zone","KeyTtlMs":1500,"Value":1},
	{"Name":"pay","AimMs":5000,"HardLimitMs":8000,"Repeat":"at_most_once","Value":1}],
"Contracts":[{"Name":"team","UnitsPerS":1e6,"Burst":1e6,"Pays":1},
	{"Name":"tight","UnitsPerS":0.5,"Burst":2,"Pays":1,"OverCost":0.5}],
"Extra":{"UsePeriodMs":1000,"MostUnits":6},
"Limits":{"Cancel":true,"RetryAfter":true,"MaxRetryAfterMs":1000,"SendCap":5,"DialTimeoutMs":250,"ConnIdleMs":15000}}`

// Settings returns the settings of a deployment of one gateway with three classes and two plans.
func Settings(t testing.TB) settings.Settings {
	t.Helper()
	var s settings.Settings
	if err := json.Unmarshal([]byte(settingsJSON), &s); err != nil {
		t.Fatal(err)
	}
	return s
}

// ExtendDeadlines sets the objectives and deadlines of all classes to a time longer than any test waits.
func ExtendDeadlines(s *settings.Settings) {
	const extendedMS = 120_000
	for i := range s.Classes {
		s.Classes[i].AimMs, s.Classes[i].HardLimitMs = extendedMS, extendedMS
	}
}
