package frontend

import (
	"net/http"
	"testing"
)

// net/http reads a single byte of a head when its buffer has room for one more. That was once taken for its watch of a
// client, which keeps what it reads: a head with a line of 4 KiB that arrived in pieces could stop there for ever.
func TestReadOfOneByteInAHeadIsNoWatch(t *testing.T) {
	conn, client := acceptOne(t, newTestListener(t))
	client.WriteText("GE")
	for i, want := range "GE" {
		var p [1]byte
		if n, err := conn.Read(p[:]); n != 1 || err != nil || rune(p[0]) != want {
			t.Fatalf("byte %d: read %d bytes, %q, %v", i, n, p, err)
		}
	}
}

// Of requests that arrive together only the first is passed on, until it has been answered.
func TestReadStopsAtTheEndOfARequest(t *testing.T) {
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
		t.Fatal("the connection is evicted")
	}
	read(body)
	if !conn.hasUnread() {
		t.Error("nothing tells of the second request")
	}
	trackState(conn, http.StateIdle)
	read(second)
	if conn.hasUnread() {
		t.Error("something is left behind the second request")
	}
}

// A connection that closes with a request unanswered violates an invariant; one whose request was answered, or whose
// client has gone, does not.
func TestCloseGuard(t *testing.T) {
	closes := func(prepare func(*clientConn)) (violation any) {
		defer func() { violation = recover() }()
		conn, _ := acceptOne(t, newTestListener(t))
		conn.markUnanswered("a")
		prepare(conn)
		if err := conn.Close(); err != nil {
			t.Error(err)
		}
		return nil
	}
	if closes((*clientConn).markAnswered) != nil || closes((*clientConn).markAbandoned) != nil {
		t.Error("a violation though nothing is owed")
	}
	if closes(func(*clientConn) {}) == nil {
		t.Error("no violation though an answer is owed")
	}
}
