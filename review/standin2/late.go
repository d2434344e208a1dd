package main

import (
	"net"
	"syscall"
	"time"
)

// usualBacklog is the length of the accept queue of a server whose connections come up at once.
const usualBacklog = 256

// hold makes new connections to the server come up late: its accept queue holds a single connection, which the server
// makes itself, and the kernel ignores further handshakes, which their senders repeat a second later.
func (s *server) hold() (filler net.Conn, err error) {
	if err := s.listener.SetDeadline(time.Unix(1, 0)); err != nil {
		return nil, err
	}
	<-s.acceptEnded
	if err := s.setBacklog(0); err != nil {
		return nil, err
	}
	return net.Dial("tcp", s.address)
}

// release ends hold: from now on connections come up at once.
func (s *server) release(filler net.Conn) error {
	if err := s.setBacklog(usualBacklog); err != nil {
		return err
	}
	if err := s.listener.SetDeadline(time.Time{}); err != nil {
		return err
	}
	s.startAccepting()
	return filler.Close()
}

// setBacklog sets the length of the accept queue.
func (s *server) setBacklog(length int) error {
	raw, err := s.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), length) }); err != nil {
		return err
	}
	return listenErr
}
