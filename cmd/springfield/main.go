// Command springfield is the laboratory of the gateway: it runs deployments of gateways on sockets of this machine and
// in virtual time, compares versions of the policy, reports on the results and checks configuration files.
package main

import (
	"os"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
