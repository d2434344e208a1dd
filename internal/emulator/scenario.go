package emulator

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written with a unit in scenario files, such as "1.5s" or "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit, such as 1.5s or 250ms", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// AsDuration returns d as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Scenario describes a deployment, its load and its faults. A scenario and a seed determine a virtual run completely.
type Scenario struct {
	Name        string    `toml:"name"`
	Description string    `toml:"description"`
	Length      Duration  `toml:"length"` // duration of the load; open requests are still completed after it
	Gateways    int       `toml:"gateways"`
	Zones       int       `toml:"zones"` // 0 means 1
	Endpoints   Endpoints `toml:"endpoints"`
	WarmUp      WarmUp    `toml:"warm_up"`
	Network     Network   `toml:"network"`
	Discovery   Discovery `toml:"discovery"`
	Meter       Meter     `toml:"meter"`
	Limits      Limits    `toml:"limits"`
	Classes     []Class   `toml:"classes"`
	Plans       []Plan    `toml:"plans"`
	Clients     Clients   `toml:"clients"`
	Faults      []Fault   `toml:"faults"`
}

// Endpoints describes the upstream servers.
type Endpoints struct {
	Count          int      `toml:"count"`
	Cores          int      `toml:"cores"`           // number of requests that run at full speed
	Slots          int      `toml:"slots"`           // maximum running requests; they share the cores
	WaitingRoom    int      `toml:"waiting_room"`    // maximum waiting requests; further ones are rejected
	SpeedSpread    float64  `toml:"speed_spread"`    // endpoint speeds are drawn from 1 - spread to 1 + spread
	MaxConnections int      `toml:"max_connections"` // limit over all gateways; further ones are refused
	IdleTimeout    Duration `toml:"idle_timeout"`    // idle time after which an endpoint closes a connection
	HandshakeDelay Duration `toml:"handshake_delay"` // delay that a new connection adds to its first request
	HandshakeWork  Duration `toml:"handshake_work"`  // core time that a new connection costs
	DrainGrace     Duration `toml:"drain_grace"`     // time in which gateways may still send after a drain notice
	LoadReports    bool     `toml:"load_reports"`    // responses carry the load of the endpoint
}

// WarmUp describes the slow start of an endpoint.
type WarmUp struct {
	InitialCapacity float64  `toml:"initial_capacity"` // share of its full capacity that an endpoint has at its start
	Duration        Duration `toml:"duration"`         // time until an endpoint reaches full capacity; 0: no slow start
	OverloadFactor  float64  `toml:"overload_factor"`  // multiple of its current capacity above which an endpoint fails
	OverloadWindow  Duration `toml:"overload_window"`  // time over which the work for OverloadFactor is added up
}

// Network describes the network between any two machines.
type Network struct {
	Delay       Duration `toml:"delay"`  // mean one-way delay
	Jitter      float64  `toml:"jitter"` // share of the delay that is random
	DialTimeout Duration `toml:"dial_timeout"`
	FrontDelay  Duration `toml:"front_delay"` // time until clients stop using a gateway that has died
}

// Discovery describes how gateways receive the endpoint list. DelayMin and DelayMax bound the delay of list changes.
type Discovery struct {
	Polled         bool     `toml:"polled"` // gateways poll the list; otherwise an agent holds it
	DelayMin       Duration `toml:"delay_min"`
	DelayMax       Duration `toml:"delay_max"`
	CallsPerSecond float64  `toml:"calls_per_second"` // capacity of a polled discovery; 0: unlimited
}

// Meter describes the usage readings that responses carry. DelayMin and DelayMax bound the time from the end of a
// period until its usage is known.
type Meter struct {
	Period   Duration `toml:"period"` // length of a metering period; 0: no meter
	DelayMin Duration `toml:"delay_min"`
	DelayMax Duration `toml:"delay_max"`
	Settled  bool     `toml:"settled"`   // requests state estimated units; the first good response corrects them
	GuessErr float64  `toml:"guess_err"` // relative standard deviation of the estimated units
}

// Limits holds the limits that the gateways must observe.
type Limits struct {
	Cancel          bool     `toml:"cancel"`            // gateways may cancel attempts
	MaxAttempts     int      `toml:"max_attempts"`      // maximum attempts per request
	MaxOpenRequests int      `toml:"max_open_requests"` // maximum open requests per gateway
	RetryAfter      bool     `toml:"retry_after"`       // clients receive the Retry-After of a rejection
	MaxRetryAfter   Duration `toml:"max_retry_after"`   // longest Retry-After that clients follow
}

// Class describes a class of requests.
type Class struct {
	Name        string   `toml:"name"`
	Share       float64  `toml:"share"`       // share of all requests
	Idempotency string   `toml:"idempotency"` // idempotent, deduplicated or at_most_once
	Scope       string   `toml:"scope"`       // endpoints that share idempotency keys: all, zone or cell
	KeyTTL      Duration `toml:"key_ttl"`     // time for which endpoints remember an idempotency key
	Objective   Duration `toml:"objective"`   // latency objective; a later answer counts as late
	Deadline    Duration `toml:"deadline"`    // time limit over all tries
	Value       float64  `toml:"value"`       // value of a unit
	Work        Duration `toml:"work"`        // mean core time per unit
	WorkSpread  float64  `toml:"work_spread"` // relative spread of the work around its mean
}

