package loopback

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// listFault is a fault in the transmission of an endpoint list or of a change.
type listFault struct {
	kind     listFaultKind
	position int           // number of bytes before the fault
	stall    time.Duration // length of a listFaultStall
}

// listFaultKind is the kind of a listFault.
type listFaultKind uint8

const (
	listFaultNone        listFaultKind = iota
	listFaultAbort                     // the connection ends after a part of the line
	listFaultEnd                       // the response ends properly after a part of the line
	listFaultSingleBytes               // the line is sent byte by byte
	listFaultStall                     // the line stops for a time after a part of it
	listFaultGarbage                   // the line is followed by bytes that are not JSON, and the response ends
	listFaultCorrupt                   // a byte of the line is replaced such that it is not JSON, and the response ends
	listFaultKindCount                 // number of kinds
)

const (
	listGarbage = "}{ \x00\xff\n"

	// A stall is shorter or longer than the 3.5 s for which a call to discovery may be silent.
	shortListStall = time.Second
	longListStall  = 4 * time.Second

	singleByteRun      = 32 // number of single bytes between two pauses
	singleByteInterval = time.Millisecond

	// resumeDelay is the time after the end of the fault until a gateway with an intact watch has read all changes.
	resumeDelay = 500 * time.Millisecond
)

// DamageLists damages the transmission of a share of the endpoint lists and changes for a time. No gateway counts as
// notified of changes meanwhile. Afterwards it does once it has read them, or at the latest after
// silenceNotificationDelay.
func (w *World) DamageLists(share float64, length time.Duration) {
	w.scheduler.Do(func() {
		w.aimed.listFaultShare = share
		until := w.scheduler.Now() + length + silenceNotificationDelay
		for _, g := range w.gateways {
			g.agent.deferUntil = max(g.agent.deferUntil, until)
		}
		w.scheduler.After(length, func() {
			w.aimed.listFaultShare = 0
			for _, g := range w.gateways {
				g.agent.resumeNotifications(until)
			}
		})
	})
}

// resumeNotifications ends the deferral of notifications by DamageLists soon if the gateway has an intact watch, which
// delivers all changes. A gateway without one reads them when it opens the next watch, which ends the deferral too.
func (a *agent) resumeNotifications(deferredUntil time.Duration) {
	damaged := slices.ContainsFunc(a.watches, func(w *watch) bool { return w.damaged || w.silent || !w.continuous })
	if damaged || len(a.watches) == 0 {
		return
	}
	a.world.scheduler.After(resumeDelay, func() {
		if a.deferUntil == deferredUntil {
			a.notifyDeferred()
		}
	})
}

// listsAreLate reports whether a gateway may not have read a list yet that was written to it.
func (w *World) listsAreLate() bool { return w.slowListDuration > 0 || w.aimed.listFaultShare > 0 }

// drawListFault draws the fault of a line of the given length: none, or a random one for the share of lines that
// DamageLists set.
func (w *World) drawListFault(random *rand.Rand, length int) listFault {
	if random.Float64() >= w.aimed.listFaultShare {
		return listFault{}
	}
	fault := listFault{
		kind:     listFaultKind(1 + random.IntN(int(listFaultKindCount)-1)),
		position: 1 + random.IntN(length-2),
		stall:    shortListStall,
	}
	if random.IntN(2) == 0 {
		fault.stall = longListStall
	}
	return fault
}

// endsResponse reports whether the response ends with the fault.
func (f listFault) endsResponse() bool {
	return f.kind != listFaultSingleBytes && f.kind != listFaultStall
}

// writeDamaged writes a line with a fault. It reports whether the response may go on.
func (w *watch) writeDamaged(response http.ResponseWriter, line []byte, fault listFault) bool {
	written := true
	send := func(part []byte) {
		written = written && writeAndFlush(response, part)
	}
	switch fault.kind {
	case listFaultAbort:
		send(line[:fault.position])
		panic(http.ErrAbortHandler) // the way to end a connection within a response of net/http
	case listFaultEnd:
		send(line[:fault.position])
	case listFaultSingleBytes:
		for i := range line {
			send(line[i : i+1])
			written = written && (i%singleByteRun > 0 || w.agent.world.sleep(singleByteInterval))
		}
	case listFaultStall:
		send(line[:fault.position])
		written = written && w.agent.world.sleep(fault.stall)
		send(line[fault.position:])
		written = written && fault.stall < longListStall // the gateway has ended a call that was silent for so long
	case listFaultGarbage:
		send(append(slices.Clone(line), listGarbage...))
	case listFaultCorrupt:
		corrupt := slices.Clone(line)
		corrupt[fault.position] = 0 // not allowed anywhere in JSON
		send(corrupt)
	}
	if !written || fault.endsResponse() {
		return false
	}
	w.agent.world.scheduler.Do(func() { w.damaged = false })
	return true
}

func writeAndFlush(response http.ResponseWriter, part []byte) bool {
	_, err := response.Write(part)
	return err == nil && http.NewResponseController(response).Flush() == nil
}
