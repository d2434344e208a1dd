package frontend

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"springfield/internal/memory"
	"springfield/internal/testkit"
)

// headWithLines returns the head of a request with additional lines.
func headWithLines(id, lines string) string {
	head := testkit.RequestHead(http.MethodGet, "lookup", id, "100")
	return strings.TrimSuffix(head, "\r\n") + lines + "\r\n"
}

// A head with very many short fields must be answered with an error before net/http parses it, since the parsed fields
// take many times the memory of their text. Hundreds of such heads took a gateway over its memory limit.
func TestHeadWithTooManyLinesIsAnError(t *testing.T) {
	server, address, submitted := startMemoryServer(t)
	for name, head := range map[string]string{
		"complete":     headWithLines("many", strings.Repeat("a:\r\n", maxHeadLines)),
		"bare LF":      headWithLines("many", strings.Repeat("a:\n", maxHeadLines)),
		"incomplete":   "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", maxHeadLines),
		"empty lines":  strings.Repeat("\r\n", maxHeadLines+1),
		"continuation": "GET / HTTP/1.1\r\na: b\r\n" + strings.Repeat(" c\r\n", maxHeadLines),
	} {
		client := testkit.Dial(t, address)
		client.WriteText(head)
		if response := client.ReadResponse(); response.Status != http.StatusBadRequest || !response.Close {
			t.Errorf("%s: got %+v, want an error that closes the connection", name, response)
		}
	}
	client := testkit.Dial(t, address)
	client.WriteText(headWithLines("many", strings.Repeat("a:\r\n", maxHeadLines/2)))
	testkit.WaitFor(t, "a request with fewer lines", submitted)
	client.Reset()
	testkit.Eventually(t, "the end of all connections", func() bool { return server.OpenConnections() == 0 })
}

// The lines of a head must be counted over all reads, and anew for each request of a connection.
func TestLinesBelongToTheirRequest(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	var boundary requestBoundary
	for i := range head {
		boundary.advance([]byte(head[i : i+1]))
	}
	if boundary.headLines != strings.Count(head, "\n") || boundary.headLength != len(head) {
		t.Errorf("%d lines, %d bytes", boundary.headLines, boundary.headLength)
	}
	boundary.advance([]byte("more\n"))
	if boundary.headLines != strings.Count(head, "\n")+1 {
		t.Errorf("%d lines although net/http reads on", boundary.headLines)
	}
	boundary.beginHead()
	if boundary.headLines != 0 || boundary.headLength != 0 {
		t.Errorf("%d lines, %d bytes at the start of a head", boundary.headLines, boundary.headLength)
	}
}

// A long head must be read only while there is memory for it, and must release that however it ends. Short heads must
// not depend on it. The budget of the test holds two.
func TestLongHeadNeedsMemory(t *testing.T) {
	server, address, submitted := startMemoryServer(t)
	server.limiter.memory = memory.NewBudget(2 * largeHeadBytes)
	server.limiter.maxMemoryWait = time.Millisecond
	longField := "X: " + strings.Repeat("x", smallHeadBytes) + "\r\n"
	long := headWithLines("long", longField)
	inUse := func() int { return server.limiter.memory.InUse() }

	waiting, incomplete := testkit.Dial(t, address), testkit.Dial(t, address)
	waiting.WriteText(long)
	testkit.WaitFor(t, "the request", submitted)
	incomplete.WriteText(long[:len(long)-1])
	testkit.Eventually(t, "both reservations", func() bool { return inUse() == 2*largeHeadBytes })
	further := testkit.Dial(t, address)
	further.WriteText(headWithLines("further", longField))
	if response := further.ReadResponse(); response.Status != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("without memory: got %+v, want a rejection that closes the connection", response)
	}
	short := testkit.Dial(t, address)
	short.WriteText(headWithLines("short", ""))
	testkit.WaitFor(t, "the short request", submitted)

	waiting.Reset()
	incomplete.Reset()
	testkit.Eventually(t, "the release", func() bool { return inUse() == 0 })
	short.Reset()
	testkit.Eventually(t, "the end of all connections", func() bool { return server.OpenConnections() == 0 })
}

// A client that stops in a long head must not hold memory that another request needs.
func TestStalledLongHeadMakesRoomInMemory(t *testing.T) {
	server, address, submitted := startMemoryServer(t)
	server.limiter.memory = memory.NewBudget(largeHeadBytes)
	long := headWithLines("long", "X: "+strings.Repeat("x", smallHeadBytes)+"\r\n")
	stalled := testkit.Dial(t, address)
	stalled.WriteText(long[:len(long)-1])
	testkit.Eventually(t, "the reservation", func() bool { return server.limiter.memory.InUse() > 0 })
	whole := testkit.Dial(t, address)
	whole.WriteText(long)
	if response := stalled.ReadResponse(); response.Status != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("the stalled head: got %+v, want a rejection that closes the connection", response)
	}
	testkit.WaitFor(t, "the whole request", submitted)
	whole.Reset()
	testkit.Eventually(t, "the release", func() bool { return server.limiter.memory.InUse() == 0 })
}
