package report

import (
	"bytes"
	"encoding/xml"
	"errors"
	"image/png"
	"io"
	"strings"
	"testing"
	"time"

	"springfield/internal/emulator"
	"springfield/internal/measure"
	"springfield/policy"
)

const (
	testStart    = 1_700_000_000 * time.Second
	testRequests = 400
	hostileName  = `<script>alert("&")</script>`
)

// recordedResult records a short run in which every fifth request is rejected.
func recordedResult(planName string) measure.Result {
	scenario := emulator.Scenario{
		Name:    "recorded",
		Length:  emulator.Duration(8 * time.Second),
		Classes: []emulator.Class{{Name: "read", Value: 1, Objective: emulator.Duration(time.Second)}},
		Plans:   []emulator.Plan{{Name: planName, Rate: 20, Burst: 20, Price: 1}},
	}
	recorder := measure.NewRecorder(&scenario, testStart)
	fault := emulator.Fault{Kind: emulator.FaultResets, Share: 0.5}
	for i := range testRequests {
		at := testStart + time.Duration(i)*20*time.Millisecond
		key, endpoint := emulator.RequestKey(i+1), policy.EndpointID(i%30)
		recorder.Observe(at, emulator.RequestSubmitted{Request: key, Original: key, Units: 1})
		answer := emulator.AnswerRejected
		if i%5 > 0 {
			answer = emulator.AnswerServed
			recorder.Observe(at, emulator.AttemptForwarded{Request: key, Endpoint: endpoint})
			recorder.Observe(at, emulator.AttemptReceived{Request: key, Endpoint: endpoint, Units: 1})
			recorder.Observe(at, emulator.AttemptEnded{Request: key, Endpoint: endpoint, Executed: true})
		}
		recorder.Observe(at+time.Millisecond, emulator.RequestAnswered{Request: key, Answer: answer, Genuine: true})
		if i == 100 || i == 200 {
			recorder.Observe(at+time.Millisecond, emulator.FaultChanged{Fault: fault, Active: i == 100})
		}
	}
	return recorder.Result(testStart + 8*time.Second)
}

func pageOf(t *testing.T, results ...NamedResult) string {
	t.Helper()
	var buffer bytes.Buffer
	if err := WriteHTML(&buffer, results); err != nil {
		t.Fatal(err)
	}
	return buffer.String()
}

func TestPageShowsResultsSideBySide(t *testing.T) {
	page := pageOf(t, NamedResult{"first", recordedResult("basic")}, NamedResult{"second", recordedResult("basic")})
	for _, want := range []string{"320 (80.0%)", "80 (20.0%)", "F1", "resets", "4 more", "end of the load"} {
		if !strings.Contains(page, want) {
			t.Errorf("page lacks %q", want)
		}
	}
	if plots := strings.Count(page, "<svg"); plots != 2*len(Figures()) {
		t.Errorf("got %d plots, want %d", plots, 2*len(Figures()))
	}
}

func TestPageIsSelfContained(t *testing.T) {
	page := pageOf(t, NamedResult{"only", recordedResult("basic")})
	for _, forbidden := range []string{"<script", "<link", "<img", "@import", "url(", "src=", "<?xml", "<!DOCTYPE svg"} {
		if strings.Contains(page, forbidden) {
			t.Errorf("page contains %q", forbidden)
		}
	}
}

func TestNamesAreEscaped(t *testing.T) {
	if page := pageOf(t, NamedResult{hostileName, recordedResult(hostileName)}); strings.Contains(page, "<script") {
		t.Error("the page contains a name that is not escaped")
	}
}

func TestPageOfSameResultsIsTheSame(t *testing.T) {
	first := pageOf(t, NamedResult{"same", recordedResult("basic")})
	if second := pageOf(t, NamedResult{"same", recordedResult("basic")}); first != second {
		t.Error("got two different pages of equal results")
	}
}

func TestResultWithoutRequests(t *testing.T) {
	scenario := emulator.Scenario{Length: emulator.Duration(time.Second)}
	empty := measure.NewRecorder(&scenario, testStart).Result(testStart)
	pageOf(t, NamedResult{"empty", empty}, NamedResult{"zero", measure.Result{}})
}

func TestNoResults(t *testing.T) {
	if err := WriteHTML(io.Discard, nil); !errors.Is(err, ErrNoResults) {
		t.Errorf("got error %v, want %v", err, ErrNoResults)
	}
}

func TestPictures(t *testing.T) {
	result := NamedResult{"a & b", recordedResult("basic")}
	for _, name := range Figures() {
		var drawn, vector bytes.Buffer
		if err := WritePNG(&drawn, name, &result); err != nil {
			t.Fatal(err)
		}
		if _, err := png.Decode(&drawn); err != nil {
			t.Errorf("figure %s: %v", name, err)
		}
		if err := WriteSVG(&vector, name, &result); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(vector.String(), "a &amp; b") {
			t.Errorf("figure %s does not show the name of its result", name)
		}
		decoder := xml.NewDecoder(&vector)
		for _, err := decoder.Token(); !errors.Is(err, io.EOF); _, err = decoder.Token() {
			if err != nil {
				t.Fatalf("figure %s: %v", name, err)
			}
		}
	}
	if err := WritePNG(io.Discard, "nothing", &result); !errors.Is(err, ErrUnknownFigure) {
		t.Errorf("got error %v, want %v", err, ErrUnknownFigure)
	}
}

func TestFormats(t *testing.T) {
	for got, want := range map[string]string{
		formatCount(1234567):   "1,234,567",
		formatCount(-1005):     "-1,005",
		formatCount(999):       "999",
		formatNumber(0.12345):  "0.123",
		formatNumber(12.345):   "12.35",
		formatNumber(123.45):   "123.5",
		formatNumber(1234.5):   "1,235",
		formatPercent(0.98765): "98.8%",
		formatMillis(1234.4):   "1,234",
		formatMillis(9.96):     "10.0",
		tickLabel(0.5, 0.5):    "0.5",
		tickLabel(2000, 500):   "2,000",
	} {
		if got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

func TestRoundTicks(t *testing.T) {
	ticks := roundTicks{}.Ticks(0, 21)
	if len(ticks) != 5 || ticks[1].Value != 5 || ticks[4].Label != "20" {
		t.Errorf("got ticks %+v, want 0, 5, 10, 15 and 20", ticks)
	}
}

func TestGapsBreakCurves(t *testing.T) {
	parts := stretches([]float64{1, 2, missingValue(), 3})
	if len(parts) != 2 || len(parts[0]) != 2 || parts[1][0].X != 3.5 {
		t.Errorf("got %v, want two stretches", parts)
	}
}
