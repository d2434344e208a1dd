package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line per event, with the time since its start.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file}, nil
}

// since returns the time since the start of the record.
func (r *record) since() time.Duration { return time.Since(r.start) }

// logf appends a line.
func (r *record) logf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", r.since().Seconds(), fmt.Sprintf(format, arguments...))
}

// Write appends a line of a gateway's log. It implements io.Writer.
func (r *record) Write(text []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  log: %s", r.since().Seconds(), text)
	return len(text), nil
}
