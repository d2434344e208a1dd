package loopback

import (
	"os"
	"sync"
	"syscall"
)

// logPipe carries the log of a process into a file. Its reader may leave, or stop reading for a while.
type logPipe struct {
	reader, writer *os.File
	file           *os.File
	copyDone       chan struct{} // closed when nothing more is read

	mu      sync.Mutex
	stalled chan struct{} // not nil while nothing is read; closed when reading goes on
}

// newLogPipe opens a pipe in blocking mode, as supervisors give it to their processes, and the file.
func newLogPipe(path string) (*logPipe, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	var descriptors [2]int
	if err := syscall.Pipe2(descriptors[:], syscall.O_CLOEXEC); err != nil {
		_ = file.Close() // nothing has been written
		return nil, os.NewSyscallError("pipe2", err)
	}
	// The reading end alone is in non-blocking mode, so that closing it ends a read.
	if err := syscall.SetNonblock(descriptors[0], true); err != nil {
		_ = file.Close() // nothing has been written
		return nil, os.NewSyscallError("fcntl", err)
	}
	p := &logPipe{
		reader:   os.NewFile(uintptr(descriptors[0]), "log reader"),
		writer:   os.NewFile(uintptr(descriptors[1]), "log writer"),
		file:     file,
		copyDone: make(chan struct{}),
	}
	go p.copy()
	return p, nil
}

func (p *logPipe) copy() {
	defer close(p.copyDone)
	buffer := make([]byte, 32<<10)
	for {
		p.mu.Lock()
		stalled := p.stalled
		p.mu.Unlock()
		if stalled != nil {
			<-stalled
		}
		n, err := p.reader.Read(buffer)
		if n > 0 {
			_, _ = p.file.Write(buffer[:n]) // the log is for people; the run goes on without it
		}
		if err != nil {
			return
		}
	}
}

// closeReader closes the reading end.
func (p *logPipe) closeReader() { _ = p.reader.Close() } // fails if it has left before

// stall stops reading, and fills the pipe, until resume is called.
func (p *logPipe) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stalled == nil {
		p.stalled = make(chan struct{})
	}
}

// fill writes to the pipe until it is full.
func (p *logPipe) fill() {
	fd := int(p.writer.Fd())
	if syscall.SetNonblock(fd, true) != nil {
		return
	}
	line := []byte("filler\n")
	for {
		if _, err := syscall.Write(fd, line); err != nil {
			break
		}
	}
	_ = syscall.SetNonblock(fd, false) // as it was; it succeeded before
}

// resume reads again.
func (p *logPipe) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stalled != nil {
		close(p.stalled)
		p.stalled = nil
	}
}

// close ends the pipe once the process has ended: what it has written is in the file then.
func (p *logPipe) close() {
	p.resume()
	_ = p.writer.Close() // this process has written nothing
	<-p.copyDone
	_ = p.reader.Close() // the reader may have left
	_ = p.file.Close()   // the log is for people
}
