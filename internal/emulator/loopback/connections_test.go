package loopback

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/emulator/model"
)

// A request that was read counts as lost if its kept connection is closed without an answer. A request that the other
// side had not read completely counts as unread, so that the client may send it once more.
func TestRequestReadBeforeCloseIsLost(t *testing.T) {
	for name, test := range map[string]struct {
		readAll bool
		want    unreadCause
	}{
		"read":   {true, unreadCauseNone},
		"unread": {false, unreadCauseClosed},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }() // the test is over
			dialed, err := net.Dial("tcp4", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			peer, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				reader := bufio.NewReaderSize(peer, 16) // the smallest buffer, which leaves most of the request in the kernel
				if test.readAll {
					if request, err := http.ReadRequest(reader); err == nil {
						_, _ = io.Copy(io.Discard, request.Body) // the client notices an incomplete request
					}
				} else {
					_, _ = reader.Peek(1)
				}
				_ = peer.Close() // the client reads the end
			}()
			scenario := newScenario(time.Second)
			arrival := model.Arrival{Request: 1, Deadline: time.Duration(time.Now().Add(testTimeout).UnixNano())}
			r := &request{arrival: arrival, message: newMessage(&scenario, &arrival)}
			conn := &clientConnection{Conn: dialed, reader: bufio.NewReader(dialed), used: true}
			_, _, err = conn.roundTrip(r)
			w := &World{scheduler: emulator.NewWallScheduler()}
			if got := w.failedOutcome(r, conn, err).unread; got != test.want {
				t.Errorf("after the error %v the cause is %d, want %d", err, got, test.want)
			}
		})
	}
}
