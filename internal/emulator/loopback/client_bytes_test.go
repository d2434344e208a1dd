package loopback

import (
	"bufio"
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"springfield/internal/emulator/model"
)

// Each form of a request must be the same request to a server, with the same headers.
func TestTransmissionsAreTheSameRequest(t *testing.T) {
	s := newScenario(time.Second)
	s.Classes[1].Idempotency = "deduplicated"
	random := rand.New(rand.NewPCG(1, 1))
	forms := map[string]bool{}
	for i := range 200 {
		arrival := model.Arrival{Request: 27, Class: i % len(s.Classes), Units: 1}
		m := newMessage(&s, &arrival)
		form := drawTransmission(random)
		var written bytes.Buffer
		form.pauses = make([]time.Duration, len(form.pauses)) // no pauses
		if err := form.write(&written, form.encode(&m, time.Second)); err != nil {
			t.Fatal(err)
		}
		forms[written.String()] = true
		received, err := readRequest(bufio.NewReader(&written))
		if err != nil || !m.matches(received) {
			t.Fatalf("%+v: the request was not recognized: %v", form, err)
		}
		for _, name := range []string{requestIDHeader, "Plan", "Quota-Info", "Req-Deadline"} {
			if values := received.head.Header[name]; len(values) != 1 || values[0] == "" {
				t.Errorf("%+v: header %s is %q", form, name, values)
			}
		}
	}
	if len(forms) < 20 {
		t.Errorf("only %d forms were drawn", len(forms))
	}
}
