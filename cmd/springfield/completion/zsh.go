package completion

import (
	"fmt"
	"strings"
)

// writeZsh writes the script for zsh, which has a function for each command. The function of a command with subcommands
// passes the words after a subcommand to the function of that subcommand.
func writeZsh(s *script, root *command) {
	s.line("#compdef %s", root.name)
	s.line("")
	root.walk(func(c *command) {
		s.line("%s() {", functionName(root.name, c.path))
		if len(c.children) > 0 {
			writeZshParent(s, root.name, c)
		} else {
			writeZshLeaf(s, c)
		}
		s.line("}")
		s.line("")
	})
	name := functionName(root.name, nil)
	s.line("if [[ $funcstack[1] == %s ]]; then", name)
	s.line("    %s \"$@\"", name)
	s.line("else")
	s.line("    compdef %s %s", name, root.name)
	s.line("fi")
}

// writeZshParent writes the body of the function of a command with subcommands.
func writeZshParent(s *script, program string, c *command) {
	s.line("    local state line")
	s.line("    local -a commands")
	s.line("    commands=(")
	for _, child := range c.children {
		s.line("        %s", quote(escapeColons(child.name)+":"+child.help))
	}
	s.line("    )")
	s.line("    _arguments -C \\")
	for i := range c.flags {
		s.line("        %s \\", zshFlagSpec(&c.flags[i]))
	}
	s.line("        '1: :->command' \\")
	s.line("        '*:: :->words'")
	s.line("    case $state in")
	s.line("    command) _describe command commands ;;")
	s.line("    words)")
	s.line("        case $line[1] in")
	for _, child := range c.children {
		s.line("        %s) %s ;;", child.name, functionName(program, child.path))
	}
	s.line("        esac")
	s.line("        ;;")
	s.line("    esac")
}

// writeZshLeaf writes the body of the function of a command without subcommands.
func writeZshLeaf(s *script, c *command) {
	specs := make([]string, 0, len(c.flags)+len(c.arguments))
	for i := range c.flags {
		specs = append(specs, zshFlagSpec(&c.flags[i]))
	}
	for i := range c.arguments {
		position := fmt.Sprint(i + 1)
		if c.arguments[i].repeats {
			position = "*"
		}
		specs = append(specs, quote(position+":"+zshValueSpec(&c.arguments[i])))
	}
	s.line("    _arguments %s", strings.Join(specs, " \\\n        "))
}

// zshFlagSpec returns the specification of a flag for zsh's _arguments.
func zshFlagSpec(f *flag) string {
	suffix := "[" + strings.NewReplacer("[", `\[`, "]", `\]`).Replace(f.help) + "]"
	if !f.bool {
		suffix += ":" + zshValueSpec(&f.value)
	}
	long := "--" + f.name
	if !f.bool {
		long += "="
	}
	if f.short == "" {
		return quote(long + suffix)
	}
	short := "-" + f.short
	return quote(fmt.Sprintf("(%s --%s)", short, f.name)) + "{" + quote(short) + "," + quote(long) + "}" + quote(suffix)
}

// zshValueSpec returns the message and the action of a value in a specification for zsh's _arguments.
func zshValueSpec(v *value) string {
	message := escapeColons(v.name) + ":"
	switch {
	case len(v.choices) > 0:
		return message + "(" + strings.Join(v.choices, " ") + ")"
	case v.files == anyFiles:
		return message + "_files"
	case v.files == directories:
		return message + "_files -/"
	default:
		return message + " "
	}
}

// escapeColons escapes the colons of a text, which separate the parts of a zsh specification.
func escapeColons(text string) string { return strings.ReplaceAll(text, ":", `\:`) }
