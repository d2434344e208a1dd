package model

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"springfield/internal/emulator"
)

// Upper bounds on the values of a scenario. They bound the time and memory that a run needs.
const (
	maxLoad             = 100       // load within the quotas, as a multiple of the capacity of all endpoints
	maxCount            = 1_000_000 // counts without a bound of their own, such as cores and connections
	maxRetries          = 20
	maxZones            = 1000
	maxGateways         = 100_000
	maxEndpoints        = 1_000_000
	maxFactor           = 1e6  // factors, such as a slowdown
	maxQuantity         = 1e12 // other numbers, such as rates, bursts and values
	maxSkew             = 10
	maxCustomers        = 2_000_000
	maxScenarioDuration = 24 * time.Hour // every duration in a scenario
)

// shareTolerance allows for rounding errors in sums of shares.
const shareTolerance = 1e-9

// ScenarioError describes one invalid value of a scenario.
type ScenarioError struct {
	Path   string // TOML key of the value, such as plans[1].rate; entries are counted from 0
	Reason string
}

// Error returns the path and the reason.
func (e *ScenarioError) Error() string { return e.Path + ": " + e.Reason }

// Validate returns all errors of a scenario: nil, or joined errors of type *ScenarioError.
func Validate(scenario *emulator.Scenario) error {
	var v validator
	v.requireDuration("length", scenario.Length, time.Millisecond, maxScenarioDuration)
	v.requireCount("gateways", scenario.Gateways, 1, maxGateways)
	v.requireCount("zones", scenario.Zones, 0, maxZones)
	v.endpoints(&scenario.Endpoints)
	v.warmUp(&scenario.WarmUp)
	v.network(&scenario.Network)
	v.discovery(&scenario.Discovery)
	v.meter(&scenario.Meter)
	v.limits(&scenario.Limits)
	v.classes(scenario.Classes)
	v.plans(scenario.Plans, scenario.Clients.MaxUnits)
	v.clients(&scenario.Clients)
	v.faults(scenario)
	if len(v.errs) == 0 {
		v.customers(scenario) // the number of customers can be computed from valid values only
	}
	return errors.Join(v.errs...)
}

// validator collects the errors of a scenario.
type validator struct{ errs []error }

// require records an error at a path unless ok is true.
func (v *validator) require(ok bool, path, reason string, arguments ...any) {
	if !ok {
		v.errs = append(v.errs, &ScenarioError{Path: path, Reason: fmt.Sprintf(reason, arguments...)})
	}
}

// requireRange requires a number from minimum to maximum. NaN is outside of any range.
func (v *validator) requireRange(path string, value, minimum, maximum float64) {
	v.require(value >= minimum && value <= maximum, path, "is %v; want %v to %v", value, minimum, maximum)
}

// requirePositive requires a number above 0 and up to maximum.
func (v *validator) requirePositive(path string, value, maximum float64) {
	v.require(value > 0 && value <= maximum, path, "is %v; want more than 0 and at most %v", value, maximum)
}

// requireCount requires an integer from minimum to maximum.
func (v *validator) requireCount(path string, value, minimum, maximum int) {
	v.require(value >= minimum && value <= maximum, path, "is %d; want %d to %d", value, minimum, maximum)
}

// requireDuration requires a duration from minimum to maximum.
func (v *validator) requireDuration(path string, value emulator.Duration, minimum, maximum time.Duration) {
	v.require(value.AsDuration() >= minimum && value.AsDuration() <= maximum,
		path, "is %v; want %v to %v", value.AsDuration(), minimum, maximum)
}

// requireNonNegativeDuration requires a duration from 0 to maxScenarioDuration.
func (v *validator) requireNonNegativeDuration(path string, value emulator.Duration) {
	v.requireDuration(path, value, 0, maxScenarioDuration)
}

// requireOneOf requires one of the allowed values.
func (v *validator) requireOneOf(path, value string, allowed ...string) {
	v.require(slices.Contains(allowed, value), path, "is %q; want one of %s", value, strings.Join(allowed, ", "))
}

