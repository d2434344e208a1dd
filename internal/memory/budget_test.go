package memory

import (
	"context"
	"errors"
	"testing"
	"time"
)

const waitTimeout = 10 * time.Second

// reserveAsync reserves bytes in a new goroutine and returns once that goroutine waits.
func reserveAsync(ctx context.Context, t *testing.T, b *Budget, bytes int) <-chan error {
	t.Helper()
	before := waiting(b)
	result := make(chan error, 1)
	go func() { result <- b.Reserve(ctx, bytes) }()
	for end := time.Now().Add(waitTimeout); waiting(b) == before; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the reservation does not wait")
		}
	}
	return result
}

func waiting(b *Budget) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiters)
}

func receive(t *testing.T, result <-chan error) error {
	t.Helper()
	select {
	case err := <-result:
		return err
	case <-time.After(waitTimeout):
		t.Fatal("the reservation does not return")
		return nil
	}
}

// A budget must never give out more than its limit.
func TestBudgetIsNotExceeded(t *testing.T) {
	b := NewBudget(10)
	if !b.TryReserve(6) || b.TryReserve(5) || !b.TryReserve(4) || b.TryReserve(1) {
		t.Errorf("%d of 10 bytes are in use", b.InUse())
	}
	b.Release(6)
	if b.InUse() != 4 || !b.TryReserve(6) {
		t.Errorf("%d bytes are in use after a release", b.InUse())
	}
	if !Unlimited().TryReserve(1 << 40) {
		t.Error("an unlimited budget is short")
	}
}

// The newest waiter must be served first, and further ones as far as the bytes go.
func TestNewestWaiterIsServedFirst(t *testing.T) {
	b := NewBudget(10)
	if err := b.Reserve(t.Context(), 10); err != nil {
		t.Fatal(err)
	}
	oldest := reserveAsync(t.Context(), t, b, 4)
	middle := reserveAsync(t.Context(), t, b, 3)
	newest := reserveAsync(t.Context(), t, b, 6)
	b.Release(9)
	if err := errors.Join(receive(t, newest), receive(t, middle)); err != nil {
		t.Error(err)
	}
	if waiting(b) != 1 || b.InUse() != 10 {
		t.Errorf("%d waiters, %d bytes in use", waiting(b), b.InUse())
	}
	b.Release(3)
	if waiting(b) != 1 {
		t.Error("a waiter was served with fewer bytes than it needs")
	}
	b.Release(6)
	if err := receive(t, oldest); err != nil || b.InUse() != 5 {
		t.Errorf("%v, %d bytes in use", err, b.InUse())
	}
}

// A waiter that gives up must reserve nothing, also if that happens while its bytes become available.
func TestWaiterThatGivesUpHoldsNothing(t *testing.T) {
	for range 100 {
		b := NewBudget(1)
		if !b.TryReserve(1) {
			t.Fatal("the budget is short")
		}
		ctx, cancel := context.WithCancel(t.Context())
		result := reserveAsync(ctx, t, b, 1)
		go cancel()
		b.Release(1)
		want := 1
		if err := receive(t, result); err != nil {
			want = 0
		}
		if b.InUse() != want || waiting(b) != 0 {
			t.Fatalf("%d bytes in use, want %d; %d waiters", b.InUse(), want, waiting(b))
		}
	}
}
