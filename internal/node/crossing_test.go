package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// The tests of this file force the instants in which something is still owed while something
// else ends. None of them waits for time to pass: hooks, channels and half-written bytes hold a
// side still until the other one has gone on.

// client is a client's connection that sends what a test likes.
type client struct {
	t testing.TB
	net.Conn
	in *bufio.Reader
}

func (n *node) dial() *client {
	n.t.Helper()
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(limit))
	return &client{n.t, conn, bufio.NewReader(conn)}
}

func (c *client) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// answer reads one answer; a status of 0 means that the connection ended without one.
func (c *client) answer() answered {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return answered{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answered{resp.StatusCode, string(body), resp.Header, resp.Close, err}
}

// head is a request's head; a POST says that a body of one byte follows.
func head(method, class, id, deadline string) string {
	length := ""
	if method == "POST" {
		length = "Content-Length: 1\r\n"
	}
	return fmt.Sprintf("%s /%s%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nPlan: team\r\nReq-Deadline: %s\r\n"+
		"Idempotency-Key: k\r\nQuota-Info: units=1,spread=1,first=0\r\n%s\r\n", method, class, customerPath, id, deadline, length)
}

// isOpen tells whether a request is open at the node.
func (n *node) isOpen(id string) bool {
	n.inside.mu.Lock()
	defer n.inside.mu.Unlock()
	_, ok := n.inside.open[id]
	return ok
}

// gate holds each dial until the test lets it go on, whatever the node has done meanwhile.
type gate struct {
	dialling chan struct{}
	open     chan struct{}
}

func newGate() *gate { return &gate{make(chan struct{}, 100), make(chan struct{})} }

func (g *gate) dial(_ context.Context, network, addr string) (net.Conn, error) {
	g.dialling <- struct{}{}
	<-g.open
	return net.Dial(network, addr)
}

// wantNone sends other requests until one is served, and fails if the server got any but these.
func (n *node) wantNone(s *appServer) {
	n.t.Helper()
	until(n.t, "an answer of the server", func() bool { return n.lookup("team").status == 200 })
	if got := s.requests.Load(); got != 1 {
		n.t.Errorf("%d requests reached the server, want 1", got)
	}
}

// slowSettings gives a test's requests more time than any test waits.
func slowSettings(c *Config) {
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].AimMs, c.Settings.Classes[i].HardLimitMs = 120_000, 120_000
	}
}

// A request whose client has left while it waits for a connection reaches nobody, whether or not
// the settings allow attempts to be cancelled.
func TestAClientThatLeavesDuringADialIsNotSentOn(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		s, g := newAppServer(t, says(ok200, true)), newGate()
		n, _ := startNodeWith(t, func(c *Config) {
			slowSettings(c)
			c.Settings.Limits.Cancel, c.dial = cancel, g.dial
		}, s)
		c := n.dial()
		c.write(head("GET", "lookup", "leaver", "100"))
		waitFor(t, "the dial", g.dialling)
		c.Close()
		close(g.open)
		until(t, "the end of the request", func() bool { return !n.isOpen("leaver") })
		n.wantNone(s)
	}
}

// The same for one that is held or finds no server that may take it, with and without bytes that
// came behind it: these hid its end from net/http.
func TestAClientThatLeavesWhileHeldIsNotSentOn(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		for _, behind := range []string{"", "G", head("GET", "lookup", "behind", "100") + "G"} {
			s := newAppServer(t, says(ok200, true))
			n, r := startNodeWith(t, func(c *Config) { slowSettings(c); c.Settings.Limits.Cancel = cancel })
			c := n.dial()
			c.write(head("GET", "lookup", "leaver", "100"))
			until(t, "the request", func() bool { return n.isOpen("leaver") })
			c.write(behind)
			c.Close()
			until(t, "the end of the request", func() bool { return !n.isOpen("leaver") })
			watch := <-r.watches
			watch <- `{"version":2,"full":true,"servers":[` + line("s", s.Addr().String(), "up", 0) + `]}`
			n.wantNone(s)
		}
	}
}

// Between two attempts: the first one's server turns it away once the client has gone.
func TestAClientThatLeavesBetweenAttemptsIsNotSentOn(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		asked, release := make(chan struct{}, 1), make(chan struct{})
		var one *appServer
		script := func(c net.Conn, r *http.Request) bool {
			if r.Header.Get("Req-Id") == "leaver" {
				asked <- struct{}{}
				<-release
				says("HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", false)(c, r)
				return false
			}
			return says(ok200, true)(c, r)
		}
		one = newAppServer(t, script)
		two := newAppServer(t, script)
		n, _ := startNodeWith(t, func(c *Config) { slowSettings(c); c.Settings.Limits.Cancel = cancel }, one, two)
		c := n.dial()
		c.write(head("GET", "lookup", "leaver", "100"))
		waitFor(t, "the attempt", asked)
		c.Close()
		if cancel {
			until(t, "the end of the request", func() bool { return !n.isOpen("leaver") })
		}
		close(release)
		until(t, "the end of the request", func() bool { return !n.isOpen("leaver") })
		if a := n.lookup("team"); a.status != 200 || one.requests.Load()+two.requests.Load() != 2 {
			t.Errorf("%+v; %d and %d requests", a, one.requests.Load(), two.requests.Load())
		}
	}
}

// A client that has left before its request is read at all: it waited in the machine, not here.
func TestARequestOfAClientThatHasGoneIsNotTaken(t *testing.T) {
	s := newAppServer(t, says(ok200, true))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{t: t, addr: l.Addr().String(), ended: make(chan error, 1)}
	for i := range 20 {
		c := n.dial()
		c.write(head("GET", "lookup", fmt.Sprint("gone", i), "5"))
		c.Close()
	}
	cfg := testConfig(t, "127.0.0.1:1")
	cfg.Known = roster{Full: true, Servers: []instance{{ID: "s", Addr: s.Addr().String(), State: "up", Weight: 1}}}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { n.ended <- serve(ctx, cfg, l, nil) }()
	n.wantNone(s)
}

// A client that has ended its sending alone gets no answer that no server made.
func TestNoAnswerIsMadeUpForAClientThatLeft(t *testing.T) {
	n, _ := startNodeWith(t, slowSettings)
	c := n.dial()
	c.write(head("GET", "lookup", "half", "100"))
	until(t, "the request", func() bool { return n.isOpen("half") })
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if a := c.answer(); a.status != 0 {
		t.Errorf("answered %+v", a)
	}
}

// A request behind another on the same connection is answered after it, byte for byte.
func TestPipelinedRequestsAreAnsweredInTurn(t *testing.T) {
	asked, release := make(chan struct{}, 10), make(chan struct{})
	s := newAppServer(t, func(c net.Conn, r *http.Request) bool {
		asked <- struct{}{}
		<-release
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%s", r.Header.Get("Req-Id"))
		return true
	})
	n, _ := startNodeWith(t, slowSettings, s)
	c := n.dial()
	c.write(head("GET", "lookup", "1", "100"))
	waitFor(t, "the attempt", asked)
	second := head("POST", "pay", "2", "100") + "x"
	c.write(second[:1]) // ends net/http's own watch
	c.write(second[1:40])
	c.write(second[40:] + head("GET", "lookup", "3", "100"))
	close(release)
	for _, want := range []string{"1", "2", "3"} {
		if a := c.answer(); a.status != 200 || a.body != want {
			t.Errorf("%+v, want %s", a, want)
		}
	}
}
