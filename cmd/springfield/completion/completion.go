// Package completion writes scripts that complete command lines in bash, zsh and fish. A script contains all commands,
// flags and values of kong's model of the command line, so that completing does not run the program.
package completion

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

// Shell is the name of a shell.
type Shell string

// These are the shells that Write supports.
const (
	Bash Shell = "bash"
	Zsh  Shell = "zsh"
	Fish Shell = "fish"
)

// Write writes the script that completes the command lines of an application in a shell.
func Write(w io.Writer, shell Shell, application *kong.Application) error {
	root := newCommand(application.Node, nil)
	output := &script{writer: bufio.NewWriter(w)}
	switch shell {
	case Bash:
		writeBash(output, root)
	case Zsh:
		writeZsh(output, root)
	case Fish:
		writeFish(output, root)
	default:
		return fmt.Errorf("there is no completion for shell %q", shell)
	}
	return output.writer.Flush()
}

// command describes a command and the words that may follow it.
type command struct {
	name      string
	path      []string // names from the first command to this one, without the program's name
	help      string
	flags     []flag
	arguments []value
	children  []*command
}

// flag describes a flag of a command.
type flag struct {
	name  string // without dashes
	short string // one letter, or "" if there is no short form
	help  string
	value value // unused if the flag takes no value
	bool  bool  // whether the flag takes no value
}

// value describes the values that a flag or an argument accepts.
type value struct {
	name    string   // shown by zsh as a description of the value
	choices []string // nil if any text is accepted
	files   fileKind
	repeats bool // whether the argument may be given more than once
}

// fileKind is the kind of files that complete a value.
type fileKind uint8

const (
	noFiles fileKind = iota // the value is not a path
	anyFiles
	directories
)

// newCommand converts a command of kong's model and its subcommands. It leaves out hidden commands.
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

// spellings returns the forms in which the flag may be written: --name and, if it has a short form, -n.
func (f *flag) spellings() []string {
	spellings := []string{"--" + f.name}
	if f.short != "" {
		spellings = append(spellings, "-"+f.short)
	}
	return spellings
}

// pathText returns the names of the path, separated by spaces.
func (c *command) pathText() string { return strings.Join(c.path, " ") }

// walk calls visit for the command and for all commands below it.
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

// script writes the lines of a shell script. The writer keeps the first error, which Flush returns.
type script struct{ writer *bufio.Writer }

func (s *script) line(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.writer, format+"\n", arguments...) // Flush returns the error
}

// quote returns a text as one word in single quotes for bash and zsh.
func quote(text string) string { return "'" + strings.ReplaceAll(text, "'", `'\''`) + "'" }

// functionName returns the name of the shell function for a command of the program.
func functionName(program string, path []string) string {
	name := "_" + strings.Join(append([]string{program}, path...), "_")
	return strings.Map(func(r rune) rune {
		if r == '-' || r == '.' || r == ' ' {
			return '_'
		}
		return r
	}, name)
}
