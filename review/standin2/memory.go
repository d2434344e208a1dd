package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memoryServers  = 4
	memoryMB       = 32 // what the platform allows
	memorySockets  = 1024
	memoryClients  = 500      // bad clients
	memoryBody     = 64 << 10 // bytes
	memoryLength   = 10 * time.Second
	memoryLead     = 3 * time.Second        // after the usual clients the bad ones come
	memoryInterval = 100 * time.Millisecond // between two requests of usual clients
	memoryService  = 200 * time.Millisecond
	memoryDeadline = 4.0 // seconds
	memoryWatch    = 20 * time.Millisecond
)

// playMemory lets bad clients stop in the middle of their bodies and stay, while the platform watches the memory.
func playMemory(w *world) (broken bool, err error) {
	d, err := w.deploy(&oslo, memoryServers, answerAfter(memoryService), memoryMB, memorySockets)
	if err != nil {
		return false, err
	}
	endAt := time.Now().Add(memoryLength)
	var clients sync.WaitGroup
	if w.trouble {
		w.logf("%d bad clients come after %v: each sends a request of the class %s without the last byte of its body, "+
			"stays, and does so again when its connection is ended", memoryClients, memoryLead, d.unsafeClass)
		for i := range memoryClients {
			clients.Go(func() {
				time.Sleep(memoryLead)
				for n := 0; time.Now().Before(endAt) && !d.gateway.hasEnded(); n++ {
					r := d.unsafeRequest(fmt.Sprintf("bad-%d-%d", i, n), i, memoryDeadline)
					r.body = strings.Repeat("x", memoryBody)
					text := r.encode()
					stay(d.gateway.address, text[:len(text)-1])
				}
			})
		}
	}
	var sent []sentRequest
	clients.Go(func() {
		sent = d.sendSteadily(memoryInterval, memoryLength, func(number int) request {
			return d.unsafeRequest(fmt.Sprintf("usual-%03d", number), number, memoryDeadline)
		})
	})
	highest, killed, err := w.limitMemory(d.gateway, endAt)
	if err != nil {
		return false, err
	}
	clients.Wait()
	own, _ := w.judgeBodies(sent)
	w.logf("%d of %d usual requests were served; the gateway had %.1f MB of its own at most, and may have %d MB; "+
		"killed: %v", own, len(sent), float64(highest)/(1<<20), memoryMB, killed)
	return killed, nil
}

// limitMemory takes the place of the platform, which kills a gateway that goes over its memory. It returns the most
// memory that the gateway had, and whether it was killed for it.
func (w *world) limitMemory(g *gateway, endAt time.Time) (highest int, killed bool, err error) {
	for ; time.Now().Before(endAt); time.Sleep(memoryWatch) {
		resident, err := anonymousMemory(g.process.Process.Pid)
		if err != nil {
			return highest, false, err
		}
		if resident <= highest {
			continue
		}
		highest = resident
		w.logf("the gateway has %.1f MB of memory of its own, without files", float64(highest)/(1<<20))
		if highest > memoryMB<<20 {
			w.logf("the platform kills the gateway, which is over its %d MB", memoryMB)
			g.kill()
			return highest, true, nil
		}
	}
	return highest, false, nil
}

// anonymousMemory returns the resident memory of a process in bytes, without that of files.
func anonymousMemory(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes << 10, err
		}
	}
	return 0, errors.New("the kernel does not tell the memory of a process")
}
