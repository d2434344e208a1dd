package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// gatewayFileName is the file name of the gateway program, which may be built into the same directory as this program.
const gatewayFileName = "gateway"

// gatewayProgram returns the program that runs as a gateway, and its arguments: the requested program, or else the
// gateway in the directory of this program, or else this program itself.
func gatewayProgram(requested string) (path string, arguments []string, err error) {
	if requested != "" {
		return requested, nil, checkExecutable(requested)
	}
	executable, err := os.Executable()
	if err != nil {
		return "", nil, fmt.Errorf("locate the gateway program: %w", err)
	}
	gatewayPath := filepath.Join(filepath.Dir(executable), gatewayFileName)
	if checkExecutable(gatewayPath) == nil {
		return gatewayPath, nil, nil
	}
	return executable, []string{gatewayProcessName}, nil
}

// checkExecutable returns an input error unless path is a file that may be executed.
func checkExecutable(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return &inputError{err}
	}
	const anyExecute = 0o111
	if info.IsDir() || info.Mode()&anyExecute == 0 {
		return inputErrorf("%s is not an executable file", path)
	}
	return nil
}
