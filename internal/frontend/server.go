// Package frontend implements the client side of the gateway. It accepts connections, parses requests, submits them to
// the event loop and carries out the commands that the event loop returns.
package frontend

import (
	"net"
	"net/http"
	"time"

	"springfield/internal/clock"
	"springfield/internal/memory"
	"springfield/internal/settings"
	"springfield/internal/upstream"
)

const (
	headerTimeout  = 2200 * time.Millisecond // limit for the head of a request, also for a connection's first byte
	idleTimeout    = 10 * time.Second        // limit for the start of a further request on a connection
	transferMargin = 5 * time.Second         // limit for reading or writing a message, beyond the longest deadline
	maxHeaderBytes = 16 << 10
)

// Options holds the parameters of a Server. All are required.
type Options struct {
	Clock           clock.Clock
	Engine          Engine
	Settings        *settings.Settings
	MaxConnections  int           // maximum number of client connections, including those that wait for an eviction
	LongestDeadline time.Duration // longest deadline of any class
	MaxSentRequests int           // requests of one period whose IDs are remembered after they were sent
	RequestMemory   int           // bytes for the large requests of all clients together, raised to hold one at least
}

// Server is the HTTP server that clients connect to.
type Server struct {
	http     *http.Server
	handler  *handler
	limiter  *connectionLimiter
	listener *limitedListener
}

// NewServer returns a server that is not ready. It serves requests but fails health checks until SetReady is called.
func NewServer(options Options) *Server {
	limiter := newConnectionLimiter(options.MaxConnections)
	limiter.memory = memory.NewBudget(max(options.RequestMemory, upstream.MaxBodyBytes+largeHeadBytes))
	handler := newHandler(options, limiter)
	return &Server{
		http: &http.Server{
			Handler:           handler,
			ConnState:         trackState,
			ConnContext:       withConnection,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       options.LongestDeadline + transferMargin,
			WriteTimeout:      options.LongestDeadline + transferMargin,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,

			DisableGeneralOptionsHandler: true,
		},
		handler:  handler,
		limiter:  limiter,
		listener: newLimitedListener(limiter),
	}
}

// Serve accepts connections on a TCP listener until the listener fails, StopAccepting has taken effect, or Close is
// called. It always returns an error: net.ErrClosed after StopAccepting and http.ErrServerClosed after Close. It closes
// the listener. It must be called only once.
func (s *Server) Serve(listener net.Listener) error {
	s.listener.attach(listener)
	return s.http.Serve(s.listener)
}

// SetReady makes health checks succeed until BeginDrain is called.
func (s *Server) SetReady() { s.handler.ready.Store(true) }

// BeginDrain makes health checks fail and makes each response close its connection. New connections are still accepted.
func (s *Server) BeginDrain() { s.handler.draining.Store(true) }

// StopAccepting makes Serve return once the connections in the accept queue of the operating system have been accepted.
// If accept fails, Serve tries again until failureDeadline.
func (s *Server) StopAccepting(failureDeadline time.Time) { s.listener.stop(failureDeadline) }

// ContinueDrain closes the connections that are between requests, and with force also those whose request is not
// complete. It reports whether the drain is complete, which means that no connection is left.
func (s *Server) ContinueDrain(now time.Time, force bool) bool {
	return s.limiter.continueDrain(now, force)
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// RequestOpen reports whether a request with this id has been submitted and has not been answered yet. It is for
// diagnostics.
func (s *Server) RequestOpen(id string) bool { return s.handler.open.contains(id) }

// ActiveConnections returns the number of connections on which a request has begun and has not been answered yet. It is
// for diagnostics.
func (s *Server) ActiveConnections() int { return s.limiter.active() }

// OpenConnections returns the number of connections that have not been closed yet. It is for diagnostics.
func (s *Server) OpenConnections() int { return s.limiter.open() }

// ReadAhead returns the number of bytes of further requests that have been read ahead. It is for diagnostics.
func (s *Server) ReadAhead() int { return s.limiter.readAhead() }
