package branchcoverage

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Position is a position in a file. Line and column begin at 1, and columns count bytes.
type Position struct {
	Line   int `json:"line"`
	Column int `json:"column"`
}

// before reports whether p comes before other.
func (p Position) before(other Position) bool {
	return p.Line < other.Line || p.Line == other.Line && p.Column < other.Column
}

// Range identifies a part of a file. End is the position after the last character.
type Range struct {
	File  string // path relative to the root of the module
	Start Position
	End   Position
}

// contains reports whether a position lies in the range.
func (r *Range) contains(position Position) bool {
	return !position.before(r.Start) && position.before(r.End)
}

// Profile holds how often the basic blocks of a program were executed.
type Profile map[Range]uint64

// profileLine matches the file, the start, the end, the number of statements and the count of a line of a profile.
var profileLine = regexp.MustCompile(`^(\S+):(\d+)\.(\d+),(\d+)\.(\d+) \d+ (\d+)$`)

const profileModePrefix = "mode: "

// ParseProfile reads a coverage profile in Go's text format and adds up the counts of lines for the same block. It
// ignores files outside the module and empty blocks.
func ParseProfile(r io.Reader, module string) (Profile, error) {
	profile := Profile{}
	scanner := bufio.NewScanner(r)
	for number := 1; scanner.Scan(); number++ {
		line := scanner.Text()
		if line == "" || strings.HasPrefix(line, profileModePrefix) {
			continue
		}
		block, count, err := parseProfileLine(line)
		if err != nil {
			return nil, fmt.Errorf("coverage profile: line %d: %w", number, err)
		}
		path, inModule := strings.CutPrefix(block.File, module+"/")
		if !inModule || block.Start == block.End {
			continue
		}
		block.File = path
		profile[block] += count
	}
	return profile, scanner.Err()
}

func parseProfileLine(line string) (block Range, count uint64, err error) {
	fields := profileLine.FindStringSubmatch(line)
	if fields == nil {
		return Range{}, 0, fmt.Errorf("%q is not a file, a range, a number of statements and a count", line)
	}
	var numbers [4]int
	for i := range numbers {
		if numbers[i], err = strconv.Atoi(fields[i+2]); err != nil {
			return Range{}, 0, err
		}
	}
	count, err = strconv.ParseUint(fields[len(fields)-1], 10, 64)
	block = Range{
		File:  fields[1],
		Start: Position{Line: numbers[0], Column: numbers[1]},
		End:   Position{Line: numbers[2], Column: numbers[3]},
	}
	return block, count, err
}
