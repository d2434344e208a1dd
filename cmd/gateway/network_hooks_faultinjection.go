//go:build faultinjection

package main

import (
	"os"

	"springfield/internal/config"
	"springfield/internal/faultinjection"
	"springfield/internal/gateway"
)

// networkHooks returns hooks that make network calls fail as the control file says. An environment variable names that
// file. It also starts the snapshots of coverage counters, in builds with coverage.
func networkHooks() gateway.NetworkHooks {
	faultinjection.StartCoverageSnapshots()
	injector := faultinjection.New(os.Getenv(faultinjection.ControlVariable))
	return gateway.NetworkHooks{Listener: injector.Listener, Dial: injector.Dial}
}

// configReader returns a reader of the configuration file that fails as the control file says.
func configReader() config.FileReader {
	return faultinjection.New(os.Getenv(faultinjection.ControlVariable)).ReadFile
}
