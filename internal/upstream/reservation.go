package upstream

import "springfield/internal/memory"

// reservation is the memory that is reserved for the response of an attempt.
type reservation struct {
	budget  *memory.Budget
	attempt *Attempt // its abort ends the wait for memory
	bytes   int
}

// reserve reserves bytes and waits until they are available or the attempt is aborted. The response waits unread
// meanwhile.
func (r *reservation) reserve(bytes int) error {
	if !r.budget.TryReserve(bytes) {
		ctx, cancel := r.attempt.abortContext()
		defer cancel()
		if err := r.budget.Reserve(ctx, bytes); err != nil {
			return err
		}
	}
	r.bytes += bytes
	return nil
}

// release releases what is reserved.
func (r *reservation) release() {
	if r.bytes > 0 {
		r.budget.Release(r.bytes)
	}
	r.bytes = 0
}
