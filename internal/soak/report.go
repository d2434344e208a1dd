package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Report summarizes the runs of a soak.
type Report struct {
	Runs     int
	Requests int64
	Attempts int64
	pairs    map[Pair]int
	findings map[string]*findingSummary
	void     []Plan // plans of the runs whose findings are invalid
}

// findingSummary holds the first of the findings of one kind and the plans of the runs that had one.
type findingSummary struct {
	plans []Plan
	first Finding
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{pairs: map[Pair]int{}, findings: map[string]*findingSummary{}}
}

// Add adds the result of a run.
func (r *Report) Add(result Result) {
	r.Runs++
	r.Requests += result.Requests
	r.Attempts += result.Attempts
	for _, pair := range result.Plan.CoveredPairs() {
		r.pairs[pair]++
	}
	if result.Void() {
		r.void = append(r.void, result.Plan)
		return
	}
	for _, finding := range result.Findings {
		found := r.findings[finding.What]
		if found == nil {
			found = &findingSummary{first: finding}
			r.findings[finding.What] = found
		}
		if last := len(found.plans) - 1; last < 0 || comparePlans(found.plans[last], result.Plan) != 0 {
			found.plans = append(found.plans, result.Plan)
		}
	}
}

// Clean reports whether no run had a finding, valid or not.
func (r *Report) Clean() bool { return len(r.findings) == 0 && len(r.void) == 0 }

// Void returns the number of runs whose findings are invalid.
func (r *Report) Void() int { return len(r.void) }

// Write writes the report: the number of runs, how often each pair of kinds occurred in a run, and each finding with
// its seeds.
func (r *Report) Write(w io.Writer) error {
	covered := 0
	for _, pair := range Pairs() {
		if r.pairs[pair] > 0 {
			covered++
		}
	}
	if _, err := fmt.Fprintf(w, "%d runs, %d requests, %d attempts; %d of %d pairs of faults came together\n\n",
		r.Runs, r.Requests, r.Attempts, covered, len(Pairs())); err != nil {
		return err
	}
	if err := r.writePairs(w); err != nil {
		return err
	}
	for _, what := range slices.Sorted(maps.Keys(r.findings)) {
		found := r.findings[what]
		slices.SortFunc(found.plans, comparePlans)
		_, err := fmt.Fprintf(w, "found: %s; seeds %v; %s\n", what, planNames(found.plans), found.first.Detail)
		if err != nil {
			return err
		}
	}
	if len(r.void) > 0 {
		slices.SortFunc(r.void, comparePlans)
		_, err := fmt.Fprintf(w, "void, because the machine was too busy: seeds %v\n", planNames(r.void))
		return err
	}
	if r.Clean() {
		_, err := fmt.Fprintln(w, "nothing was found")
		return err
	}
	return nil
}

// writePairs writes in how many runs each pair occurred. It writes a line for each kind, with a column for each of the
// kinds before that kind.
func (r *Report) writePairs(w io.Writer) error {
	kinds := Kinds()
	for i, kind := range kinds {
		if _, err := fmt.Fprintf(w, "%2d %-18s", i+1, kind); err != nil {
			return err
		}
		for j := range i {
			if _, err := fmt.Fprintf(w, "%3d", r.pairs[Pair{kinds[j], kind}]); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w)
	return err
}
