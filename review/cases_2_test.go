package review

import "testing"

// The cases of the second review, which REPORT-2.md lists. Like those of the first, they are skipped without REVIEW=1.
func TestSecondReviewCasesHold(t *testing.T) {
	for _, folder := range []string{"6", "7", "8", "9", "10"} {
		t.Run(folder, func(t *testing.T) { runCase(t, folder) })
	}
}
