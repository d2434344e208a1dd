package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"springfield/internal/settings"
	"springfield/policy"
)

// roster is a list of app servers, whole or what changed, as discovery words it.
type roster struct {
	Version uint64
	Full    bool
	Servers []instance
}

// usable says why news can't be used. What names no servers at all, not even none, would leave an
// edge node without any if it were taken for a whole list.
func (r *roster) usable() error {
	if r.Servers == nil {
		return errors.New("it names no servers")
	}
	return nil
}

type instance struct {
	ID, Addr, Zone, State string
	Cell                  int
	Weight                float64
	StartedMS             int64 `json:"started_ms"`
}

const (
	registryPath = "/registry/instances"
	watchSilence = 3500 * time.Millisecond // an empty line comes every 2 s; a call with no answer is given up, too
	toldAfter    = 6 * time.Second         // a change counts as told so long after discovery has it and can be reached
	toldMargin   = 0.8                     // part of what is left of that which a pause may take
	movedWithin  = 2 * time.Second         // of the 4 s after which a new address's list counts as told: for the pause
	graceMargin  = 0.25                    // part of the drain grace that a pause at an agent may take
	callEvery    = 75 * time.Millisecond   // what a shared discovery is left for each call of the fleet
	backoffFirst = 50 * time.Millisecond   // least bound of the first pause
	backoffMost  = time.Second             // least bound of the longest
	askMargin    = 0.8                     // part of the time to ask within that a pause may take
	failedAsk    = 4                       // after a call that failed, that time is so many times as long
	maxLine      = 4 << 20
)

// longestPause is the most that a pause may take where nothing else took a part of toldAfter.
const longestPause = time.Duration(toldMargin * float64(toldAfter))

// pacing bounds the pauses before calls to discovery.
type pacing struct {
	shared bool          // one discovery serves the whole fleet, and even the first call waits its turn
	first  time.Duration // bound of the first pause
	most   time.Duration // and of the longest
}

// paceOf is the pacing that the settings ask for. Where lists are pushed, an agent on this machine
// holds them: a call to it costs nobody anything, and what it holds counts as told. Where they
// must be asked for, calls are spread over the size of the fleet, but a node that has not asked
// for a given time counts as told of all that was listed before, and in any case of what a discovery
// that can be reached has had for toldAfter.
func paceOf(s *settings.Settings) pacing {
	p := pacing{first: backoffFirst, most: backoffMost}
	if s.Discovery != "on_request" {
		// What the agent gets while it is not asked counts as told at once: a pause comes out of
		// the time in which sends to a server that drains have to stop.
		if grace := settings.Duration(graceMargin * s.Safety.DrainGraceMs); grace > 0 {
			p.most = min(p.most, max(p.first, grace))
		}
		return p
	}
	p.shared = true
	p.first = max(p.first, time.Duration(s.Balancers)*callEvery)
	p.most = max(p.most, 2*p.first)
	if within := settings.Duration(askMargin * s.Safety.AskWithinMs); within > 0 {
		p.first = max(backoffFirst, min(p.first, within))
		p.most = max(backoffMost, min(p.most, failedAsk*within))
	}
	p.first, p.most = min(p.first, longestPause), min(p.most, longestPause)
	return p
}

// discovery follows the list of app servers and tells the loop. Where it serves all edge
// nodes it can do only so much at a time, so this asks for little: for what has changed since
// the list that it holds, and at moments of its own.
type discovery struct {
	zones []string
	rng   *rand.Rand
	pacing
	silence time.Duration // a watch with no line for so long is dead
	loop    *loop
	http    http.Client
	names   map[string]policy.EndpointID
	ids     map[policy.EndpointID]string

	heldFrom string    // where the list that is held came from; "": none is held
	version  uint64    // and its version
	trouble  string    // what the last round failed with
	heardAt  time.Time // when the last line came, or else when the present call began

	listed chan struct{} // closed when discovery has first answered
	once   sync.Once

	mu      sync.Mutex
	base    string
	restart context.CancelFunc // ends the present round, so that one at base begins
}

