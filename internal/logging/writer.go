// Package logging provides a log writer that never blocks. If the reader of the log is slow, blocked or gone, log lines
// are dropped and the gateway continues to serve requests.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueCapacity is the maximum number of lines that wait to be written. It absorbs bursts, and with maxLineBytes it
// keeps the memory of the queue small compared with the memory limit of a gateway.
const queueCapacity = 256

// maxLineBytes bounds the length of a line. Errors quote input from clients and discovery, so a line could otherwise
// have any length.
const maxLineBytes = 4 << 10

// Writer writes lines to an output from its own goroutine. Write never blocks and never fails. Lines that arrive while
// the queue is full, and lines that the output fails to write, are dropped and counted.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	flushes chan chan struct{}

	dropped       atomic.Uint64
	reportedDrops uint64 // number of drops that the log already reports; only the run goroutine uses it
	startOnce     sync.Once
}

// NewWriter returns a Writer for the output. Its goroutine starts with the first line or flush and runs until the
// process ends.
func NewWriter(output io.Writer) *Writer {
	return &Writer{output: output, lines: make(chan []byte, queueCapacity), flushes: make(chan chan struct{})}
}

// Write queues one line, which must end with a line feed. It always reports success.
func (w *Writer) Write(line []byte) (int, error) {
	w.startOnce.Do(func() { go w.run() })
	queued := append([]byte(nil), line[:min(len(line), maxLineBytes)]...)
	if len(line) > maxLineBytes {
		queued[maxLineBytes-1] = '\n'
	}
	select {
	case w.lines <- queued:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Flush waits until all lines queued before the call have been written or dropped, or until the timeout expires. It
// reports whether it finished before the timeout.
func (w *Writer) Flush(timeout time.Duration) bool {
	w.startOnce.Do(func() { go w.run() })
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
			w.drainQueue()
			close(flushed)
		}
	}
}

// drainQueue writes the lines that are currently queued.
func (w *Writer) drainQueue() {
	for range len(w.lines) {
		w.write(<-w.lines)
	}
}

// write writes a line. If lines have been dropped since the last notice, it first writes a notice with their number.
func (w *Writer) write(line []byte) {
	if dropped := w.dropped.Load(); dropped > w.reportedDrops {
		notice := fmt.Sprintf("level=WARN msg=\"log lines dropped\" count=%d\n", dropped-w.reportedDrops)
		if _, err := io.WriteString(w.output, notice); err == nil {
			w.reportedDrops = dropped
		}
	}
	if _, err := w.output.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
