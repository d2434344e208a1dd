package loopback

import (
	"io"
	"net"
	"testing"
	"time"
)

// Bytes that are read late must count as received when they arrived, and never as received before that.
func TestLastArrivalDoesNotDependOnTheRead(t *testing.T) {
	const (
		readDelay = 200 * time.Millisecond
		tolerance = 2 * kernelTick
	)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	started := time.Duration(time.Now().UnixNano())
	if _, err := io.WriteString(client, "request"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(readDelay)
	arrival := lastArrival(server)
	asked := time.Duration(time.Now().UnixNano())
	if arrival < started || arrival > asked-readDelay+tolerance {
		t.Errorf("the bytes count as received %v after the write began and %v before the question; want at least 0 and %v",
			arrival-started, asked-arrival, readDelay-tolerance)
	}
}
