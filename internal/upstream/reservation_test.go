package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"springfield/internal/testkit"
	"springfield/policy"
)

// longResponse is a complete response with the longest body.
var longResponse = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", MaxBodyBytes,
	strings.Repeat("x", MaxBodyBytes))

// newCrowdedEndpoint returns an endpoint whose pool has no memory for a long response until it is released.
func newCrowdedEndpoint(t *testing.T, address string) (endpoint *Endpoint, release func()) {
	t.Helper()
	endpoint = newTestEndpoint(t, address)
	budget := endpoint.pool.responseMemory
	if !budget.TryReserve(MaxBodyBytes + 1) {
		t.Fatal("the budget is short")
	}
	return endpoint, func() { budget.Release(MaxBodyBytes + 1) }
}

// A long response must wait until there is memory for it, because many of them at once would take the gateway over its
// limit. It must be served whole after that, and its memory must be released.
func TestLongResponseWaitsForMemory(t *testing.T) {
	for name, text := range map[string]string{
		"with a length": longResponse,
		"in chunks":     chunkedHead + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", MaxBodyBytes, strings.Repeat("x", MaxBodyBytes)),
	} {
		server := testkit.NewServer(t, testkit.Reply(text, true))
		endpoint, release := newCrowdedEndpoint(t, server.Address())
		attempt := newTestAttempt(endpoint)
		results := startAttempt(attempt, newTestRequest())
		awaitMemoryWait(t, attempt)
		release()
		result := testkit.Receive(t, "the result", results)
		if result.Status != policy.StatusOK || len(result.Response.Body) != MaxBodyBytes {
			t.Errorf("%s: got status %d with %d bytes", name, result.Status, len(result.Response.Body))
		}
		if inUse := endpoint.pool.responseMemory.InUse(); inUse < MaxBodyBytes {
			t.Errorf("%s: %d bytes are reserved for the response", name, inUse)
		}
		result.Response.Release()
		result.Response.Release() // has no further effect
		if inUse := endpoint.pool.responseMemory.InUse(); inUse != 0 || result.Response.Body != nil {
			t.Errorf("%s: %d bytes are reserved after the release", name, inUse)
		}
	}
}

// awaitMemoryWait waits until the response of an attempt waits for memory.
func awaitMemoryWait(t *testing.T, attempt *Attempt) {
	t.Helper()
	testkit.Eventually(t, "the wait for memory", func() bool {
		attempt.mu.Lock()
		defer attempt.mu.Unlock()
		return attempt.cancelWait != nil
	})
}

// An attempt whose response waits for memory must end when it is aborted, also if that happened before the wait, and
// must hold no memory then.
func TestAbortEndsWaitForMemory(t *testing.T) {
	endpoint, release := newCrowdedEndpoint(t, testkit.NewServer(t, testkit.Reply(longResponse, true)).Address())
	attempt := newTestAttempt(endpoint)
	results := startAttempt(attempt, newTestRequest())
	awaitMemoryWait(t, attempt)
	attempt.Abort(policy.StatusTimedOut)
	if result := testkit.Receive(t, "the result", results); result.Status != policy.StatusTimedOut {
		t.Errorf("got %+v", result)
	}
	early := &reservation{budget: endpoint.pool.responseMemory, attempt: attempt}
	if err := early.reserve(1); err == nil {
		t.Error("memory was reserved for an aborted attempt")
	}
	release()
	if inUse := endpoint.pool.responseMemory.InUse(); inUse != 0 {
		t.Errorf("%d bytes are reserved", inUse)
	}
}

// A short response must not wait for memory, nor must an endpoint that stops after a head take any.
func TestShortResponseNeedsNoMemory(t *testing.T) {
	short := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", smallBodyBytes,
		strings.Repeat("x", smallBodyBytes))
	endpoint, release := newCrowdedEndpoint(t, testkit.NewServer(t, testkit.Reply(short, true)).Address())
	if result := newTestAttempt(endpoint).Do(newTestRequest(), nil); result.Status != policy.StatusOK {
		t.Errorf("a short response: got %+v", result)
	}
	release()

	written := make(chan struct{}, 1)
	stopping := newTestEndpoint(t, testkit.NewServer(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, longResponse[:len(longResponse)-MaxBodyBytes]) // an error shows in the result
		written <- struct{}{}
		return true
	}).Address())
	attempt := newTestAttempt(stopping)
	results := startAttempt(attempt, newTestRequest())
	testkit.WaitFor(t, "the head", written)
	if inUse := stopping.pool.responseMemory.InUse(); inUse != 0 {
		t.Errorf("%d bytes are reserved for a response without its body", inUse)
	}
	attempt.Abort(policy.StatusTimedOut)
	testkit.Receive(t, "the result", results)
}

// An idle connection must not keep the memory of the response that was read from it.
func TestConnectionForgetsLongResponse(t *testing.T) {
	head := strings.Replace(longResponse, "\r\n\r\n", "\r\nX: "+strings.Repeat("x", MaxHeaderBytes/2)+"\r\n\r\n", 1)
	endpoint := newTestEndpoint(t, testkit.NewServer(t, testkit.Reply(head, true)).Address())
	if result := newTestAttempt(endpoint).Do(newTestRequest(), nil); result.Status != policy.StatusOK {
		t.Fatalf("got %+v", result)
	}
	if kept := cap(endpoint.idle[0].head); kept > maxKeptHeadBytes {
		t.Errorf("the idle connection keeps %d bytes", kept)
	}
}

// A body must arrive unchanged whatever its length: a short one is sent together with its head, a long one after it.
func TestBodyIsSentUnchanged(t *testing.T) {
	for _, length := range []int{0, 1, smallBodyBytes, smallBodyBytes + 1, MaxBodyBytes} {
		bodies := make(chan string, 1)
		endpoint := newTestEndpoint(t, testkit.NewServer(t, func(conn net.Conn, request *http.Request) bool {
			body, err := io.ReadAll(request.Body)
			if err != nil || request.ContentLength != int64(length) {
				t.Errorf("length %d: a Content-Length of %d, %v", length, request.ContentLength, err)
			}
			bodies <- string(body)
			_, err = io.WriteString(conn, testkit.ResponseOK)
			return err == nil
		}).Address())
		body := strings.Repeat("abc", length)[:length]
		request := newTestRequest()
		request.Method = http.MethodPost
		if result := newTestAttempt(endpoint).Do(request, []byte(body)); result.Status != policy.StatusOK {
			t.Errorf("length %d: got %+v", length, result)
		}
		if got := testkit.Receive(t, "the body", bodies); got != body {
			t.Errorf("length %d: %d other bytes arrived", length, len(got))
		}
	}
}

// A request that cannot be encoded must not be sent in part, and its connection must stay usable.
func TestRequestThatCannotBeEncodedIsNotSent(t *testing.T) {
	server := testkit.NewServer(t, testkit.Reply(testkit.ResponseOK, true))
	endpoint := newTestEndpoint(t, server.Address())
	for _, body := range []string{"", "body"} {
		request := newTestRequest()
		request.URL.Opaque = "a\nb"
		if result := newTestAttempt(endpoint).Do(request, []byte(body)); result.Status != policy.StatusNotSent {
			t.Errorf("got %+v", result)
		}
	}
	if result := newTestAttempt(endpoint).Do(newTestRequest(), nil); result.Status != policy.StatusOK ||
		server.Connections.Load() != 1 {
		t.Errorf("got %+v on %d connections", result, server.Connections.Load())
	}
}
