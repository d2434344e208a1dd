// Package memory limits the memory that is in use for messages, so that clients and endpoints cannot make a process
// exceed its memory limit.
package memory

import (
	"context"
	"math"
	"slices"
	"sync"
)

// Budget is a number of bytes that are reserved before memory is allocated, and released when it is not used any more.
// While bytes are short, the newest waiter is served first: older ones are closer to giving up, and serving them would
// make all waiters late. Its methods may be called from any goroutine.
type Budget struct {
	limit int

	mu      sync.Mutex
	inUse   int
	waiters []*waiter // oldest first
}

// waiter is a call of Reserve that waits.
type waiter struct {
	bytes   int
	granted chan struct{} // closed once the bytes are reserved
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int) *Budget { return &Budget{limit: limit} }

// Unlimited returns a budget that never runs short.
func Unlimited() *Budget { return NewBudget(math.MaxInt) }

// InUse returns the number of reserved bytes.
func (b *Budget) InUse() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inUse
}

// TryReserve reserves bytes if they are available. It does not wait.
func (b *Budget) TryReserve(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryReserveLocked(bytes)
}

// tryReserveLocked is TryReserve. The caller holds b.mu.
func (b *Budget) tryReserveLocked(bytes int) bool {
	if bytes > b.limit-b.inUse {
		return false
	}
	b.inUse += bytes
	return true
}

// Reserve reserves bytes and waits until they are available. It returns the error of ctx if that ends before.
func (b *Budget) Reserve(ctx context.Context, bytes int) error {
	b.mu.Lock()
	if b.tryReserveLocked(bytes) {
		b.mu.Unlock()
		return nil
	}
	w := &waiter{bytes: bytes, granted: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return b.stopWaiting(ctx, w)
	}
}

// stopWaiting removes a waiter, unless its bytes have been reserved meanwhile.
func (b *Budget) stopWaiting(ctx context.Context, w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return nil
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)
	return ctx.Err()
}

// Release returns bytes that were reserved, and serves waiters.
func (b *Budget) Release(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse -= bytes
	for i := len(b.waiters) - 1; i >= 0; i-- {
		w := b.waiters[i]
		if !b.tryReserveLocked(w.bytes) {
			return
		}
		b.waiters = b.waiters[:i]
		close(w.granted)
	}
}
