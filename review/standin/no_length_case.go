package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
)

// noLength leaves out the length of one of four answers, which then end in order with their connection.
type noLength struct {
	trouble bool

	mu    sync.Mutex
	count int
	made  map[string]string // the bodies that were sent without a length, with the ids of their requests
}

func (*noLength) site() *site { return osloSite() }

func (*noLength) ahead(*http.Request) string { return "" }

func (c *noLength) respond(request *http.Request, body string) (text string, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text = wholeAnswer(body)
	c.count++
	if !c.trouble || c.count%4 != 0 {
		return text, false
	}
	c.made[body] = request.Header.Get("Req-Id")
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	return strings.Replace(text, length, "Connection: close\r\n", 1), true
}

func (*noLength) run(d *deployment) { d.runClients() }

func (c *noLength) check(d *deployment) (finding string, held bool, err error) {
	served, forwarded, failedUnsafe := 0, 0, 0
	ids := map[string]bool{}
	for _, id := range c.made {
		ids[id] = true
	}
	for _, r := range d.results {
		if r.status == http.StatusOK {
			served++
			if c.made[r.body] == r.id {
				forwarded++
			}
		} else if r.method == http.MethodPost && ids[r.id] {
			failedUnsafe++
		}
	}
	if served == 0 {
		return "", false, errNothingServed
	}
	finding = fmt.Sprintf("answers with no length that came whole: %d, forwarded: %d; "+
		"requests that must not run twice, ran, were answered whole and failed: %d", len(c.made), forwarded, failedUnsafe)
	return finding, 2*forwarded >= len(c.made), nil
}
