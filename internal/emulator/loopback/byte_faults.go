package loopback

import (
	"errors"
	"math/rand/v2"
	"net"
	"time"
)

// byteFault is what happens to the bytes of a response on their way.
type byteFault struct {
	kind byteFaultKind
	at   float64 // the place of the fault, as a share of the bytes
}

type byteFaultKind uint8

const (
	bytesWhole     byteFaultKind = iota
	bytesReset                   // the connection is reset after a part
	bytesHalfClose               // the endpoint ends its sending after a part, and goes on to read
	bytesStall                   // nothing comes for a while after a part
	bytesDribble                 // a few bytes come at a time
	bytesDoubled                 // the response comes twice
	byteFaultKinds
)

const (
	byteStall       = 700 * time.Millisecond
	dribbleBytes    = 7
	dribbleInterval = 2 * time.Millisecond
)

// errCut says that a response was not written whole on purpose.
var errCut = errors.New("the response is cut")

// drawByteFault draws what happens to a response while SpoilBytes is in force.
func (w *World) drawByteFault(random *rand.Rand) byteFault {
	if random.Float64() >= w.byteFaultShare {
		return byteFault{}
	}
	return byteFault{kind: byteFaultKind(1 + random.IntN(int(byteFaultKinds)-1)), at: random.Float64()}
}

// endsEarly reports whether the response does not arrive whole.
func (f byteFault) endsEarly() bool { return f.kind == bytesReset || f.kind == bytesHalfClose }

// writeBytes writes an encoded response as its fault says.
func (c *upstreamConnection) writeBytes(encoded []byte, fault byteFault) error {
	place := int(fault.at * float64(len(encoded)))
	switch fault.kind {
	case bytesReset, bytesHalfClose:
		_, _ = c.conn.Write(encoded[:place]) // it is cut off in any case
		if tcp, ok := c.conn.(*net.TCPConn); ok && fault.kind == bytesHalfClose {
			_ = tcp.CloseWrite() // fails only once it is closed
			c.endpoint.world.pause(byteStall)
			return errCut
		}
		reset(c.conn)
		return errCut
	case bytesStall:
		if _, err := c.conn.Write(encoded[:place]); err != nil {
			return err
		}
		if !c.endpoint.world.pause(byteStall) {
			return errCut
		}
		_, err := c.conn.Write(encoded[place:])
		return err
	case bytesDribble:
		return c.dribble(encoded)
	case bytesDoubled:
		if _, err := c.conn.Write(encoded); err != nil {
			return err
		}
	}
	_, err := c.conn.Write(encoded)
	return err
}

func (c *upstreamConnection) dribble(encoded []byte) error {
	for len(encoded) > 0 {
		n := min(dribbleBytes, len(encoded))
		if _, err := c.conn.Write(encoded[:n]); err != nil {
			return err
		}
		encoded = encoded[n:]
		if !c.endpoint.world.pause(dribbleInterval) {
			return errCut
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