// newDiscovery follows discovery at addr, at the pace given.
func newDiscovery(addr string, zones []string, l *loop, pace pacing, seed uint64) *discovery {
	dialer := net.Dialer{Timeout: time.Second}
	return &discovery{
		base: baseURL(addr), zones: zones, rng: rand.New(rand.NewPCG(seed, seed)),
		pacing: pace, silence: watchSilence, loop: l,
		names: map[string]policy.EndpointID{}, ids: map[policy.EndpointID]string{},
		listed: make(chan struct{}), restart: func() {},
		http: http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConns: 1,
			MaxResponseHeaderBytes: maxHead}},
	}
}

func baseURL(addr string) string { return "http://" + addr + registryPath }

// move makes discovery follow another address from now on. What is known stays until the
// list there has been read whole.
func (d *discovery) move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if base := baseURL(addr); base != d.base {
		d.base = base
		d.restart()
	}
}

// round begins a round at the address in force; its context ends when that changes.
func (d *discovery) round(ctx context.Context) (context.Context, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restart() // frees the round before
	ctx, d.restart = context.WithCancel(ctx)
	return ctx, d.base
}

// run lists and watches, again and again, until ctx ends. Edge nodes that start at once, or
// whose watches break at once, must not ask a shared discovery at once: calls wait there until
// those who made them have gone, and it is then busy with the dead ones for good. So each pauses
// for a random time, up to a bound that grows with the fleet. One that starts with a list can
// wait too.
func (d *discovery) run(ctx context.Context) {
	defer d.http.CloseIdleConnections()
	wait, pause, last := d.first, d.firstPause(), d.heldFrom
	for ctx.Err() == nil {
		round, base := d.round(ctx)
		if base != last { // moved: in time, and patient anew
			wait, pause, last = d.first, d.movePause(), base
			d.http.CloseIdleConnections()
		}
		select {
		case <-round.Done():
			continue
		case <-time.After(pause):
		}
		d.heardAt = time.Now()
		heard, err := d.follow(round, base)
		if heard {
			wait, d.trouble = d.first, ""
		} else if round.Err() == nil && err.Error() != d.trouble {
			d.trouble = err.Error() // once, not at each attempt
			log.Printf("discovery: %v", err)
		}
		if heard {
			pause = d.pause(d.afterBreak(time.Since(d.heardAt)))
		} else {
			pause = d.pause(d.afterFailure(wait, time.Since(d.heardAt)))
		}
		wait = min(2*wait, d.most)
	}
}

// afterBreak bounds the pause after a watch that broke so long after its last line.
func (d *discovery) afterBreak(quiet time.Duration) time.Duration { return inTime(d.first, quiet) }

// afterFailure bounds the pause after a call that took so long and failed. Discovery may have come back
// right after the call began: then the call, which was lost all the same, has used a part of the time in
// which the next one has to be answered.
func (d *discovery) afterFailure(wait, took time.Duration) time.Duration { return inTime(wait, took) }

// inTime keeps a pause inside what is left of toldAfter.
func inTime(wait, used time.Duration) time.Duration {
	left := time.Duration(toldMargin * float64(toldAfter-used))
	return min(wait, max(backoffFirst, left))
}

// movePause comes before the first call at a new address: there the whole fleet arrives with one signal.
func (d *discovery) movePause() time.Duration {
	if !d.shared {
		return 0
	}
	return d.pause(min(d.first, movedWithin))
}

// firstPause comes before the first call: only a node that holds a list can wait its turn.
func (d *discovery) firstPause() time.Duration {
	if d.heldFrom == "" || !d.shared {
		return 0
	}
	return d.pause(d.first)
}

// pause is a random time up to a bound: backoff with full jitter.
func (d *discovery) pause(bound time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(bound)))
}

