package loopback

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"springfield/internal/emulator"
)

// Options describes a run.
type Options struct {
	Scenario emulator.Scenario
	Seed     uint64

	// Gateway is the path of the gateway's program. If it is empty, no gateway is started: the configurations are
	// written to Directory for gateways that are started by hand, and faults of gateways are left out.
	Gateway     string
	GatewayArgs []string // arguments of the program, none as a rule

	// ClockOffset is by how much the wall clock of the endpoints' machines differs from that of the gateways'.
	ClockOffset time.Duration

	// ColdStart starts all endpoints together with the gateways; otherwise they have run for long.
	ColdStart bool

	// KillDelay is added to the time after which a gateway that shuts down is killed.
	KillDelay time.Duration

	Directory string            // for the configurations and logs of the gateways; it must exist
	Observer  emulator.Observer // nil: none
	Logger    *slog.Logger      // nil: slog.Default()
}

// Summary tells what a run did.
type Summary struct {
	Requests          int64         // that clients sent, their retries included
	Attempts          int64         // that reached endpoints
	FailedDials       int64         // connections of clients that no gateway took
	UnknownRequests   int64         // attempts that no client sent in this form
	GatewayStarts     int           // processes
	GatewayCrashes    int           // processes that ended without being told to
	LoadTime          time.Duration // from the begin of the load until the last answer
	DrainsKilled      int           // processes that had not ended when SIGKILL might come after SIGTERM
	ReadinessTimeouts int           // gateways that did not become ready in time after a restart
}

// Addresses names the sockets of a deployment.
type Addresses struct {
	Gateways  []GatewayAddress
	Endpoints []string // in the order of their ids
}

// GatewayAddress names the sockets and files of one gateway.
type GatewayAddress struct {
	Listen    string // for clients
	Discovery string // of its agent
	Config    string // path of its configuration, the value of RELAY_CONFIG
	Log       string // path of its log
}

// Limits of a run, which keep it from using up the machine.
const (
	maxGateways          = 64
	maxEndpoints         = 512
	maxClientConnections = 4096
	maxLength            = time.Hour
)

// LimitError says that a scenario is too large for sockets on one machine.
type LimitError struct {
	Name  string // of what there is too much
	Limit string
}

// Error names the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("the scenario has too many or too long %s for a run over sockets: at most %s", e.Name, e.Limit)
}

// Errors of a run.
var (
	// ErrNotReady says that gateways did not become ready.
	ErrNotReady = errors.New("gateways did not become ready in time")
	// ErrUnanswered says that clients were still waiting when the run had to end.
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
