package branchcoverage

import (
	"bytes"
	_ "embed" // for guardsText
	"fmt"
	"maps"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

//go:embed guards.toml
var guardsText []byte

// Declaration identifies a top-level declaration of the sources.
type Declaration struct {
	File string // path relative to the root of the module
	Name string // a function, "Type.method", or the first name that a type, const or var declaration declares
}

// String returns the file and the name.
func (d Declaration) String() string { return d.File + ": " + d.Name }

// Guard is the code that keeps one promise of the gateway.
type Guard struct {
	Name         string
	Summary      string // the promise, in one sentence
	Declarations []Declaration
}

// guardFile is the content of guards.toml.
type guardFile struct {
	Guards []struct {
		Name    string              `toml:"name"`
		Summary string              `toml:"summary"`
		Files   map[string][]string `toml:"files"`
	} `toml:"guard"`
}

// Guards returns the guards of the gateway in the order of guards.toml, with their declarations sorted by file.
func Guards() ([]Guard, error) { return parseGuards(guardsText) }

func parseGuards(text []byte) ([]Guard, error) {
	var file guardFile
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, fmt.Errorf("guards.toml: %w", err)
	}
	guards := make([]Guard, 0, len(file.Guards))
	guardOf := map[Declaration]string{}
	for _, entry := range file.Guards {
		guard := Guard{Name: entry.Name, Summary: entry.Summary}
		for _, path := range slices.Sorted(maps.Keys(entry.Files)) {
			for _, name := range entry.Files[path] {
				declaration := Declaration{File: path, Name: name}
				if other, taken := guardOf[declaration]; taken {
					return nil, fmt.Errorf("guards.toml: %s belongs to the guards %s and %s", declaration, other, entry.Name)
				}
				guardOf[declaration] = entry.Name
				guard.Declarations = append(guard.Declarations, declaration)
			}
		}
		guards = append(guards, guard)
	}
	return guards, nil
}
