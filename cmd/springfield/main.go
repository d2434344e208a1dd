// Command springfield is the lab of the gateway. It runs deployments of gateways on local sockets and in virtual time,
// compares versions of the policy, writes reports of the results and checks configuration files.
package main

import (
	"os"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
