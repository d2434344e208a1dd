package loopback

import (
	"os"
	"strings"
	"sync"
	"time"
)

// faultControl is the control file of a gateway's program, if that is built with hooks for fault injection (build tag
// faultinjection). Its methods are safe for concurrent use. They must not be called in the scheduler, because a busy
// disk would delay all that happens there.
type faultControl struct {
	path string

	mu     sync.Mutex
	faults []string // lines of the file
}

// add adds a line to the file.
func (c *faultControl) add(fault string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fault)
	return c.write()
}

// remove removes a line from the file.
func (c *faultControl) remove(fault string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = deleteItem(c.faults, fault)
	return c.write()
}

// write replaces the file atomically. The caller holds c.mu.
func (c *faultControl) write() error {
	temporaryPath := c.path + ".new"
	if err := os.WriteFile(temporaryPath, []byte(strings.Join(c.faults, "\n")), 0o600); err != nil {
		return err
	}
	return os.Rename(temporaryPath, c.path)
}

// FailSystemCalls makes system calls of a gateway fail for a time, if its program is built with hooks for fault
// injection (build tag faultinjection). fault is a line of the control file, which package faultinjection describes.
func (w *World) FailSystemCalls(index int, fault string, length time.Duration) {
	control := &w.gateways[index].faultControl
	logFailure := func(err error) {
		if err != nil {
			w.logger.Error("writing a control file failed", "gateway", index, "err", err)
		}
	}
	logFailure(control.add(fault))
	w.goroutines.Go(func() {
		if w.sleep(length) {
			logFailure(control.remove(fault))
		}
	})
}
