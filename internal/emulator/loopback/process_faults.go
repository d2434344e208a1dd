package loopback

import (
	"os"
	"syscall"
	"time"
)

// The methods in this file inject faults into gateway processes and their machines, for runs that go beyond the fault
// schedule of a scenario. They may be called from any goroutine while the world runs.

// PauseGateway suspends the process of a gateway for a time, as an overloaded machine may do.
func (w *World) PauseGateway(index int, length time.Duration) {
	w.scheduler.Do(func() {
		g := w.gateways[index]
		p := g.process
		if p == nil || p.signal(syscall.SIGSTOP) != nil {
			return
		}
		w.scheduler.After(length, func() { _ = p.signal(syscall.SIGCONT) }) // an error means that the process has ended
	})
}

// CloseLog closes the reading end of the log pipe of a gateway's current process.
func (w *World) CloseLog(index int) {
	w.scheduler.Do(func() {
		if p := w.gateways[index].process; p != nil {
			p.log.closeReader()
		}
	})
}

// StallLog fills the log pipe of a gateway's current process and suspends reading from it for a time.
func (w *World) StallLog(index int, length time.Duration) {
	w.scheduler.Do(func() {
		p := w.gateways[index].process
		if p == nil {
			return
		}
		p.log.stall()
		p.log.fill()
		w.scheduler.After(length, p.log.resume)
	})
}

// HalfWriteConfig overwrites the configuration of a gateway in place with its first half, sends SIGHUP and writes the
// complete configuration after a time.
func (w *World) HalfWriteConfig(index int, length time.Duration) {
	w.scheduler.Do(func() {
		g := w.gateways[index]
		text, err := os.ReadFile(g.configPath)
		if err != nil || g.process == nil {
			return
		}
		write := func(text []byte) {
			if err := os.WriteFile(g.configPath, text, 0o600); err != nil {
				w.logger.Error("writing a configuration failed", "gateway", index, "err", err)
			}
		}
		write(text[:len(text)/2])
		g.signal(syscall.SIGHUP)
		w.scheduler.After(length, func() { write(text) })
	})
}

// MoveDiscovery moves discovery to a new address for one gateway, writes that address to its configuration and sends
// SIGHUP.
func (w *World) MoveDiscovery(index int) { w.scheduler.Do(w.gateways[index].moveDiscovery) }

// SlowLists makes agents write complete endpoint lists slowly for the time length. The bytes of each list are sent over
// the time spread.
func (w *World) SlowLists(spread, length time.Duration) {
	w.scheduler.Do(func() {
		w.slowListDuration = spread
		for _, g := range w.gateways { // gateways must not count as notified of lists that they cannot have read yet
			g.agent.deferUntil = max(g.agent.deferUntil, w.scheduler.Now()+length+spread+silenceNotificationDelay)
		}
		w.scheduler.After(length, func() { w.slowListDuration = 0 })
	})
}

// RestartWithoutList kills the process of a gateway and starts another one whose configuration holds no endpoint list.
func (w *World) RestartWithoutList(index int) {
	const downtime = 50 * time.Millisecond
	w.scheduler.Do(func() {
		g := w.gateways[index]
		g.startWithoutList = true
		g.killByFault()
		w.scheduler.After(downtime, g.start)
	})
}

// RestartGateway shuts the process of a gateway down gracefully and starts another one when it has ended.
func (w *World) RestartGateway(index int) {
	w.scheduler.Do(w.gateways[index].shutDownAndRestart)
}

// ShutDownGateways sends SIGTERM to all gateway processes and waits up to a timeout until they have ended. It returns
// how many processes it has not seen end.
func (w *World) ShutDownGateways(timeout time.Duration) (remaining int) {
	var processes []*process
	w.scheduler.Do(func() {
		for _, g := range w.gateways {
			if g.process != nil {
				g.state, g.shutdownRequested, g.restartPending = gatewayDraining, true, false
				g.signal(syscall.SIGTERM)
				processes = append(processes, g.process)
			}
		}
	})
	expired := time.After(timeout)
	for i, p := range processes {
		select {
		case <-p.ended:
		case <-expired:
			return len(processes) - i
		}
	}
	return 0
}
