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
	markupName   = `<script>alert("&")</script>`
)

// recordedResult returns the result of a short run in which every fifth request is rejected.
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

func renderPage(t *testing.T, results ...NamedResult) string {
	t.Helper()
	var buffer bytes.Buffer
	if err := WriteHTML(&buffer, results); err != nil {
		t.Fatal(err)
	}
	return buffer.String()
}

// Guards against a page that lacks results, plots, faults or the note on omitted endpoints.
func TestPageShowsResultsSideBySide(t *testing.T) {
	page := renderPage(t, NamedResult{"first", recordedResult("basic")}, NamedResult{"second", recordedResult("basic")})
	for _, want := range []string{"320 (80.0%)", "80 (20.0%)", "F1", "resets", "4 more", "end of the load"} {
		if !strings.Contains(page, want) {
			t.Errorf("page lacks %q", want)
		}
	}
	if plots := strings.Count(page, "<svg"); plots != 2*len(Figures()) {
		t.Errorf("got %d plots, want %d", plots, 2*len(Figures()))
	}
}

// Guards against a page that contains scripts or loads other files.
func TestPageIsSelfContained(t *testing.T) {
	page := renderPage(t, NamedResult{"only", recordedResult("basic")})
	for _, forbidden := range []string{"<script", "<link", "<img", "@import", "url(", "src=", "<?xml", "<!DOCTYPE svg"} {
		if strings.Contains(page, forbidden) {
			t.Errorf("page contains %q", forbidden)
		}
	}
}

// Guards against names of results or plans that inject markup into the page.
func TestPageEscapesNames(t *testing.T) {
	if page := renderPage(t, NamedResult{markupName, recordedResult(markupName)}); strings.Contains(page, "<script") {
		t.Error("the page contains a name that is not escaped")
	}
}

// Guards against a page that differs between two renderings of equal results.
func TestPageIsDeterministic(t *testing.T) {
	first := renderPage(t, NamedResult{"same", recordedResult("basic")})
	if second := renderPage(t, NamedResult{"same", recordedResult("basic")}); first != second {
		t.Error("got two different pages of equal results")
	}
}

// Guards against an error for results without any request, whose percentiles and shares have no samples.
func TestPageShowsResultsWithoutRequests(t *testing.T) {
	scenario := emulator.Scenario{Length: emulator.Duration(time.Second)}
	empty := measure.NewRecorder(&scenario, testStart).Result(testStart)
	renderPage(t, NamedResult{"empty", empty}, NamedResult{"zero", measure.Result{}})
}

// Guards against an empty page when there are no results.
func TestWriteHTMLRejectsEmptyResults(t *testing.T) {
	if err := WriteHTML(io.Discard, nil); !errors.Is(err, ErrNoResults) {
		t.Errorf("got error %v, want %v", err, ErrNoResults)
	}
}

// Guards against pictures that cannot be decoded, names that are not escaped in SVG, and unknown figures.
func TestPicturesAreValidAndShowResultName(t *testing.T) {
	result := NamedResult{"a & b", recordedResult("basic")}
	for _, name := range Figures() {
		var raster, vector bytes.Buffer
		if err := WritePNG(&raster, name, &result); err != nil {
			t.Fatal(err)
		}
		if _, err := png.Decode(&raster); err != nil {
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

// Guards against wrong rounding, decimals or separators in numbers, percentages and labels of axes.
func TestNumbersAreFormattedForReaders(t *testing.T) {
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

// Guards against labels of an axis at numbers that are not round, or too many of them.
func TestTicksAreRoundNumbers(t *testing.T) {
	ticks := roundTicks{}.Ticks(0, 21)
	if len(ticks) != 5 || ticks[1].Value != 5 || ticks[4].Label != "20" {
		t.Errorf("got ticks %+v, want 0, 5, 10, 15 and 20", ticks)
	}
}

// Guards against a line drawn across a gap, and against points that are not at the middle of their second.
func TestSegmentsSplitAtGaps(t *testing.T) {
	got := segments([]float64{1, 2, missingValue(), 3})
	if len(got) != 2 || len(got[0]) != 2 || got[1][0].X != 3.5 {
		t.Errorf("got %v, want two segments", got)
	}
}
