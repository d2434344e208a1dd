package main

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// gatewayPackages lists all packages outside the standard library that the gateway links.
var gatewayPackages = []string{
	"springfield/cmd/gateway",
	"springfield/internal/clock",
	"springfield/internal/config",
	"springfield/internal/counters",
	"springfield/internal/discovery",
	"springfield/internal/eventloop",
	"springfield/internal/frontend",
	"springfield/internal/gateway",
	"springfield/internal/invariant",
	"springfield/internal/logging",
	"springfield/internal/memory",
	"springfield/internal/oserror",
	"springfield/internal/settings",
	"springfield/internal/upstream",
	"springfield/policy",
}

// TestGatewayLinksNoLabPackages guards against imports that link packages of the lab or third-party packages into the
// gateway program.
func TestGatewayLinksNoLabPackages(t *testing.T) {
	const format = "{{if not .Standard}}{{.ImportPath}}{{end}}"
	listCommand := exec.Command("go", "list", "-deps", "-f", format, "springfield/cmd/gateway")
	output, err := listCommand.Output()
	if err != nil {
		t.Fatalf("go list: %v: %s", err, output)
	}
	linked := strings.Fields(string(output))
	for _, path := range linked {
		if !slices.Contains(gatewayPackages, path) {
			t.Errorf("the gateway links %s, which is not in gatewayPackages", path)
		}
	}
	if len(linked) != len(gatewayPackages) {
		t.Errorf("the gateway links %d packages, want %d", len(linked), len(gatewayPackages))
	}
}
