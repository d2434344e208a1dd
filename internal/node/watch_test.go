package node

import (
	"bytes"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"springfield/internal/settings"
	"springfield/policy"
)

// follows runs a discovery that nobody but the test hears.
func follows(t *testing.T, d *discovery) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); waitFor(t, "the end of discovery", ended) })
}

func unheard(addr string) (*discovery, *loop) {
	l := &loop{rosters: make(chan rosterNews, 16), done: make(chan struct{})}
	return newDiscovery(addr, nil, l, paceOf(&settings.Settings{}), 1), l
}

func nextNews(t *testing.T, l *loop) rosterNews {
	t.Helper()
	select {
	case n := <-l.rosters:
		return n
	case <-time.After(limit):
		t.Fatal("no news")
		panic("not reached")
	}
}

// Lists may come indented, also down a watch: each of their lines alone is no JSON.
func TestAnIndentedChangeIsRead(t *testing.T) {
	r := newRegistry(t)
	d, l := unheard(r.Listener.Addr().String())
	follows(t, d)
	nextNews(t, l)
	watch := <-r.watches
	watch <- "{\n  \"version\": 2,\n  \"full\": false,\n  \"servers\": [\n    {\n      \"id\": \"}{\\\"[\",\n" +
		"      \"addr\": \"127.0.0.1:1\",\n      \"state\": \"draining\"\n    }\n  ]\n}\n"
	if n := nextNews(t, l); n.kind != policy.UpdateDelta || len(n.servers) != 1 || n.servers[0].State != policy.StateDraining {
		t.Errorf("%+v", n)
	}
	watch <- `{"version":3,"full":false,"servers":[{"id":"b","addr":"127.0.0.1:2","state":"up"}]}`
	if n := nextNews(t, l); len(n.servers) != 1 || n.servers[0].State != policy.StateReady {
		t.Errorf("then %+v", n)
	}
}

// A change that comes in part is lost: the whole list is asked for, whether an empty line follows,
// the watch ends, or it says nothing more.
func TestAChangeInPartLosesTrack(t *testing.T) {
	for _, after := range []string{"\n\n", "", "hang"} {
		asked := make(chan string, 100)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Query().Get("watch") == "" {
				asked <- "list"
				io.WriteString(w, `{"version":9,"full":true,"servers":[]}`)
				return
			}
			asked <- "watch"
			io.WriteString(w, "{\"version\":10,\n\"servers\":[{\"id\":")
			if after != "" {
				io.WriteString(w, strings.TrimPrefix(after, "hang"))
				w.(http.Flusher).Flush()
				<-q.Context().Done()
			}
		}))
		d, _ := unheard(s.Listener.Addr().String())
		if d.silence = 2 * limit; after == "hang" {
			d.silence = 50 * time.Millisecond
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { d.run(ctx); close(ended) }()
		for i, want := range []string{"list", "watch", "list", "watch"} {
			select {
			case got := <-asked:
				if got != want {
					t.Errorf("%q: call %d is for a %s, want a %s", after, i, got, want)
				}
			case <-time.After(limit):
				t.Fatalf("%q: no call %d", after, i)
			}
		}
		cancel()
		waitFor(t, "the end of discovery", ended)
		s.Close()
	}
}

// A watch that has spoken and then falls silent is opened anew, from the version it came to.
func TestAWatchThatFallsSilentIsRenewedFromItsVersion(t *testing.T) {
	asked := make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Get("watch") == "" {
			io.WriteString(w, `{"version":9,"full":true,"servers":[]}`)
			return
		}
		asked <- q.URL.Query().Get("after")
		io.WriteString(w, `{"version":12,"full":false,"servers":[]}`+"\n\n")
		w.(http.Flusher).Flush()
		<-q.Context().Done()
	}))
	defer s.Close()
	d, _ := unheard(s.Listener.Addr().String())
	d.silence = 50 * time.Millisecond
	follows(t, d)
	for _, want := range []string{"9", "12", "12"} {
		select {
		case got := <-asked:
			if got != want {
				t.Errorf("from %s, want %s", got, want)
			}
		case <-time.After(limit):
			t.Fatal("no watch")
		}
	}
}

