package virtualsoak

import (
	"fmt"
	"time"

	"springfield/internal/soak"
)

// findingList collects the findings of a run, one for each kind.
type findingList struct{ findings []soak.Finding }

// add records a failure, and describes it if it is the first one of its kind.
func (l *findingList) add(what, format string, arguments ...any) {
	for i := range l.findings {
		if l.findings[i].What == what {
			l.findings[i].Count++
			return
		}
	}
	l.findings = append(l.findings, soak.Finding{What: what, Count: 1, Detail: fmt.Sprintf(format, arguments...)})
}

// addAt records a failure at a time after the start of the load.
func (l *findingList) addAt(what string, after time.Duration, format string, arguments ...any) {
	l.add(what, "%v after the start: %s", after, fmt.Sprintf(format, arguments...))
}