func (v *validator) endpoints(endpoints *emulator.Endpoints) {
	v.requireCount("endpoints.count", endpoints.Count, 1, maxEndpoints)
	v.requireCount("endpoints.cores", endpoints.Cores, 1, maxCount)
	v.requireCount("endpoints.slots", endpoints.Slots, max(1, endpoints.Cores), maxCount)
	v.requireCount("endpoints.waiting_room", endpoints.WaitingRoom, 0, maxCount)
	v.require(endpoints.SpeedSpread >= 0 && endpoints.SpeedSpread < 1,
		"endpoints.speed_spread", "is %v; want at least 0 and less than 1", endpoints.SpeedSpread)
	v.requireCount("endpoints.max_connections", endpoints.MaxConnections, 1, maxCount)
	v.requireDuration("endpoints.idle_timeout", endpoints.IdleTimeout, time.Millisecond, maxScenarioDuration)
	v.requireNonNegativeDuration("endpoints.handshake_delay", endpoints.HandshakeDelay)
	v.requireNonNegativeDuration("endpoints.handshake_work", endpoints.HandshakeWork)
	v.requireNonNegativeDuration("endpoints.drain_grace", endpoints.DrainGrace)
}

func (v *validator) warmUp(warmUp *emulator.WarmUp) {
	v.requireNonNegativeDuration("warm_up.duration", warmUp.Duration)
	if warmUp.Duration == 0 {
		return // a duration of 0 turns the slow start off, and the other keys have no effect
	}
	v.requirePositive("warm_up.initial_capacity", warmUp.InitialCapacity, 1)
	v.requireRange("warm_up.overload_factor", warmUp.OverloadFactor, 1, maxFactor)
	v.requireDuration("warm_up.overload_window", warmUp.OverloadWindow, time.Millisecond, maxScenarioDuration)
}

func (v *validator) network(network *emulator.Network) {
	v.requireNonNegativeDuration("network.delay", network.Delay)
	v.requireRange("network.jitter", network.Jitter, 0, 1)
	v.requireDuration("network.dial_timeout", network.DialTimeout, time.Millisecond, maxScenarioDuration)
	v.requireNonNegativeDuration("network.front_delay", network.FrontDelay)
}

func (v *validator) discovery(discovery *emulator.Discovery) {
	v.requireDelayRange("discovery", discovery.DelayMin, discovery.DelayMax)
	v.requireRange("discovery.calls_per_second", discovery.CallsPerSecond, 0, maxQuantity)
}

func (v *validator) meter(meter *emulator.Meter) {
	v.requireNonNegativeDuration("meter.period", meter.Period)
	v.requireDelayRange("meter", meter.DelayMin, meter.DelayMax)
	v.requireRange("meter.guess_err", meter.GuessErr, 0, maxFactor)
}

// requireDelayRange requires a valid range of delays at the keys delay_min and delay_max of a table.
func (v *validator) requireDelayRange(table string, minimum, maximum emulator.Duration) {
	v.requireNonNegativeDuration(table+".delay_min", minimum)
	v.requireNonNegativeDuration(table+".delay_max", maximum)
	v.require(maximum >= minimum, table+".delay_max",
		"is %v; want at least delay_min, %v", maximum.AsDuration(), minimum.AsDuration())
}

func (v *validator) limits(limits *emulator.Limits) {
	v.requireCount("limits.max_attempts", limits.MaxAttempts, 0, maxCount)
	v.requireCount("limits.max_open_requests", limits.MaxOpenRequests, 0, maxCount)
	v.requireNonNegativeDuration("limits.max_retry_after", limits.MaxRetryAfter)
}

