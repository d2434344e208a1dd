package main

import (
	"fmt"
	"net/http"
	"sync"
)

// interimText is the 1xx answer that listing servers send ahead of some answers.
const interimText = "HTTP/1.1 101 Switching Protocols\r\n\r\n"

// interim lets one of ten good answers bring a 1xx answer ahead, which is sent when the work begins.
type interim struct {
	trouble bool

	mu    sync.Mutex
	count int
	sent  int               // number of 1xx answers
	made  map[string]string // the id of the request for which a server has made a body
}

func (*interim) site() *site { return osloSite() }

func (c *interim) ahead(*http.Request) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	if !c.trouble || c.count%10 != 0 {
		return ""
	}
	c.sent++
	return interimText
}

func (c *interim) respond(request *http.Request, body string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.made[body] = request.Header.Get("Req-Id")
	return wholeAnswer(body)
}

func (*interim) run(d *deployment) { d.runClients() }

func (c *interim) check(d *deployment) (finding string, held bool, err error) {
	served, wrong, example := 0, 0, ""
	for _, r := range d.results {
		if r.status != http.StatusOK {
			continue
		}
		served++
		if c.made[r.body] != r.id {
			wrong++
			example = fmt.Sprintf("; one of them: request %s got %s", r.id, r.body)
		}
	}
	if served == 0 {
		return "", false, errNothingServed
	}
	finding = fmt.Sprintf("1xx answers ahead: %d; served: %d, with an answer that was not made for the request: "+
		"%d%s", c.sent, served, wrong, example)
	return finding, wrong == 0, nil
}
