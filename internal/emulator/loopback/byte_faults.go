package loopback

import (
	"errors"
	"math/rand/v2"
	"net"
	"time"
)

// byteFault is what happens to the bytes of a response on their way.
type byteFault struct {
	kind     byteFaultKind
	position float64 // the place of the fault, as a share of the bytes
}

type byteFaultKind uint8

const (
	byteFaultNone      byteFaultKind = iota
	byteFaultReset                   // the connection is reset after a part
	byteFaultHalfClose               // the endpoint ends its sending after a part, and goes on to read
	byteFaultStall                   // nothing comes for a while after a part
	byteFaultTrickle                 // a few bytes come at a time
	byteFaultDuplicate               // the response comes twice
	byteFaultKindCount
)

const (
	stallDuration     = 700 * time.Millisecond
	trickleChunkBytes = 7
	trickleInterval   = 2 * time.Millisecond
)

// errTruncated says that a response was not written whole on purpose.
var errTruncated = errors.New("the response is cut")

// drawByteFault draws what happens to a response while SpoilBytes is in force.
func (w *World) drawByteFault(random *rand.Rand) byteFault {
	if random.Float64() >= w.byteFaultShare {
		return byteFault{}
	}
	return byteFault{kind: byteFaultKind(1 + random.IntN(int(byteFaultKindCount)-1)), position: random.Float64()}
}

// truncates reports whether the response does not arrive whole.
func (f byteFault) truncates() bool { return f.kind == byteFaultReset || f.kind == byteFaultHalfClose }

// writeWithFault writes an encoded response as its fault says.
func (c *upstreamConnection) writeWithFault(encoded []byte, fault byteFault) error {
	offset := int(fault.position * float64(len(encoded)))
	switch fault.kind {
	case byteFaultReset, byteFaultHalfClose:
		_, _ = c.conn.Write(encoded[:offset]) // it is cut off in any case
		if tcp, ok := c.conn.(*net.TCPConn); ok && fault.kind == byteFaultHalfClose {
			_ = tcp.CloseWrite() // fails only once it is closed
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

// SpoilBytes makes faults at byte positions of a share of the responses for a time.
func (w *World) SpoilBytes(share float64, length time.Duration) {
	w.scheduler.Do(func() {
		w.byteFaultShare = share
		w.scheduler.After(length, func() { w.byteFaultShare = 0 })
	})
}
