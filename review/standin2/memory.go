package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memoryMB       = 32 // what the platform allows
	memorySockets  = 1024
	memoryClients  = 500 // bad clients
	memoryBody     = 64 << 10
	memoryLength   = 10 * time.Second
	memoryInterval = 50 * time.Millisecond // between two requests of the usual client
	memoryStay     = 10 * time.Second
)

// playMemory lets bad clients stop in the middle of their bodies and stay, and watches the gateway's memory.
func playMemory(w *world) (broken bool, err error) {
	servers, err := w.startServers(4, answerAfter(100*time.Millisecond))
	if err != nil {
		return false, err
	}
	discovery, err := w.startAgent(servers)
	if err != nil {
		return false, err
	}
	classes := []object{class("post-ad", "at_most_once", 2000, 4000)}
	g, err := w.startGateway("gateway-0", discovery, limitsOf(memoryMB, memorySockets),
		settingsOf(0, classes, []object{plan("standard")}))
	if err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	endAt := time.Now().Add(memoryLength)
	if w.trouble {
		for i := range memoryClients {
			clients.Go(func() {
				for n := 0; time.Now().Before(endAt); n++ {
					stopInBody(g.address, fmt.Sprintf("bad-%d-%d", i, n))
				}
			})
		}
	}
	clients.Go(func() { w.sendUsual(g.address, endAt) })
	highest := 0
	for ; time.Now().Before(endAt); time.Sleep(20 * time.Millisecond) {
		resident, err := anonymousMemory(g.process.Process.Pid)
		if err != nil {
			return false, err
		}
		if resident > highest {
			highest = resident
			w.logf("the gateway has %.1f MB of memory of its own, without files", float64(highest)/(1<<20))
		}
	}
	clients.Wait()
	w.logf("most: %.1f MB; allowed: %d MB", float64(highest)/(1<<20), memoryMB)
	return highest > memoryMB<<20, nil
}

// stopInBody sends a request without the last byte of its body and stays until the gateway ends the connection.
func stopInBody(address, id string) {
	conn, err := dialClient(address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(memoryStay)) // fails only on a closed connection
	head := strings.Replace(request{id: id, class: "post-ad", method: http.MethodPost, customer: 99, plan: "standard",
		deadline: 4, units: 1, spread: 2}.encode(), "Content-Length: 2\r\n\r\n{}",
		fmt.Sprintf("Content-Length: %d\r\n\r\n", memoryBody), 1)
	if _, err := io.WriteString(conn, head+strings.Repeat("x", memoryBody-1)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, conn) // until the gateway ends the connection
}

// sendUsual sends the requests of a usual client, one after another.
func (w *world) sendUsual(address string, endAt time.Time) {
	for i := 0; time.Now().Before(endAt); i++ {
		r := request{id: fmt.Sprintf("usual-%03d", i), class: "post-ad", method: http.MethodPost, customer: 5,
			plan: "standard", deadline: 4, units: 1, spread: 2}
		w.logf("%s: %v", r.id, exchange(address, r, memoryStay))
		time.Sleep(memoryInterval)
	}
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
