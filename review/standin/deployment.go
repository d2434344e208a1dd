package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The load of usual clients that keep their connections: about 60 requests a second at two gateways.
const (
	usualClients = 30
	usualLength  = 20 * time.Second
	usualPause   = 300 * time.Millisecond
)

// lateSlack is how long after its time an answer may come: half a second, and 50 ms for each time limit.
const lateSlack = 550 * time.Millisecond

var errNothingServed = errors.New("no request was served")

// deployment is a small deployment around real gateways.
type deployment struct {
	record   *record
	site     *site
	gateways []*gateway
	nextID   atomic.Int64

	mu      sync.Mutex
	results []result
}

// startDeployment starts the servers, the agents and the gateways, and waits until the gateways are ready.
func startDeployment(root, directory string, s *site, record *record, b behavior) (*deployment, error) {
	d := &deployment{record: record, site: s}
	var runs atomic.Int64
	list := endpointList{Version: 41, Full: true}
	for i := range s.serverCount {
		id := fmt.Sprintf("s-%d", i)
		server, err := startServer(id, record, &runs, b)
		if err != nil {
			return nil, err
		}
		list.Servers = append(list.Servers, instance{ID: id, Addr: server.address(), Zone: "dc1", Kind: "std-2c",
			Cell: i / 4, State: "up", Weight: 1})
	}
	for number := range gatewayCount {
		g, err := startGateway(root, directory, number, s, list, record)
		if g != nil && g.command.Process != nil {
			d.gateways = append(d.gateways, g)
		}
		if err != nil {
			d.stop()
			return nil, err
		}
	}
	return d, nil
}

func (d *deployment) stop() {
	for _, g := range d.gateways {
		g.stop()
	}
}

// newRequest returns the next request. The classes and customers take turns.
func (d *deployment) newRequest(deadlineShare float64) request {
	n := int(d.nextID.Add(1))
	c := d.site.classes[n%len(d.site.classes)]
	q := request{
		id: fmt.Sprintf("%08x%08x", os.Getpid(), n), method: http.MethodGet, class: c.name,
		plan: planNames[n%len(planNames)], customer: 1000 + n%40,
		deadline: time.Duration(deadlineShare * c.deadlineMS * float64(time.Millisecond)),
	}
	if c.repeat != "idempotent" {
		q.method, q.body = http.MethodPost, `{"text":"sofa, hardly used"}`
	}
	return q
}

// add stores the result of a usual client's request.
func (d *deployment) add(r result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results = append(d.results, r)
}

// runClients lets usual clients ask: each on one connection, one request at a time.
func (d *deployment) runClients() {
	var running sync.WaitGroup
	end := time.Now().Add(usualLength)
	for i := range usualClients {
		running.Go(func() { d.runClient(d.gateways[i%len(d.gateways)], end) })
	}
	running.Wait()
}

func (d *deployment) runClient(g *gateway, end time.Time) {
	var conn *connection
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for ; time.Now().Before(end); time.Sleep(usualPause) {
		q := d.newRequest(1)
		if conn == nil {
			var err error
			if conn, err = dial(g.address); err != nil {
				d.add(result{request: q, err: err})
				continue
			}
		}
		r, last := conn.ask(d.record, q, q.deadline+lateSlack)
		d.add(r)
		if last {
			_ = conn.Close()
			conn = nil
		}
	}
}

// countByStatus returns how many results have each status.
func (d *deployment) countByStatus() map[int]int {
	counts := map[int]int{}
	for _, r := range d.results {
		counts[r.status]++
	}
	return counts
}
