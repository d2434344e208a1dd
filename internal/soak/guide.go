package soak

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
)

// maxRareRuns is the number of runs from which on a branch no longer counts as rare.
const maxRareRuns = 3

// Guide selects the plans of a guided soak: first those of the seeds, and then variations of the plans whose runs took
// rare branches. It appends an entry for each run to the corpus, a file of JSON lines, and continues a corpus that
// exists. Its methods are safe for concurrent use.
type Guide struct {
	mu         sync.Mutex
	corpus     *os.File
	seed, last uint64          // seed of the next plan, and last seed
	seedsDone  bool            // the plans of all seeds have been selected
	variations int             // number of variations that may still be selected
	selected   map[string]bool // names of the plans that have been selected
	runs       map[string]int  // number of runs that took a branch, at most maxRareRuns
	kept       []*keptPlan
	running    int           // number of plans that Next has returned and Record has not recorded yet
	recorded   chan struct{} // receives an item when a run has been recorded, unless one is waiting
}

// corpusEntry is a line of the corpus.
type corpusEntry struct {
	Plan     string   `json:"plan"`
	Branches []string `json:"branches"` // branches that were rare when the run took them; none if the plan is not kept
}

// keptPlan is a plan whose run took rare branches.
type keptPlan struct {
	plan     Plan
	branches []string
	varied   uint64 // number of its latest variation
}

// OpenGuide returns a guide that runs the seeds from first to last and then variations, as many as given. The runs that
// the corpus at path already holds are not repeated, and count.
func OpenGuide(path string, first, last uint64, variations int) (*Guide, error) {
	const ownerWritable = 0o644
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, ownerWritable)
	if err != nil {
		return nil, err
	}
	g := &Guide{corpus: file, seed: first, last: last, variations: variations, selected: map[string]bool{},
		runs: map[string]int{}, recorded: make(chan struct{}, 1)}
	if err := g.readCorpus(); err != nil {
		return nil, errors.Join(fmt.Errorf("corpus %s: %w", path, err), file.Close())
	}
	return g, nil
}

// readCorpus reads all entries, and removes an incomplete one at the end, which an interrupted write has left.
func (g *Guide) readCorpus() error {
	text, err := io.ReadAll(g.corpus)
	if err != nil {
		return err
	}
	complete := text[:bytes.LastIndexByte(text, '\n')+1]
	if err := g.corpus.Truncate(int64(len(complete))); err != nil {
		return err
	}
	if _, err := g.corpus.Seek(int64(len(complete)), io.SeekStart); err != nil {
		return err
	}
	for line := range bytes.Lines(complete) {
		var entry corpusEntry
		decoder := json.NewDecoder(bytes.NewReader(line))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&entry); err != nil {
			return err
		}
		plan, err := NamedPlan(entry.Plan)
		if err != nil {
			return err
		}
		g.selected[entry.Plan] = true
		if len(plan.Variation) > 0 {
			g.variations--
			g.markVaried(&plan)
		}
		g.add(plan, entry.Branches)
	}
	return nil
}

// markVaried records that the plan's parent has been varied to yield the plan.
func (g *Guide) markVaried(plan *Plan) {
	last := len(plan.Variation) - 1
	for _, kept := range g.kept {
		if kept.plan.Seed == plan.Seed && slices.Equal(kept.plan.Variation, plan.Variation[:last]) {
			kept.varied = max(kept.varied, plan.Variation[last])
		}
	}
}

// add counts the rare branches that the run of a plan took, and keeps the plan if there are any.
func (g *Guide) add(plan Plan, rare []string) {
	for _, branch := range rare {
		g.runs[branch]++
	}
	if len(rare) > 0 {
		g.kept = append(g.kept, &keptPlan{plan: plan, branches: rare})
	}
}

// Next returns the next plan, or false if there is none or ctx ends. Without a plan to vary, it waits for the runs that
// have not been recorded yet.
func (g *Guide) Next(ctx context.Context) (Plan, bool) {
	for {
		plan, ok, wait := g.next()
		if !wait {
			return plan, ok
		}
		select {
		case <-g.recorded:
		case <-ctx.Done():
			return Plan{}, false
		}
	}
}

// next returns the next plan, or false if there is none, or that there may be one after the next record.
func (g *Guide) next() (plan Plan, ok, wait bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	plan, ok = g.nextSeed()
	switch {
	case ok:
	case g.variations <= 0:
		return Plan{}, false, false
	case len(g.kept) == 0:
		return Plan{}, false, g.running > 0
	default:
		plan = g.nextVariation()
	}
	g.selected[plan.Name()] = true
	g.running++
	return plan, true, false
}

// nextSeed returns the plan of the next seed that the corpus does not hold, or false if there is none.
func (g *Guide) nextSeed() (Plan, bool) {
	for !g.seedsDone {
		plan := NewPlan(g.seed)
		g.seedsDone = g.seed == g.last
		g.seed++
		if !g.selected[plan.Name()] {
			return plan, true
		}
	}
	return Plan{}, false
}

// nextVariation returns a variation of the kept plan that comes first by compareKept.
func (g *Guide) nextVariation() Plan {
	g.variations--
	parent := slices.MinFunc(g.kept, g.compareKept)
	parent.varied++
	return parent.plan.Vary(parent.varied)
}

// compareKept orders kept plans by how often they have been varied, and then by how rare their rarest branch is. Plans
// whose branches have all become common come last.
func (g *Guide) compareKept(a, b *keptPlan) int {
	rarestA, rarestB := g.rarest(a), g.rarest(b)
	if (rarestA < maxRareRuns) != (rarestB < maxRareRuns) {
		return cmp.Compare(rarestA, rarestB)
	}
	return cmp.Or(cmp.Compare(a.varied, b.varied), cmp.Compare(rarestA, rarestB))
}

// rarest returns the number of runs that took the rarest branch of a kept plan.
func (g *Guide) rarest(kept *keptPlan) int {
	runs := maxRareRuns
	for _, branch := range kept.branches {
		runs = min(runs, g.runs[branch])
	}
	return runs
}

// Record adds the run of a plan, which took the branches, to the corpus.
func (g *Guide) Record(plan Plan, branches []string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	rare := []string{}
	for _, branch := range branches {
		if g.runs[branch] < maxRareRuns {
			rare = append(rare, branch)
		}
	}
	g.add(plan, rare)
	g.running--
	select {
	case g.recorded <- struct{}{}:
	default:
	}
	line, err := json.Marshal(corpusEntry{Plan: plan.Name(), Branches: rare})
	if err != nil {
		return err
	}
	if _, err := g.corpus.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("corpus: %w", err)
	}
	return g.corpus.Sync()
}

// Close closes the corpus.
func (g *Guide) Close() error { return g.corpus.Close() }