// Plan describes a quota contract.
type Plan struct {
	Name           string  `toml:"name"`
	Share          float64 `toml:"share"`            // share of the load inside quotas
	Rate           float64 `toml:"rate"`             // quota in units per second; 0: no quota on units
	Burst          float64 `toml:"burst"`            // quota burst in units
	CeilingRate    float64 `toml:"ceiling_rate"`     // ceiling in units per second over all gateways; 0: no ceiling
	CeilingBurst   float64 `toml:"ceiling_burst"`    // ceiling burst in units
	CeilingSlack   float64 `toml:"ceiling_slack"`    // units by which the ceiling may be exceeded
	MaxConcurrent  float64 `toml:"max_concurrent"`   // quota on attempts in flight; 0: no such quota
	Price          float64 `toml:"price"`            // price factor on the value of a request
	OverQuotaValue float64 `toml:"over_quota_value"` // share of its value that a request over the quota earns
	OverQuotaCost  float64 `toml:"over_quota_cost"`  // share of its value that a request over the quota costs
}

// Clients describes the customers and their request patterns. A customer uses at least two gateways if there are two.
type Clients struct {
	Load         float64  `toml:"load"`          // requested load inside quotas, as a share of endpoint capacity
	MaxUnits     int      `toml:"max_units"`     // maximum units of a request; the minimum is 1
	SetMin       float64  `toml:"set_min"`       // minimum share of the gateways that a customer uses
	SetMax       float64  `toml:"set_max"`       // maximum share of the gateways that a customer uses
	Skew         float64  `toml:"skew"`          // skew of a customer's requests over its gateways; 0: none
	ShiftEvery   Duration `toml:"shift_every"`   // interval at which a customer's busiest gateway changes
	CalmUse      float64  `toml:"calm_use"`      // mean share of their quota that calm customers use
	FullShare    float64  `toml:"full_share"`    // share of customers who use nearly all of their quota
	GreedyShare  float64  `toml:"greedy_share"`  // share of customers who constantly exceed their quota
	GreedyFactor float64  `toml:"greedy_factor"` // load of greedy customers as a multiple of their quota
	SpikyShare   float64  `toml:"spiky_share"`   // share of customers who exceed their quota in spikes
	SpikeFactor  float64  `toml:"spike_factor"`  // load in a spike as a multiple of the quota
	SpikeLength  Duration `toml:"spike_length"`
	SpikeEvery   Duration `toml:"spike_every"`  // mean time from the start of a spike to the next
	BurstFactor  float64  `toml:"burst_factor"` // load of all customers in the burst, times the usual load
	BurstAt      Duration `toml:"burst_at"`     // start of the burst, from the start of the load
	BurstLength  Duration `toml:"burst_length"`
	Retries      int      `toml:"retries"`     // maximum retries by a client after a rejection or a retryable failure
	RetryDelay   Duration `toml:"retry_delay"` // mean delay of the first retry; it doubles each time
	Patience     float64  `toml:"patience"`    // minimum share of the deadline spent on one try
	Abandon      float64  `toml:"abandon"`     // share of requests whose clients disconnect early
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of fault. Fault.Share selects the affected gateways or endpoints. The meaning of Fault.Factor depends on
// the kind.
const (
	FaultKillGateways    FaultKind = "kill_gateways"     // kill gateways and start them again after Length
	FaultRestartGateways FaultKind = "restart_gateways"  // shut gateways down gracefully, one tenth of them after another
	FaultDrainEndpoints  FaultKind = "drain_endpoints"   // drain endpoints from At to At + Length, then stop them
	FaultReplace         FaultKind = "replace_endpoints" // start replacements, then drain and stop the old ones
	FaultStopEndpoints   FaultKind = "stop_endpoints"    // crash endpoints; they start again after Length and warm up
	FaultSlowEndpoints   FaultKind = "slow_endpoints"    // slow endpoints down by Factor
	FaultFailEndpoints   FaultKind = "fail_endpoints"    // answer a share Factor of the requests with errors
	FaultSilentEndpoints FaultKind = "silent_endpoints"  // endpoints accept requests and never answer
	FaultPartition       FaultKind = "partition"         // cut off a zone or a share of the endpoints
	FaultDiscoveryDown   FaultKind = "discovery_down"    // discovery is unreachable
	FaultWatchSilence    FaultKind = "watch_silence"     // open watches deliver no further updates
	FaultDiscoveryMoves  FaultKind = "discovery_moves"   // discovery moves to another address
	FaultLateLists       FaultKind = "late_lists"        // list updates take Factor times as long
	FaultResets          FaultKind = "resets"            // reset a share Factor of the attempts after sending
	FaultSpoiltAnswers   FaultKind = "spoilt_answers"    // a share Factor of the answers is corrupted
	FaultMeterSilence    FaultKind = "meter_silence"     // responses carry no usage readings
)

// Fault is an entry of the fault schedule.
type Fault struct {
	Kind   FaultKind `toml:"kind"`
	At     Duration  `toml:"at"` // start of the fault, from the start of the load
	Length Duration  `toml:"length"`
	Share  float64   `toml:"share"`  // share of the gateways or endpoints that the fault affects
	Factor float64   `toml:"factor"` // slowdown or share, depending on Kind
	Zone   int       `toml:"zone"`   // number of the affected zone, from 1; 0: Share selects the targets
}
