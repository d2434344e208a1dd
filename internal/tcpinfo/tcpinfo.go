// Package tcpinfo reads the kernel's statistics of TCP connections.
package tcpinfo

import (
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// errNotTCP reports that a connection is not a TCP connection.
var errNotTCP = errors.New("tcpinfo: not a TCP connection")

// BytesAcknowledged returns how many bytes that were sent on the connection the peer's kernel has acknowledged, counted
// from a fixed start. Only the difference of two counts has a meaning. Linux resets a connection that is closed with
// unread bytes. If the peer ends the connection without a reset after it has acknowledged all bytes, its program has
// therefore read them.
func BytesAcknowledged(conn net.Conn) (uint64, error) {
	info, err := statistics(conn)
	if err != nil {
		return 0, err
	}
	return info.Bytes_acked, nil
}

// SinceLastReceived returns the time since the kernel received the latest data on the connection, whether or not the
// program has read them. Its precision is that of the kernel's timer, a few milliseconds.
func SinceLastReceived(conn net.Conn) (time.Duration, error) {
	info, err := statistics(conn)
	if err != nil {
		return 0, err
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, nil
}

func statistics(conn net.Conn) (*unix.TCPInfo, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, errNotTCP
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("tcpinfo: %w", err)
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err = errors.Join(err, infoErr); err != nil {
		return nil, fmt.Errorf("tcpinfo: %w", err)
	}
	return info, nil
}
