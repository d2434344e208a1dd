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

	// killNotBefore and killMargin: after SIGTERM a gateway is killed no sooner than its longest deadline, which counts
	// as killNotBefore where it is longer, and killMargin.
	killNotBefore = 3 * time.Second
	killMargin    = 700 * time.Millisecond
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
	world      *World
	index      int
	zone       int
	address    string
	configPath string
	logPath    string
	faultPath  string // control file of builds with seams
	agent      *agent

	process      *process // nil: none runs
	state        gatewayState
	admitted     bool // the front brings new requests on new connections
	shutDown     bool // it was told to end and is not ready again
	ending       bool // its process has ended, but clients may still read from it
	startsAgain  bool // it is started when its process has ended
	stopObserved bool // of the present process
	withoutList  bool // its configuration holds no endpoint list
	wasReady     bool // once

	known     map[policy.EndpointID]policy.Endpoint // of which it counts as notified
	idle      []*clientConnection                   // the one that was used last at the end
	exchanges int                                   // requests of clients without their outcome
	onQuiet   func()                                // runs when there is no exchange any more; nil: nothing
}

// newGateway starts the gateway's view of discovery.
func newGateway(w *World, index int, address string) (*gateway, error) {
	name := fmt.Sprintf("gateway-%d", index)
	g := &gateway{
		world:      w,
		index:      index,
		zone:       model.ZoneOf(w.scenario, index),
		address:    address,
		configPath: filepath.Join(w.options.Directory, name+".json"),
		logPath:    filepath.Join(w.options.Directory, name+".log"),
		faultPath:  filepath.Join(w.options.Directory, name+".faults"),
		known:      map[policy.EndpointID]policy.Endpoint{},
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
	version, list := g.heldList()
	if g.withoutList {
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
	temporary := g.configPath + ".new"
	if err := os.WriteFile(temporary, text, 0o600); err != nil {
		return fmt.Errorf("write the configuration of a gateway: %w", err)
	}
	return os.Rename(temporary, g.configPath)
}

// heldList returns the list that the gateway's machine has.
func (g *gateway) heldList() (version uint64, list []policy.Endpoint) {
	if !g.world.scenario.Discovery.Polled && g.agent.version > 0 {
		return g.agent.version, g.agent.list()
	}
	return g.world.discovery.List()
}

// start starts the gateway's process, once the one before has ended.
func (g *gateway) start() {
	if g.process != nil || g.ending {
		g.startsAgain = true
		return
	}
	w := g.world
	err := g.writeConfig()
	if err == nil {
		g.process, err = newProcess(w.ctx, w.options.Gateway, w.options.GatewayArgs,
			processPaths{config: g.configPath, log: g.logPath, faults: g.faultPath})
	}
	if err != nil {
		w.logger.Error("starting a gateway failed", "gateway", g.index, "err", err)
		return
	}
	g.state, g.startsAgain, g.stopObserved = gatewayStarting, false, false
	w.summary.GatewayStarts++
	p := g.process
	w.running.Go(func() {
		err := p.run(w.launcher)
		w.scheduler.Do(func() { g.processEnded(err) })
	})
	w.running.Go(func() { g.pollReadiness(p) })
}

// awaitReadiness waits in the background for a gateway that is started by hand.
func (g *gateway) awaitReadiness() {
	g.state = gatewayStarting
	g.world.running.Go(func() { g.pollReadiness(nil) })
}

// pollReadiness asks the process for its readiness until it is ready or has ended. Without a process it asks for good.
func (g *gateway) pollReadiness(p *process) {
	client := http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var ended <-chan struct{}
	var overdue <-chan time.Time
	if p != nil {
		ended, overdue = p.ended, time.After(readyTimeout)
	}
	for {
		if g.checkHealth(&client) {
			g.world.scheduler.Do(func() { g.becameReady(p) })
			return
		}
		select {
		case <-time.After(readyPollInterval):
		case <-overdue:
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

// becameReady lets the front bring requests.
func (g *gateway) becameReady(p *process) {
	if g.process != p || g.state != gatewayStarting {
		return
	}
	g.state, g.admitted, g.shutDown = gatewayReady, true, false
	w := g.world
	w.observe(emulator.GatewayStarted{Gateway: g.index})
	_, list := g.heldList()
	if w.listSpread > 0 {
		g.agent.notify(list) // it is still on its way
	} else {
		g.notified(list)
	}
	if g.wasReady {
		return
	}
	g.wasReady = true
	w.notReady--
	if w.notReady == 0 {
		close(w.ready)
	}
}

// notified records that the gateway counts as notified of entries of the endpoint list.
func (g *gateway) notified(list []policy.Endpoint) {
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
	g.state, g.startsAgain, g.shutDown = gatewayDown, false, false
	g.observeStopped(true)
	g.process.kill()
	g.closeIdle()
	g.noticeDeath()
}

// shutDownAndRestart ends the process gracefully and starts another one when it has ended.
func (g *gateway) shutDownAndRestart() {
	if g.process == nil || g.state != gatewayReady {
		return
	}
	w, p := g.world, g.process
	g.state, g.shutDown, g.startsAgain = gatewayDraining, true, true
	g.signal(syscall.SIGTERM)
	w.scheduler.After(drainConnections, func() {
		if g.process == p {
			g.admitted = false
		}
	})
	w.scheduler.After(min(w.longestDeadline(), killNotBefore)+killMargin+w.options.KillDelay, func() {
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
	if crashed && !g.wasReady {
		w.startFailed <- struct{}{} // has room for one of each gateway, which is not started again
	}
	g.state = gatewayDown
	if g.shutDown {
		g.admitted = false
	} else {
		g.noticeDeath()
	}
	g.closeIdle()
	g.ending = true
	g.whenQuiet(func() {
		g.ending = false
		g.observeStopped(false)
		if g.startsAgain {
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

// noticeDeath lets the front notice after a while that the gateway is down.
func (g *gateway) noticeDeath() {
	starts := g.process
	g.world.scheduler.After(g.world.scenario.Network.FrontDelay.AsDuration(), func() {
		if g.state != gatewayReady && (g.process == starts || g.process == nil) {
			g.admitted = false
		}
	})
}

// whenQuiet runs a function once all clients have the outcome of what they have sent: the last answers of a process may
// be read after it has ended.
func (g *gateway) whenQuiet(run func()) {
	if g.exchanges == 0 {
		run()
		return
	}
	g.onQuiet = run
}

// exchangeEnded records that a client has its outcome.
func (g *gateway) exchangeEnded() {
	g.exchanges--
	if run := g.onQuiet; run != nil && g.exchanges == 0 {
		g.onQuiet = nil
		g.world.scheduler.After(0, run) // after the outcome has been observed
	}
}

// accepts reports whether the process can take new connections.
func (g *gateway) accepts() bool { return g.state == gatewayReady || g.state == gatewayDraining }

// takesRequests reports whether the front brings requests: on new connections or on those that are open.
func (g *gateway) takesRequests() bool {
	if g.admitted {
		return true
	}
	g.idle = slices.DeleteFunc(g.idle, func(c *clientConnection) bool { return peerHasClosed(c.Conn) })
	return g.state == gatewayDraining && len(g.idle) > 0
}
