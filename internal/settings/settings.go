// Package settings defines the settings of a deployment and converts them to the configuration of the policy. The
// gateway and the simulator's adapter share it, so that both configure the policy in the same way.
package settings

// Settings is the settings object of a deployment in the gateway's configuration file and in the simulator's start
// event. Fields without a JSON tag are named like their JSON keys. Decoding ignores keys without a field.
type Settings struct {
	Balancers     int      // number of gateways
	MyNumber      int      // index of this gateway, from 0
	Locality      int      // zone of this gateway, as an index into Zones
	Zones         []string // names of the zones
	Classes       []Class
	Contracts     []Plan
	Discovery     string  // DiscoveryPushed or DiscoveryPolled
	GranularityMs float64 // minimum time between two batches of the simulator, in milliseconds
	Extra         Extra
	Limits        Limits
	Report        Report
	Safety        Safety
}

// The values of Settings.Discovery.
const (
	DiscoveryPushed = "pushed"     // discovery sends changes of the endpoint list as they occur
	DiscoveryPolled = "on_request" // discovery sends changes of the endpoint list only in response to a request
)

// Class describes a class of requests.
type Class struct {
	Name        string
	AimMs       float64 // latency objective, in milliseconds; a response within it earns the full value
	HardLimitMs float64 // total time that a client waits, including its retries, in milliseconds
	Value       float64 // priority weight of a request
	LateValue   float64 // share of Value that a response between the objective and the deadline earns
	Repeat      string  // RepeatIdempotent, RepeatDeduplicated or RepeatAtMostOnce
	Group       string  // for RepeatDeduplicated: GroupAll, GroupZone or GroupCell
	KeyTTLMs    float64 `json:"KeyTtlMs"` // for RepeatDeduplicated: how long repeats are discarded, in milliseconds
	Streamed    bool    // the response is a stream
}

// The values of Class.Repeat.
const (
	RepeatIdempotent   = "idempotent"   // a request may be repeated at any time
	RepeatDeduplicated = "deduplicated" // a request has an idempotency key, by which endpoints discard repeats
	RepeatAtMostOnce   = "at_most_once" // a request must not be repeated once it may have been executed
)

// The values of Class.Group. Endpoints of the same group share the idempotency keys that they have seen.
const (
	GroupAll  = "all"
	GroupZone = "zone"
	GroupCell = "cell"
)

// Plan describes a customer's contract. Its quotas apply to each customer, summed over all gateways.
type Plan struct {
	Name         string
	UnitsPerS    float64 // rate quota, in units per second; 0 means no quota
	Burst        float64 // capacity of the quota's token bucket, in units
	AtOnce       float64 // quota of concurrent attempts; 0 means no quota
	HardRate     float64 // rate of the ceiling, in units per second; 0 means no ceiling
	CeilingBurst float64 // capacity of the ceiling's token bucket, in units
	Tolerance    float64 // units by which the ceiling's token bucket may be overdrawn
	Pays         float64 // price factor, which multiplies the value of a request
	OverWorth    float64 // share of its value that a request earns if it is forwarded over the quota
	OverCost     float64 // share of its value that a request costs if it is forwarded over the quota
}

// Extra holds properties of the service: its meter, request units, counter service and peer messages.
type Extra struct {
	UsePeriodMs   float64 // period over which the meter sums a customer's usage, in milliseconds; 0 means no meter
	MostUnits     float64 // maximum units of one request
	TruedUp       bool    // a request's units are an estimate, and the response contains the actual units
	SharedCounter bool    // the counter service may be used
	CountFee      float64 // price of a call of the counter service, as a multiple of calls per first attempt
	CountLimitMs  float64 // timeout of a call of the counter service, in milliseconds
	PeerInPerS    float64 // rate at which a gateway receives peer messages, per second
}

// Limits holds the limits of a deployment and the features that it allows.
type Limits struct {
	Cancel          bool    // attempts may be cancelled
	PeerMessages    bool    // gateways may send each other messages
	Probes          bool    // health checks may be sent
	RetryAfter      bool    // clients receive the Retry-After value of a rejection
	SecondCopies    bool    // hedged requests, with two attempts in flight, are allowed
	MaxRetryAfterMs float64 // longest Retry-After that clients honor, in milliseconds
	ConnIdleMs      float64 // time after which endpoints close an idle connection, in milliseconds
	DialTimeoutMs   float64 // timeout of connecting to an endpoint, in milliseconds
	MostHeld        int     // maximum open requests of a gateway; 0 means no limit
	SendCap         int     // maximum attempts of a request; 0 means no limit
}

// Report describes the load reports of endpoints.
type Report struct {
	Columns []string // names of the values in a report, in order
	How     string   // "inline" (in responses), "on_probe" (only in health checks) or "off" (never)
}

// Safety holds the parameters of the rules that no gateway may break.
type Safety struct {
	AskWithinMs     float64 // maximum time between two polls of a polled endpoint list, in milliseconds
	DrainGraceMs    float64 // time after which a draining endpoint must get no more requests, in milliseconds
	GraceToAnswerMs float64 // time after its deadline in which a request may still be answered, in milliseconds
	ColdFrom        float64 // minimum share of its capacity that an endpoint has when it starts
	WarmWithinMs    float64 // time after its start until an endpoint has its full capacity, in milliseconds
	FallMultiple    float64 // load at which a cold endpoint fails, as a multiple of its current capacity
	FallMs          float64 // time for which a cold endpoint withstands the load of FallMultiple, in milliseconds
}
