package main

import (
	"fmt"
	"io"
	"os"

	"golang.org/x/sys/unix"
)

// isTerminal tells whether somebody may be watching what is written.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	_, err := unix.IoctlGetTermios(int(file.Fd()), unix.TCGETS)
	return err == nil
}

// progressLine shows one line that changes, on a terminal alone.
type progressLine struct {
	writer io.Writer // nil: nothing is shown
}

func newProgressLine(w io.Writer) *progressLine {
	if !isTerminal(w) {
		return &progressLine{}
	}
	return &progressLine{writer: w}
}

// show replaces the line.
func (p *progressLine) show(format string, arguments ...any) {
	const returnAndClear = "\r\x1b[K"
	if p.writer != nil {
		// A line of progress that cannot be written is not worth ending the work for.
		_, _ = fmt.Fprintf(p.writer, returnAndClear+format, arguments...)
	}
}

// clear removes the line.
func (p *progressLine) clear() { p.show("") }
