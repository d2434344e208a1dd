package emulator

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that scenario files write as "1.5s" or "250ms".
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

// AsDuration returns the time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// Scenario describes a deployment, its load and its faults. Together with a seed it determines a virtual run.
type Scenario struct {
	Name        string    `toml:"name"`
	Description string    `toml:"description"`
	Length      Duration  `toml:"length"` // of the load; what is open then is still answered
	Gateways    int       `toml:"gateways"`
	Zones       int       `toml:"zones"` // 0 counts as 1
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
	Cores          int      `toml:"cores"`           // requests that are worked on at full speed
	Slots          int      `toml:"slots"`           // requests in work; beyond the cores they share them
	WaitingRoom    int      `toml:"waiting_room"`    // requests that wait; beyond these an endpoint rejects
	SpeedSpread    float64  `toml:"speed_spread"`    // speeds are drawn from 1 - spread to 1 + spread
	MaxConnections int      `toml:"max_connections"` // from all gateways; beyond these a connection is refused
	IdleTimeout    Duration `toml:"idle_timeout"`    // an idle connection is closed after this
	HandshakeDelay Duration `toml:"handshake_delay"` // that a new connection costs its first request
	HandshakeWork  Duration `toml:"handshake_work"`  // that a new connection costs a core
	DrainGrace     Duration `toml:"drain_grace"`     // nothing may be sent so long after a drain was notified
	LoadReports    bool     `toml:"load_reports"`
}

// WarmUp describes the slow start of an endpoint.
type WarmUp struct {
	InitialCapacity float64  `toml:"initial_capacity"` // share of its capacity at which an endpoint starts
	Duration        Duration `toml:"duration"`         // until it has all of it; 0: no slow start
	OverloadFactor  float64  `toml:"overload_factor"`  // it fails when it gets more than this multiple of its capacity
	OverloadWindow  Duration `toml:"overload_window"`  // for this long
}

// Network describes the way between any two machines.
type Network struct {
	Delay       Duration `toml:"delay"`  // one way, the mean
	Jitter      float64  `toml:"jitter"` // part of the delay that is random
	DialTimeout Duration `toml:"dial_timeout"`
	FrontDelay  Duration `toml:"front_delay"` // until clients notice that a gateway has died
}

// Discovery describes how gateways learn of the endpoints.
type Discovery struct {
	Polled         bool     `toml:"polled"` // lists must be asked for; otherwise an agent holds them
	DelayMin       Duration `toml:"delay_min"`
	DelayMax       Duration `toml:"delay_max"`
	CallsPerSecond float64  `toml:"calls_per_second"` // that a polled discovery serves; 0: unlimited
}

// Meter describes the usage that responses carry.
type Meter struct {
	Period   Duration `toml:"period"` // 0: there is no meter
	DelayMin Duration `toml:"delay_min"`
	DelayMax Duration `toml:"delay_max"`
	Settled  bool     `toml:"settled"`   // units are a guess until the first good response
	GuessErr float64  `toml:"guess_err"` // relative standard deviation of the guess
}

// Limits are bounds that the gateways keep.
type Limits struct {
	Cancel          bool     `toml:"cancel"`
	MaxAttempts     int      `toml:"max_attempts"`
	MaxOpenRequests int      `toml:"max_open_requests"`
	RetryAfter      bool     `toml:"retry_after"`
	MaxRetryAfter   Duration `toml:"max_retry_after"`
}

// Class describes a class of requests.
type Class struct {
	Name        string   `toml:"name"`
	Share       float64  `toml:"share"`       // of the requests
	Idempotency string   `toml:"idempotency"` // idempotent, deduplicated or at_most_once
	Scope       string   `toml:"scope"`       // of idempotency keys: all, zone or cell
	KeyTTL      Duration `toml:"key_ttl"`
	Objective   Duration `toml:"objective"`
	Deadline    Duration `toml:"deadline"` // over all tries of a client
	Value       float64  `toml:"value"`    // of a unit
	Work        Duration `toml:"work"`     // of a unit on a core, the mean
	WorkSpread  float64  `toml:"work_spread"`
}