func (v *validator) classes(classes []emulator.Class) {
	v.require(len(classes) > 0, "classes", "are missing; want at least one")
	shares := 0.0
	names := make(map[string]bool, len(classes))
	for i := range classes {
		class, path := &classes[i], fmt.Sprintf("classes[%d]", i)
		shares += class.Share
		v.name(path, class.Name, names)
		v.requireRange(path+".share", class.Share, 0, maxQuantity)
		v.idempotency(path, class)
		v.requireDuration(path+".objective", class.Objective, time.Millisecond, maxScenarioDuration)
		v.requireDuration(path+".deadline", class.Deadline,
			max(time.Millisecond, class.Objective.AsDuration()), maxScenarioDuration)
		v.requireRange(path+".value", class.Value, 0, maxQuantity)
		v.requireDuration(path+".work", class.Work, time.Microsecond, maxScenarioDuration)
		v.requireRange(path+".work_spread", class.WorkSpread, 0, 1)
	}
	v.require(len(classes) == 0 || shares > 0, "classes", "have shares that add up to %v; want more than 0", shares)
}

// idempotency requires a known kind of idempotency and, for requests with an idempotency key, a scope and a TTL of the
// key.
func (v *validator) idempotency(path string, class *emulator.Class) {
	v.requireOneOf(path+".idempotency", class.Idempotency, idempotencyRepeatable, idempotencyByKey, idempotencyNever)
	if class.Idempotency == idempotencyByKey {
		v.requireOneOf(path+".scope", class.Scope, scopeAll, scopeZone, scopeCell)
		v.requireDuration(path+".key_ttl", class.KeyTTL, time.Millisecond, maxScenarioDuration)
		return
	}
	v.requireOneOf(path+".scope", class.Scope, "", scopeAll, scopeZone, scopeCell)
	v.requireNonNegativeDuration(path+".key_ttl", class.KeyTTL)
}

// name requires a name that can be part of a URL path and a header, and that no earlier entry uses.
func (v *validator) name(path, name string, seen map[string]bool) {
	valid := name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		return !letter && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
	})
	v.require(valid, path+".name", "is %q; want letters, digits, '-', '_' and '.'", name)
	v.require(!seen[name], path+".name", "is %q, which an earlier entry uses already", name)
	seen[name] = true
}

func (v *validator) plans(plans []emulator.Plan, maxUnits int) {
	v.require(len(plans) > 0, "plans", "are missing; want at least one")
	shares := 0.0
	names := make(map[string]bool, len(plans))
	for i := range plans {
		plan, path := &plans[i], fmt.Sprintf("plans[%d]", i)
		shares += plan.Share
		v.name(path, plan.Name, names)
		v.requireRange(path+".share", plan.Share, 0, maxQuantity)
		v.quotas(path, plan, float64(maxUnits))
		v.requireRange(path+".price", plan.Price, 0, maxQuantity)
		v.requireRange(path+".over_quota_value", plan.OverQuotaValue, 0, maxFactor)
		v.requireRange(path+".over_quota_cost", plan.OverQuotaCost, 0, maxFactor)
	}
	v.require(len(plans) == 0 || shares > 0, "plans", "have shares that add up to %v; want more than 0", shares)
}

// quotas requires token buckets that hold at least one request of the largest size.
func (v *validator) quotas(path string, plan *emulator.Plan, maxUnits float64) {
	v.requireRange(path+".rate", plan.Rate, 0, maxQuantity)
	v.requireRange(path+".max_concurrent", plan.MaxConcurrent, 0, maxQuantity)
	v.require(plan.Rate > 0 || plan.MaxConcurrent > 0, path+".rate", "is 0 and max_concurrent is 0; want a quota")
	if plan.Rate > 0 {
		v.requireRange(path+".burst", plan.Burst, maxUnits, maxQuantity)
	}
	v.requireRange(path+".ceiling_rate", plan.CeilingRate, 0, maxQuantity)
	v.requireRange(path+".ceiling_slack", plan.CeilingSlack, 0, maxQuantity)
	if plan.CeilingRate > 0 {
		v.requireRange(path+".ceiling_burst", plan.CeilingBurst, maxUnits, maxQuantity)
	}
}
