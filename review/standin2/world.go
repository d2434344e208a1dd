package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// world holds what a case has started, and its record.
type world struct {
	trouble   bool // the disruption takes place
	startedAt time.Time
	directory string // temporary folder of this run

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
}

// newWorld creates the record and a temporary folder.
func newWorld(recordPath string, trouble bool) (*world, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, startedAt: time.Now(), directory: directory, record: record}
	w.logf("the disruption takes place: %v", trouble)
	return w, nil
}

// logf writes a line to the record, with the time since the start.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	// A record that can't be written shows in the file; the verdict doesn't depend on it.
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// since returns the time since the start of the run in seconds.
func (w *world) since(at time.Time) float64 { return at.Sub(w.startedAt).Seconds() }

// conclude writes the verdict and returns the exit status.
func (w *world) conclude(broken bool, err error) int {
	status, verdict := exitHeld, "the rule held"
	switch {
	case err != nil:
		status, verdict = exitError, "the case could not run: "+err.Error()
	case broken:
		status, verdict = exitBroken, "the rule was broken"
	}
	w.logf("%s", verdict)
	fmt.Println(verdict)
	return status
}

// close ends all processes of the run and removes its temporary folder.
func (w *world) close() {
	w.killGateways()
	_ = os.RemoveAll(w.directory) // a leftover in the folder for temporary files harms nothing
	_ = w.record.Close()
}

// freeAddress returns a loopback address at which nobody listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// killGateways ends all gateways.
func (w *world) killGateways() {
	w.mu.Lock()
	gateways := w.gateways
	w.mu.Unlock()
	for _, g := range gateways {
		g.kill()
	}
}
