package tcpinfo_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"springfield/internal/tcpinfo"
	"springfield/internal/testkit"
)

// A peer that reads all bytes and then closes must be told from one that closes before the bytes arrive, and from one
// that closes with unread bytes.
func TestAcknowledgedBytesShowWhetherPeerRead(t *testing.T) {
	const sent = "request"
	for _, test := range []struct {
		name      string
		peer      func(net.Conn, <-chan struct{}) error
		closesNow bool // the peer closes the connection before the bytes are sent
		wantReset bool
		wantAcked bool
	}{
		{"reads all bytes", func(peer net.Conn, _ <-chan struct{}) error {
			_, err := io.ReadFull(peer, make([]byte, len(sent)))
			return err
		}, false, false, true},
		{"reads some bytes", func(peer net.Conn, written <-chan struct{}) error {
			<-written
			_, err := io.ReadFull(peer, make([]byte, 1))
			return err
		}, false, true, true},
		{"closes before the bytes arrive", func(net.Conn, <-chan struct{}) error { return nil }, true, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			client, peer := connect(t)
			before, err := tcpinfo.BytesAcknowledged(client)
			if err != nil {
				t.Fatal(err)
			}
			written, closed := make(chan struct{}), make(chan error, 1)
			go func() {
				err := test.peer(peer, written)
				closed <- errors.Join(err, peer.Close())
			}()
			if test.closesNow {
				if err := testkit.Receive(t, "the close", closed); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := io.WriteString(client, sent); err != nil {
				t.Fatal(err)
			}
			close(written)
			_, err = io.ReadAll(client)
			if errors.Is(err, syscall.ECONNRESET) != test.wantReset {
				t.Errorf("the read returned %v, want a reset: %v", err, test.wantReset)
			}
			after, err := tcpinfo.BytesAcknowledged(client)
			if acked := after-before == uint64(len(sent)); err != nil || acked != test.wantAcked {
				t.Errorf("%d of %d bytes acknowledged (%v), want all: %v", after-before, len(sent), err, test.wantAcked)
			}
		})
	}
}

// connect returns both ends of a connection.
func connect(t *testing.T) (client, peer net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client, err = net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = client.Close() // the test has ended
		_ = listener.Close()
	})
	return client, peer
}
