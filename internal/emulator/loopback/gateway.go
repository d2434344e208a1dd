package loopback

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
	"springfield/internal/settings"
	"springfield/policy"
)

const (
	readyTimeout       = 30 * time.Second
	readyPollInterval  = 20 * time.Millisecond
	healthCheckTimeout = 500 * time.Millisecond

	// maxDeadlineWait limits how long deadlines delay the kill of a gateway that shuts down. The time from SIGTERM to
	// SIGKILL is the longest deadline of all classes, at most maxDeadlineWait, plus killMargin and Options.KillDelay.
	maxDeadlineWait = 3 * time.Second
	killMargin      = 700 * time.Millisecond
)

// gatewayState is the state of a gateway's process.
type gatewayState uint8

const (
	gatewayDown gatewayState = iota
	gatewayStarting
	gatewayReady
	gatewayDraining
)

// gateway is one gateway of the deployment: its process, and its state at the load balancer in front of the gateways.
// Its fields are accessed only in the scheduler.
type gateway struct {
	world        *World
	index        int
	zone         int
	address      string
	configPath   string
	logPath      string
	faultControl faultControl // safe for concurrent use
	agent        *agent

	process           *process // nil while no process runs
	state             gatewayState
	inRotation        bool              // the load balancer in front of the gateways routes new connections to the gateway
	shutdownRequested bool              // the gateway has received SIGTERM and has not become ready since
	answersPending    bool              // the process has ended, but clients may still be reading its answers
	restartPending    bool              // another process is to start when the current one has ended
	stopObserved      bool              // the end of the current process has been observed
	startWithoutList  bool              // the configuration holds no endpoint list
	configuredList    []policy.Endpoint // endpoint list in the configuration
	everReady         bool              // the gateway has been ready at least once

	known           map[policy.EndpointID]policy.Endpoint // latest list entries of which the gateway counts as notified
	idleConnections []*clientConnection                   // kept connections, the most recently used one last
	reuseOldest     bool                                  // clients use the connection that has been idle for longest
	openExchanges   int                                   // number of client requests without an outcome
	onExchangesDone func()                                // called when openExchanges falls to 0; may be nil
}

// newGateway returns a gateway without a process, and starts its agent.
func newGateway(w *World, index int, address string) (*gateway, error) {
	name := fmt.Sprintf("gateway-%d", index)
	g := &gateway{
		world:        w,
		index:        index,
		zone:         model.ZoneOf(w.scenario, index),
		address:      address,
		configPath:   filepath.Join(w.options.Directory, name+".json"),
		logPath:      filepath.Join(w.options.Directory, name+".log"),
		faultControl: faultControl{path: filepath.Join(w.options.Directory, name+".faults")},
		known:        map[policy.EndpointID]policy.Endpoint{},
	}
	var err error
	if g.agent, err = newAgent(w, index); err != nil {
		return nil, err
	}
	if !w.scenario.Discovery.Polled {
		w.discovery.Watch(index, g.agent.deliver)
	}
	return g, nil
}

