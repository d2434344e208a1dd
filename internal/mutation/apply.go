package mutation

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
)

// ApplyError reports a mutant that cannot be applied to the source tree.
type ApplyError struct {
	Mutant string
	File   string
	Reason string
}

// Error implements error.
func (e *ApplyError) Error() string {
	return fmt.Sprintf("mutant %s does not apply to %s: %s", e.Mutant, e.File, e.Reason)
}

// Apply returns the text of the mutant's file in the source tree with the mutation. It does not change the file. Its
// errors are of type *ApplyError.
func (m *Mutant) Apply(root string) ([]byte, error) {
	text, err := os.ReadFile(m.sourcePath(root))
	if err != nil {
		return nil, m.applyErrorf("%w", err)
	}
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, m.File, text, parser.SkipObjectResolution)
	if err != nil {
		return nil, m.applyErrorf("%w", err)
	}
	declarations := findDeclarations(parsed, m.Declaration)
	if len(declarations) != 1 {
		return nil, m.applyErrorf("found %d declarations of %s, want 1", len(declarations), m.Declaration)
	}
	start := files.Position(declarations[0].Pos()).Offset
	end := files.Position(declarations[0].End()).Offset
	offset, count := findText(string(text[start:end]), m.Original)
	if count != 1 {
		return nil, m.applyErrorf("found the original text %d times in %s, want once", count, m.Declaration)
	}
	offset += start
	mutated := string(text[:offset]) + m.Replacement + string(text[offset+len(m.Original):])
	if _, err := parser.ParseFile(token.NewFileSet(), m.File, mutated, parser.SkipObjectResolution); err != nil {
		return nil, m.applyErrorf("the result is not valid Go: %w", err)
	}
	return []byte(mutated), nil
}

func (m *Mutant) sourcePath(root string) string {
	return filepath.Join(root, filepath.FromSlash(m.File))
}

func (m *Mutant) applyErrorf(format string, arguments ...any) error {
	return &ApplyError{Mutant: m.Name, File: m.File, Reason: fmt.Errorf(format, arguments...).Error()}
}

// findText returns the offset of the first occurrence of part, and the number of occurrences, which may overlap.
func findText(text, part string) (offset, count int) {
	offset = strings.Index(text, part)
	for next := offset; next >= 0; count++ {
		following := strings.Index(text[next+1:], part)
		if following < 0 {
			return offset, count + 1
		}
		next += 1 + following
	}
	return offset, count
}

// findDeclarations returns the top-level declarations of a name. The names of methods have the form Type.Method. A
// declaration in a group is returned without the group.
func findDeclarations(file *ast.File, name string) []ast.Node {
	var found []ast.Node
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if functionName(d) == name {
				found = append(found, d)
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				if !declares(spec, name) {
					continue
				}
				if d.Lparen.IsValid() {
					found = append(found, spec)
				} else {
					found = append(found, d)
				}
			}
		}
	}
	return found
}

// functionName returns the name of a function, or the name of a method in the form Type.Method.
func functionName(function *ast.FuncDecl) string {
	if function.Recv == nil || len(function.Recv.List) == 0 {
		return function.Name.Name
	}
	receiver := function.Recv.List[0].Type
	for {
		switch r := receiver.(type) {
		case *ast.ParenExpr:
			receiver = r.X
		case *ast.StarExpr:
			receiver = r.X
		case *ast.IndexExpr:
			receiver = r.X
		case *ast.IndexListExpr:
			receiver = r.X
		case *ast.Ident:
			return r.Name + "." + function.Name.Name
		default:
			return ""
		}
	}
}

// declares reports whether a specification declares a type, constant or variable of the given name.
func declares(spec ast.Spec, name string) bool {
	switch s := spec.(type) {
	case *ast.TypeSpec:
		return s.Name.Name == name
	case *ast.ValueSpec:
		for _, identifier := range s.Names {
			if identifier.Name == name {
				return true
			}
		}
	}
	return false
}
