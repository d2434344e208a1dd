package completion

import "strings"

// writeFish writes a function that finds the command among the words before the cursor, and a rule for each command,
// flag and argument that applies where that command stands.
func writeFish(s *script, root *command) {
	at := "_" + function(root.name, []string{"at"})
	s.line("# fish completion for %s", root.name)
	s.line("")
	writeFishWalk(s, root, at)
	s.line("complete -c %s -f", root.name)
	root.each(func(c *command) {
		rule := "complete -c " + root.name + " -n " + fishQuote(at+" "+fishQuote(c.pathText()))
		for _, child := range c.children {
			s.line("%s -a %s -d %s", rule, fishQuote(child.name), fishQuote(child.help))
		}
		for i := range c.flags {
			s.line("%s%s", rule, fishFlag(&c.flags[i]))
		}
		if len(c.arguments) > 0 {
			if values := fishValue(&c.arguments[0]); values != "" {
				s.line("%s%s", rule, values)
			}
		}
	})
}

// writeFishWalk writes a function that tells whether the words before the cursor lead to a command.
func writeFishWalk(s *script, root *command, at string) {
	var paths []string
	root.each(func(c *command) {
		if len(c.path) > 0 {
			paths = append(paths, fishQuote(c.pathText()))
		}
	})
	s.line("function %s", at)
	s.line("    set -l path")
	s.line("    for word in (commandline -opc)[2..-1]")
	s.line("        set -l longer (string trim -- \"$path $word\")")
	s.line("        if contains -- \"$longer\" %s", strings.Join(paths, " "))
	s.line("            set path \"$longer\"")
	s.line("        end")
	s.line("    end")
	s.line("    test \"$path\" = \"$argv[1]\"")
	s.line("end")
	s.line("")
}

// fishFlag returns the options of complete for a flag.
func fishFlag(f *flag) string {
	text := " -l " + f.name
	if f.short != "" {
		text += " -s " + f.short
	}
	switch {
	case f.bool:
	case f.value.files == anyFiles:
		text += " -r" + fishValue(&f.value)
	default: // no files
		text += " -x" + fishValue(&f.value)
	}
	return text + " -d " + fishQuote(f.help)
}

// fishValue returns the options of complete that offer values.
func fishValue(v *value) string {
	switch {
	case len(v.choices) > 0:
		return " -a " + fishQuote(strings.Join(v.choices, " "))
	case v.files == anyFiles:
		return " -F"
	case v.files == directories:
		return " -a " + fishQuote("(__fish_complete_directories)")
	default:
		return ""
	}
}

// fishQuote returns a text as a word in single quotes, as fish reads it.
func fishQuote(text string) string {
	return "'" + strings.NewReplacer(`\`, `\\`, `'`, `\'`).Replace(text) + "'"
}
