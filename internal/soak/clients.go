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

	// stalledLimit is when a client that stops inside a request must have been sent away. The operators allow three
	// seconds; the rest is for a busy machine.
	stalledLimit = 4500 * time.Millisecond

	floodConnections   = 700 // enough to exceed a gateway's share of its descriptors
	pipelinedRequests  = 20
	pipeliningTimeout  = 8 * time.Second
	garbageBytes       = 64 << 10
	crowdInterval      = 100 * time.Millisecond
	stalledClientCount = 6
)

// partialRequests are where clients stop inside a further request.
var partialRequests = []string{"G", "GET", "\r\n", "GET /health/ready HTTP/1.1\r\nHo"}

// clients are clients that misbehave, and what they have found.
type clients struct {
	running    sync.WaitGroup
	kept       atomic.Int64 // connections that were kept though their client had stalled
	unanswered atomic.Int64 // requests behind another one that got no answer
}

func dial(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, clientDialTimeout)
}

// stall lets a client stop inside a further request and stay until the gateway ends that.
func (c *clients) stall(address, part string) {
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
	if _, err := io.WriteString(conn, part); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(stalledLimit)) // fails only on a closed connection
	if _, err := io.Copy(io.Discard, reader); errors.Is(err, os.ErrDeadlineExceeded) {
		c.kept.Add(1)
	}
}

// flood opens connections that send nothing, and keeps them for a time.
func (c *clients) flood(address string, length time.Duration) {
	var open []net.Conn
	for range floodConnections {
		conn, err := dial(address)
		if err != nil {
			break
		}
		open = append(open, conn)
	}
	time.Sleep(length)
	for _, conn := range open {
		_ = conn.Close() // the gateway may have closed it
	}
}

// pipeline sends many requests at once and counts the answers. A connection that is never accepted proves nothing.
func (c *clients) pipeline(address string, mayDie func() bool) {
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
			if answered > 0 && !mayDie() {
				c.unanswered.Add(int64(pipelinedRequests - answered))
			}
			return
		}
		_ = response.Body.Close() // it is empty
	}
}

// garbage sends much behind a request and goes at once.
func (c *clients) garbage(address string) {
	conn, err := dial(address)
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, healthRequest+strings.Repeat("x", garbageBytes)) // the gateway may close it before
	_ = conn.Close()
}
