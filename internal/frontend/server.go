// Package frontend serves the clients' side of the gateway: it accepts connections, parses requests, submits them to
// the event loop and carries out the commands that it gets back.
package frontend

import (
	"net"
	"net/http"
	"time"

	"springfield/internal/clock"
	"springfield/internal/settings"
)

const (
	headerTimeout  = 2200 * time.Millisecond // to the end of a request's head, or to the first byte of a connection
	idleTimeout    = 10 * time.Second        // between two requests
	transferMargin = 5 * time.Second         // beyond the longest deadline, to read a request or to write a response
	maxHeaderBytes = 16 << 10
)

// Options are the parameters of a Server. All are required.
type Options struct {
	Clock           clock.Clock
	Engine          Engine
	Settings        *settings.Settings
	MaxConnections  int           // of clients, including those that wait for another one to make room
	LongestDeadline time.Duration // of all classes
}

// Server is the HTTP server for clients.
type Server struct {
	http     *http.Server
	handler  *handler
	limiter  *connectionLimiter
	listener *limitedListener
}

// NewServer returns a server that is not ready yet: it fails health checks, and serves requests all the same.
func NewServer(options Options) *Server {
	limiter := newConnectionLimiter(options.MaxConnections)
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
		listener: &limitedListener{limiter: limiter},
	}
}

// Serve accepts connections on a TCP listener until it fails, StopAccepting has taken effect, or Close is called. The
// error is never nil: the last two give net.ErrClosed and http.ErrServerClosed. It closes the listener and must be
// called once.
func (s *Server) Serve(listener net.Listener) error {
	s.listener.attach(listener)
	return s.http.Serve(s.listener)
}

// SetReady makes health checks succeed until BeginDrain.
func (s *Server) SetReady() { s.handler.ready.Store(true) }

// BeginDrain makes health checks fail and each response the last one on its connection. Connections are still
// accepted.
func (s *Server) BeginDrain() { s.handler.draining.Store(true) }

// StopAccepting makes Serve return once all connections that the machine has accepted are taken over.
func (s *Server) StopAccepting() { s.listener.stop() }

// ContinueDrain closes the connections that are between requests, and with force also those whose request is not
// complete. It reports whether the drain is complete, which means that no connection is left.
func (s *Server) ContinueDrain(now time.Time, force bool) bool { return s.limiter.drained(now, force) }

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// RequestOpen reports whether a request with this id has been submitted and is not answered yet. It is for
// diagnostics.
func (s *Server) RequestOpen(id string) bool { return s.handler.open.contains(id) }

// ActiveConnections returns the number of connections on which a request has begun and is not answered yet. It is for
// diagnostics.
func (s *Server) ActiveConnections() int { return s.limiter.active() }

// ReadAhead returns how many bytes have been read behind the requests that are open. It is for diagnostics.
func (s *Server) ReadAhead() int { return s.limiter.readAhead() }
