package model

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"springfield/internal/emulator"
)

// Bounds that keep a scenario's run within reason.
const (
	mostLoad        = 100
	mostUnits       = 1_000_000
	mostRetries     = 20
	mostZones       = 1000
	mostGateways    = 100_000
	mostEndpoints   = 1_000_000
	mostFactor      = 1e6
	mostQuota       = 1e12
	mostSkew        = 10
	mostCustomers   = 2_000_000
	longestScenario = 24 * time.Hour
)

// shareTolerance allows for rounding in sums of shares.
const shareTolerance = 1e-9

// ScenarioError is one thing that is wrong with a scenario.
type ScenarioError struct {
	Path   string // of the TOML key, such as plans[1].rate; entries are counted from 0
	Reason string
}

// Error implements error.
func (e *ScenarioError) Error() string { return e.Path + ": " + e.Reason }

// Validate returns everything that is wrong with a scenario: nil, or joined errors of type *ScenarioError.
func Validate(scenario *emulator.Scenario) error {
	var v validator
	v.duration("length", scenario.Length, time.Millisecond, longestScenario)
	v.count("gateways", scenario.Gateways, 1, mostGateways)
	v.count("zones", scenario.Zones, 0, mostZones)
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
		v.customers(scenario) // can be reckoned for sound values alone
	}
	return errors.Join(v.errs...)
}

// validator collects what is wrong.
type validator struct{ errs []error }

func (v *validator) require(ok bool, path, reason string, arguments ...any) {
	if !ok {
		v.errs = append(v.errs, &ScenarioError{Path: path, Reason: fmt.Sprintf(reason, arguments...)})
	}
}

// number wants a number from least to most. It is no number if it is NaN.
func (v *validator) number(path string, value, least, most float64) {
	v.require(value >= least && value <= most, path, "is %v; want %v to %v", value, least, most)
}

// positive wants a number above 0.
func (v *validator) positive(path string, value, most float64) {
	v.require(value > 0 && value <= most, path, "is %v; want more than 0 and at most %v", value, most)
}

func (v *validator) count(path string, value, least, most int) {
	v.require(value >= least && value <= most, path, "is %d; want %d to %d", value, least, most)
}

func (v *validator) duration(path string, value emulator.Duration, least, most time.Duration) {
	v.require(value.AsDuration() >= least && value.AsDuration() <= most, path,
		"is %v; want %v to %v", value.AsDuration(), least, most)
}

// anyDuration wants a duration that is not negative.
func (v *validator) anyDuration(path string, value emulator.Duration) {
	v.duration(path, value, 0, longestScenario)
}

func (v *validator) oneOf(path, value string, allowed ...string) {
	v.require(slices.Contains(allowed, value), path, "is %q; want one of %s", value, strings.Join(allowed, ", "))
}

func (v *validator) endpoints(endpoints *emulator.Endpoints) {
	v.count("endpoints.count", endpoints.Count, 1, mostEndpoints)
	v.count("endpoints.cores", endpoints.Cores, 1, mostUnits)
	v.count("endpoints.slots", endpoints.Slots, max(1, endpoints.Cores), mostUnits)
	v.count("endpoints.waiting_room", endpoints.WaitingRoom, 0, mostUnits)
	v.require(endpoints.SpeedSpread >= 0 && endpoints.SpeedSpread < 1,
		"endpoints.speed_spread", "is %v; want at least 0 and less than 1", endpoints.SpeedSpread)
	v.count("endpoints.max_connections", endpoints.MaxConnections, 1, mostUnits)
	v.duration("endpoints.idle_timeout", endpoints.IdleTimeout, time.Millisecond, longestScenario)
	v.anyDuration("endpoints.handshake_delay", endpoints.HandshakeDelay)
	v.anyDuration("endpoints.handshake_work", endpoints.HandshakeWork)
	v.anyDuration("endpoints.drain_grace", endpoints.DrainGrace)
}

func (v *validator) warmUp(warmUp *emulator.WarmUp) {
	v.anyDuration("warm_up.duration", warmUp.Duration)
	if warmUp.Duration == 0 {
		return // there is no slow start, whatever the other keys say
	}
	v.positive("warm_up.initial_capacity", warmUp.InitialCapacity, 1)
	v.number("warm_up.overload_factor", warmUp.OverloadFactor, 1, mostFactor)
	v.duration("warm_up.overload_window", warmUp.OverloadWindow, time.Millisecond, longestScenario)
}

func (v *validator) network(network *emulator.Network) {
	v.anyDuration("network.delay", network.Delay)
	v.number("network.jitter", network.Jitter, 0, 1)
	v.duration("network.dial_timeout", network.DialTimeout, time.Millisecond, longestScenario)
	v.anyDuration("network.front_delay", network.FrontDelay)
}

