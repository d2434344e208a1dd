package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// minPairs is the least number of pairs that have a confidence interval.
const minPairs = 2

// ErrNoRecords is returned when a side of a comparison has no records.
var ErrNoRecords = errors.New("no records")

// Side selects the records of one side of a comparison.
type Side struct{ Version, Decider string }

// String returns the decider and the version.
func (s Side) String() string { return s.Decider + " of version " + s.Version }

// Verdict says what a comparison of one metric has shown.
type Verdict uint8

// The verdicts. Better and Worse need a confidence interval without zero.
const (
	VerdictTooFewPairs Verdict = iota
	VerdictSame                // no pair differs at all
	VerdictUnclear
	VerdictBetter
	VerdictWorse
)

// String returns the verdict in plain words.
func (v Verdict) String() string {
	switch v {
	case VerdictTooFewPairs:
		return "too few pairs to tell"
	case VerdictSame:
		return "the same in each pair"
	case VerdictUnclear:
		return "no clear difference"
	case VerdictBetter:
		return "better"
	case VerdictWorse:
		return "worse"
	default:
		return fmt.Sprintf("Verdict(%d)", uint8(v))
	}
}

// Comparison compares two sides by the records of the same size, seed and scenario.
type Comparison struct {
	Experiment      string
	Before, After   Side
	Sizes           []SizeComparison
	Unpaired        int // records of either side without a partner
	ScenarioChanged int // of those, records whose partner ran another scenario
}

// SizeComparison compares the pairs of one size.
type SizeComparison struct {
	Size    float64
	Seeds   []uint64 // of the pairs
	Metrics []MetricComparison
}

// MetricComparison compares the pairs of one size by one metric.
type MetricComparison struct {
	Metric        Metric
	Before, After float64  // means
	Difference    Interval // after less before; Low and High equal Mean where there are too few pairs
	Verdict       Verdict
}

// Compare pairs the records of two sides by size and seed.
func Compare(records []Record, experiment string, before, after Side) (Comparison, error) {
	comparison := Comparison{Experiment: experiment, Before: before, After: after}
	old, recent := selectSide(records, experiment, before), selectSide(records, experiment, after)
	for _, side := range []struct {
		name    Side
		records map[runKey]*Record
	}{{before, old}, {after, recent}} {
		if len(side.records) == 0 {
			return comparison, fmt.Errorf("%w of experiment %s with %v", ErrNoRecords, experiment, side.name)
		}
	}
	var pairs []recordPair
	for key, record := range old {
		partner, ok := recent[key]
		switch {
		case !ok:
			comparison.Unpaired++
		case partner.Scenario != record.Scenario:
			comparison.Unpaired += 2
			comparison.ScenarioChanged += 2
		default:
			pairs = append(pairs, recordPair{record, partner})
		}
	}
	for key := range recent {
		if _, ok := old[key]; !ok {
			comparison.Unpaired++
		}
	}
	comparison.Sizes = compareSizes(pairs)
	return comparison, nil
}

// runKey is what the two records of a pair have in common.
type runKey struct {
	size float64
	seed uint64
}

type recordPair struct{ before, after *Record }

func selectSide(records []Record, experiment string, side Side) map[runKey]*Record {
	selected := make(map[runKey]*Record)
	for i := range records {
		record := &records[i]
		if record.Experiment == experiment && record.Version == side.Version && record.Decider == side.Decider {
			selected[runKey{record.Size, record.Seed}] = record
		}
	}
	return selected
}

// compareSizes sorts the pairs, whose order must not depend on that of a map, and compares those of each size.
func compareSizes(pairs []recordPair) []SizeComparison {
	slices.SortFunc(pairs, func(a, b recordPair) int {
		return cmp.Or(cmp.Compare(a.before.Size, b.before.Size), cmp.Compare(a.before.Seed, b.before.Seed))
	})
	var sizes []SizeComparison
	for len(pairs) > 0 {
		size := pairs[0].before.Size
		end := slices.IndexFunc(pairs, func(p recordPair) bool { return p.before.Size != size })
		if end < 0 {
			end = len(pairs)
		}
		sizes = append(sizes, compareSize(pairs[:end]))
		pairs = pairs[end:]
	}
	return sizes
}

func compareSize(pairs []recordPair) SizeComparison {
	size := SizeComparison{Size: pairs[0].before.Size}
	for _, pair := range pairs {
		size.Seeds = append(size.Seeds, pair.before.Seed)
	}
	for _, metric := range Metrics() {
		size.Metrics = append(size.Metrics, compareMetric(metric, pairs))
	}
	return size
}

func compareMetric(metric Metric, pairs []recordPair) MetricComparison {
	result := MetricComparison{Metric: metric}
	differences := make([]float64, len(pairs))
	count := float64(len(pairs))
	for i, pair := range pairs {
		before, after := metric.Value(pair.before), metric.Value(pair.after)
		differences[i] = after - before
		result.Before += before / count
		result.After += after / count
	}
	if len(pairs) < minPairs {
		result.Difference = Interval{Mean: differences[0], Low: differences[0], High: differences[0]}
		return result // too few pairs
	}
	result.Difference = meanInterval(differences)
	result.Verdict = verdictOf(metric, differences, result.Difference)
	return result
}

func verdictOf(metric Metric, differences []float64, interval Interval) Verdict {
	switch {
	case !slices.ContainsFunc(differences, func(d float64) bool { return d != 0 }):
		return VerdictSame
	case interval.Low <= 0 && interval.High >= 0:
		return VerdictUnclear
	case interval.Mean > 0 == metric.HigherBetter:
		return VerdictBetter
	default:
		return VerdictWorse
	}
}
