package counters

import (
	"slices"
	"testing"
)

// A missing or duplicate name would make a count unreadable in the summary, which must contain every event that has
// occurred.
func TestEventsHaveNamesAndCounts(t *testing.T) {
	seen := map[string]bool{}
	for event := range eventCount {
		if event.String() == "" || seen[event.String()] {
			t.Errorf("event %d has the empty or duplicate name %q", event, event)
		}
		seen[event.String()] = true
	}
	before := Value(AttemptReset)
	Count(AttemptReset, "a")
	summary := Summary()
	index := slices.Index(summary, any(AttemptReset.String()))
	if index < 0 || summary[index+1] != before+1 {
		t.Errorf("the summary is %v", summary)
	}
}