func (v *validator) discovery(discovery *emulator.Discovery) {
	v.delays("discovery", discovery.DelayMin, discovery.DelayMax)
	v.number("discovery.calls_per_second", discovery.CallsPerSecond, 0, mostQuota)
}

func (v *validator) meter(meter *emulator.Meter) {
	v.anyDuration("meter.period", meter.Period)
	v.delays("meter", meter.DelayMin, meter.DelayMax)
	v.number("meter.guess_err", meter.GuessErr, 0, mostFactor)
}

// delays wants a range of delays at the keys delay_min and delay_max of a table.
func (v *validator) delays(table string, least, most emulator.Duration) {
	v.anyDuration(table+".delay_min", least)
	v.anyDuration(table+".delay_max", most)
	v.require(most >= least, table+".delay_max",
		"is %v; want at least delay_min, %v", most.AsDuration(), least.AsDuration())
}

func (v *validator) limits(limits *emulator.Limits) {
	v.count("limits.max_attempts", limits.MaxAttempts, 0, mostUnits)
	v.count("limits.max_open_requests", limits.MaxOpenRequests, 0, mostUnits)
	v.anyDuration("limits.max_retry_after", limits.MaxRetryAfter)
}

func (v *validator) classes(classes []emulator.Class) {
	v.require(len(classes) > 0, "classes", "are missing; want at least one")
	shares := 0.0
	names := make(map[string]bool, len(classes))
	for i := range classes {
		class, path := &classes[i], fmt.Sprintf("classes[%d]", i)
		shares += class.Share
		v.name(path, class.Name, names)
		v.number(path+".share", class.Share, 0, mostQuota)
		v.idempotency(path, class)
		v.duration(path+".objective", class.Objective, time.Millisecond, longestScenario)
		v.duration(path+".deadline", class.Deadline, max(time.Millisecond, class.Objective.AsDuration()), longestScenario)
		v.number(path+".value", class.Value, 0, mostQuota)
		v.duration(path+".work", class.Work, time.Microsecond, longestScenario)
		v.number(path+".work_spread", class.WorkSpread, 0, 1)
	}
	v.require(len(classes) == 0 || shares > 0, "classes", "have shares that add up to %v; want more than 0", shares)
}

func (v *validator) idempotency(path string, class *emulator.Class) {
	v.oneOf(path+".idempotency", class.Idempotency, idempotencyRepeatable, idempotencyByKey, idempotencyNever)
	if class.Idempotency == idempotencyByKey {
		v.oneOf(path+".scope", class.Scope, scopeAll, scopeZone, scopeCell)
		v.duration(path+".key_ttl", class.KeyTTL, time.Millisecond, longestScenario)
		return
	}
	v.oneOf(path+".scope", class.Scope, "", scopeAll, scopeZone, scopeCell)
	v.anyDuration(path+".key_ttl", class.KeyTTL)
}

// name wants a name that can be part of a path and a header, and that no entry before has.
func (v *validator) name(path, name string, seen map[string]bool) {
	valid := name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		return !letter && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
	})
	v.require(valid, path+".name", "is %q; want letters, digits, '-', '_' and '.'", name)
	v.require(!seen[name], path+".name", "is %q, as of an entry before", name)
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
		v.number(path+".share", plan.Share, 0, mostQuota)
		v.quotas(path, plan, float64(maxUnits))
		v.number(path+".price", plan.Price, 0, mostQuota)
		v.number(path+".over_quota_value", plan.OverQuotaValue, 0, mostFactor)
		v.number(path+".over_quota_cost", plan.OverQuotaCost, 0, mostFactor)
	}
	v.require(len(plans) == 0 || shares > 0, "plans", "have shares that add up to %v; want more than 0", shares)
}

// quotas wants token buckets that hold at least one of the largest requests.
func (v *validator) quotas(path string, plan *emulator.Plan, maxUnits float64) {
	v.number(path+".rate", plan.Rate, 0, mostQuota)
	v.number(path+".max_concurrent", plan.MaxConcurrent, 0, mostQuota)
	v.require(plan.Rate > 0 || plan.MaxConcurrent > 0, path+".rate", "is 0, and so is max_concurrent; want a quota")
	if plan.Rate > 0 {
		v.number(path+".burst", plan.Burst, maxUnits, mostQuota)
	}
	v.number(path+".ceiling_rate", plan.CeilingRate, 0, mostQuota)
	v.number(path+".ceiling_slack", plan.CeilingSlack, 0, mostQuota)
	if plan.CeilingRate > 0 {
		v.number(path+".ceiling_burst", plan.CeilingBurst, maxUnits, mostQuota)
	}
}
