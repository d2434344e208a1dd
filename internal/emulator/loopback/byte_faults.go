package loopback

import (
	"errors"
	"math/rand/v2"
	"net"
	"time"
)

// byteFault is a fault in the transmission of a response.
type byteFault struct {
	kind     byteFaultKind
	position float64 // share of the encoded response that is sent before the fault
}

// byteFaultKind is the kind of a byteFault.
type byteFaultKind uint8

const (
	byteFaultNone      byteFaultKind = iota
	byteFaultReset                   // the endpoint resets the connection after a part of the response
	byteFaultHalfClose               // the endpoint closes its sending side after a part of the response and keeps reading
	byteFaultStall                   // the endpoint pauses for stallDuration after a part of the response
	byteFaultTrickle                 // the endpoint sends trickleChunkBytes at a time, trickleInterval apart
	byteFaultDuplicate               // the endpoint sends the response twice
	byteFaultKindCount               // number of kinds
)

const (
	stallDuration     = 700 * time.Millisecond
	trickleChunkBytes = 7
	trickleInterval   = 2 * time.Millisecond
)

// errTruncated reports that a fault, or the end of the world, kept a response from being written completely.
var errTruncated = errors.New("response truncated by a fault or by the end of the run")

// drawByteFault draws the fault of a response: none, or a random one for the share of responses that SpoilBytes set.
func (w *World) drawByteFault(random *rand.Rand) byteFault {
	if random.Float64() >= w.byteFaultShare {
		return byteFault{}
	}
	return byteFault{kind: byteFaultKind(1 + random.IntN(int(byteFaultKindCount)-1)), position: random.Float64()}
}

// truncates reports whether the fault keeps the response from arriving completely.
func (f byteFault) truncates() bool { return f.kind == byteFaultReset || f.kind == byteFaultHalfClose }

// writeWithFault writes an encoded response and applies its fault.
func (c *upstreamConnection) writeWithFault(encoded []byte, fault byteFault) error {
	offset := int(fault.position * float64(len(encoded)))
	switch fault.kind {
	case byteFaultReset, byteFaultHalfClose:
		_, _ = c.conn.Write(encoded[:offset]) // an error truncates the response, as the fault does
		if tcp, ok := c.conn.(*net.TCPConn); ok && fault.kind == byteFaultHalfClose {
			_ = tcp.CloseWrite() // an error means that the connection is closed already
			c.endpoint.world.sleep(stallDuration)
			return errTruncated
		}
		closeWithReset(c.conn)
		return errTruncated
	case byteFaultStall:
		if _, err := c.conn.Write(encoded[:offset]); err != nil {
			return err
		}
		if !c.endpoint.world.sleep(stallDuration) {
			return errTruncated
		}
		_, err := c.conn.Write(encoded[offset:])
		return err
	case byteFaultTrickle:
		return c.writeTrickle(encoded)
	case byteFaultDuplicate:
		if _, err := c.conn.Write(encoded); err != nil {
			return err
		}
	}
	_, err := c.conn.Write(encoded)
	return err
}

func (c *upstreamConnection) writeTrickle(encoded []byte) error {
	for len(encoded) > 0 {
		n := min(trickleChunkBytes, len(encoded))
		if _, err := c.conn.Write(encoded[:n]); err != nil {
			return err
		}
		encoded = encoded[n:]
		if !c.endpoint.world.sleep(trickleInterval) {
			return errTruncated
		}
	}
	return nil
}

// SpoilBytes applies random transmission faults to a share of the responses for a time: resets, half-closes, stalls,
// slow writes and duplicates.
func (w *World) SpoilBytes(share float64, length time.Duration) {
	w.scheduler.Do(func() {
		w.byteFaultShare = share
		w.scheduler.After(length, func() { w.byteFaultShare = 0 })
	})
}
