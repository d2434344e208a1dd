package frontend

import "sync"

// openRequests is the set of ids of the requests that are not answered yet. It serves to reject a second request with
// the id of an open one, which an endpoint would take for a copy of that request.
type openRequests struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

// add inserts the id of a request. It returns false if a request with this id is open already.
func (o *openRequests) add(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.ids[id]; ok {
		return false
	}
	o.ids[id] = struct{}{}
	return true
}

func (o *openRequests) remove(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.ids, id)
}

func (o *openRequests) contains(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.ids[id]
	return ok
}
