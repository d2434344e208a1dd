package branchcoverage

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
)

// Source reads the declarations of a module's source files. It parses each file once.
type Source struct {
	root  string
	files map[string]*sourceFile
}

// sourceFile holds the declarations of a file, and its if statements without an else.
type sourceFile struct {
	lines        []string
	declarations []declarationRange
	ifs          []ifWithoutElse
}

type declarationRange struct {
	name string
	Range
}

// ifWithoutElse is an if statement without an else. If its body is skipped, no block of its own is executed.
type ifWithoutElse struct {
	start     Position // start of the statement
	bodyStart Position // start of the first statement of the body
	end       Position // end of the statement
}

// NewSource returns the source of the module in the directory root.
func NewSource(root string) *Source { return &Source{root: root, files: map[string]*sourceFile{}} }

// file returns a parsed source file.
func (s *Source) file(path string) (*sourceFile, error) {
	if file, parsed := s.files[path]; parsed {
		return file, nil
	}
	text, err := os.ReadFile(filepath.Join(s.root, path))
	if err != nil {
		return nil, fmt.Errorf("source of a block: %w", err)
	}
	file, err := parseFile(path, text)
	if err != nil {
		return nil, err
	}
	s.files[path] = file
	return file, nil
}

func parseFile(path string, text []byte) (*sourceFile, error) {
	files := token.NewFileSet()
	syntax, err := parser.ParseFile(files, path, text, parser.SkipObjectResolution)
	if err != nil {
		return nil, fmt.Errorf("source of a block: %w", err)
	}
	position := func(at token.Pos) Position {
		p := files.Position(at)
		return Position{Line: p.Line, Column: p.Column}
	}
	file := &sourceFile{lines: strings.Split(string(text), "\n")}
	for _, declaration := range syntax.Decls {
		file.declarations = append(file.declarations, declarationRange{
			name:  declarationName(declaration),
			Range: Range{File: path, Start: position(declaration.Pos()), End: position(declaration.End())},
		})
	}
	ast.Inspect(syntax, func(node ast.Node) bool {
		statement, isIf := node.(*ast.IfStmt)
		if isIf && statement.Else == nil && len(statement.Body.List) > 0 {
			file.ifs = append(file.ifs, ifWithoutElse{
				start:     position(statement.Pos()),
				bodyStart: position(statement.Body.List[0].Pos()),
				end:       position(statement.End()),
			})
		}
		return true
	})
	return file, nil
}

// declarationName returns "Function", "Type.method", or the first name that a type, const or var declaration declares.
// The name of an import declaration is "import".
func declarationName(declaration ast.Decl) string {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil || len(d.Recv.List) == 0 {
			return d.Name.Name
		}
		return receiverName(d.Recv.List[0].Type) + "." + d.Name.Name
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.TypeSpec:
				return s.Name.Name
			case *ast.ValueSpec:
				return s.Names[0].Name
			}
		}
	}
	return "import"
}

// receiverName returns the name of the type of a receiver, without pointers and type parameters.
func receiverName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.StarExpr:
		return receiverName(e.X)
	case *ast.IndexExpr:
		return receiverName(e.X)
	case *ast.IndexListExpr:
		return receiverName(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

// declarationAt returns the name of the declaration that contains a position.
func (f *sourceFile) declarationAt(position Position) (string, error) {
	for _, declaration := range f.declarations {
		if declaration.contains(position) {
			return declaration.name, nil
		}
	}
	return "", fmt.Errorf("line %d is in no declaration; the program was built from other sources", position.Line)
}

// line returns a line of the file without the space around it.
func (f *sourceFile) line(number int) string {
	if number < 1 || number > len(f.lines) {
		return ""
	}
	return strings.TrimSpace(f.lines[number-1])
}

// describe returns the branch with a range, without counts. An empty range is the end of an if statement without an
// else, whose body the branch skips.
func (s *Source) describe(block Range) (*Branch, error) {
	file, err := s.file(block.File)
	if err != nil {
		return nil, err
	}
	branch := &Branch{File: block.File, Start: block.Start, End: block.End, Seeds: []string{}, checked: true}
	inside := block.Start
	switch {
	case block.Start == block.End:
		inside.Column-- // the end of a statement is the position after it
		branch.Text = "skipped: " + file.line(file.ifEndingAt(block.End).Line)
	case file.opensBody(block.Start):
		branch.Text = "entered: " + file.line(block.Start.Line)
	default:
		branch.Text = file.line(block.Start.Line)
	}
	if branch.Declaration, err = file.declarationAt(inside); err != nil {
		return nil, fmt.Errorf("%s: %w", block.File, err)
	}
	return branch, nil
}

// ifEndingAt returns the start of the if statement without an else that ends at a position.
func (f *sourceFile) ifEndingAt(end Position) Position {
	for _, statement := range f.ifs {
		if statement.end == end {
			return statement.start
		}
	}
	return Position{}
}

// opensBody reports whether a position is that of a left brace.
func (f *sourceFile) opensBody(position Position) bool {
	if position.Line > len(f.lines) || position.Column > len(f.lines[position.Line-1]) {
		return false
	}
	return f.lines[position.Line-1][position.Column-1] == '{'
}

// CheckGuards returns an error for the first declaration of the guards that the source does not hold.
func (s *Source) CheckGuards(guards []Guard) error {
	for _, guard := range guards {
		for _, declaration := range guard.Declarations {
			file, err := s.file(declaration.File)
			if err != nil {
				return fmt.Errorf("guard %s: %w", guard.Name, err)
			}
			if !file.declares(declaration.Name) {
				return fmt.Errorf("guard %s: %s declares no %s", guard.Name, declaration.File, declaration.Name)
			}
		}
	}
	return nil
}

func (f *sourceFile) declares(name string) bool {
	for _, declaration := range f.declarations {
		if declaration.name == name {
			return true
		}
	}
	return false
}
