package completion

import "strings"

// writeBash writes the script for bash. Its main function determines the command from the words before the cursor and
// offers the words that may follow.
func writeBash(s *script, root *command) {
	name := functionName(root.name, nil)
	s.line("# bash completion for %s", root.name)
	s.line("")
	s.line("%s_words() { mapfile -t COMPREPLY < <(compgen -W \"$1\" -- \"$current\"); }", name)
	s.line("")
	s.line("%s_files() {", name)
	s.line("    compopt -o filenames 2>/dev/null")
	s.line("    mapfile -t COMPREPLY < <(compgen \"$1\" -- \"$current\")")
	s.line("}")
	s.line("")
	writeBashCommandFinder(s, root, name)
	s.line("%s() {", name)
	s.line("    local current=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]} command")
	s.line("    COMPREPLY=()")
	s.line("    if [[ $current == = ]]; then")
	s.line("        current=")
	s.line("    elif [[ $previous == = ]]; then")
	s.line("        previous=${COMP_WORDS[COMP_CWORD - 2]}")
	s.line("    fi")
	s.line("    command=$(%s_command \"${COMP_WORDS[@]:1:COMP_CWORD - 1}\")", name)
	writeBashFlagValues(s, root, name)
	writeBashCommands(s, root, name)
	s.line("}")
	s.line("")
	s.line("complete -F %s %s", name, root.name)
}

// writeBashCommandFinder writes a shell function that prints the path of the command that its arguments select. The
// parameter name is the prefix of the names of the script's functions.
func writeBashCommandFinder(s *script, root *command, name string) {
	s.line("%s_command() {", name)
	s.line("    local command= word")
	s.line("    for word; do")
	s.line("        case \"$command $word\" in")
	root.walk(func(c *command) {
		if len(c.path) > 0 {
			parent := strings.Join(c.path[:len(c.path)-1], " ")
			s.line("        %s) command=%s ;;", quote(parent+" "+c.name), quote(c.pathText()))
		}
	})
	s.line("        esac")
	s.line("    done")
	s.line("    printf '%%s' \"$command\"")
	s.line("}")
	s.line("")
}

// writeBashFlagValues writes the code that offers the values of the flag before the cursor. The parameter name is the
// prefix of the names of the script's functions.
func writeBashFlagValues(s *script, root *command, name string) {
	s.line("    case \"$command $previous\" in")
	root.walk(func(c *command) {
		for i := range c.flags {
			f := &c.flags[i]
			if f.bool {
				continue
			}
			patterns := f.spellings()
			for j, spelling := range patterns {
				patterns[j] = quote(c.pathText() + " " + spelling)
			}
			s.line("    %s)", strings.Join(patterns, " | "))
			writeBashValue(s, &f.value, name)
			s.line("        return")
			s.line("        ;;")
		}
	})
	s.line("    esac")
}

// writeBashCommands writes the code that offers the flags, subcommands and arguments of the current command. The
// parameter name is the prefix of the names of the script's functions.
func writeBashCommands(s *script, root *command, name string) {
	s.line("    case \"$command\" in")
	root.walk(func(c *command) {
		s.line("    %s)", quote(c.pathText()))
		s.line("        if [[ $current == -* ]]; then")
		var flags []string
		for i := range c.flags {
			flags = append(flags, c.flags[i].spellings()...)
		}
		s.line("            %s_words %s", name, quote(strings.Join(flags, " ")))
		s.line("            return")
		s.line("        fi")
		if len(c.children) > 0 {
			s.line("        %s_words %s", name, quote(strings.Join(c.childNames(), " ")))
		} else if len(c.arguments) > 0 {
			writeBashValue(s, &c.arguments[0], name)
		}
		s.line("        ;;")
	})
	s.line("    esac")
}

// writeBashValue writes the code that offers the choices or files of a value. The parameter name is the prefix of the
// names of the script's functions.
func writeBashValue(s *script, v *value, name string) {
	switch {
	case len(v.choices) > 0:
		s.line("        %s_words %s", name, quote(strings.Join(v.choices, " ")))
	case v.files == anyFiles:
		s.line("        %s_files -f", name)
	case v.files == directories:
		s.line("        %s_files -d", name)
	}
}
