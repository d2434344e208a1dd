package branchcoverage

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
)

// Branch is a basic block of the sources, or the case that the body of an if statement without an else is skipped. The
// range of the latter is empty, at the end of the if statement.
type Branch struct {
	File        string   `json:"file"`
	Start       Position `json:"start"`
	End         Position `json:"end"`
	Declaration string   `json:"declaration"` // see Declaration.Name
	Text        string   `json:"text"`        // first line, after "entered: " for a body, or "skipped: " and the if
	Count       uint64   `json:"count"`       // how often the branch was taken in all runs
	Seeds       []string `json:"seeds"`       // sorted names of the runs that took it, such as "17"

	checked bool // the branch exists in the source of the counts
}

// key returns the range that identifies the branch.
func (b *Branch) key() Range { return Range{File: b.File, Start: b.Start, End: b.End} }

// ID returns a text that identifies the branch in its version of the sources.
func (b *Branch) ID() string {
	return fmt.Sprintf("%s:%d.%d-%d.%d", b.File, b.Start.Line, b.Start.Column, b.End.Line, b.End.Column)
}

// Counts holds how often each branch was taken, and by which runs. The methods are not safe for concurrent use.
type Counts struct {
	source   *Source
	branches map[Range]*Branch
}

// NewCounts returns counts of the branches of a source.
func NewCounts(source *Source) *Counts { return &Counts{source: source, branches: map[Range]*Branch{}} }

// Add adds the profile of a run with the given name. It returns the branches that the run took.
func (c *Counts) Add(run string, profile Profile) ([]*Branch, error) {
	blocks := slices.SortedFunc(maps.Keys(profile), compareRanges)
	var taken []*Branch
	add := func(branch *Branch, count uint64) {
		if count == 0 {
			return
		}
		branch.Count += count
		branch.addSeed(run)
		taken = append(taken, branch)
	}
	for _, block := range blocks {
		branch, err := c.branch(block)
		if err != nil {
			return nil, err
		}
		add(branch, profile[block])
	}
	for fileBlocks := range byFile(blocks) {
		file, err := c.source.file(fileBlocks[0].File)
		if err != nil {
			return nil, err
		}
		for _, statement := range file.ifs {
			branch, count, err := c.skippedBody(statement, fileBlocks, profile)
			if err != nil {
				return nil, err
			}
			if branch != nil {
				add(branch, count)
			}
		}
	}
	return taken, nil
}

// skippedBody returns the branch that skips the body of an if statement, and how often it was taken: as often as the
// statement was executed without its body. It returns no branch if the profile does not hold the statement. Statements
// that a process was still evaluating at its end count as skipped.
func (c *Counts) skippedBody(statement ifWithoutElse, fileBlocks []Range, profile Profile) (*Branch, uint64, error) {
	condition, found := blockAt(fileBlocks, statement.start)
	body, bodyFound := blockAt(fileBlocks, statement.bodyStart)
	if !found || !bodyFound || condition == body {
		return nil, 0, nil
	}
	branch, err := c.branch(Range{File: condition.File, Start: statement.end, End: statement.end})
	if err != nil {
		return nil, 0, err
	}
	executed, entered := profile[condition], profile[body]
	return branch, executed - min(executed, entered), nil
}

// branch returns the branch with a range. It adds a branch that has not been taken if there is none yet. It returns an
// error if the branch was read from counts of other sources.
func (c *Counts) branch(block Range) (*Branch, error) {
	known := c.branches[block]
	if known != nil && known.checked {
		return known, nil
	}
	branch, err := c.source.describe(block)
	if err != nil {
		return nil, err
	}
	if known != nil {
		known.checked = true
		return known, known.checkSame(branch)
	}
	c.branches[block] = branch
	return branch, nil
}

// checkSame returns an error if two branches with the same range come from different sources.
func (b *Branch) checkSame(other *Branch) error {
	if b.Declaration == other.Declaration && b.Text == other.Text {
		return nil
	}
	return fmt.Errorf("branch counts: %s is %q in one version of the sources and %q in another", b.ID(), b.Text,
		other.Text)
}

func (b *Branch) addSeed(run string) {
	if index, found := slices.BinarySearchFunc(b.Seeds, run, compareSeeds); !found {
		b.Seeds = slices.Insert(b.Seeds, index, run)
	}
}

// compareSeeds orders shorter names first, which is the numerical order of seeds.
func compareSeeds(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) }

// Branches returns all branches, sorted by their positions.
func (c *Counts) Branches() []*Branch {
	return slices.SortedFunc(maps.Values(c.branches), func(a, b *Branch) int { return compareRanges(a.key(), b.key()) })
}

// LineCount returns the largest count of the blocks that contain a part of a line. known is false if no block does.
func (c *Counts) LineCount(file string, line int) (count uint64, known bool) {
	for block, branch := range c.branches {
		if block.File == file && block.Start != block.End && block.Start.Line <= line && line <= block.End.Line {
			count, known = max(count, branch.Count), true
		}
	}
	return count, known
}

// WriteJSON writes one line with a JSON object per branch.
func (c *Counts) WriteJSON(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, branch := range c.Branches() {
		if err := encoder.Encode(branch); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

// ReadJSON adds the counts that WriteJSON has written. It returns an error if they belong to other sources.
func (c *Counts) ReadJSON(r io.Reader) error {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	for {
		var read Branch
		if err := decoder.Decode(&read); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("branch counts: %w", err)
		}
		branch, known := c.branches[read.key()]
		if !known {
			c.branches[read.key()] = &read
			continue
		}
		if err := branch.checkSame(&read); err != nil {
			return err
		}
		branch.Count += read.Count
		for _, seed := range read.Seeds {
			branch.addSeed(seed)
		}
	}
}

func compareRanges(a, b Range) int {
	return cmp.Or(cmp.Compare(a.File, b.File), comparePositions(a.Start, b.Start), comparePositions(a.End, b.End))
}

func comparePositions(a, b Position) int {
	return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
}

// byFile returns the blocks of each file. The blocks are sorted by file.
func byFile(blocks []Range) func(yield func([]Range) bool) {
	return func(yield func([]Range) bool) {
		for len(blocks) > 0 {
			length := 1
			for length < len(blocks) && blocks[length].File == blocks[0].File {
				length++
			}
			if !yield(blocks[:length]) {
				return
			}
			blocks = blocks[length:]
		}
	}
}

// blockAt returns the block that contains a position.
func blockAt(blocks []Range, position Position) (Range, bool) {
	for _, block := range blocks {
		if block.contains(position) {
			return block, true
		}
	}
	return Range{}, false
}
