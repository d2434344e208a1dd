package experiment

import (
	"bytes"
	"errors"
	"math"
	"strings"
	"testing"
)

// Guards against wrong quantiles of Student's t distribution, which would make the confidence intervals wrong.
func TestStudentQuantileMatchesPublishedTables(t *testing.T) {
	for _, c := range []struct{ probability, degrees, want float64 }{
		{0.975, 1, 12.7062}, {0.975, 2, 4.3027}, {0.975, 4, 2.7764}, {0.975, 9, 2.2622}, {0.975, 30, 2.0423},
		{0.975, 1000, 1.9623}, {0.95, 5, 2.0150}, {0.995, 10, 3.1693}, {0.5, 7, 0},
	} {
		if got := studentQuantile(c.probability, c.degrees); math.Abs(got-c.want) > 1e-4 {
			t.Errorf("the quantile of %v with %v degrees of freedom is %.5f, want %.4f", c.probability, c.degrees, got, c.want)
		}
	}
}

// Guards against a wrong mean, standard error or quantile in the confidence interval of a sample.
func TestMeanIntervalMatchesManualCalculation(t *testing.T) {
	// The mean is 3, the standard deviation sqrt(2.5), the standard error sqrt(0.5), and t with 4 degrees of freedom
	// 2.77645.
	got := meanInterval([]float64{1, 2, 3, 4, 5})
	if math.Abs(got.Mean-3) > 1e-12 || math.Abs(got.Low-1.03676) > 1e-4 || math.Abs(got.High-4.96324) > 1e-4 {
		t.Errorf("the interval is %+v, want 3 from 1.03676 to 4.96324", got)
	}
}

// recordWithService returns a record with the given service and a latency proportional to it.
func recordWithService(version string, seed uint64, service float64) Record {
	record := Record{Experiment: "trial", Version: version, Decider: Springfield, Size: 3, Seed: seed, Scenario: "s"}
	record.Result.Service.Whole = service
	record.Result.Latency.P99 = 100 * service
	return record
}

// oldSide and newSide select the records that the tests create with recordWithService.
var oldSide, newSide = Side{"old", Springfield}, Side{"new", Springfield}

// compareServices compares records with the given services, which have the seeds 0, 1, 2 and so on.
func compareServices(t *testing.T, before, after []float64) SizeComparison {
	t.Helper()
	var records []Record
	for i, service := range before {
		records = append(records, recordWithService("old", uint64(i), service))
	}
	for i, service := range after {
		records = append(records, recordWithService("new", uint64(i), service))
	}
	comparison, err := Compare(records, "trial", oldSide, newSide)
	if err != nil || len(comparison.Sizes) != 1 {
		t.Fatalf("%d sizes, error %v, want 1", len(comparison.Sizes), err)
	}
	return comparison.Sizes[0]
}

func serviceAndLatencyVerdicts(size SizeComparison) (service, latency Verdict) {
	for _, metric := range size.Metrics {
		switch metric.Metric.Name {
		case "service":
			service = metric.Verdict
		case "latency p99, ms":
			latency = metric.Verdict
		}
	}
	return service, latency
}

// Guards against verdicts from unpaired means, from noise or from a single pair, and against swapped verdicts for a
// metric whose lower values are better.
func TestVerdictUsesPairedDifferences(t *testing.T) {
	for _, c := range []struct {
		name             string
		before, after    []float64
		service, latency Verdict
	}{
		// Here the values differ far more between seeds than between versions, so that only paired differences are clear.
		{"paired gain", []float64{0.2, 0.5, 0.8, 0.4}, []float64{0.23, 0.54, 0.83, 0.44}, VerdictBetter, VerdictWorse},
		{"paired loss", []float64{0.23, 0.54, 0.83}, []float64{0.2, 0.5, 0.8}, VerdictWorse, VerdictBetter},
		{"noise", []float64{0.5, 0.6, 0.7}, []float64{0.6, 0.5, 0.7}, VerdictUnclear, VerdictUnclear},
		{"same", []float64{0.5, 0.6}, []float64{0.5, 0.6}, VerdictSame, VerdictSame},
		{"one pair", []float64{0.5}, []float64{0.9}, VerdictTooFewPairs, VerdictTooFewPairs},
	} {
		t.Run(c.name, func(t *testing.T) {
			service, latency := serviceAndLatencyVerdicts(compareServices(t, c.before, c.after))
			if service != c.service || latency != c.latency {
				t.Errorf("service is %v and latency %v, want %v and %v", service, latency, c.service, c.latency)
			}
		})
	}
}

// Guards against pairs of records whose scenarios differ, and against unpaired records that are not counted.
func TestComparePairsOnlyEqualRuns(t *testing.T) {
	changed := recordWithService("new", 2, 0.6)
	changed.Scenario = "another"
	records := []Record{recordWithService("old", 1, 0.5), recordWithService("old", 2, 0.5),
		recordWithService("old", 3, 0.5), recordWithService("new", 1, 0.6), changed, recordWithService("new", 4, 0.6)}
	comparison, err := Compare(records, "trial", oldSide, newSide)
	if err != nil {
		t.Fatal(err)
	}
	if comparison.Unpaired != 4 || comparison.ScenarioChanged != 2 {
		t.Errorf("%d unpaired records, %d of them with a changed scenario, want 4 and 2", comparison.Unpaired,
			comparison.ScenarioChanged)
	}
	if len(comparison.Sizes) != 1 || len(comparison.Sizes[0].Seeds) != 1 || comparison.Sizes[0].Seeds[0] != 1 {
		t.Errorf("pairs are %+v, want the one of seed 1", comparison.Sizes)
	}
	var text bytes.Buffer
	if err := comparison.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"4 records have no partner", "under two pairs", "too few pairs to tell", "+0.1"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the text lacks %q:\n%s", want, text.String())
		}
	}
}

// Guards against an error that does not tell which side has no records.
func TestCompareNamesSideWithoutRecords(t *testing.T) {
	_, err := Compare([]Record{recordWithService("old", 1, 0.5)}, "trial", oldSide, newSide)
	if !errors.Is(err, ErrNoRecords) || !strings.Contains(err.Error(), "version new") {
		t.Errorf("the error is %v, want ErrNoRecords with the version new", err)
	}
}

// Guards against records of different versions on one line, or records of one version on several lines.
func TestWriteListHasOneLinePerVersion(t *testing.T) {
	records := []Record{recordWithService("old", 1, 0.5), recordWithService("new", 1, 0.6),
		recordWithService("old", 2, 0.7)}
	var text bytes.Buffer
	if err := WriteList(&text, records); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	if len(lines) != 3 || !strings.Contains(lines[1], "0.6000") || !strings.Contains(lines[2], "0.6000") ||
		!strings.HasPrefix(strings.Fields(lines[2])[4], "2") {
		t.Errorf("want a line of one run and one of two runs, each with service 0.6000, got\n%s", text.String())
	}
}
