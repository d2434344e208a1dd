package model

// connectionTable counts the connections that an endpoint holds, from all gateways together. The limit follows the
// operators' page PROTOCOL ("Edge nodes to listing servers"): an endpoint holds a limited number of connections.
type connectionTable struct {
	limit int // 0: unlimited
	open  int
}

// add counts a new connection, or returns false if the limit has been reached.
func (t *connectionTable) add() bool {
	if t.limit > 0 && t.open >= t.limit {
		return false
	}
	t.open++
	return true
}

// remove counts a connection as closed.
func (t *connectionTable) remove() { t.open = max(0, t.open-1) }

// clear removes all connections. It is called when the process ends.
func (t *connectionTable) clear() { t.open = 0 }
