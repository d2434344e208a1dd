package config

import (
	"encoding/json"
	"errors"
	"os"
	"strconv"
	"testing"
)

const completeFile = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":512},
"known":{"version":41,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:2","state":"up","weight":2,"started_ms":7}]},
"settings":{"Balancers":1,"Classes":[{"Name":"pay","HardLimitMs":8000,"Repeat":"at_most_once"}]}}`

// environment returns a getenv function that looks up the given variables.
func environment(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

// Guards against fields of the file that are not decoded, such as one whose JSON key differs from its field name.
func TestLoadReadsTheFile(t *testing.T) {
	c, err := Load(environment(map[string]string{"RELAY_CONFIG": newFile(t, completeFile)}))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n0" || c.Listen != "127.0.0.1:0" || c.Discovery != "127.0.0.1:1" {
		t.Errorf("%+v", c)
	}
	if c.Limits != (Limits{MemoryMB: 192, Sockets: 512}) || c.Settings.Classes[0].Name != "pay" {
		t.Errorf("limits %+v, settings %+v", c.Limits, c.Settings)
	}
	known := c.Known
	if known.Version != 41 || !known.Full || len(known.Servers) != 1 || known.Servers[0].StartedMS != 7 {
		t.Errorf("endpoint list %+v", known)
	}
	if seed, err := c.RandomSeed(); err != nil || seed != 0x8c1f30d27a5be964 {
		t.Errorf("seed %x, %v", seed, err)
	}
}

// The environment variables must take precedence over the file, and may supply values that the file lacks.
func TestEnvironmentOverridesFile(t *testing.T) {
	c, err := Load(environment(map[string]string{
		"RELAY_CONFIG": newFile(t, completeFile), "RELAY_NAME": "n9",
		"RELAY_LISTEN": "127.0.0.1:8", "RELAY_DISCOVERY": "127.0.0.1:9",
	}))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n9" || c.Listen != "127.0.0.1:8" || c.Discovery != "127.0.0.1:9" {
		t.Errorf("%+v", c)
	}
}

// A configuration that the gateway cannot run with must be rejected at startup, with an error that names the cause.
func TestLoadRejectsIncompleteConfigurations(t *testing.T) {
	for text, want := range map[string]error{
		`{"discovery":"127.0.0.1:1","settings":{"Classes":[{}]}}`: ErrNoListenAddress,
		`{"listen":"127.0.0.1:0","settings":{"Classes":[{}]}}`:    ErrNoDiscoveryAddress,
		`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1"}`:      ErrNoClasses,
	} {
		if _, err := Load(environment(map[string]string{"RELAY_CONFIG": newFile(t, text)})); !errors.Is(err, want) {
			t.Errorf("%s: %v, want %v", text, err, want)
		}
	}
	if _, err := Load(environment(nil)); !errors.Is(err, ErrNoPath) {
		t.Errorf("without a path: %v", err)
	}
	missing := environment(map[string]string{"RELAY_CONFIG": newFile(t, "") + ".missing"})
	if _, err := Load(missing); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("without a file: %v", err)
	}
	var syntax *json.SyntaxError
	if _, err := Load(environment(map[string]string{"RELAY_CONFIG": newFile(t, "{")})); !errors.As(err, &syntax) {
		t.Errorf("a truncated file: %v", err)
	}
}

// A missing seed must be 0, and one that is not hexadecimal must be an error instead of 0.
func TestSeedIsHexadecimal(t *testing.T) {
	if seed, err := (&Config{}).RandomSeed(); seed != 0 || err != nil {
		t.Errorf("without a seed: %x, %v", seed, err)
	}
	if _, err := (&Config{Seed: "seed"}).RandomSeed(); !errors.Is(err, strconv.ErrSyntax) {
		t.Errorf("an invalid seed: %v", err)
	}
}

// Connections must not use up the descriptors that the gateway needs for itself, such as for reloads and discovery.
func TestDescriptorsAreSplitBetweenClientsAndEndpoints(t *testing.T) {
	for _, test := range []struct{ sockets, clients, upstream int }{
		{0, 688, 283}, // the default limit is 1024
		{1024, 688, 283},
		{10, 5, 2},
		{1, 1, 1},
	} {
		c := Config{Limits: Limits{Sockets: test.sockets}}
		if c.ClientConnections() != test.clients || c.UpstreamConnections() != test.upstream {
			t.Errorf("%d descriptors: %d for clients, %d for endpoints; want %d and %d", test.sockets,
				c.ClientConnections(), c.UpstreamConnections(), test.clients, test.upstream)
		}
	}
}
