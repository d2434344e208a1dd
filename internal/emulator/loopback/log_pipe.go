package loopback

import (
	"os"
	"sync"
	"syscall"
)

// logPipe copies the log of a process through a pipe into a file. Fault injection can close the reading end of the
// pipe or suspend reading from it.
type logPipe struct {
	reader, writer *os.File
	file           *os.File
	copyDone       chan struct{} // closed when copying to the file has ended

	mu      sync.Mutex
	stalled chan struct{} // not nil while reading is suspended; closed when reading resumes
}

// newLogPipe opens the log file and a pipe whose writing end is in blocking mode, as process supervisors pass it to
// their processes.
func newLogPipe(path string) (*logPipe, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	var descriptors [2]int
	if err := syscall.Pipe2(descriptors[:], syscall.O_CLOEXEC); err != nil {
		_ = file.Close() // nothing has been written, so an error loses nothing
		return nil, os.NewSyscallError("pipe2", err)
	}
	// Only the reading end is in non-blocking mode, so that closing it ends a pending read.
	if err := syscall.SetNonblock(descriptors[0], true); err != nil {
		_ = file.Close() // nothing has been written, so an error loses nothing
		_ = syscall.Close(descriptors[0])
		_ = syscall.Close(descriptors[1])
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
			_, _ = p.file.Write(buffer[:n]) // the log is only for diagnosis, so an error does not stop the run
		}
		if err != nil {
			return
		}
	}
}

// closeReader closes the reading end of the pipe.
func (p *logPipe) closeReader() { _ = p.reader.Close() } // an error means that it is closed already

// stall suspends reading from the pipe until resume is called.
func (p *logPipe) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stalled == nil {
		p.stalled = make(chan struct{})
	}
}

// fill writes to the pipe until it is full, so that the next write of the process blocks.
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
	_ = syscall.SetNonblock(fd, false) // restores blocking mode; cannot fail, because the call before it succeeded
}

// resume continues reading from the pipe after stall.
func (p *logPipe) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stalled != nil {
		close(p.stalled)
		p.stalled = nil
	}
}

// close closes the pipe and the file. It is called once the process has ended, and waits until everything that the
// process wrote is in the file.
func (p *logPipe) close() {
	p.resume()
	_ = p.writer.Close() // data in the pipe can still be read, so an error loses nothing
	<-p.copyDone
	_ = p.reader.Close() // the reading end may be closed already
	_ = p.file.Close()   // the log is only for diagnosis, so an error does not matter
}