// follow watches until the watch breaks. A whole list is asked for only where none is held from
// this address: it costs discovery work for every line. It reports whether discovery answered.
func (d *discovery) follow(ctx context.Context, base string) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	alive := time.AfterFunc(d.silence, cancel)
	defer alive.Stop()

	if d.heldFrom != base {
		if err := d.list(ctx, base); err != nil {
			return false, err
		}
		d.once.Do(func() { close(d.listed) })
	}
	body, err := d.get(ctx, base+"?watch=1&after="+strconv.FormatUint(d.version, 10))
	if err != nil {
		return false, err
	}
	d.once.Do(func() { close(d.listed) })
	defer body.Close()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLine)
	var next object
	for lines.Scan() {
		alive.Reset(d.silence)
		d.heardAt = time.Now()
		if len(lines.Bytes()) == 0 && len(next.text) == 0 || !next.add(lines.Bytes(), maxLine) {
			continue
		}
		var change roster
		err := json.Unmarshal(next.take(), &change)
		if err == nil {
			err = change.usable()
		}
		if err != nil {
			d.heldFrom = "" // what it changed is not known
			return true, fmt.Errorf("a change: %w", err)
		}
		d.tell(ctx, base, change)
	}
	if errors.Is(lines.Err(), bufio.ErrTooLong) || len(next.text) > 0 {
		d.heldFrom = "" // a change has come in part
	}
	return true, lines.Err()
}

// list has the whole list.
func (d *discovery) list(ctx context.Context, base string) error {
	body, err := d.get(ctx, base)
	if err != nil {
		return err
	}
	defer body.Close()
	var list roster
	if err := json.NewDecoder(io.LimitReader(body, maxLine)).Decode(&list); err != nil {
		return fmt.Errorf("the list: %w", err)
	}
	if err := list.usable(); err != nil {
		return fmt.Errorf("the list: %w", err)
	}
	if !list.Full {
		return errors.New("the list: it is not a whole one")
	}
	d.tell(ctx, base, list)
	return ctx.Err()
}

func (d *discovery) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("%s: %s", url, resp.Status)
	}
	return resp.Body, nil
}

// tell hands news to the loop.
func (d *discovery) tell(ctx context.Context, base string, list roster) {
	kind := policy.UpdateDelta
	if list.Full {
		kind = policy.UpdateFull
	}
	select {
	case d.loop.rosters <- d.news(kind, list):
		d.heldFrom, d.version = base, list.Version
	case <-ctx.Done():
	case <-d.loop.done:
	}
}

// known tells the loop of the list in the configuration, and waits until it has it. An
// empty one is no news: the module sizes its first bounds by the first list it hears.
func (d *discovery) known(list roster) {
	if len(list.Servers) == 0 {
		return
	}
	if list.Full {
		d.heldFrom, d.version = d.base, list.Version
	}
	n := d.news(policy.UpdateCached, list)
	n.applied = make(chan struct{})
	select {
	case d.loop.rosters <- n:
		<-n.applied
	case <-d.loop.done:
	}
}

func (d *discovery) news(kind policy.UpdateKind, list roster) rosterNews {
	n := rosterNews{kind: kind}
	for _, in := range list.Servers {
		if in.ID == "" || in.Addr == "" && in.State != "removed" {
			continue
		}
		s := policy.Endpoint{ID: d.id(in.ID), Weight: in.Weight, Zone: slices.Index(d.zones, in.Zone), Cell: in.Cell,
			StartedAt: time.Duration(max(0, min(in.StartedMS, 1<<42))) * time.Millisecond}
		switch in.State {
		case "up":
			s.State = policy.StateReady
		case "removed":
			s.State = policy.StateRemoved
		default: // draining, or what we do not know: nothing new
			s.State = policy.StateDraining
		}
		n.servers = append(n.servers, s)
		n.addrs = append(n.addrs, in.Addr)
	}
	d.forget(kind, n.servers)
	return n
}

// forget drops the names of servers that have gone: ever new ones come on a long day.
func (d *discovery) forget(kind policy.UpdateKind, servers []policy.Endpoint) {
	gone := map[policy.EndpointID]bool{}
	if kind != policy.UpdateDelta {
		for id := range d.ids {
			gone[id] = true
		}
	}
	for _, s := range servers {
		gone[s.ID] = s.State == policy.StateRemoved
	}
	for id := range gone {
		if gone[id] {
			delete(d.names, d.ids[id])
			delete(d.ids, id)
		}
	}
}

// id gives a server's name a number: the same at every start, for the module ranks
// servers by it.
func (d *discovery) id(name string) policy.EndpointID {
	if id, ok := d.names[name]; ok {
		return id
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	id := policy.EndpointID(h.Sum32())
	for d.ids[id] != "" {
		id++
	}
	d.names[name], d.ids[id] = id, name
	return id
}
