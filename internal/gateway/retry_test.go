package gateway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"springfield/internal/config"
	"springfield/internal/testkit"
	"springfield/internal/upstream"
)

// If a connection is reset after a complete request, the request may have run. It must be retried on another endpoint
// only if it is idempotent or has an idempotency key that is valid in the same zone; otherwise it must fail. If the
// connection is refused, the request has not run, and it must be retried whatever its class.
func TestResetIsRetriedOnlyIfIdempotent(t *testing.T) {
	for _, class := range []string{"lookup", "add", "pay"} {
		for _, complete := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, complete %v", class, complete), func(t *testing.T) {
				testResetIsRetriedOnlyIfIdempotent(t, class, complete)
			})
		}
	}
}

func testResetIsRetriedOnlyIfIdempotent(t *testing.T, class string, complete bool) {
	resetting := testkit.NewServer(t, func(conn net.Conn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body) // the gateway detects a broken connection too
		_ = conn.(*net.TCPConn).SetLinger(0)     // fails only if the connection has ended
		return false
	})
	if !complete {
		resetting.Stop()
	}
	good := okServer(t)
	g, _ := startGatewayWith(t, withLongDeadlines, resetting, good)
	failed := 0
	for i := range 6 {
		before := resetting.Requests.Load() + good.Requests.Load()
		client := g.dial()
		client.WriteText(longDeadlineRequest(class, fmt.Sprint(i)))
		response := client.ReadResponse()
		runs := resetting.Requests.Load() + good.Requests.Load() - before
		switch {
		case response.Status == http.StatusOK && (runs == 1 || class != "pay"):
		case response.Status == http.StatusBadGateway && class == "pay" && complete && runs == 1:
			failed++
		default:
			t.Errorf("got %+v after %d runs", response, runs)
		}
	}
	if complete && resetting.Requests.Load() == 0 {
		t.Error("the server that resets was never tried")
	}
	if want := int(resetting.Requests.Load()); class == "pay" && failed != want {
		t.Errorf("%d requests failed, want %d", failed, want)
	}
}

// If a connection is reset before the last byte of the request is sent, the request has not run, and it must be retried
// whatever its class. Socket buffers far smaller than the request ensure that its last bytes are not sent by then.
func TestResetDuringSendIsRetried(t *testing.T) {
	const bufferSize = 4 << 10
	const requests = 6
	resetting, resets := startResettingServer(t, bufferSize)
	for _, class := range []string{"add", "pay"} {
		good, before := okServer(t), resets.Load()
		g, _ := startGatewayWith(t, func(cfg *config.Config, opts *options) {
			withLongDeadlines(cfg, opts)
			opts.dial = func(_ context.Context, network, address string) (net.Conn, error) {
				conn, err := net.Dial(network, address)
				if err != nil {
					return nil, err
				}
				return conn, conn.(*net.TCPConn).SetWriteBuffer(bufferSize)
			}
		}, good, resetting)
		for i := range requests {
			body := strings.Repeat("x", upstream.MaxBodyBytes)
			request := g.request(http.MethodPost, "/"+class+testkit.CustomerPath, testkit.Plan, body, "100")
			request.Header["Req-Id"] = []string{fmt.Sprint(i)}
			if response := g.do(request); response.Status != http.StatusOK {
				t.Errorf("%s: got %+v", class, response)
			}
		}
		if good.Requests.Load() != requests || resets.Load() == before {
			t.Errorf("%s: %d served, %d reset", class, good.Requests.Load(), resets.Load()-before)
		}
	}
}

// startResettingServer starts a server with a small receive buffer that resets each connection during its first
// request. It also returns the number of reset connections.
func startResettingServer(t *testing.T, bufferSize int) (*testkit.Server, *atomic.Int32) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) (err error) {
		controlErr := conn.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferSize)
		})
		return cmp.Or(controlErr, err)
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // ends the goroutine
	resets := new(atomic.Int32)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			const partBytes = 100
			_, _ = io.ReadFull(conn, make([]byte, partBytes)) // fewer are fine if the gateway closes the connection
			resets.Add(1)
			_ = conn.(*net.TCPConn).SetLinger(0) // fails only if the connection has ended
			_ = conn.Close()
		}
	}()
	return &testkit.Server{Listener: listener}, resets
}
