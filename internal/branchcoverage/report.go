package branchcoverage

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// GuardBranches holds the branches of one guard, in the order of its declarations and of their positions.
type GuardBranches struct {
	Guard    Guard
	Branches []*Branch
}

// ByGuard returns the branches of each guard. It returns an error if a declaration of a guard has none.
func (c *Counts) ByGuard(guards []Guard) ([]GuardBranches, error) {
	byDeclaration := map[Declaration][]*Branch{}
	for _, branch := range c.Branches() {
		declaration := Declaration{File: branch.File, Name: branch.Declaration}
		byDeclaration[declaration] = append(byDeclaration[declaration], branch)
	}
	grouped := make([]GuardBranches, 0, len(guards))
	for _, guard := range guards {
		group := GuardBranches{Guard: guard}
		for _, declaration := range guard.Declarations {
			branches := byDeclaration[declaration]
			if len(branches) == 0 {
				return nil, fmt.Errorf("guard %s: the counters hold no branch of %s; build the gateway with: %s", guard.Name,
					declaration, BuildCommand)
			}
			group.Branches = append(group.Branches, branches...)
		}
		grouped = append(grouped, group)
	}
	return grouped, nil
}

// fewSeeds is the largest number of seeds of a branch that the report lists as seldom taken.
const fewSeeds = 3

// WriteReport writes how often each branch of each guard was taken and by how many seeds. Then it writes the branches
// that few seeds have taken, with the seeds, and the branches that no seed has taken.
func (c *Counts) WriteReport(w io.Writer, guards []Guard) error {
	grouped, err := c.ByGuard(guards)
	if err != nil {
		return err
	}
	const padding = 2
	table := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	// The table writer buffers all lines until Flush, which returns write errors.
	for _, group := range grouped {
		group.write(table)
	}
	_, _ = fmt.Fprintf(table, "branches that 1 to %d seeds have taken:\n", fewSeeds)
	for _, group := range grouped {
		for _, branch := range group.takenBy(1, fewSeeds) {
			_, _ = fmt.Fprintf(table, "  %s\t%d\t%s\t%s:%d\t%s\t%s\n", group.Guard.Name, branch.Count,
				strings.Join(branch.Seeds, " "), branch.File, branch.Start.Line, branch.Declaration, branch.Text)
		}
	}
	_, _ = fmt.Fprintln(table, "\nbranches that no seed has taken:")
	for _, group := range grouped {
		for _, branch := range group.takenBy(0, 0) {
			_, _ = fmt.Fprintf(table, "  %s\t%s:%d\t%s\t%s\n", group.Guard.Name, branch.File, branch.Start.Line,
				branch.Declaration, branch.Text)
		}
	}
	return table.Flush()
}

// write writes the branches of the guard to a table writer, which reports errors when it is flushed.
func (g *GuardBranches) write(table *tabwriter.Writer) {
	_, _ = fmt.Fprintf(table, "guard %s: %d of %d branches were taken. %s\n", g.Guard.Name,
		len(g.Branches)-len(g.takenBy(0, 0)), len(g.Branches), g.Guard.Summary)
	_, _ = fmt.Fprintln(table, "  count\tseeds\tbranch\tdeclaration\ttext")
	for _, branch := range g.Branches {
		_, _ = fmt.Fprintf(table, "  %d\t%d\t%s:%d\t%s\t%s\n", branch.Count, len(branch.Seeds), branch.File,
			branch.Start.Line, branch.Declaration, branch.Text)
	}
	_, _ = fmt.Fprintln(table)
}

// takenBy returns the branches that at least minSeeds and at most maxSeeds runs have taken.
func (g *GuardBranches) takenBy(minSeeds, maxSeeds int) []*Branch {
	var taken []*Branch
	for _, branch := range g.Branches {
		if minSeeds <= len(branch.Seeds) && len(branch.Seeds) <= maxSeeds {
			taken = append(taken, branch)
		}
	}
	return taken
}
