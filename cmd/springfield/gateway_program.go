package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// gatewayFileName is the name of the gateway's program, which is built beside this one.
const gatewayFileName = "gateway"

// gatewayProgram returns the program that gateways run, with its arguments: the given one, or else the gateway beside
// this program, or else this program itself.
func gatewayProgram(requested string) (path string, arguments []string, err error) {
	if requested != "" {
		return requested, nil, checkExecutable(requested)
	}
	executable, err := os.Executable()
	if err != nil {
		return "", nil, fmt.Errorf("find a program for gateways: %w", err)
	}
	sibling := filepath.Join(filepath.Dir(executable), gatewayFileName)
	if checkExecutable(sibling) == nil {
		return sibling, nil, nil
	}
	return executable, []string{gatewayProcessName}, nil
}

func checkExecutable(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return &inputError{err}
	}
	const anyExecute = 0o111
	if info.IsDir() || info.Mode()&anyExecute == 0 {
		return inputErrorf("%s is no program", path)
	}
	return nil
}
