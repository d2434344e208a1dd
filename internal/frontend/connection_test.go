package frontend

import (
	"net/http"
	"testing"
)

// net/http reads a single byte of a head when its buffer has room for only one more. Such a read must not be taken for
// its disconnect detection, which returns no bytes: a head with a line of 4 KiB that arrives in pieces would stall.
func TestOneByteReadOfHeadReturnsTheByte(t *testing.T) {
	conn, client := acceptOne(t, newTestListener(t))
	client.WriteText("GE")
	for i, want := range "GE" {
		var p [1]byte
		if n, err := conn.Read(p[:]); n != 1 || err != nil || rune(p[0]) != want {
			t.Fatalf("byte %d: read %d bytes, %q, %v", i, n, p, err)
		}
	}
}

// If two requests arrive together, only the first must be passed on until it has been answered. A part of the second in
// the buffer of net/http would go unnoticed, and its connection could be closed as idle.
func TestReadStopsAtEndOfRequest(t *testing.T) {
	const first, body, second = "POST / HTTP/1.1\r\n\r\n", "body", "GET / HTTP/1.1\r\n\r\n"
	conn, client := acceptOne(t, newTestListener(t))
	client.WriteText(first + body + second)
	buffer := make([]byte, len(first+body+second))
	read := func(want string) {
		t.Helper()
		if n, err := conn.Read(buffer); string(buffer[:n]) != want || err != nil {
			t.Fatalf("read %q, %v", buffer[:n], err)
		}
	}
	read(first)
	if !conn.beginRequest(int64(len(body))) {
		t.Fatal("the connection is closed")
	}
	read(body)
	if !conn.hasUnread() {
		t.Error("hasUnread does not report the second request")
	}
	trackState(conn, http.StateIdle)
	read(second)
	if conn.hasUnread() {
		t.Error("hasUnread reports bytes after the second request")
	}
}

// Closing a connection before its request is answered must be reported as an invariant violation. Closing it after the
// response, or after the client has disconnected, must not.
func TestCloseWithUnansweredRequestIsViolation(t *testing.T) {
	closeAfter := func(prepare func(*clientConn)) (violation any) {
		defer func() { violation = recover() }()
		conn, _ := acceptOne(t, newTestListener(t))
		conn.markUnanswered("a")
		prepare(conn)
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
		return nil
	}
	if closeAfter((*clientConn).markAnswered) != nil || closeAfter((*clientConn).markAbandoned) != nil {
		t.Error("a violation although no response is due")
	}
	if closeAfter(func(*clientConn) {}) == nil {
		t.Error("no violation although a response is due")
	}
}
