package loopback

import (
	"net"
	"testing"
)

// Clients must reuse the connection that was used last, or with reuseOldest the one that has been idle for longest, and
// each connection once.
func TestIdleConnectionsAreReusedInOrder(t *testing.T) {
	for _, reuseOldest := range []bool{false, true} {
		var kept []*clientConnection
		for range 3 {
			client, peer := net.Pipe()
			t.Cleanup(func() {
				_ = client.Close() // the test is over
				_ = peer.Close()
			})
			kept = append(kept, &clientConnection{Conn: client})
		}
		g := &gateway{reuseOldest: reuseOldest, idleConnections: append([]*clientConnection{}, kept...)}
		for i := range kept {
			want := kept[len(kept)-1-i]
			if reuseOldest {
				want = kept[i]
			}
			if got := g.takeIdle(); got != want {
				t.Errorf("oldest first: %v: the wrong connection was taken as number %d", reuseOldest, i)
			}
		}
		if g.takeIdle() != nil {
			t.Errorf("oldest first: %v: a connection was taken twice", reuseOldest)
		}
	}
}
