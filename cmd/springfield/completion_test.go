package main

import (
	"os/exec"
	"strings"
	"testing"
)

// bashComplete is a bash script that loads a completion script and prints what it offers for the last argument.
const bashComplete = `
source "$1"
shift
COMP_WORDS=("$@") COMP_CWORD=$(($# - 1))
_springfield
printf '%s ' "${COMPREPLY[@]}"
`

// TestBashCompletesCommandsFlagsAndValues runs the bash script. It guards against completions that are missing,
// that belong to another command, or that fail for the form --flag=value.
func TestBashCompletesCommandsFlagsAndValues(t *testing.T) {
	script := writeTestFile(t, "completion", expect(t, statusSuccess, "completion", "bash").stdout)
	file := writeTestFile(t, "experiment.toml", "")
	for _, test := range []struct{ line, want string }{
		{"e", "experiment emulate"},
		{"", "demo experiment report soak mutants emulate config completion version"},
		{"experiment ", "run compare list"},
		{"experiment run --fr", "--fresh"},
		{"mutants ", "check run"},
		{"mutants run --world ", "sockets virtual all"},
		{"completion ", "bash zsh fish"},
		{"report --format ", "svg png"},
		{"report --format = p", "png"},
		{"report -o " + file[:len(file)-3], file},
		{"experiment run " + file[:len(file)-3], file},
		{"demo --seed ", ""},
		{"version ", ""},
	} {
		arguments := append([]string{"-c", bashComplete, "bash", script, programName}, strings.Split(test.line, " ")...)
		output, err := exec.Command("bash", arguments...).CombinedOutput()
		if got := strings.TrimSpace(string(output)); err != nil || got != test.want {
			t.Errorf("completion of %q: got %q, error %v, want %q", test.line, got, err, test.want)
		}
	}
}

// TestZshAndFishScriptsCoverCommandsFlagsAndValues guards against scripts that lack commands, flags or values, show the
// hidden gateway command, or are not valid in their shell.
func TestZshAndFishScriptsCoverCommandsFlagsAndValues(t *testing.T) {
	for shell, wanted := range map[string][]string{
		"zsh": {"#compdef springfield", "_springfield_experiment_run()", "'run:Run experiment files",
			"'1:shell:(bash zsh fish)'", "'--format=[Format of the plots: svg,png.]:format:(svg png)'", "'*:files:_files'",
			"'(-o --output)'{'-o','--output='}"},
		"fish": {"'experiment run'", "-a 'compare' -d 'Compare", `-n '__springfield_at \'completion\'' -a 'bash zsh fish'`,
			"-l format -x -a 'svg png'", "-l output -s o -r -F", "-l fresh -d"},
	} {
		script := expect(t, statusSuccess, "completion", shell).stdout
		wantText(t, script, wanted...)
		if strings.Contains(script, gatewayProcessName) {
			t.Errorf("the %s script offers the hidden command %s", shell, gatewayProcessName)
		}
		if path, err := exec.LookPath(shell); err == nil { // the syntax is checked only where the shell is installed
			if output, err := exec.Command(path, "-n", writeTestFile(t, shell, script)).CombinedOutput(); err != nil {
				t.Errorf("%s cannot parse its script: %v: %s", shell, err, output)
			}
		}
	}
}
