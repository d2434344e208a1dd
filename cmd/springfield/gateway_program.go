package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// gatewayBinary is the name of the gateway's program, which is built beside this one.
const gatewayBinary = "gateway"

// gatewayProgram returns the program that gateways run, with its arguments: the given one, or else the gateway beside
// this program, or else this program itself.
func gatewayProgram(given string) (path string, arguments []string, err error) {
	if given != "" {
		return given, nil, checkExecutable(given)
	}
	executable, err := os.Executable()
	if err != nil {
		return "", nil, fmt.Errorf("find a program for gateways: %w", err)
	}
	beside := filepath.Join(filepath.Dir(executable), gatewayBinary)
	if checkExecutable(beside) == nil {
		return beside, nil, nil
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
