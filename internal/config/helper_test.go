package config

import (
	"os"
	"path/filepath"
	"testing"

	"springfield/internal/testkit"
)

// newTestConfig returns a configuration with the settings of testkit.
func newTestConfig(t *testing.T) *Config {
	t.Helper()
	return &Config{Settings: testkit.Settings(t)}
}

// writeFile writes a configuration file, or overwrites it.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// newFile returns the path of a new configuration file.
func newFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, text)
	return path
}
