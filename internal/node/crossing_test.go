package node

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"springfield/policy"
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
	dialling  chan struct{}
	cancelled chan struct{}
	open      chan struct{}
}

func newGate() *gate {
	return &gate{make(chan struct{}, 100), make(chan struct{}, 100), make(chan struct{})}
}

func (g *gate) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	g.dialling <- struct{}{}
	select {
	case <-g.open:
	case <-ctx.Done():
		g.cancelled <- struct{}{}
		<-g.open
	}
	return net.Dial(network, addr)
}

// leavesHeard makes the node tell of clients that have left, once the loop has heard all that was told
// it by then.
func (n *node) leavesHeard() <-chan struct{} {
	heard := make(chan struct{}, 100)
	n.inside.left = func() {
		c := n.dial()
		c.write(head("GET", "lookup", "after", "0.001")) // refused by the loop, for it has no time
		c.answer()
		heard <- struct{}{}
	}
	return heard
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

// departures are the ways in which a client goes: its request with and without a body, for net/http
// watches a client only from its request's last byte on, and its connection closed or reset.
var departures = func() (all []departure) {
	for _, request := range []string{head("GET", "lookup", "leaver", "100"), head("POST", "pay", "leaver", "100") + "b"} {
		for _, reset := range []bool{false, true} {
			all = append(all, departure{request, reset})
		}
	}
	return all
}()

type departure struct {
	request string
	reset   bool
}

func (d departure) leave(t *testing.T, c *client) {
	t.Helper()
	if d.reset {
		if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
			t.Fatal(err)
		}
	}
	c.Close()
}

// A request whose client has left while it waits for a connection reaches nobody, whether or not
// the settings allow attempts to be cancelled.
func TestAClientThatLeavesDuringADialIsNotSentOn(t *testing.T) {
	for i := range len(departures) * 2 {
		d, cancel := departures[i/2], i%2 == 0
		s, g := newAppServer(t, says(ok200, true)), newGate()
		n, _ := startNodeWith(t, func(c *Config) {
			slowSettings(c)
			c.Settings.Limits.Cancel, c.dial = cancel, g.dial
			c.Settings.Limits.DialTimeoutMs = 120_000
		}, s)
		c := n.dial()
		c.write(d.request)
		waitFor(t, "the dial", g.dialling)
		d.leave(t, c)
		waitFor(t, "the end of the dial", g.cancelled)
		close(g.open)
		until(t, "the end of the request", func() bool { return !n.isOpen("leaver") })
		n.wantNone(s)
	}
}

