package model

import (
	"fmt"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/settings"
)

// AnswerGrace is how long after its deadline a request may still get its final answer. A request without an answer by
// then counts as lost.
const AnswerGrace = 500 * time.Millisecond

// maxPollInterval is the longest allowed time between two polls of a polled endpoint list. A gateway that has not
// polled for this long counts as notified of everything that was listed before.
const maxPollInterval = 10 * time.Second

// settingsGranularity is the shortest time between two batches of events of the simulator. Gateways ignore this
// setting.
const settingsGranularity = time.Millisecond

// Zones returns the number of zones of a scenario, at least one.
func Zones(scenario *emulator.Scenario) int { return max(1, scenario.Zones) }

// ZoneOf returns the zone, counted from 0, of the gateway or endpoint with the given number. Numbers are assigned to
// the zones round robin.
func ZoneOf(scenario *emulator.Scenario, number int) int { return number % Zones(scenario) }

// ZoneName returns the name of a zone in the endpoint list and in the settings.
func ZoneName(zone int) string { return fmt.Sprintf("zone-%d", zone+1) }

// Settings returns the settings of one gateway of the deployment.
func Settings(scenario *emulator.Scenario, gateway int) settings.Settings {
	configured := settings.Settings{
		Balancers:     scenario.Gateways,
		MyNumber:      gateway,
		Locality:      ZoneOf(scenario, gateway),
		Discovery:     settings.DiscoveryPushed,
		GranularityMs: milliseconds(settingsGranularity),
		Extra: settings.Extra{
			UsePeriodMs: milliseconds(scenario.Meter.Period.AsDuration()),
			MostUnits:   float64(scenario.Clients.MaxUnits),
			TruedUp:     scenario.Meter.Settled,
		},
		Limits: limitSettings(scenario),
		Report: reportSettings(scenario),
		Safety: safetySettings(scenario),
	}
	if scenario.Discovery.Polled {
		configured.Discovery = settings.DiscoveryPolled
	}
	for zone := range Zones(scenario) {
		configured.Zones = append(configured.Zones, ZoneName(zone))
	}
	for _, class := range scenario.Classes {
		configured.Classes = append(configured.Classes, classSettings(class))
	}
	for _, plan := range scenario.Plans {
		configured.Contracts = append(configured.Contracts, planSettings(plan))
	}
	return configured
}

func classSettings(class emulator.Class) settings.Class {
	if class.Scope == "" {
		class.Scope = scopeAll
	}
	return settings.Class{
		Name:        class.Name,
		AimMs:       milliseconds(class.Objective.AsDuration()),
		HardLimitMs: milliseconds(class.Deadline.AsDuration()),
		Value:       class.Value,
		Repeat:      class.Idempotency,
		Group:       class.Scope,
		KeyTTLMs:    milliseconds(class.KeyTTL.AsDuration()),
	}
}

func planSettings(plan emulator.Plan) settings.Plan {
	return settings.Plan{
		Name:         plan.Name,
		UnitsPerS:    plan.Rate,
		Burst:        plan.Burst,
		AtOnce:       plan.MaxConcurrent,
		HardRate:     plan.CeilingRate,
		CeilingBurst: plan.CeilingBurst,
		Tolerance:    plan.CeilingSlack,
		Pays:         plan.Price,
		OverWorth:    plan.OverQuotaValue,
		OverCost:     plan.OverQuotaCost,
	}
}

func limitSettings(scenario *emulator.Scenario) settings.Limits {
	return settings.Limits{
		Cancel:          scenario.Limits.Cancel,
		RetryAfter:      scenario.Limits.RetryAfter,
		MaxRetryAfterMs: milliseconds(scenario.Limits.MaxRetryAfter.AsDuration()),
		ConnIdleMs:      milliseconds(scenario.Endpoints.IdleTimeout.AsDuration()),
		DialTimeoutMs:   milliseconds(scenario.Network.DialTimeout.AsDuration()),
		MostHeld:        scenario.Limits.MaxOpenRequests,
		SendCap:         scenario.Limits.MaxAttempts,
	}
}

func reportSettings(scenario *emulator.Scenario) settings.Report {
	if !scenario.Endpoints.LoadReports {
		return settings.Report{How: "off"}
	}
	return settings.Report{Columns: []string{"inflight", "queue", "util"}, How: "inline"}
}

func safetySettings(scenario *emulator.Scenario) settings.Safety {
	return settings.Safety{
		AskWithinMs:     milliseconds(maxPollInterval),
		DrainGraceMs:    milliseconds(scenario.Endpoints.DrainGrace.AsDuration()),
		GraceToAnswerMs: milliseconds(AnswerGrace),
		ColdFrom:        scenario.WarmUp.InitialCapacity,
		WarmWithinMs:    milliseconds(scenario.WarmUp.Duration.AsDuration()),
		FallMultiple:    scenario.WarmUp.OverloadFactor,
		FallMs:          milliseconds(scenario.WarmUp.OverloadWindow.AsDuration()),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
