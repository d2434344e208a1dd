package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimitMB is the memory limit of a gateway.
	memoryLimitMB = 32

	// longClients is the number of clients that stop in the middle of a long request and stay, at one gateway. Each
	// request declares a body of the longest length that the protocol allows, and stops shortly before its end.
	longClients   = 450
	longBodyBytes = 64 << 10
	missingBytes  = 1 << 10

	floodAfter     = 5 * time.Second // start of the flood, after that of the load
	memoryInterval = 10 * time.Millisecond
)

// memory lets many clients stop in the middle of a long request. The platform kills a gateway that is over its limit.
type memory struct {
	trouble bool

	mu     sync.Mutex
	peakKB map[string]int // largest anonymous memory of each gateway
	killed []string       // gateways that the platform has killed
}

func (*memory) site() *site {
	s := osloSite()
	s.memoryMB = memoryLimitMB
	return s
}

func (*memory) ahead(*http.Request) string { return "" }

func (*memory) respond(_ *http.Request, body string) string { return wholeAnswer(body) }

func (c *memory) run(d *deployment) {
	c.peakKB = map[string]int{}
	var running sync.WaitGroup
	for _, g := range d.gateways {
		go c.limitMemory(d.record, g)
	}
	if c.trouble {
		running.Go(func() {
			time.Sleep(floodAfter)
			for n := range longClients {
				running.Go(func() { stopInTheMiddle(d, n, longBodyBytes, missingBytes) })
			}
		})
	}
	d.runClients()
	running.Wait()
}

// limitMemory is the platform's part: it kills the gateway once its anonymous memory is over the limit. Memory that
// maps files, which the page counts as well, is left out.
func (c *memory) limitMemory(record *record, g *gateway) {
	for ; ; time.Sleep(memoryInterval) {
		kb, ok := anonymousKB(g.command.Process.Pid)
		if !ok {
			return // the process has ended
		}
		c.mu.Lock()
		c.peakKB[g.name] = max(c.peakKB[g.name], kb)
		c.mu.Unlock()
		if kb <= memoryLimitMB<<10 {
			continue
		}
		record.logf("kill   gateway=%s: %d KiB of anonymous memory, the limit is %d MiB", g.name, kb, memoryLimitMB)
		_ = g.command.Process.Kill()
		c.mu.Lock()
		c.killed = append(c.killed, g.name)
		c.mu.Unlock()
		return
	}
}

// anonymousKB returns the anonymous memory of a process that is in use.
func anonymousKB(pid int) (kb int, ok bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			_, err := fmt.Sscan(value, &kb)
			return kb, err == nil
		}
	}
	return 0, false
}

func (c *memory) check(d *deployment) (finding string, held bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.countByStatus()[http.StatusOK] == 0 {
		return "", false, errNothingServed
	}
	return fmt.Sprintf("limit: %d MiB, most anonymous memory in KiB: %v, killed for memory: %v", memoryLimitMB, c.peakKB,
		c.killed), len(c.killed) == 0, nil
}
