package logging

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"springfield/internal/testkit"
)

// gatedOutput blocks each write until the test lets it through.
type gatedOutput struct {
	writing chan struct{} // gets a value as each write begins
	gate    chan error    // the result of each write
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
		t.Fatal("the lines were not written")
	}
}

// While the output blocks, lines beyond the queue are dropped, and the log tells how many once it goes on.
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
		t.Errorf("the drops are not told in %.200q", text)
	}
	if !strings.HasSuffix(text, fmt.Sprintf("line %d\n", queueCapacity)) {
		t.Errorf("the last line of the queue is missing in %.200q", text)
	}
}

// A write that fails costs its line, and later lines are written.
func TestFailedWriteCostsOneLine(t *testing.T) {
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

// A line of any length takes bounded memory and stays one line.
func TestLongLineIsCut(t *testing.T) {
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

// Flush gives up on an output that blocks.
func TestFlushGivesUp(t *testing.T) {
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
