// Package config loads the configuration of a gateway from a JSON file and three environment variables, which override
// fields of the file at startup. It also derives values such as timeouts and connection limits. The file can be
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

// The environment variables that Load reads. pathVariable holds the path of the file; the others override its fields.
const (
	pathVariable      = "RELAY_CONFIG"
	nameVariable      = "RELAY_NAME"
	listenVariable    = "RELAY_LISTEN"
	discoveryVariable = "RELAY_DISCOVERY"
)

// The errors that Load returns for missing values.
var (
	ErrNoPath             = errors.New(pathVariable + " is not set")
	ErrNoListenAddress    = errors.New("the listen address is missing")
	ErrNoDiscoveryAddress = errors.New("the discovery address is missing")
	ErrNoClasses          = errors.New("the settings contain no classes")
)

// Config is the configuration of a gateway.
type Config struct {
	Name      string
	Listen    string // address on which the gateway accepts clients
	Discovery string // address of the discovery service
	Seed      string // seed of the random number generator, in hexadecimal
	Limits    Limits
	Known     discovery.EndpointList // last list that the gateway had, used until discovery answers
	Settings  settings.Settings

	path     string     // path of the configuration file
	readFile FileReader // nil selects os.ReadFile
}

// FileReader reads the file with the given path, as os.ReadFile does.
type FileReader func(path string) ([]byte, error)

// Limits bounds the resources of the gateway process.
type Limits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int // maximum number of file descriptors; 0 selects the default
}

// Load reads the file that the environment names, applies the overriding variables and validates the result.
func Load(getenv func(string) string) (*Config, error) { return LoadWith(getenv, os.ReadFile) }

// LoadWith is like Load, but reads the file with readFile, now and at each reload.
func LoadWith(getenv func(string) string, readFile FileReader) (*Config, error) {
	path := getenv(pathVariable)
	if path == "" {
		return nil, ErrNoPath
	}
	c, err := readWith(readFile, path)
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

// readWith parses a file without validating its values.
func readWith(readFile FileReader, path string) (*Config, error) {
	if readFile == nil {
		readFile = os.ReadFile
	}
	text, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	c := &Config{path: path, readFile: readFile}
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

// validate returns an error for the first missing value.
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

// RandomSeed returns the seed of the random number generator, or 0 if none is configured.
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
