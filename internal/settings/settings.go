// Package settings holds the settings of a deployment and translates them for the policy. The gateway and the
// simulator's adapter share it, so that both configure the policy alike.
package settings

// Settings is the settings object of a deployment, as the gateway's configuration file and the simulator's start
// event carry it. The fields have the names of the JSON keys; keys without a field are ignored.
type Settings struct {
	Balancers     int      // number of gateways
	MyNumber      int      // index of this gateway among them, from 0
	Locality      int      // zone of this gateway, an index in Zones
	Zones         []string // names of the zones
	Classes       []Class
	Contracts     []Plan
	Discovery     string  // DiscoveryPushed or DiscoveryPolled
	GranularityMs float64 // shortest time between two batches of the simulator, in milliseconds
	Extra         Extra
	Limits        Limits
	Report        Report
	Safety        Safety
}

// The values of Settings.Discovery.
const (
	DiscoveryPushed = "pushed"     // changes of the endpoint list arrive unasked
	DiscoveryPolled = "on_request" // changes arrive only in reply to a request
)

// Class describes a class of requests.
type Class struct {
	Name        string
	AimMs       float64 // latency objective, in milliseconds: a faster answer earns the full value
	HardLimitMs float64 // time that a client waits in all, over its retries, in milliseconds
	Value       float64 // priority weight of a request
	LateValue   float64 // share of Value that an answer earns between the objective and the deadline
	Repeat      string  // RepeatIdempotent, RepeatDeduplicated or RepeatAtMostOnce
	Group       string  // for RepeatDeduplicated: GroupAll, GroupZone or GroupCell
	KeyTTLMs    float64 `json:"KeyTtlMs"` // for RepeatDeduplicated: how long repeats are discarded, in milliseconds
	Streamed    bool    // the answer is a stream
}

// The values of Class.Repeat.
const (
	RepeatIdempotent   = "idempotent"   // may be repeated at any time
	RepeatDeduplicated = "deduplicated" // has an idempotency key, by which endpoints discard repeats
	RepeatAtMostOnce   = "at_most_once" // must not be repeated once it may have been executed
)

// The values of Class.Group: the endpoints that share the idempotency keys they have seen.
const (
	GroupAll  = "all"
	GroupZone = "zone"
	GroupCell = "cell"
)

// Plan is a customer's contract. Its quotas hold for each customer over all gateways together.
type Plan struct {
	Name         string
	UnitsPerS    float64 // quota, in units per second; 0: none
	Burst        float64 // capacity of the quota's token bucket, in units
	AtOnce       float64 // quota of concurrent attempts; 0: none
	HardRate     float64 // rate of the ceiling, in units per second; 0: no ceiling
	CeilingBurst float64 // capacity of the ceiling's token bucket, in units
	Tolerance    float64 // units by which the ceiling's token bucket may be overdrawn
	Pays         float64 // price factor on the value of a request
	OverWorth    float64 // share of its value that a request earns when it is forwarded beyond the quota
	OverCost     float64 // share of its value that a request costs when it is forwarded beyond the quota
}

// Extra holds facts about the kind of service.
type Extra struct {
	UsePeriodMs   float64 // period over which the meter adds up a customer's usage, in milliseconds; 0: no meter
	MostUnits     float64 // most units that one request counts
	TruedUp       bool    // a request's units are an estimate, and the answer carries the actual units
	SharedCounter bool    // the counter service may be used
	CountFee      float64 // price of a call of the counter service, as a multiple of calls per first attempt
	CountLimitMs  float64 // timeout of a call of the counter service, in milliseconds
	PeerInPerS    float64 // peer messages that a gateway receives, per second
}

// Limits holds what the deployment allows.
type Limits struct {
	Cancel          bool    // attempts may be cancelled
	PeerMessages    bool    // gateways may send each other messages
	Probes          bool    // health checks may be sent
	RetryAfter      bool    // clients receive the Retry-After advice of a rejection
	SecondCopies    bool    // hedged requests are allowed: two attempts of a request in flight
	MaxRetryAfterMs float64 // longest Retry-After that clients follow, in milliseconds
	ConnIdleMs      float64 // idle connections to endpoints are closed after this time, in milliseconds
	DialTimeoutMs   float64 // time limit on connecting to an endpoint, in milliseconds
	MostHeld        int     // most open requests of a gateway
	SendCap         int     // most attempts of a request
}

// Report describes the load reports of endpoints.
type Report struct {
	Columns []string // names of the values in a report, in order
	How     string   // when reports come: "inline" with answers, "on_probe" with health checks alone, or "off"
}

// Safety holds the figures of the rules that no gateway may break.
type Safety struct {
	AskWithinMs     float64 // longest time between two polls of a polled endpoint list, in milliseconds
	DrainGraceMs    float64 // time within which a draining endpoint must get no more requests, in milliseconds
	GraceToAnswerMs float64 // time after its deadline in which a request may still be answered, in milliseconds
	ColdFrom        float64 // least share of its capacity that an endpoint has at its start
	WarmWithinMs    float64 // time after which an endpoint has its full capacity, in milliseconds
	FallMultiple    float64 // load, as a multiple of the present capacity, under which a cold endpoint fails
	FallMs          float64 // time that it withstands such load, in milliseconds
}
