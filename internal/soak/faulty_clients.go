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

	// stalledClientTimeout is the time within which a gateway must close the connection of a client that stops in the
	// middle of a request. The requirement is 3 s; the rest is a margin for a busy machine.
	stalledClientTimeout = 4500 * time.Millisecond

	floodConnections   = 700 // exceeds a gateway's budget of file descriptors for clients
	pipelinedRequests  = 20
	pipeliningTimeout  = 8 * time.Second
	garbageBytes       = 64 << 10
	pipeliningInterval = 100 * time.Millisecond
	stalledClientCount = 6
)

// partialRequests are what stalled clients send of a request that follows a complete one.
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

// stall sends a complete request and a part of another one, and then waits for the gateway to close the connection.
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
	_ = conn.SetReadDeadline(time.Now().Add(stalledClientTimeout)) // fails only on a closed connection
	if _, err := io.Copy(io.Discard, reader); errors.Is(err, os.ErrDeadlineExceeded) {
		c.stalledKept.Add(1)
	}
}

// flood opens connections that send nothing, and keeps them open for length.
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
// response, because the gateway may never have accepted them, and failures in runs in which gateways may be killed.
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

// sendGarbage sends a request and many bytes after it that are no request, and closes the connection at once.
func (c *faultyClients) sendGarbage(address string) {
	conn, err := dial(address)
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, healthRequest+strings.Repeat("x", garbageBytes)) // the gateway may close it earlier
	_ = conn.Close()
}
