package main

import (
	"context"

	"springfield/internal/soak"
)

// guideFlags are the flags of a soak that is guided by the branches that gateways take.
type guideFlags struct {
	Guided     bool   `help:"After the seeds, vary the plans that take branches that few runs take. Needs --coverage."`
	Corpus     string `type:"path" placeholder:"FILE" help:"File of the runs of a guided soak, which it continues."`
	Variations int    `default:"100" help:"Number of variations of a guided soak, including those in the corpus."`
}

// selectPlans returns the function that returns the plans to run, and a function that releases its resources.
func (c *soakCommand) selectPlans(coverage *coverageCollector) (next func(context.Context) (soak.Plan, bool),
	release func(), err error) {
	if !c.Guided {
		if c.Corpus != "" {
			return nil, nil, inputErrorf("--corpus needs --guided")
		}
		return c.Seeds.plans(), func() {}, nil
	}
	switch {
	case coverage == nil:
		return nil, nil, inputErrorf("--guided needs --coverage")
	case c.Corpus == "":
		return nil, nil, inputErrorf("--guided needs --corpus")
	case c.Seeds.variation != nil:
		return nil, nil, inputErrorf("--guided needs a range of seeds")
	}
	guide, err := soak.OpenGuide(c.Corpus, c.Seeds.first, c.Seeds.last, c.Variations)
	if err != nil {
		return nil, nil, &inputError{err}
	}
	coverage.guide = guide
	return guide.Next, func() { _ = guide.Close() }, nil // each record has been synced
}

// plans returns a function that returns the plans of the range one after another.
func (r *seedRange) plans() func(context.Context) (soak.Plan, bool) {
	if r.variation == nil {
		return soak.SeedPlans(r.first, r.last)
	}
	returned := false
	return func(context.Context) (soak.Plan, bool) {
		if returned {
			return soak.Plan{}, false
		}
		returned = true
		return *r.variation, true
	}
}
