// Command sample runs until its standard input ends.
package main

import (
	"io"
	"os"

	"springfield/internal/faultinjection"
)

func main() {
	faultinjection.StartCoverageSnapshots()
	_, _ = io.Copy(io.Discard, os.Stdin)
	os.Exit(1)
}
