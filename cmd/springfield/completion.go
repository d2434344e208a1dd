package main

import "springfield/cmd/springfield/completion"

type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh,fish" placeholder:"SHELL" help:"Name of the shell: ${enum}."`
}

// Help returns the detailed help, which says how to load the script.
func (*completionCommand) Help() string {
	return `Load the script in the current shell, or save it where the shell looks for completions.

Examples:

    source <(springfield completion bash)
    springfield completion zsh >"${fpath[1]}/_springfield"
    springfield completion fish >~/.config/fish/completions/springfield.fish`
}

// Run prints the completion script of the shell.
func (c *completionCommand) Run(env *environment) error {
	return completion.Write(env.stdout, completion.Shell(c.Shell), env.application)
}