// Guards rule 3: what a broken watch misses counts as told 6 s after it broke. It may have broken
// right after its last line, so silence, pause and the grace for the call have to fit in.
func TestABrokenWatchIsOpenedInTime(t *testing.T) {
	for _, kind := range []string{"pushed", "on_request"} {
		for n := range 300 {
			d := paced(kind, 300, n)
			for _, quiet := range []time.Duration{0, 2 * time.Second, watchSilence} {
				if pause := d.pause(d.afterBreak(quiet)); quiet+pause > 5500*time.Millisecond {
					t.Fatalf("%s: node %d opens a watch that broke %v after its last line %v later", kind, n, quiet, pause)
				}
			}
			if bound := d.afterBreak(time.Hour); bound <= 0 {
				t.Fatalf("a bound of %v", bound)
			}
		}
	}
}

// Guards rule 3: a change counts as told 6 s after discovery had it and could be reached, whatever calls
// failed before. Discovery may be back right after a call began that is refused, turned away, has no
// connection or hangs until it is given up, or right after the pause behind it began; half a second is
// left for the call that succeeds. A new address has 4 s.
func TestDiscoveryIsAskedInTimeAfterFailures(t *testing.T) {
	const call = 500 * time.Millisecond
	for _, kind := range []string{"pushed", "on_request"} {
		for _, nodes := range []int{1, 20, 300, 3000} {
			for _, within := range []float64{0, 1500, 10_000, 120_000} {
				for n := range 20 {
					var s settings.Settings
					s.Discovery, s.Balancers, s.Safety.AskWithinMs = kind, nodes, within
					d := newDiscovery("127.0.0.1:1", nil, nil, paceOf(&s), uint64(n))
					d.heldFrom = d.base
					if first := d.firstPause() + call; first > toldAfter {
						t.Fatalf("%s, node %d of %d, to ask within %v ms: first told %v after its start", kind, n, nodes, within, first)
					}
					if moved := d.movePause() + call; moved > 4*time.Second {
						t.Fatalf("%s, node %d of %d: told %v after it moved", kind, n, nodes, moved)
					}
					wait := d.first
					for failure := range 12 {
						for _, took := range []time.Duration{0, 20 * time.Millisecond, time.Second, watchSilence} {
							bound := d.afterFailure(wait, took)
							if told := took + bound + call; bound <= 0 || told > toldAfter {
								t.Fatalf("%s, node %d of %d, to ask within %v ms, failure %d after %v: told after %v",
									kind, n, nodes, within, failure, took, told)
							}
						}
						wait = min(2*wait, d.most)
					}
				}
			}
		}
	}
}

// The calls that a fleet makes while a shared discovery is down, and when it is back or moves, are
// spread over the pauses, however long the outage: in no tenth of a second come more than an eighth.
func TestAFleetReturnsToASharedDiscoverySpreadOut(t *testing.T) {
	const nodes = 350
	for what, pause := range map[string]func(*discovery) time.Duration{
		"refused": func(d *discovery) time.Duration { return d.pause(d.afterFailure(d.most, 0)) },
		"hanging": func(d *discovery) time.Duration { return d.pause(d.afterFailure(d.most, watchSilence)) },
		"moved":   func(d *discovery) time.Duration { return d.movePause() },
	} {
		slots := map[time.Duration]int{}
		for n := range nodes {
			slots[pause(paced("on_request", nodes, n))/(100*time.Millisecond)]++
		}
		for slot, n := range slots {
			if n > nodes/8 {
				t.Errorf("%s: %d of %d nodes call in tenth %d of a second", what, n, nodes, slot)
			}
		}
	}
}

// What an agent gets counts as told at once, so its node may not pause for longer than the drain
// grace of the settings, however often it was not answered.
func TestAnAgentIsAskedAgainWithinTheDrainGrace(t *testing.T) {
	for _, grace := range []float64{0, 100, 600, 3000} {
		var s settings.Settings
		s.Safety.DrainGraceMs = grace
		p := paceOf(&s)
		if want := time.Duration(grace/2) * time.Millisecond; grace > 0 && p.most > want || p.most <= 0 || p.most > time.Second {
			t.Errorf("grace of %v ms: pauses of up to %v", grace, p.most)
		}
	}
}

