// Package completion writes scripts that complete command lines in bash, zsh and fish. The scripts hold all that they
// need of kong's model of the command line: commands, flags and their values.
package completion

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// Shell names a shell.
type Shell string

// The shells that scripts can be written for.
const (
	Bash Shell = "bash"
	Zsh  Shell = "zsh"
	Fish Shell = "fish"
)

// Write writes the script of a shell for an application.
func Write(w io.Writer, shell Shell, application *kong.Application) error {
	root := newCommand(application.Node, nil)
	text := &script{writer: bufio.NewWriter(w)}
	switch shell {
	case Bash:
		writeBash(text, root)
	case Zsh:
		writeZsh(text, root)
	case Fish:
		writeFish(text, root)
	default:
		return fmt.Errorf("there is no completion for shell %q", shell)
	}
	return text.writer.Flush()
}

// command is a command with what may follow it.
type command struct {
	name      string
	path      []string // of the commands that lead to it, without the program's name
	help      string
	flags     []flag
	arguments []value
	children  []*command
}

type flag struct {
	name  string // without dashes
	short string // a letter, or ""
	help  string
	value value // of no use if the flag is boolean
	bool  bool
}

// value tells what can stand for a flag's value or an argument.
type value struct {
	name    string
	choices []string // nil: any
	files   fileKind
	repeats bool // any number of them may follow
}

type fileKind uint8

const (
	noFiles fileKind = iota
	anyFiles
	directories
)

func newCommand(node *kong.Node, path []string) *command {
	result := &command{name: node.Name, path: path, help: node.Help}
	for _, group := range node.AllFlags(true) {
		for _, kongFlag := range group {
			result.flags = append(result.flags, newFlag(kongFlag))
		}
	}
	for _, argument := range node.Positional {
		result.arguments = append(result.arguments, newValue(argument))
	}
	for _, child := range node.Children {
		if child.Type == kong.CommandNode && !child.Hidden {
			childPath := append(append([]string{}, path...), child.Name)
			result.children = append(result.children, newCommand(child, childPath))
		}
	}
	return result
}

func newFlag(kongFlag *kong.Flag) flag {
	result := flag{name: kongFlag.Name, help: kongFlag.Help, value: newValue(kongFlag.Value), bool: kongFlag.IsBool()}
	if kongFlag.Short != 0 {
		result.short = string(kongFlag.Short)
	}
	return result
}

func newValue(kongValue *kong.Value) value {
	result := value{name: kongValue.Name, repeats: kongValue.IsCumulative()}
	if kongValue.Enum != "" {
		result.choices = kongValue.EnumSlice()
	}
	switch kongValue.Tag.Type {
	case "existingfile", "path", "filecontent":
		result.files = anyFiles
	case "existingdir":
		result.files = directories
	}
	return result
}

// spellings returns the flag as it may be written: --name and, if there is one, -n.
func (f *flag) spellings() []string {
	spellings := []string{"--" + f.name}
	if f.short != "" {
		spellings = append(spellings, "-"+f.short)
	}
	return spellings
}

// pathText returns the path as words.
func (c *command) pathText() string { return strings.Join(c.path, " ") }

// walk calls a function for the command and all commands within.
func (c *command) walk(visit func(*command)) {
	visit(c)
	for _, child := range c.children {
		child.walk(visit)
	}
}

func (c *command) childNames() []string {
	names := make([]string, len(c.children))
	for i, child := range c.children {
		names[i] = child.name
	}
	return names
}

// script writes lines; the writer keeps the first error.
type script struct{ writer *bufio.Writer }

func (s *script) line(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.writer, format+"\n", arguments...) // Flush returns the error
}

// quote returns a text as a word in single quotes, as bash and zsh read it.
func quote(text string) string { return "'" + strings.ReplaceAll(text, "'", `'\''`) + "'" }

// functionName returns a name for a shell functionName.
func functionName(program string, path []string) string {
	name := "_" + strings.Join(append([]string{program}, path...), "_")
	return strings.Map(func(r rune) rune {
		if r == '-' || r == '.' || r == ' ' {
			return '_'
		}
		return r
	}, name)
}
