// Package config holds the configuration of a gateway: a JSON file, three environment variables that precede it at the
// start, and what is derived from both, such as time limits and the budget of file descriptors. The file can be
// reloaded while the gateway runs.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"springfield/internal/discovery"
	"springfield/internal/settings"
)

// The environment variables that Load reads. pathVariable names the file; the others precede its fields.
const (
	pathVariable      = "RELAY_CONFIG"
	nameVariable      = "RELAY_NAME"
	listenVariable    = "RELAY_LISTEN"
	discoveryVariable = "RELAY_DISCOVERY"
)

// Errors of Load for values that are missing.
var (
	ErrNoPath             = errors.New(pathVariable + " is not set")
	ErrNoListenAddress    = errors.New("the address to listen on is missing")
	ErrNoDiscoveryAddress = errors.New("the address of discovery is missing")
	ErrNoClasses          = errors.New("the settings contain no classes")
)

// Config is the configuration of a gateway.
type Config struct {
	Name      string
	Listen    string // address for clients
	Discovery string // address of discovery
	Seed      string // for random numbers, hexadecimal
	Limits    Limits
	Known     discovery.EndpointList // the list that the gateway held last
	Settings  settings.Settings

	path string // of the file
}

// Limits bounds the resources of the gateway's process.
type Limits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int // file descriptors; 0: the default
}

// Load reads the file that the environment names, applies the other variables and checks the result.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(pathVariable)
	if path == "" {
		return nil, ErrNoPath
	}
	c, err := read(path)
	if err != nil {
		return nil, err
	}
	override(&c.Name, getenv(nameVariable))
	override(&c.Listen, getenv(listenVariable))
	override(&c.Discovery, getenv(discoveryVariable))
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// read reads a file without checking what it contains.
func read(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	c := &Config{path: path}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("parse %s: %w", path, err)
	}
	return c, nil
}

// override replaces the field unless the value is empty.
func override(field *string, value string) {
	if value != "" {
		*field = value
	}
}

// validate reports the first value that is missing.
func (c *Config) validate() error {
	switch {
	case c.Listen == "":
		return ErrNoListenAddress
	case c.Discovery == "":
		return ErrNoDiscoveryAddress
	case len(c.Settings.Classes) == 0:
		return ErrNoClasses
	default:
		return nil
	}
}

// RandomSeed returns the seed for random numbers; it is 0 if none is configured.
func (c *Config) RandomSeed() (uint64, error) {
	if c.Seed == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %w", err)
	}
	return seed, nil
}
