package experiment

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
)

// minPairs is the smallest number of pairs from which a confidence interval can be computed.
const minPairs = 2

// ErrNoRecords is returned when a side of a comparison has no records.
var ErrNoRecords = errors.New("no records")

// Side selects the records of one side of a comparison by the version of the program and the decider.
type Side struct{ Version, Decider string }

// String returns the decider and the version.
func (s Side) String() string { return s.Decider + " of version " + s.Version }

// Verdict is the outcome of the comparison of one metric.
type Verdict uint8

// The verdicts. VerdictBetter and VerdictWorse require a confidence interval that excludes zero.
const (
	VerdictTooFewPairs Verdict = iota // there are fewer than minPairs pairs
	VerdictSame                       // the metric is equal in every pair
	VerdictUnclear                    // the confidence interval of the difference contains zero
	VerdictBetter                     // the metric is better on the side After
	VerdictWorse                      // the metric is worse on the side After
)

// String returns the verdict as it is shown to readers.
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

// Comparison is the comparison of two sides. A pair consists of records of the same size, seed and scenario.
type Comparison struct {
	Experiment      string
	Before, After   Side
	Sizes           []SizeComparison
	Unpaired        int // records of both sides that have no partner
	ScenarioChanged int // unpaired records whose counterpart of the same size and seed ran another scenario
}

// SizeComparison is the comparison of the pairs of one size.
type SizeComparison struct {
	Size    float64
	Seeds   []uint64 // seeds of the pairs, in ascending order
	Metrics []MetricComparison
}

// MetricComparison is the comparison of the pairs of one size by one metric.
type MetricComparison struct {
	Metric        Metric
	Before, After float64  // means over the pairs
	Difference    Interval // After minus Before; Low and High equal Mean if there are too few pairs
	Verdict       Verdict
}

// Compare pairs the records of two sides by size and seed, and compares the pairs of each size.
func Compare(records []Record, experiment string, before, after Side) (Comparison, error) {
	comparison := Comparison{Experiment: experiment, Before: before, After: after}
	beforeRecords, afterRecords := recordsOfSide(records, experiment, before), recordsOfSide(records, experiment, after)
	for _, side := range []struct {
		name    Side
		records map[pairKey]*Record
	}{{before, beforeRecords}, {after, afterRecords}} {
		if len(side.records) == 0 {
			return comparison, fmt.Errorf("%w of experiment %s with %v", ErrNoRecords, experiment, side.name)
		}
	}
	var pairs []recordPair
	for key, record := range beforeRecords {
		partner, ok := afterRecords[key]
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
	for key := range afterRecords {
		if _, ok := beforeRecords[key]; !ok {
			comparison.Unpaired++
		}
	}
	comparison.Sizes = compareSizes(pairs)
	return comparison, nil
}

// pairKey identifies a record within its side. The two records of a pair have equal keys.
type pairKey struct {
	size float64
	seed uint64
}

// recordPair holds the records of one size and seed from both sides.
type recordPair struct{ before, after *Record }

func recordsOfSide(records []Record, experiment string, side Side) map[pairKey]*Record {
	selected := make(map[pairKey]*Record)
	for i := range records {
		record := &records[i]
		if record.Experiment == experiment && record.Version == side.Version && record.Decider == side.Decider {
			selected[pairKey{record.Size, record.Seed}] = record
		}
	}
	return selected
}

// compareSizes compares the pairs of each size. It sorts the pairs first, because they come from a map in random order.
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
		return result // the zero value of the verdict is VerdictTooFewPairs
	}
	result.Difference = meanInterval(differences)
	result.Verdict = metricVerdict(metric, differences, result.Difference)
	return result
}

func metricVerdict(metric Metric, differences []float64, interval Interval) Verdict {
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
