package counters

import (
	"slices"
	"testing"
)

// Each event has a name of its own, and those that occur are in the summary.
func TestEventsHaveNamesAndCounts(t *testing.T) {
	seen := map[string]bool{}
	for event := range eventCount {
		if event.String() == "" || seen[event.String()] {
			t.Errorf("event %d is called %q", event, event)
		}
		seen[event.String()] = true
	}
	before := Of(AttemptReset)
	Count(AttemptReset, "a")
	summary := Summary()
	place := slices.Index(summary, any(AttemptReset.String()))
	if place < 0 || summary[place+1] != before+1 {
		t.Errorf("the summary is %v", summary)
	}
}
