package frontend

import (
	"net/http"
	"testing"
	"time"

	"springfield/internal/testkit"
)

// The last command for a request must be given before the client gives up. A client must not extend the deadline of a
// request beyond that of its class.
func TestDeadlineIsCappedAndKeepsMargin(t *testing.T) {
	settings := testkit.Settings(t)
	parser := newRequestParser(&settings)
	for text, want := range map[string]time.Duration{
		"0.480":   460 * time.Millisecond,
		"8":       7980 * time.Millisecond,
		"99999.5": 7980 * time.Millisecond,
	} {
		request := testkit.NewRequest(t, "127.0.0.1:1", http.MethodGet, "/lookup"+testkit.CustomerPath, "team", "", text)
		got, err := parser.parse(request, time.Hour)
		if err != nil || got.deadline-time.Hour != want {
			t.Errorf("%s: %+v, %v; want %v", text, got, err, want)
		}
	}
}