// gatewayConfig is the configuration file of a gateway.
type gatewayConfig struct {
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`
	Discovery string            `json:"discovery"`
	Seed      string            `json:"seed"`
	Limits    limitsConfig      `json:"limits"`
	Known     listMessage       `json:"known"`
	Settings  settings.Settings `json:"settings"`
}

type limitsConfig struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// gatewayLimits are the resource limits of a gateway in real deployments.
var gatewayLimits = limitsConfig{Cores: 1, MemoryMB: 192, Sockets: 1024}

// writeConfig replaces the gateway's configuration file atomically. The configuration holds the gateway's latest list
// of endpoints.
func (g *gateway) writeConfig() error {
	version, list := g.latestList()
	if g.startWithoutList {
		version, list = 0, nil
	}
	g.configuredList = list
	text, err := json.MarshalIndent(gatewayConfig{
		Name:      fmt.Sprintf("gateway-%d", g.index),
		Listen:    g.address,
		Discovery: g.agent.address,
		Seed:      fmt.Sprintf("%016x", g.world.gatewayRandom.Uint64()),
		Limits:    gatewayLimits,
		Known: newListMessage(version, true, list, g.world.endpointAddress,
			g.world.options.ClockOffset),
		Settings: model.Settings(g.world.scenario, g.index),
	}, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the configuration of a gateway: %w", err)
	}
	temporaryPath := g.configPath + ".new"
	if err := os.WriteFile(temporaryPath, text, 0o600); err != nil {
		return fmt.Errorf("write the configuration of a gateway: %w", err)
	}
	return os.Rename(temporaryPath, g.configPath)
}

// latestList returns the list of the gateway's agent or, if lists are polled or the agent has none yet, the list of
// discovery.
func (g *gateway) latestList() (version uint64, list []policy.Endpoint) {
	if !g.world.scenario.Discovery.Polled && g.agent.version > 0 {
		return g.agent.version, g.agent.list()
	}
	return g.world.discovery.List()
}

// start starts a process of the gateway, now or as soon as the previous one has ended.
func (g *gateway) start() {
	if g.process != nil || g.answersPending {
		g.restartPending = true
		return
	}
	w := g.world
	err := g.writeConfig()
	if err == nil {
		g.process, err = newProcess(w.ctx, w.options.Gateway, w.options.GatewayArgs,
			processPaths{config: g.configPath, log: g.logPath, faultControl: g.faultControl.path,
				coverage: w.options.CoverageDirectory})
	}
	if err != nil {
		w.logger.Error("starting a gateway failed", "gateway", g.index, "err", err)
		return
	}
	g.state, g.restartPending, g.stopObserved = gatewayStarting, false, false
	g.notifyOfConfiguredList()
	w.summary.GatewayStarts++
	p := g.process
	w.goroutines.Go(func() {
		err := p.run(w.launcher)
		w.scheduler.Do(func() { g.processEnded(err) })
	})
	w.goroutines.Go(func() { g.pollReadiness(p) })
}

// awaitReadiness waits in the background until a gateway that is started by hand is ready.
func (g *gateway) awaitReadiness() {
	g.state = gatewayStarting
	g.notifyOfConfiguredList()
	g.world.goroutines.Go(func() { g.pollReadiness(nil) })
}

// pollReadiness polls the gateway until it is ready, its process has ended or readyTimeout has passed. If p is nil, it
// polls until the gateway is ready or the world ends.
func (g *gateway) pollReadiness(p *process) {
	client := http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var ended <-chan struct{}
	var expired <-chan time.Time
	if p != nil {
		ended, expired = p.ended, time.After(readyTimeout)
	}
	for {
		if g.checkHealth(&client) {
			g.world.scheduler.Do(func() { g.markReady(p) })
			return
		}
		select {
		case <-time.After(readyPollInterval):
		case <-expired:
			g.world.scheduler.Do(func() { g.world.summary.ReadinessTimeouts++ })
			g.world.logger.Error("a gateway is not ready in time", "gateway", g.index, "log", g.logPath)
			return
		case <-ended:
			return
		case <-g.world.ctx.Done():
			return
		}
	}
}

func (g *gateway) checkHealth(client *http.Client) bool {
	request, err := http.NewRequestWithContext(g.world.ctx, http.MethodGet, "http://"+g.address+"/health/ready", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // the body is not needed
	return response.StatusCode == http.StatusOK
}

// markReady makes the load balancer in front of the gateways route requests to the gateway if p is its current process.
func (g *gateway) markReady(p *process) {
	if g.process != p || g.state != gatewayStarting {
		return
	}
	g.state, g.inRotation, g.shutdownRequested = gatewayReady, true, false
	w := g.world
	w.observe(emulator.GatewayStarted{Gateway: g.index})
	if !w.scenario.Discovery.Polled {
		g.notifyOfPushedList()
	}
	if g.everReady {
		return
	}
	g.everReady = true
	w.notReady--
	if w.notReady == 0 {
		close(w.ready)
	}
}

// notifyOfConfiguredList records that a new process counts as notified of the list in its configuration. If lists are
// polled, it learns of newer ones only when it calls discovery.
func (g *gateway) notifyOfConfiguredList() {
	if g.world.scenario.Discovery.Polled {
		g.markNotified(g.configuredList)
	}
}

// notifyOfPushedList records that the gateway counts as notified of the list that its agent holds.
func (g *gateway) notifyOfPushedList() {
	_, list := g.latestList()
	if g.world.listsAreLate() {
		g.agent.notify(list) // the gateway may still be reading a list that is written slowly
	} else {
		g.markNotified(list)
	}
}

// killByFault kills the process without a graceful shutdown, as in a crash.
func (g *gateway) killByFault() {
	if g.process == nil || g.state == gatewayDown {
		return
	}
	g.state, g.restartPending, g.shutdownRequested = gatewayDown, false, false
	g.observeStopped(true)
	g.process.kill()
	g.closeIdle()
	g.scheduleRemoval()
}

// shutDownAndRestart shuts the process down gracefully and starts another one when it has ended.
func (g *gateway) shutDownAndRestart() {
	if g.process == nil || g.state != gatewayReady {
		return
	}
	w, p := g.world, g.process
	g.state, g.shutdownRequested, g.restartPending = gatewayDraining, true, true
	g.signal(syscall.SIGTERM)
	w.scheduler.After(drainConnectTime, func() {
		if g.process == p {
			g.inRotation = false
		}
	})
	w.scheduler.After(min(w.longestDeadline(), maxDeadlineWait)+killMargin+w.options.KillDelay, func() {
		if g.process == p {
			w.summary.DrainsKilled++
		}
		p.kill()
	})
}

func (g *gateway) signal(signal syscall.Signal) {
	if err := g.process.signal(signal); err != nil {
		g.world.logger.Warn("signalling a gateway failed", "gateway", g.index, "signal", signal.String(), "err", err)
	}
}

// processEnded handles the end of the process, whatever its cause.
func (g *gateway) processEnded(err error) {
	w := g.world
	g.process = nil
	crashed := g.state == gatewayStarting || g.state == gatewayReady
	if crashed && w.ctx.Err() == nil {
		w.summary.GatewayCrashes++
		w.logger.Error("a gateway has ended", "gateway", g.index, "log", g.logPath, "err", err)
	}
	if crashed && !g.everReady {
		w.startFailed <- struct{}{} // never blocks: the channel has room for one item per gateway, and each sends one at most
	}
	g.state = gatewayDown
	if g.shutdownRequested {
		g.inRotation = false
	} else {
		g.scheduleRemoval()
	}
	g.closeIdle()
	g.answersPending = true
	g.afterExchanges(func() {
		g.answersPending = false
		g.observeStopped(false)
		if g.restartPending {
			g.start()
		}
	})
}

// observeStopped observes the end of the current process. Only the first call for a process has an effect.
func (g *gateway) observeStopped(killed bool) {
	if !g.stopObserved {
		g.stopObserved = true
		g.world.observe(emulator.GatewayStopped{Gateway: g.index, Killed: killed})
	}
}

// scheduleRemoval makes the load balancer in front of the gateways stop routing to the gateway after
// network.front_delay, unless the gateway is ready again by then or has started another process.
func (g *gateway) scheduleRemoval() {
	failedProcess := g.process
	g.world.scheduler.After(g.world.scenario.Network.FrontDelay.AsDuration(), func() {
		if g.state != gatewayReady && (g.process == failedProcess || g.process == nil) {
			g.inRotation = false
		}
	})
}

// afterExchanges runs a function once all client requests to the gateway have their outcomes. It is used at the end of
// a process, because clients may read the last answers of the process after that.
func (g *gateway) afterExchanges(run func()) {
	if g.openExchanges == 0 {
		run()
		return
	}
	g.onExchangesDone = run
}

// exchangeEnded records that a client request to the gateway has its outcome.
func (g *gateway) exchangeEnded() {
	g.openExchanges--
	if run := g.onExchangesDone; run != nil && g.openExchanges == 0 {
		g.onExchangesDone = nil
		g.world.scheduler.After(0, run) // the function must run after the outcome has been observed
	}
}

// acceptsConnections reports whether the process can accept new connections.
func (g *gateway) acceptsConnections() bool {
	return g.state == gatewayReady || g.state == gatewayDraining
}

// takesRequests reports whether the load balancer in front of the gateways can route requests to the gateway, on new or
// on kept connections.
func (g *gateway) takesRequests() bool {
	if g.inRotation {
		return true
	}
	g.idleConnections = slices.DeleteFunc(g.idleConnections, func(c *clientConnection) bool {
		return peerHasClosed(c.Conn)
	})
	return g.state == gatewayDraining && len(g.idleConnections) > 0
}
