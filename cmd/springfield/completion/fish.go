package completion

import "strings"

// writeFish writes the script for fish. The script defines a function that tests which command precedes the cursor, and
// calls complete for each subcommand, flag and argument, with that test as the condition.
func writeFish(s *script, root *command) {
	testFunction := "_" + functionName(root.name, []string{"at"})
	s.line("# fish completion for %s", root.name)
	s.line("")
	writeFishCommandTest(s, root, testFunction)
	s.line("complete -c %s -f", root.name)
	root.walk(func(c *command) {
		completeCommand := "complete -c " + root.name + " -n " + fishQuote(testFunction+" "+fishQuote(c.pathText()))
		for _, child := range c.children {
			s.line("%s -a %s -d %s", completeCommand, fishQuote(child.name), fishQuote(child.help))
		}
		for i := range c.flags {
			s.line("%s%s", completeCommand, fishFlagOptions(&c.flags[i]))
		}
		if len(c.arguments) > 0 {
			if valueOptions := fishValueOptions(&c.arguments[0]); valueOptions != "" {
				s.line("%s%s", completeCommand, valueOptions)
			}
		}
	})
}

// writeFishCommandTest writes a shell function that tests whether the words before the cursor select the command whose
// path is its argument.
func writeFishCommandTest(s *script, root *command, testFunction string) {
	var paths []string
	root.walk(func(c *command) {
		if len(c.path) > 0 {
			paths = append(paths, fishQuote(c.pathText()))
		}
	})
	s.line("function %s", testFunction)
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

// fishFlagOptions returns the options of fish's complete command for a flag.
func fishFlagOptions(f *flag) string {
	options := " -l " + f.name
	if f.short != "" {
		options += " -s " + f.short
	}
	switch {
	case f.bool:
	case f.value.files == anyFiles:
		options += " -r" + fishValueOptions(&f.value)
	default: // -x: the flag requires a value and offers no files
		options += " -x" + fishValueOptions(&f.value)
	}
	return options + " -d " + fishQuote(f.help)
}

// fishValueOptions returns the options of fish's complete command that offer the choices or files of a value.
func fishValueOptions(v *value) string {
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

// fishQuote returns a text as one word in single quotes for fish.
func fishQuote(text string) string {
	return "'" + strings.NewReplacer(`\`, `\\`, `'`, `\'`).Replace(text) + "'"
}
