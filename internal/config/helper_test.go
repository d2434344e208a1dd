package config

import (
	"os"
	"path/filepath"
	"testing"

	"springfield/internal/testkit"
)

// newTestConfig returns a configuration with the settings of testkit.Settings.
func newTestConfig(t *testing.T) *Config {
	t.Helper()
	return &Config{Settings: testkit.Settings(t)}
}

// writeFile creates or overwrites a configuration file.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// read parses a file without validating its values.
func read(path string) (*Config, error) { return readWith(nil, path) }

// newFile creates a configuration file with the given text and returns its path.
func newFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, text)
	return path
}
