//go:build faultinjection

package main

import (
	"os"

	"springfield/internal/faultinjection"
	"springfield/internal/gateway"
)

// seams makes system calls fail as the control file in the environment says.
func seams() gateway.Seams {
	injector := faultinjection.New(os.Getenv(faultinjection.ControlVariable))
	return gateway.Seams{Listener: injector.Listener, Dial: injector.Dial}
}
