package frontend

import (
	"fmt"
	"testing"
	"time"
)

// An ID must be remembered for the whole period, however the periods fall, and be forgotten after two.
func TestSentIDIsRememberedForThePeriod(t *testing.T) {
	const period = time.Minute
	start := time.Now()
	for offset := range 10 {
		sent := newSentRequests(100, period)
		sent.add("earlier", start)
		sentAt := start.Add(time.Duration(offset) * period / 10)
		sent.add("id", sentAt)
		for _, after := range []time.Duration{0, period / 2, period} {
			if !sent.contains("id", sentAt.Add(after)) {
				t.Errorf("sent %v after the start: forgotten after %v", sentAt.Sub(start), after)
			}
		}
		if sent.contains("id", sentAt.Add(3*period)) || sent.contains("other", sentAt) {
			t.Errorf("sent %v after the start: remembered for too long, or an ID that was not sent", sentAt.Sub(start))
		}
	}
}

// The number of remembered IDs must be bounded, and the latest ones must be kept.
func TestSentIDsAreBounded(t *testing.T) {
	const limit = 10
	sent := newSentRequests(limit, time.Hour)
	now := time.Now()
	for i := range 100 * limit {
		sent.add(fmt.Sprint(i), now)
		if len(sent.current)+len(sent.previous) > 2*limit {
			t.Fatalf("%d and %d IDs", len(sent.current), len(sent.previous))
		}
		for j := max(0, i-limit+1); j <= i; j++ {
			if !sent.contains(fmt.Sprint(j), now) {
				t.Fatalf("%d is forgotten after %d", j, i)
			}
		}
	}
}
