// Package logging keeps the gateway's log from affecting its work. A log that is read slowly, not at all, or whose
// reader has gone costs log lines; it delays nobody who logs.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueCapacity is the most lines that wait to be written. They come in bursts at most; the memory of the queue stays
// small against the limits of a deployment.
const queueCapacity = 256

// maxLineBytes bounds a line. Errors quote what clients and discovery have sent, so that lines could have any length.
const maxLineBytes = 4 << 10

// Writer writes lines to an output from a goroutine of its own. Write never blocks and never fails: lines that find
// the queue full, and lines that the output does not take, are dropped and counted.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	flushes chan chan struct{}

	dropped  atomic.Uint64
	reported uint64 // drops that the log tells already; owned by the goroutine of run
	start    sync.Once
}

// NewWriter returns a writer of lines to the output. Its goroutine starts with the first line and runs until the
// process ends.
func NewWriter(output io.Writer) *Writer {
	return &Writer{output: output, lines: make(chan []byte, queueCapacity), flushes: make(chan chan struct{})}
}

// Write queues one line, which ends with a line feed. It always reports success.
func (w *Writer) Write(line []byte) (int, error) {
	w.start.Do(func() { go w.run() })
	kept := append([]byte(nil), line[:min(len(line), maxLineBytes)]...)
	if len(line) > maxLineBytes {
		kept[maxLineBytes-1] = '\n'
	}
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been lost so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Flush waits until all lines that were queued before have been written or dropped, for the given time at most. It
// reports whether they have.
func (w *Writer) Flush(timeout time.Duration) bool {
	w.start.Do(func() { go w.run() })
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	flushed := make(chan struct{})
	select {
	case w.flushes <- flushed:
	case <-expired.C:
		return false
	}
	select {
	case <-flushed:
		return true
	case <-expired.C:
		return false
	}
}

func (w *Writer) run() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case flushed := <-w.flushes:
			w.drain()
			close(flushed)
		}
	}
}

// drain writes the lines that are queued now.
func (w *Writer) drain() {
	for range len(w.lines) {
		w.write(<-w.lines)
	}
}

// write writes a line, and before it how many were lost since the line before.
func (w *Writer) write(line []byte) {
	if dropped := w.dropped.Load(); dropped > w.reported {
		notice := fmt.Sprintf("level=WARN msg=\"log lines dropped\" count=%d\n", dropped-w.reported)
		if _, err := io.WriteString(w.output, notice); err == nil {
			w.reported = dropped
		}
	}
	if _, err := w.output.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
