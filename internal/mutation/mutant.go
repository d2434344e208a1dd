package mutation

import (
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// World names the kind of soak that is to find a mutant.
type World string

// The kinds of soak.
const (
	Sockets World = "sockets" // gateway processes on loopback sockets
	Virtual World = "virtual" // the policy on virtual time
)

// Worlds returns all kinds of soak in a fixed order.
func Worlds() []World { return []World{Sockets, Virtual} }

// UnchangedName is the name of the control entry, which is the program without a mutation.
const UnchangedName = "unchanged"

// Mutant describes a change of one declaration of the source code.
type Mutant struct {
	Name        string `toml:"name" json:"name"`
	Guard       string `toml:"guard" json:"guard"`             // protection of the gateway that the mutant weakens
	Change      string `toml:"change" json:"change"`           // removed, inverted or delayed
	World       World  `toml:"world" json:"world"`             // soak that is to find the mutant
	File        string `toml:"file" json:"file"`               // path in the source tree, separated by slashes
	Declaration string `toml:"declaration" json:"declaration"` // Function, Type.Method, or name of a type, const or var
	Original    string `toml:"original" json:"original"`       // text that occurs exactly once in the declaration
	Replacement string `toml:"replacement" json:"replacement"` // text that replaces Original
	Harm        string `toml:"harm" json:"harm"`               // what breaks, for whom and when
}

// Unchanged returns the control entry of a world.
func Unchanged(world World) Mutant { return Mutant{Name: UnchangedName, World: world} }

// IsUnchanged reports whether the mutant is a control entry.
func (m *Mutant) IsUnchanged() bool { return m.Name == UnchangedName }

var (
	guards = []string{"sending", "repeating", "closing", "starting", "draining", "eviction", "slow-start", "deadlines",
		"retry-budget", "ejection", "watch", "reload"}
	changes     = []string{"removed", "inverted", "delayed"}
	namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
)

// problems returns the reasons for which the fields of a mutant cannot be used.
func (m *Mutant) problems() []string {
	var problems []string
	require := func(ok bool, problem string) {
		if !ok {
			problems = append(problems, problem)
		}
	}
	require(namePattern.MatchString(m.Name), "name: want lower-case words joined by hyphens")
	require(m.Name != UnchangedName, "name: \""+UnchangedName+"\" is reserved for the control entry")
	require(slices.Contains(guards, m.Guard), "guard: want one of "+strings.Join(guards, ", "))
	require(slices.Contains(changes, m.Change), "change: want one of "+strings.Join(changes, ", "))
	require(slices.Contains(Worlds(), m.World), "world: want sockets or virtual")
	require(isSourcePath(m.File), "file: want the path of a Go source file in the source tree, and not of a test")
	require(m.Declaration != "", "declaration: missing")
	require(m.Original != "", "original: missing")
	require(m.Original != m.Replacement, "replacement: same as original")
	require(strings.TrimSpace(m.Harm) != "", "harm: missing")
	return problems
}

// isSourcePath reports whether path is a path within a source tree that names a Go file other than a test.
func isSourcePath(path string) bool {
	return filepath.IsLocal(path) && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
}
