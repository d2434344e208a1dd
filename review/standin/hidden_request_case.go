package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// hidingClients is the number of bad clients that hide a request, which come one after another.
	hidingClients  = 8
	hidingInterval = 2 * time.Second

	// badClientTime is the time in which a bad client is owed an error or a close.
	badClientTime = 3 * time.Second
)

// hiddenRequest lets bad clients send requests that have both a Content-Length and a Transfer-Encoding, with another
// request hidden behind the head, where the body is.
type hiddenRequest struct {
	trouble bool

	mu     sync.Mutex
	hidden []string // ids of the hidden requests
	outer  []string // ids of the requests that have both headers
	served int      // number of the latter that the gateway has answered with 200
	ran    []string // ids of the requests that listing servers have executed
}

func (*hiddenRequest) site() *site { return osloSite() }

func (*hiddenRequest) ahead(*http.Request) string { return "" }

func (c *hiddenRequest) respond(request *http.Request, body string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran = append(c.ran, request.Header.Get("Req-Id"))
	return wholeAnswer(body)
}

func (c *hiddenRequest) run(d *deployment) {
	var running sync.WaitGroup
	for n := range hidingClients {
		if c.trouble {
			running.Go(func() {
				time.Sleep(time.Duration(n+1) * hidingInterval)
				c.hide(d, n)
			})
		}
	}
	d.runClients()
	running.Wait()
}

// hide sends a request in which another one hides. The outer one is a search, the hidden one a paid ad of a usual
// customer.
func (c *hiddenRequest) hide(d *deployment, n int) {
	conn, err := dial(d.gateways[n%len(d.gateways)].address)
	if err != nil {
		d.record.logf("bad    client=%d error=%v", n, err)
		return
	}
	defer func() { _ = conn.Close() }()
	outer, hidden := d.newRequest(1), d.newRequest(1)
	outer.id, outer.method, outer.class, outer.body = fmt.Sprintf("outer-%d", n), http.MethodGet, "search", ""
	hidden.id, hidden.method, hidden.class = fmt.Sprintf("hidden-%d", n), http.MethodPost, "post-ad"
	hidden.body = `{"text":"nobody has sent this"}`
	text := strings.Replace(outer.encode(), "HTTP/1.1\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n"+
		"Content-Length: 0\r\nTransfer-Encoding: chunked\r\n", 1) + hidden.encode()
	d.record.logf("bad    client=%d sends %q", n, text)
	_ = conn.SetDeadline(time.Now().Add(badClientTime))
	_, err = io.WriteString(conn, text)
	var r result
	if err == nil {
		_, err = conn.readAnswer(&r)
	}
	d.record.logf("bad    client=%d got status=%d error=%v body=%q", n, r.status, err, r.body)
	time.Sleep(time.Second) // the client goes only after this
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outer, c.hidden = append(c.outer, outer.id), append(c.hidden, hidden.id)
	if r.status == http.StatusOK {
		c.served++
	}
}

func (c *hiddenRequest) check(d *deployment) (finding string, held bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.countByStatus()[http.StatusOK] == 0 {
		return "", false, errNothingServed
	}
	ran := 0
	for _, id := range c.hidden {
		if slices.Contains(c.ran, id) {
			ran++
		}
	}
	return fmt.Sprintf("requests with both headers: %d, answered with 200: %d; hidden requests that a listing server has "+
		"executed: %d", len(c.outer), c.served, ran), ran == 0, nil
}
