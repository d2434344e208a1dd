package logging

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"springfield/internal/testkit"
)

// gatedOutput blocks each write until the test supplies its result.
type gatedOutput struct {
	writing chan struct{} // receives a value at the start of each write
	gate    chan error    // result of each blocked write
	text    bytes.Buffer
}

func newGatedOutput() *gatedOutput {
	return &gatedOutput{writing: make(chan struct{}, 2*queueCapacity), gate: make(chan error, 2*queueCapacity)}
}

func (o *gatedOutput) Write(line []byte) (int, error) {
	o.writing <- struct{}{}
	if err := <-o.gate; err != nil {
		return 0, err
	}
	return o.text.Write(line)
}

func (o *gatedOutput) allow(writes int, err error) {
	for range writes {
		o.gate <- err
	}
}

func mustFlush(t *testing.T, w *Writer) {
	t.Helper()
	if !w.Flush(testkit.Timeout) {
		t.Fatal("the flush timed out")
	}
}

// While the output blocks, lines that exceed the queue must be dropped without blocking the caller. Once the output
// continues, the log must report how many were dropped.
func TestLinesBeyondTheQueueAreDroppedAndCounted(t *testing.T) {
	output := newGatedOutput()
	w := NewWriter(output)
	write := func(i int) {
		if n, err := fmt.Fprintf(w, "line %d\n", i); err != nil || n == 0 {
			t.Fatalf("line %d: wrote %d bytes, %v", i, n, err)
		}
	}
	write(0)
	testkit.WaitFor(t, "the first write", output.writing)
	const excess = 7
	for i := range queueCapacity + excess {
		write(i + 1)
	}
	if got := w.Dropped(); got != excess {
		t.Errorf("%d lines were dropped, want %d", got, excess)
	}
	output.allow(queueCapacity+2, nil) // the first line, the notice and the queue
	mustFlush(t, w)
	text := output.text.String()
	if !strings.Contains(text, fmt.Sprintf("msg=\"log lines dropped\" count=%d\n", excess)) {
		t.Errorf("the number of dropped lines is missing in %.200q", text)
	}
	if !strings.HasSuffix(text, fmt.Sprintf("line %d\n", queueCapacity)) {
		t.Errorf("the last queued line is missing in %.200q", text)
	}
}

// A failed write must drop only its own line, which the log then reports, and must not stop later lines.
func TestFailedWriteDropsOneLine(t *testing.T) {
	output := newGatedOutput()
	w := NewWriter(output)
	output.allow(1, errors.New("broken pipe"))
	output.allow(2, nil)
	for range 2 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	mustFlush(t, w)
	want := "level=WARN msg=\"log lines dropped\" count=1\nline\n"
	if got := output.text.String(); got != want || w.Dropped() != 1 {
		t.Errorf("wrote %q, dropped %d", got, w.Dropped())
	}
}

// A line of any length must take bounded memory and must still end with a line feed.
func TestLongLineIsTruncated(t *testing.T) {
	var output bytes.Buffer
	w := NewWriter(&output)
	if _, err := w.Write(bytes.Repeat([]byte("x"), 3*maxLineBytes)); err != nil {
		t.Fatal(err)
	}
	mustFlush(t, w)
	if output.Len() != maxLineBytes || !strings.HasSuffix(output.String(), "x\n") {
		t.Errorf("wrote %d bytes", output.Len())
	}
}

// Flush must return at its timeout while the output blocks, or a blocked log would keep the process from exiting.
func TestFlushTimesOut(t *testing.T) {
	output := newGatedOutput()
	w := NewWriter(output)
	if _, err := w.Write([]byte("line\n")); err != nil {
		t.Fatal(err)
	}
	testkit.WaitFor(t, "the write", output.writing)
	if w.Flush(1) {
		t.Error("flushed while the output blocked")
	}
	output.allow(1, nil)
	mustFlush(t, w)
}