// logged makes what the log says of configurations readable line by line; nodes of other tests may
// still be ending.
func logged(t *testing.T) <-chan string {
	lines := make(chan string, 100)
	log.SetOutput(writer(func(p []byte) {
		if bytes.Contains(p, []byte(" configuration")) {
			lines <- string(bytes.TrimSpace(p))
		}
	}))
	t.Cleanup(func() { log.SetOutput(os.Stderr) })
	return lines
}

type writer func([]byte)

func (w writer) Write(p []byte) (int, error) { w(p); return len(p), nil }

// A configuration that is broken, half written or another deployment's leaves the last good one in
// force, with one plain line; one that was just being written is taken once it is whole.
func TestBadConfigurationsAreNotFollowed(t *testing.T) {
	lines := logged(t)
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	good := func(name, discovery, class string) string {
		return `{"name":"` + name + `","discovery":"` + discovery + `","settings":{"Classes":[{"Name":"` + class +
			`","Repeat":"idempotent"}],"Contracts":[{"Name":"team"}]}}`
	}
	write(good("n1", "127.0.0.1:1", "lookup"))
	cfg, err := readConfig(file)
	if err != nil {
		t.Fatal(err)
	}
	d, _ := unheard(cfg.Discovery)
	reload, stop := make(chan os.Signal), make(chan struct{})
	ended := make(chan struct{})
	go func() { follow(cfg, d, reload, stop); close(ended) }()
	next := func(want string) {
		t.Helper()
		select {
		case got := <-lines:
			if !strings.Contains(got, want) {
				t.Errorf("logged %q, want %q", got, want)
			}
		case <-time.After(limit):
			t.Fatalf("never logged %q", want)
		}
	}
	whole := good("n1", "127.0.0.1:2", "lookup")
	for _, bad := range []string{"", "{", whole[:len(whole)/2], `{"name":"n1"}`, good("n2", "127.0.0.1:9", "lookup"),
		good("n1", "127.0.0.1:9", "search"), strings.Replace(whole, "idempotent", "at_most_once", 1), strings.Replace(whole, "team", "pro", 1)} {
		write(bad)
		reload <- os.Interrupt
		next("the old configuration stays")
		if _, base := d.round(context.Background()); base != baseURL("127.0.0.1:1") {
			t.Errorf("%s: followed to %s", bad, base)
		}
	}
	write(whole) // with no further signal
	next("new configuration: discovery at 127.0.0.1:2")
	if _, base := d.round(context.Background()); base != baseURL("127.0.0.1:2") {
		t.Errorf("followed to %s", base)
	}
	close(stop)
	waitFor(t, "the end of the follower", ended)
}

// A process is ready with a list and without, also while discovery refuses, hangs or turns it away; none
// of those started before has ended. With a list it serves, without one it refuses.
func TestNodesAreReadyWhateverDiscoveryDoes(t *testing.T) {
	hanging, err := net.Listen("tcp", "127.0.0.1:0") // the machine accepts, nobody answers
	if err != nil {
		t.Fatal(err)
	}
	defer hanging.Close()
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer busy.Close()
	s := newAppServer(t, says(ok200, true))
	for _, addr := range []string{"127.0.0.1:1", hanging.Addr().String(), busy.Listener.Addr().String()} {
		for _, kind := range []string{"pushed", "on_request"} {
			for _, listed := range []bool{true, false} {
				n, _ := startNodeWith(t, func(c *Config) {
					c.Discovery, c.Settings.Discovery = addr, kind
					c.Settings.Classes[0].AimMs = 200 // half of it is the wait for a server
					c.Settings.Balancers, c.Settings.Safety.AskWithinMs = 350, 10_000
					if listed {
						c.Known = roster{Full: true, Servers: []instance{{ID: "s", Addr: s.Addr().String(), State: "up", Weight: 1}}}
					}
				})
				want := map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable}[listed]
				if a := n.lookup("team"); a.status != want {
					t.Errorf("discovery at %s, %s, a list %v: %+v, want %d", addr, kind, listed, a, want)
				}
			}
		}
	}
}
