// Package faultinjection makes system calls of a gateway fail as a control file specifies, and writes snapshots of the
// coverage counters of a gateway that may be killed. Only builds of cmd/gateway with the build tag faultinjection link
// it, for soaks with real processes.
package faultinjection

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// ControlVariable is the environment variable that holds the path of the control file. Each line of the file names an
// operation and an error, such as "accept ENOBUFS". An operation without a line succeeds. The file may change at any
// time.
const ControlVariable = "TEST_FAULTS"

// The operations that can fail by injection.
const (
	Accept  = "accept"
	Connect = "connect"
	Read    = "read" // reading the configuration file again after the first successful read
)

// Errors maps the error names of the control file to error numbers.
var Errors = map[string]syscall.Errno{
	"ECONNABORTED":  syscall.ECONNABORTED,
	"EMFILE":        syscall.EMFILE,
	"ENFILE":        syscall.ENFILE,
	"ENOBUFS":       syscall.ENOBUFS,
	"ENOMEM":        syscall.ENOMEM,
	"EPROTO":        syscall.EPROTO,
	"ENETUNREACH":   syscall.ENETUNREACH,
	"EHOSTUNREACH":  syscall.EHOSTUNREACH,
	"ENETDOWN":      syscall.ENETDOWN,
	"EADDRNOTAVAIL": syscall.EADDRNOTAVAIL,
	"EINTR":         syscall.EINTR,
	"EIO":           syscall.EIO,
	"ENOENT":        syscall.ENOENT,
}

// Injector makes operations fail as its control file specifies.
type Injector struct {
	controlFile string
	hasRead     atomic.Bool // a file has been read
}

// New returns an injector that follows the control file. With an empty path it injects no failures.
func New(controlFile string) *Injector { return &Injector{controlFile: controlFile} }

// failure returns the error with which an operation has to fail now, or nil.
func (i *Injector) failure(operation string) error {
	if i.controlFile == "" {
		return nil
	}
	text, err := os.ReadFile(i.controlFile)
	if err != nil {
		return nil // the control file does not exist yet
	}
	for line := range strings.Lines(string(text)) {
		name, failure, _ := strings.Cut(strings.TrimSpace(line), " ")
		if errno, known := Errors[failure]; known && name == operation {
			return os.NewSyscallError(operation, errno)
		}
	}
	return nil
}

// Listener wraps the TCP listener for clients so that Accept can fail.
func (i *Injector) Listener(listener net.Listener) (net.Listener, error) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("faultinjection: listener of type %T is not a TCP listener", listener)
	}
	return &failingListener{TCPListener: tcp, injector: i}, nil
}

type failingListener struct {
	*net.TCPListener
	injector *Injector
}

// Accept returns an injected failure or accepts a connection.
func (l *failingListener) Accept() (net.Conn, error) {
	if err := l.injector.failure(Accept); err != nil {
		time.Sleep(time.Millisecond)
		return nil, &net.OpError{Op: Accept, Net: "tcp", Addr: l.Addr(), Err: err}
	}
	return l.TCPListener.Accept()
}

// Late may stand in place of an error name for Connect. It delays each dial, by defaultConnectDelay unless a duration
// follows as in "connect LATE 400ms", and does not make it fail.
const Late = "LATE"

const defaultConnectDelay = time.Second

// LateConnect returns the line of the control file that delays each dial.
func LateConnect(delay time.Duration) string { return Connect + " " + Late + " " + delay.String() }

// connectDelay returns the time by which dials have to be delayed now, or 0.
func (i *Injector) connectDelay() time.Duration {
	text, err := os.ReadFile(i.controlFile)
	if err != nil {
		return 0 // the control file does not exist yet
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != Connect || fields[1] != Late {
			continue
		}
		if len(fields) > 2 {
			if delay, err := time.ParseDuration(fields[2]); err == nil {
				return delay
			}
		}
		return defaultConnectDelay
	}
	return 0
}

// Dial connects to an endpoint, after an injected delay or with an injected failure if the control file specifies one.
// It has the signature of net.Dialer.DialContext.
func (i *Injector) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if delay := i.connectDelay(); delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
		}
	}
	if err := i.failure(Connect); err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// Short may stand in place of an error name for Read. It makes a read return only the first half of the file.
const Short = "SHORT"

// ReadFile reads a file as os.ReadFile does, or with an injected failure if the control file specifies one. The first
// read of a process succeeds, because a process that cannot read its configuration at its start has to end.
func (i *Injector) ReadFile(path string) ([]byte, error) {
	if !i.hasRead.Load() {
		text, err := os.ReadFile(path)
		i.hasRead.Store(err == nil)
		return text, err
	}
	if err := i.failure(Read); err != nil {
		return nil, &os.PathError{Op: Read, Path: path, Err: err}
	}
	text, err := os.ReadFile(path)
	control, controlErr := os.ReadFile(i.controlFile)
	if err == nil && controlErr == nil && strings.Contains(string(control), Read+" "+Short) {
		text = text[:len(text)/2]
	}
	return text, err
}
