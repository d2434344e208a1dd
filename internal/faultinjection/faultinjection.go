// Package faultinjection makes system calls of a gateway fail as a control file says. Only builds of cmd/gateway with
// the build tag faultinjection link it, for soaks over real processes.
package faultinjection

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"
)

// ControlVariable names, in the environment of a gateway, the control file. It holds lines of an operation and an
// error, such as "accept ENOBUFS"; an operation that no line names succeeds. It may change at any time.
const ControlVariable = "TEST_FAULTS"

// The operations that can be made to fail.
const (
	Accept  = "accept"
	Connect = "connect"
)

// Errors are the errors by the names that the control file uses.
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
}

// Injector makes operations fail.
type Injector struct{ control string }

// New returns an injector that follows the control file; without one nothing fails.
func New(control string) *Injector { return &Injector{control: control} }

// failure returns the error that an operation is to fail with now, or nil.
func (i *Injector) failure(operation string) error {
	if i.control == "" {
		return nil
	}
	text, err := os.ReadFile(i.control)
	if err != nil {
		return nil // there is no file yet
	}
	for line := range strings.Lines(string(text)) {
		name, failure, _ := strings.Cut(strings.TrimSpace(line), " ")
		if errno, known := Errors[failure]; known && name == operation {
			return os.NewSyscallError(operation, errno)
		}
	}
	return nil
}

// Listener wraps the listener for clients.
func (i *Injector) Listener(listener net.Listener) (net.Listener, error) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, fmt.Errorf("faultinjection: a listener of type %T", listener)
	}
	return &failingListener{TCPListener: tcp, injector: i}, nil
}

type failingListener struct {
	*net.TCPListener
	injector *Injector
}

// Accept accepts a connection or fails.
func (l *failingListener) Accept() (net.Conn, error) {
	if err := l.injector.failure(Accept); err != nil {
		time.Sleep(time.Millisecond)
		return nil, &net.OpError{Op: Accept, Net: "tcp", Addr: l.Addr(), Err: err}
	}
	return l.TCPListener.Accept()
}

// Late stands in the place of an error and lets a call of connect succeed only after lateConnect.
const Late = "LATE"

const lateConnect = time.Second

// isLate reports whether connections are to come up late now.
func (i *Injector) isLate() bool {
	text, err := os.ReadFile(i.control)
	return err == nil && strings.Contains(string(text), Connect+" "+Late)
}

// Dial connects to an endpoint, late or not, or fails. It has the signature of net.Dialer.DialContext.
func (i *Injector) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if i.isLate() {
		select {
		case <-time.After(lateConnect):
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