// The same for one that is held or finds no server that may take it, with and without bytes that
// came behind it: these hid its end from net/http.
func TestAClientThatLeavesWhileHeldIsNotSentOn(t *testing.T) {
	for i := range len(departures) * 2 {
		d, cancel := departures[i/2], i%2 == 0
		for _, behind := range []string{"", "G", head("GET", "lookup", "behind", "100") + "G"} {
			s := newAppServer(t, says(ok200, true))
			n, r := startNodeWith(t, func(c *Config) { slowSettings(c); c.Settings.Limits.Cancel = cancel })
			c := n.dial()
			c.write(d.request)
			until(t, "the request", func() bool { return n.isOpen("leaver") })
			c.write(behind)
			d.leave(t, c)
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
		heard := n.leavesHeard()
		c := n.dial()
		c.write(head("GET", "lookup", "leaver", "100"))
		waitFor(t, "the attempt", asked)
		c.Close()
		waitFor(t, "the client's end", heard)
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

// drained waits until the node listens no more.
func (n *node) drained() {
	n.t.Helper()
	until(n.t, "the end of the listener", func() bool {
		conn, err := net.Dial("tcp", n.addr)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
}

// Guards rule 1 at SIGTERM: what waits for a server, for a connection, or for its own last bytes as
// the listener ends is answered, as the last of its connection, and only then does the node end.
func TestATermOwesWhatIsHeldDiallingAndHalfRead(t *testing.T) {
	short := func(c *Config) { slowSettings(c); c.linger = time.Millisecond }
	want := func(n *node, c *client) {
		t.Helper()
		if a := c.answer(); a.status != 200 || a.body != "ok" || !a.close {
			t.Errorf("%+v", a)
		}
		n.wantEnd()
	}
	t.Run("dialling", func(t *testing.T) {
		g := newGate()
		n, _ := startNodeWith(t, func(c *Config) { short(c); c.dial = g.dial }, newAppServer(t, says(ok200, true)))
		c := n.dial()
		c.write(head("GET", "lookup", "a", "100"))
		waitFor(t, "the dial", g.dialling)
		n.stop()
		n.drained()
		close(g.open)
		want(n, c)
	})
	for _, text := range []string{head("GET", "lookup", "a", "100"), head("POST", "pay", "a", "100") + "x"} {
		for _, part := range []int{1, len(text) - 1} {
			t.Run("half read", func(t *testing.T) {
				n, _ := startNodeWith(t, short, newAppServer(t, says(ok200, true)))
				c := n.dial()
				c.write(text[:part])
				until(t, "the first bytes", func() bool { return n.inside.conns.reading() == 1 })
				n.stop()
				n.drained()
				c.write(text[part:])
				want(n, c)
			})
		}
	}
	t.Run("held", func(t *testing.T) {
		n, r := startNodeWith(t, func(c *Config) { short(c); c.Settings.Classes[0].AimMs = 16_000 }) // tries each 1 s
		c := n.dial()
		c.write(head("GET", "lookup", "a", "100"))
		until(t, "the request", func() bool { return n.isOpen("a") })
		n.stop()
		n.drained()
		s := newAppServer(t, says(ok200, true))
		watch := <-r.watches
		watch <- `{"version":2,"full":true,"servers":[` + line("s", s.Addr().String(), "up", 0) + `]}`
		want(n, c)
	})
}

// reading counts the connections on which a request has begun.
func (l *connLimit) reading() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for c := range l.open {
		if c.state == connHead || c.state == connBusy {
			count++
		}
	}
	return count
}

// Guards rule 3: a drain told while a dial waits. When its connection comes up nothing goes out on it;
// the request goes to a server that is up, for it has run nowhere.
func TestADrainToldDuringADial(t *testing.T) {
	for _, class := range []string{"lookup", "add", "pay"} {
		old, fresh, g := newAppServer(t, says(ok200, true)), newAppServer(t, says(ok200, true)), newGate()
		n, r := startNodeWith(t, func(c *Config) {
			slowSettings(c)
			c.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				if addr == fresh.Addr().String() {
					return net.Dial(network, addr)
				}
				return g.dial(ctx, network, addr)
			}
		}, old)
		method, body := "POST", "x"
		if class == "lookup" {
			method, body = "GET", ""
		}
		c := n.dial()
		c.write(head(method, class, "a", "100") + body)
		waitFor(t, "the dial", g.dialling)
		watch := <-r.watches
		watch <- `{"version":2,"full":false,"servers":[` + line("s-0", old.Addr().String(), "draining", 0) + `,` +
			line("s-1", fresh.Addr().String(), "up", 0) + `]}`
		asks := 0
		until(t, "the new list", func() bool { // one that still goes to the old server gets no connection
			asks++
			c := n.dial()
			defer c.Close()
			c.write(head("GET", "lookup", fmt.Sprint("ask", asks), "100"))
			c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
			return c.answer().status == 200
		})
		before := fresh.requests.Load()
		close(g.open)
		if a := c.answer(); a.status != 200 || old.requests.Load() != 0 || fresh.requests.Load() != before+1 {
			t.Errorf("%s: %+v; %d to the draining one, %d to the other", class, a, old.requests.Load(), fresh.requests.Load()-before)
		}
	}
}

// Guards rule 2: a connection that breaks once the request is whole may have run it. What is safe, or
// keyed in the same zone, goes elsewhere; the rest fails and never runs twice. One that breaks before
// runs nowhere, and every class goes elsewhere.
func TestAResetIsRepeatedOnlyWhereItMay(t *testing.T) {
	for _, class := range []string{"lookup", "add", "pay"} {
		for _, whole := range []bool{true, false} {
			reset := newAppServer(t, func(c net.Conn, r *http.Request) bool {
				io.Copy(io.Discard, r.Body)
				c.(*net.TCPConn).SetLinger(0)
				return false
			})
			if !whole {
				reset.stop()
			}
			good := newAppServer(t, says(ok200, true))
			n, _ := startNodeWith(t, slowSettings, reset, good)
			method, body := "POST", "x"
			if class == "lookup" {
				method, body = "GET", ""
			}
			failed := 0
			for i := range 6 {
				before := reset.requests.Load() + good.requests.Load()
				c := n.dial()
				c.write(head(method, class, fmt.Sprint(i), "100") + body)
				a := c.answer()
				ran := reset.requests.Load() + good.requests.Load() - before
				switch {
				case a.status == 200 && (ran == 1 || class != "pay"):
				case a.status == 502 && class == "pay" && whole && ran == 1:
					failed++
				default:
					t.Errorf("%s, whole %v: %+v after %d runs", class, whole, a, ran)
				}
			}
			if whole && reset.requests.Load() == 0 {
				t.Errorf("%s: the server that resets was never tried", class)
			}
			if want := int(reset.requests.Load()); class == "pay" && failed != want {
				t.Errorf("%d failed, want %d", failed, want)
			}
		}
	}
}

// An answer that comes once its time is up is nobody's: its connection ends, and the next request
// gets its own. A time-out that comes once the answer is there ends nothing: not that answer, and not
// the connection, which may be another's by then.
func TestAnAnswerThatCrossesItsTimeOut(t *testing.T) {
	asked, release := make(chan struct{}, 10), make(chan struct{})
	s := newAppServer(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Req-Id") == "late" {
			asked <- struct{}{}
			<-release
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			return true
		}
		return says(ok200, true)(c, r)
	})
	b := testBackend(t, s.Addr().String())
	a, out := testAttempt(b, limit), testRequest()
	out.Header["Req-Id"] = []string{"late"}
	told := make(chan policy.AttemptResult, 1)
	go func() { o, _ := a.do(out); told <- o }()
	waitFor(t, "the attempt", asked)
	a.abort(policy.StatusTimedOut)
	if o := <-told; o.Status != policy.StatusTimedOut {
		t.Errorf("%+v", o)
	}
	close(release)
	for range 2 {
		a := testAttempt(b, limit)
		if o, rep := a.do(testRequest()); o.Status != policy.StatusOK || string(rep.body) != "ok" {
			t.Errorf("then %+v, %q", o, rep.body)
		}
		a.abort(policy.StatusTimedOut)
	}
	if got := s.conns.Load(); got != 2 {
		t.Errorf("%d connections, want the one that timed out and another", got)
	}
}

// A watch that is reset just before a drain: the list told down the next one is obeyed, and the
// draining server gets nothing more.
func TestAWatchResetJustBeforeADrain(t *testing.T) {
	one, two := newAppServer(t, says(ok200, true)), newAppServer(t, says(ok200, true))
	n, r := startNode(t, one)
	if a := n.lookup("team"); a.status != 200 {
		t.Fatalf("%+v", a)
	}
	<-r.watches
	r.CloseClientConnections()
	watch := <-r.watches // opened anew
	watch <- `{"version":2,"full":false,"servers":[` + line("s-0", one.Addr().String(), "draining", 0) + `,` +
		line("s-1", two.Addr().String(), "up", 0) + `]}`
	waitFor(t, "the end of the idle connection", one.gone) // so the loop knows
	for range 3 {
		if a := n.lookup("team"); a.status != 200 {
			t.Errorf("%+v", a)
		}
	}
	if one.requests.Load() != 1 || two.requests.Load() != 3 {
		t.Errorf("%d requests to the draining one, %d to the other", one.requests.Load(), two.requests.Load())
	}
}

// A node run with the settings of another deployment: names, methods and order of classes and plans
// are the settings', and those of the first one mean nothing.
func TestSettingsOfAnotherDeployment(t *testing.T) {
	s := newAppServer(t, func(c net.Conn, r *http.Request) bool {
		io.Copy(io.Discard, r.Body)
		if r.Method == "POST" { // may have run
			return false
		}
		return says(ok200, true)(c, r)
	})
	n, _ := startNodeWith(t, func(c *Config) {
		c.Settings.Zones = nil
		cl, p := c.Settings.Classes, c.Settings.Contracts
		cl[0].Name, cl[0].Repeat = "tallennus", "at_most_once"
		cl[1].Name, cl[1].Repeat = "haku", "idempotent"
		c.Settings.Classes = cl[:2]
		p[0].Name = "kunta"
		c.Settings.Contracts = p[:1]
	}, s)
	for _, k := range []struct {
		method, class, plan string
		want                int
	}{
		{"GET", "haku", "kunta", 200}, {"POST", "tallennus", "kunta", 502}, {"GET", "tallennus", "kunta", 405},
		{"POST", "haku", "kunta", 405}, {"GET", "lookup", "kunta", 404}, {"GET", "haku", "team", 400},
	} {
		before := s.requests.Load()
		body := ""
		if k.method == "POST" {
			body = "x"
		}
		a := n.do(n.request(k.method, "/"+k.class+customerPath, k.plan, body, "5"))
		want := int32(1)
		if k.want/100 == 4 {
			want = 0
		}
		if ran := s.requests.Load() - before; a.status != k.want || ran != want {
			t.Errorf("%+v: %+v after %d attempts", k, a, ran)
		}
	}
}

// Guards rule 2: a connection that breaks within the request never ran it, so that every class goes
// elsewhere. Buffers far smaller than the request make sure that its last bytes are not out by then.
func TestAResetWithinTheRequestRunsNowhere(t *testing.T) {
	const small = 4 << 10
	listen := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		fault := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, small) })
		return cmp.Or(fault, err)
	}}
	l, err := listen.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var cut atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			io.ReadFull(conn, make([]byte, 100))
			cut.Add(1)
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}()
	for _, class := range []string{"add", "pay"} {
		good, before := newAppServer(t, says(ok200, true)), cut.Load()
		n, _ := startNodeWith(t, func(c *Config) {
			slowSettings(c)
			c.dial = func(_ context.Context, network, addr string) (net.Conn, error) {
				conn, err := net.Dial(network, addr)
				if err == nil {
					err = conn.(*net.TCPConn).SetWriteBuffer(small)
				}
				return conn, err
			}
		}, good, &appServer{Listener: l})
		for i := range 6 {
			r := n.request("POST", "/"+class+customerPath, "team", strings.Repeat("x", maxBody), "100")
			r.Header["Req-Id"] = []string{fmt.Sprint(i)}
			if a := n.do(r); a.status != 200 {
				t.Errorf("%s: %+v", class, a)
			}
		}
		if good.requests.Load() != 6 || cut.Load() == before {
			t.Errorf("%s: %d served, %d cut off", class, good.requests.Load(), cut.Load()-before)
		}
	}
}
