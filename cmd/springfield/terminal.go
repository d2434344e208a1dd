package main

import (
	"fmt"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	_, err := unix.IoctlGetTermios(int(file.Fd()), unix.TCGETS)
	return err == nil
}

// progressLine shows a line of progress that is updated in place. It shows nothing unless its output is a terminal.
type progressLine struct {
	writer io.Writer // nil if the output is not a terminal
}

func newProgressLine(w io.Writer) *progressLine {
	if !isTerminal(w) {
		return &progressLine{}
	}
	return &progressLine{writer: w}
}

// show replaces the shown line.
func (p *progressLine) show(format string, arguments ...any) {
	const returnAndClear = "\r\x1b[K"
	if p.writer != nil {
		// Write errors are ignored: a run goes on without its progress line.
		_, _ = fmt.Fprintf(p.writer, returnAndClear+format, arguments...)
	}
}

// clear removes the shown line.
func (p *progressLine) clear() { p.show("") }
