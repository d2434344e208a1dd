package model

// connectionTable counts the connections that an endpoint holds, from all gateways together. An endpoint holds a
// limited number of connections. Source: PROTOCOL, "Edge nodes to listing servers".
type connectionTable struct {
	limit int // maximum number of open connections; 0: unlimited
	open  int // number of open connections
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
