package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	healthRequest = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"

	clientDialTimeout = time.Second

	// stalledClientTimeout is how long a client that stops in the middle of a request waits until the gateway closes its
	// connection. A gateway must close the connection of such a client within 3 s; the timeout is longer because the
	// machine may be busy.
	stalledClientTimeout = 4500 * time.Millisecond

	floodConnections   = 700 // more connections than a gateway has file descriptors for clients
	pipelinedRequests  = 20  // number of requests that a pipelining client sends at once
	pipeliningTimeout  = 8 * time.Second
	garbageBytes       = 64 << 10 // number of bytes that sendGarbage sends after a request
	pipeliningInterval = 100 * time.Millisecond
	stalledClientCount = 6 // number of stalled clients of each affected gateway
)

// partialRequests holds the parts of a request that stalled clients send after a complete request.
var partialRequests = []string{"G", "GET", "\r\n", "GET /health/ready HTTP/1.1\r\nHo"}

// faultyClients runs misbehaving clients and counts the failures of gateways that they observe.
type faultyClients struct {
	goroutines         sync.WaitGroup // of clients and of injected faults
	stalledKept        atomic.Int64   // connections of stalled clients that gateways did not close in time
	unansweredRequests atomic.Int64   // pipelined requests without a response
}

func dial(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, clientDialTimeout)
}

// stall sends a complete request and a part of another one, and then waits for the gateway to close the connection. It
// counts a connection that is still open after stalledClientTimeout.
func (c *faultyClients) stall(address, partialRequest string) {
	conn, err := dial(address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // the gateway may have closed it
	reader := bufio.NewReader(conn)
	if _, err := io.WriteString(conn, healthRequest); err != nil {
		return
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil || response.Close {
		return
	}
	if _, err := io.WriteString(conn, partialRequest); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(stalledClientTimeout)) // after an error the read fails too
	if _, err := io.Copy(io.Discard, reader); errors.Is(err, os.ErrDeadlineExceeded) {
		c.stalledKept.Add(1)
	}
}

// flood opens connections, sends nothing on them and keeps them open for the time length.
func (c *faultyClients) flood(address string, length time.Duration) {
	var conns []net.Conn
	for range floodConnections {
		conn, err := dial(address)
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	time.Sleep(length)
	for _, conn := range conns {
		_ = conn.Close() // the gateway may have closed it
	}
}

// pipeline sends many requests at once and counts those without a response. It ignores connections without any
// response, because the gateway may never have accepted them, and all connections of runs that may kill gateways.
func (c *faultyClients) pipeline(address string, mayBeKilled func() bool) {
	conn, err := dial(address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // the gateway may have closed it
	_ = conn.SetDeadline(time.Now().Add(pipeliningTimeout))
	if _, err := io.WriteString(conn, strings.Repeat(healthRequest, pipelinedRequests)); err != nil {
		return
	}
	reader := bufio.NewReader(conn)
	for answered := range pipelinedRequests {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			if answered > 0 && !mayBeKilled() {
				c.unansweredRequests.Add(int64(pipelinedRequests - answered))
			}
			return
		}
		_ = response.Body.Close() // the body is empty
	}
}

// sendGarbage sends a request followed by many bytes that are not a request, and closes the connection at once.
func (c *faultyClients) sendGarbage(address string) {
	conn, err := dial(address)
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, healthRequest+strings.Repeat("x", garbageBytes)) // the gateway may close it earlier
	_ = conn.Close()
}
