package model

// connectionTable counts the connections that an endpoint holds, from all gateways together.
//
// Source: PROTOCOL, "Edge nodes to listing servers": an endpoint holds only a limited number of connections.
type connectionTable struct {
	limit int // 0: unlimited
	open  int
}

// add takes a place for a connection, if there is one.
func (t *connectionTable) add() bool {
	if t.limit > 0 && t.open >= t.limit {
		return false
	}
	t.open++
	return true
}

// remove gives a place back.
func (t *connectionTable) remove() { t.open = max(0, t.open-1) }

// clear gives all places back: the process has ended.
func (t *connectionTable) clear() { t.open = 0 }
