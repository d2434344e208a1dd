package main

import (
	"os/exec"
	"strings"
	"testing"
)

// bashComplete prints what the script offers for the last argument.
const bashComplete = `
source "$1"
shift
COMP_WORDS=("$@") COMP_CWORD=$(($# - 1))
_springfield
printf '%s ' "${COMPREPLY[@]}"
`

func TestBashCompletesCommandsFlagsAndValues(t *testing.T) {
	script := writeTestFile(t, "completion", expect(t, statusSuccess, "completion", "bash").stdout)
	file := writeTestFile(t, "experiment.toml", "")
	for _, test := range []struct{ line, want string }{
		{"e", "experiment emulate"},
		{"", "demo experiment report soak emulate config completion version"},
		{"experiment ", "run compare list"},
		{"experiment run --fr", "--fresh"},
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
			t.Errorf("%q is completed with %q, error %v, want %q", test.line, got, err, test.want)
		}
	}
}

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
			t.Errorf("%s offers %s", shell, gatewayProcessName)
		}
		if path, err := exec.LookPath(shell); err == nil { // only some machines have them
			if output, err := exec.Command(path, "-n", writeTestFile(t, shell, script)).CombinedOutput(); err != nil {
				t.Errorf("%s cannot read its script: %v: %s", shell, err, output)
			}
		}
	}
}
