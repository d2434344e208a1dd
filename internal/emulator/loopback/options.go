package loopback

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"springfield/internal/emulator"
)

// Options configures a run.
type Options struct {
	Scenario emulator.Scenario
	Seed     uint64

	// Gateway is the path of the gateway's program. If it is empty, the world starts no gateways: it writes the
	// configurations to Directory for gateways that are started by hand, and skips faults of gateways.
	Gateway     string
	GatewayArgs []string // arguments of the gateway's program, usually none

	// ClockOffset is how far the wall clock of the endpoints' machines is ahead of that of the gateways' machines.
	ClockOffset time.Duration

	// ColdStart starts all endpoints together with the gateways. Without it, the endpoints have been running for a long
	// time and are warm.
	ColdStart bool

	// EndpointAge is how long ago the endpoints started that are warm from the beginning, as discovery reports it. With 0,
	// discovery reports no start time.
	EndpointAge time.Duration

	// KillDelay is added to the time from SIGTERM to SIGKILL of a gateway that shuts down.
	KillDelay time.Duration

	// CoverageDirectory is the directory to which gateways built with coverage write their counters; it must exist. If
	// it is empty, they write none.
	CoverageDirectory string

	Directory string            // directory of the gateways' configurations and logs; it must exist
	Observer  emulator.Observer // receives the observations of the run; may be nil
	Logger    *slog.Logger      // logger of the run; nil selects slog.Default()
}

// Summary holds the totals of a run.
type Summary struct {
	Requests          int64         // requests that clients sent, including their retries
	Attempts          int64         // attempts that reached endpoints
	FailedDials       int64         // requests of clients for which no connection to a gateway was made
	UnknownRequests   int64         // attempts that match no request of a client
	GatewayStarts     int           // gateway processes that were started
	GatewayCrashes    int           // gateway processes that ended without a request to shut down
	LoadTime          time.Duration // from the start of the load until the last answer
	DrainsKilled      int           // gateway processes still running when SIGKILL was due after SIGTERM
	ReadinessTimeouts int           // gateway processes that did not become ready in time
}

// Addresses lists the socket addresses of a deployment.
type Addresses struct {
	Gateways  []GatewayAddress
	Endpoints []string // in the order of endpoint IDs
}

// GatewayAddress holds the socket addresses and file paths of one gateway.
type GatewayAddress struct {
	Listen    string // address for clients
	Discovery string // address of the gateway's agent
	Config    string // path of the gateway's configuration, the value of RELAY_CONFIG
	Log       string // path of the gateway's log
}

// Limits of a run, which keep it from exhausting the machine.
const (
	maxGateways          = 64
	maxEndpoints         = 512
	maxClientConnections = 4096
	maxLength            = time.Hour
)

// LimitError reports that a scenario is too large to run over sockets on one machine.
type LimitError struct {
	Name  string // what exceeds the limit, in the plural
	Limit string // highest allowed number or length
}

// Error names what exceeds its limit, and the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("the scenario exceeds the limits of a run over sockets: %s must be at most %s", e.Name, e.Limit)
}

// Errors that a run returns.
var (
	// ErrNotReady reports that gateways did not become ready.
	ErrNotReady = errors.New("gateways did not become ready in time")
	// ErrUnanswered reports that clients were still waiting when the run had to end.
	ErrUnanswered = errors.New("requests were still open at the end of the run")
)

func checkLimits(scenario *emulator.Scenario) error {
	switch {
	case scenario.Gateways > maxGateways:
		return &LimitError{Name: "gateways", Limit: fmt.Sprint(maxGateways)}
	case scenario.Endpoints.Count > maxEndpoints:
		return &LimitError{Name: "endpoints", Limit: fmt.Sprint(maxEndpoints)}
	case scenario.Length.AsDuration() > maxLength:
		return &LimitError{Name: "loads", Limit: maxLength.String()}
	default:
		return nil
	}
}