// Plan describes a quota contract.
type Plan struct {
	Name           string  `toml:"name"`
	Share          float64 `toml:"share"` // of the use inside quotas
	Rate           float64 `toml:"rate"`  // units a second
	Burst          float64 `toml:"burst"` // units
	CeilingRate    float64 `toml:"ceiling_rate"`
	CeilingBurst   float64 `toml:"ceiling_burst"`
	CeilingSlack   float64 `toml:"ceiling_slack"`
	MaxConcurrent  float64 `toml:"max_concurrent"`
	Price          float64 `toml:"price"`
	OverQuotaValue float64 `toml:"over_quota_value"`
	OverQuotaCost  float64 `toml:"over_quota_cost"`
}

// Clients describes the customers and how they send.
type Clients struct {
	Load         float64  `toml:"load"`      // requested inside quotas, as a share of what the endpoints can do
	MaxUnits     int      `toml:"max_units"` // units of a request are drawn from 1 to this
	SetMin       float64  `toml:"set_min"`   // share of the gateways that carry a customer, at least two gateways
	SetMax       float64  `toml:"set_max"`
	Skew         float64  `toml:"skew"`        // how unevenly a customer's requests are spread over them; 0: evenly
	ShiftEvery   Duration `toml:"shift_every"` // after which the busiest ones change
	CalmUse      float64  `toml:"calm_use"`    // of the quota, by most customers
	FullShare    float64  `toml:"full_share"`  // of the customers, who use nearly all of the quota
	GreedyShare  float64  `toml:"greedy_share"`
	GreedyFactor float64  `toml:"greedy_factor"` // times their quota that greedy customers request all the time
	SpikyShare   float64  `toml:"spiky_share"`
	SpikeFactor  float64  `toml:"spike_factor"`
	SpikeLength  Duration `toml:"spike_length"`
	SpikeEvery   Duration `toml:"spike_every"`
	BurstFactor  float64  `toml:"burst_factor"` // times the usual load, of all customers
	BurstAt      Duration `toml:"burst_at"`
	BurstLength  Duration `toml:"burst_length"`
	Retries      int      `toml:"retries"` // of a client after a rejection or a failure that allows it
	RetryDelay   Duration `toml:"retry_delay"`
	Patience     float64  `toml:"patience"` // share of the deadline that a client waits for one try, at least
	Abandon      float64  `toml:"abandon"`  // share of the requests whose clients disconnect early
}

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of fault. Share selects gateways or endpoints, Factor is how much slower they are.
const (
	FaultKillGateways    FaultKind = "kill_gateways"    // killed, and started again after Length
	FaultRestartGateways FaultKind = "restart_gateways" // shut down gracefully one tenth after another
	FaultDrainEndpoints  FaultKind = "drain_endpoints"  // drain from At to At + Length, then stop
	FaultReplace         FaultKind = "replace_endpoints"
	FaultStopEndpoints   FaultKind = "stop_endpoints" // crash, and start again after Length, warming up
	FaultSlowEndpoints   FaultKind = "slow_endpoints"
	FaultFailEndpoints   FaultKind = "fail_endpoints"   // answer a share Factor of the requests with errors
	FaultSilentEndpoints FaultKind = "silent_endpoints" // take requests and never answer
	FaultPartition       FaultKind = "partition"        // a zone, or a share of the endpoints, is cut off
	FaultDiscoveryDown   FaultKind = "discovery_down"
	FaultWatchSilence    FaultKind = "watch_silence" // open watches bring nothing any more
	FaultDiscoveryMoves  FaultKind = "discovery_moves"
	FaultLateLists       FaultKind = "late_lists" // updates are Factor times as late
	FaultResets          FaultKind = "resets"     // a share Factor of the attempts is reset after it was sent
	FaultSpoiltAnswers   FaultKind = "spoilt_answers"
	FaultMeterSilence    FaultKind = "meter_silence"
)

// Fault is one entry of the fault schedule.
type Fault struct {
	Kind   FaultKind `toml:"kind"`
	At     Duration  `toml:"at"` // from the begin of the load
	Length Duration  `toml:"length"`
	Share  float64   `toml:"share"`
	Factor float64   `toml:"factor"`
	Zone   int       `toml:"zone"` // 1 and up; 0: by share
}
