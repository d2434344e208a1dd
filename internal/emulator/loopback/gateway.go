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

	// maxDeadlineWait and killMargin: after SIGTERM a gateway is killed no sooner than its longest deadline, which counts
	// as maxDeadlineWait where it is longer, and killMargin.
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

// gateway is one gateway of the deployment: its process and the front's view of it. Its fields belong to the scheduler.
type gateway struct {
	world            *World
	index            int
	zone             int
	address          string
	configPath       string
	logPath          string
	faultControlPath string // control file of builds with seams
	agent            *agent

	process           *process // nil: none runs
	state             gatewayState
	inRotation        bool // the front brings new requests on new connections
	shutdownRequested bool // it was told to end and is not ready again
	answersPending    bool // its process has ended, but clients may still read from it
	restartPending    bool // it is started when its process has ended
	stopObserved      bool // of the present process
	startWithoutList  bool // its configuration holds no endpoint list
	everReady         bool // once

	known           map[policy.EndpointID]policy.Endpoint // of which it counts as notified
	idleConnections []*clientConnection                   // the one that was used last at the end
	openExchanges   int                                   // requests of clients without their outcome
	onExchangesDone func()                                // runs when there is no exchange any more; nil: nothing
}

// newGateway starts the gateway's view of discovery.
func newGateway(w *World, index int, address string) (*gateway, error) {
	name := fmt.Sprintf("gateway-%d", index)
	g := &gateway{
		world:            w,
		index:            index,
		zone:             model.ZoneOf(w.scenario, index),
		address:          address,
		configPath:       filepath.Join(w.options.Directory, name+".json"),
		logPath:          filepath.Join(w.options.Directory, name+".log"),
		faultControlPath: filepath.Join(w.options.Directory, name+".faults"),
		known:            map[policy.EndpointID]policy.Endpoint{},
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

// gatewayLimits are the limits of the deployments that count.
var gatewayLimits = limitsConfig{Cores: 1, MemoryMB: 192, Sockets: 1024}

// writeConfig writes the configuration with the endpoint list that the gateway held last.
func (g *gateway) writeConfig() error {
	version, list := g.latestList()
	if g.startWithoutList {
		version, list = 0, nil
	}
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

// latestList returns the list that the gateway's machine has.
func (g *gateway) latestList() (version uint64, list []policy.Endpoint) {
	if !g.world.scenario.Discovery.Polled && g.agent.version > 0 {
		return g.agent.version, g.agent.list()
	}
	return g.world.discovery.List()
}

// start starts the gateway's process, once the one before has ended.
func (g *gateway) start() {
	if g.process != nil || g.answersPending {
		g.restartPending = true
		return
	}
	w := g.world
	err := g.writeConfig()
	if err == nil {
		g.process, err = newProcess(w.ctx, w.options.Gateway, w.options.GatewayArgs,
			processPaths{config: g.configPath, log: g.logPath, faultControl: g.faultControlPath})
	}
	if err != nil {
		w.logger.Error("starting a gateway failed", "gateway", g.index, "err", err)
		return
	}
	g.state, g.restartPending, g.stopObserved = gatewayStarting, false, false
	w.summary.GatewayStarts++
	p := g.process
	w.goroutines.Go(func() {
		err := p.run(w.launcher)
		w.scheduler.Do(func() { g.processEnded(err) })
	})
	w.goroutines.Go(func() { g.pollReadiness(p) })
}

// awaitReadiness waits in the background for a gateway that is started by hand.
func (g *gateway) awaitReadiness() {
	g.state = gatewayStarting
	g.world.goroutines.Go(func() { g.pollReadiness(nil) })
}

// pollReadiness asks the process for its readiness until it is ready or has ended. Without a process it asks for good.
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
	_ = response.Body.Close() // it is not read
	return response.StatusCode == http.StatusOK
}

// markReady lets the front bring requests.
func (g *gateway) markReady(p *process) {
	if g.process != p || g.state != gatewayStarting {
		return
	}
	g.state, g.inRotation, g.shutdownRequested = gatewayReady, true, false
	w := g.world
	w.observe(emulator.GatewayStarted{Gateway: g.index})
	_, list := g.latestList()
	if w.slowListDuration > 0 {
		g.agent.notify(list) // it is still on its way
	} else {
		g.markNotified(list)
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

// markNotified records that the gateway counts as notified of entries of the endpoint list.
func (g *gateway) markNotified(list []policy.Endpoint) {
	for _, entry := range list {
		g.known[entry.ID] = entry
		if g.state == gatewayDown {
			continue
		}
		g.world.observe(emulator.EndpointNotified{
			Gateway:  g.index,
			Endpoint: entry.ID,
			State:    entry.State,
			Started:  entry.StartedAt,
		})
	}
}

// knowsStart reports whether the gateway counts as notified of the last start of an endpoint.
func (g *gateway) knowsStart(e *endpoint) bool {
	entry, known := g.known[e.id]
	return known && entry.State != policy.StateRemoved && entry.StartedAt == e.server.StartedAt()
}

// killByFault ends the process at once, as a crash does.
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

// shutDownAndRestart ends the process gracefully and starts another one when it has ended.
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

// processEnded handles that the process has ended, for whatever reason.
func (g *gateway) processEnded(err error) {
	w := g.world
	g.process = nil
	crashed := g.state == gatewayStarting || g.state == gatewayReady
	if crashed && w.ctx.Err() == nil {
		w.summary.GatewayCrashes++
		w.logger.Error("a gateway has ended", "gateway", g.index, "log", g.logPath, "err", err)
	}
	if crashed && !g.everReady {
		w.startFailed <- struct{}{} // has room for one of each gateway, which is not started again
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

// observeStopped observes the end of the present process once.
func (g *gateway) observeStopped(killed bool) {
	if !g.stopObserved {
		g.stopObserved = true
		g.world.observe(emulator.GatewayStopped{Gateway: g.index, Killed: killed})
	}
}

// scheduleRemoval lets the front notice after a while that the gateway is down.
func (g *gateway) scheduleRemoval() {
	failedProcess := g.process
	g.world.scheduler.After(g.world.scenario.Network.FrontDelay.Of(), func() {
		if g.state != gatewayReady && (g.process == failedProcess || g.process == nil) {
			g.inRotation = false
		}
	})
}

// afterExchanges runs a function once all client requests to the gateway have their outcomes. Clients may read the last
// answers of a process after it has ended.
func (g *gateway) afterExchanges(run func()) {
	if g.openExchanges == 0 {
		run()
		return
	}
	g.onExchangesDone = run
}

// exchangeEnded records that a client has its outcome.
func (g *gateway) exchangeEnded() {
	g.openExchanges--
	if run := g.onExchangesDone; run != nil && g.openExchanges == 0 {
		g.onExchangesDone = nil
		g.world.scheduler.After(0, run) // after the outcome has been observed
	}
}

// acceptsConnections reports whether the process can take new connections.
func (g *gateway) acceptsConnections() bool {
	return g.state == gatewayReady || g.state == gatewayDraining
}

// takesRequests reports whether the front brings requests: on new connections or on those that are open.
func (g *gateway) takesRequests() bool {
	if g.inRotation {
		return true
	}
	g.idleConnections = slices.DeleteFunc(g.idleConnections, func(c *clientConnection) bool {
		return peerHasClosed(c.Conn)
	})
	return g.state == gatewayDraining && len(g.idleConnections) > 0
}
