package soak

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"springfield/internal/tcpinfo"
)

// probeTimeout limits how long a probe waits for a response. A response that takes longer counts as lost.
const probeTimeout = 5 * time.Second

// errIncomplete reports that a connection ended within a response.
var errIncomplete = errors.New("incomplete response")

// probe is a well-behaved client that keeps its connection after a first request. It sends further requests at the
// moment at which the gateway may close the connection. Such a request must be answered, or the connection must be
// closed before the gateway has read the request.
type probe struct {
	conn   net.Conn
	reader *bufio.Reader
}

// openProbe connects to a gateway and makes the first request.
func openProbe(address string) (*probe, error) {
	conn, err := dial(address)
	if err != nil {
		return nil, err
	}
	p := &probe{conn: conn, reader: bufio.NewReader(conn)}
	if _, err = io.WriteString(conn, healthRequest); err == nil {
		err = p.readResponse()
	}
	if err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

func (p *probe) close() { _ = p.conn.Close() } // the gateway may have closed it

// readResponse reads one response. It returns errIncomplete if the connection ends after its first byte.
func (p *probe) readResponse() error {
	_ = p.conn.SetReadDeadline(time.Now().Add(probeTimeout)) // after an error the read fails too
	if _, err := p.reader.Peek(1); err != nil {
		return err
	}
	response, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		return errIncomplete
	}
	defer func() { _ = response.Body.Close() }() // closing a body that was read cannot fail
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return errIncomplete
	}
	return nil
}

// exchange sends requests in two writes, with a pause in between, and reads their responses. kept reports whether the
// connection may carry further requests. lost reports whether a request was lost: the gateway had read it when the
// connection ended without its complete response.
func (p *probe) exchange(requests, split int, pause time.Duration) (kept, lost bool) {
	encoded := strings.Repeat(healthRequest, requests)
	before, err := tcpinfo.BytesAcknowledged(p.conn)
	if err != nil {
		return false, false
	}
	if _, err := io.WriteString(p.conn, encoded[:split]); err != nil {
		return false, false // the gateway had closed the connection
	}
	time.Sleep(pause)
	if _, err := io.WriteString(p.conn, encoded[split:]); err != nil {
		return false, false
	}
	for answered := range requests {
		if err := p.readResponse(); err != nil {
			return false, p.isLost(err, before, uint64((answered+1)*len(healthRequest)))
		}
	}
	return true, false
}

// isLost reports whether the gateway had read a request when a read of its response failed with readErr. before is the
// number of acknowledged bytes before the requests, and end that of the bytes up to the end of the request.
func (p *probe) isLost(readErr error, before, end uint64) bool {
	if errors.Is(readErr, errIncomplete) || errors.Is(readErr, os.ErrDeadlineExceeded) {
		return true
	}
	after, err := tcpinfo.BytesAcknowledged(p.conn)
	return err == nil && errors.Is(readErr, io.EOF) && after-before >= end
}

// probes runs probes and counts the requests that gateways have lost.
type probes struct {
	lost atomic.Int64
}

// openProbes opens up to count probes and stops at the first one that fails.
func openProbes(address string, count int) []*probe {
	var opened []*probe
	for range count {
		p, err := openProbe(address)
		if err != nil {
			break
		}
		opened = append(opened, p)
	}
	return opened
}

// exchange lets a probe send one or two requests in two writes, split at a random byte, and counts a lost one. It
// reports whether the connection may carry further requests.
func (c *probes) exchange(p *probe, random *rand.Rand) (kept bool) {
	const maxPause = 2 * time.Millisecond
	requests := 1 + random.IntN(2)
	split := 1 + random.IntN(requests*len(healthRequest)-1)
	kept, lost := p.exchange(requests, split, time.Duration(random.Int64N(int64(maxPause))))
	if lost {
		c.lost.Add(1)
	}
	return kept
}

// crossShutdown lets probes send requests one after another on kept connections while shutDown makes their gateway shut
// down, until the gateway has closed all connections or the time is over.
func (c *probes) crossShutdown(address string, random *rand.Rand, shutDown func()) {
	const (
		count      = 30
		shutdownAt = 5 * time.Millisecond
		length     = time.Second
	)
	opened := openProbes(address, count)
	var exchanges sync.WaitGroup
	end := time.Now().Add(length)
	for _, p := range opened {
		seed := random.Uint64()
		exchanges.Go(func() {
			defer p.close()
			random := rand.New(rand.NewPCG(seed, 0))
			for c.exchange(p, random) && time.Now().Before(end) {
				time.Sleep(time.Duration(random.Int64N(int64(2 * shutdownAt))))
			}
		})
	}
	time.Sleep(shutdownAt)
	shutDown()
	exchanges.Wait()
}

// Parameters of evictions.
const (
	evictionProbes = 1000 // more connections than a gateway has file descriptors for clients
	// probesPerKeptConnection is the number of probes for each connection that is opened for the emulated clients.
	probesPerKeptConnection = 8

	evictionsPerRound = 4                     // new connections that are opened at once
	evictionInterval  = 12 * time.Millisecond // time between two rounds; a cycle of all probes takes longer than idleTime
)

// evictRequests fills the connection table of a gateway with probes. Then it opens further connections, so that the
// gateway evicts the connection that has been idle for longest. The probes send requests in that order, each at the
// moment at which its connection is likely to be evicted. keepConnection adds a connection to those of the emulated
// clients, which use them in the same order. pause returns false when the load ends.
func (c *probes) evictRequests(address string, random *rand.Rand, keepConnection func(),
	pause func(time.Duration) bool) {
	const idleTime = 2200 * time.Millisecond // a gateway evicts connections only after 2 s of idleness
	var waiting []*probe
	for range evictionProbes / probesPerKeptConnection {
		waiting = append(waiting, openProbes(address, probesPerKeptConnection)...)
		keepConnection()
	}
	defer func() {
		for _, p := range waiting {
			p.close()
		}
	}()
	if !pause(idleTime) {
		return
	}
	for len(waiting) >= evictionsPerRound {
		waiting = append(waiting[evictionsPerRound:], c.evictionRound(address, waiting[:evictionsPerRound], random)...)
		keepConnection()
		if !pause(evictionInterval) {
			return
		}
	}
}

// evictionRound opens as many connections as there are probes, and meanwhile lets the probes send requests. It returns
// the probes whose connections remain open, in the order in which the gateway evicts them.
func (c *probes) evictionRound(address string, current []*probe, random *rand.Rand) []*probe {
	remaining := make([]*probe, 2*len(current))
	var round sync.WaitGroup
	for i, p := range current {
		seed := random.Uint64()
		round.Go(func() {
			if c.exchange(p, rand.New(rand.NewPCG(seed, 0))) {
				remaining[i] = p
			} else {
				p.close()
			}
		})
		round.Go(func() { remaining[len(current)+i], _ = openProbe(address) }) // a failure leaves no replacement
	}
	round.Wait()
	return slices.DeleteFunc(remaining, func(p *probe) bool { return p == nil })
}
