package config

import (
	"errors"
	"os"
	"testing"
)

// A reload must read the file with the reader that LoadWith was given, and must report its error.
func TestReloadUsesTheReaderOfTheConfiguration(t *testing.T) {
	path := newFile(t, completeFile)
	failure := errors.New("failed")
	reads := 0
	c, err := LoadWith(environment(map[string]string{"RELAY_CONFIG": path}), func(path string) ([]byte, error) {
		if reads++; reads == 2 {
			return nil, failure
		}
		return os.ReadFile(path)
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Reload(); !errors.Is(err, failure) {
		t.Errorf("the second read failed, and Reload returned %v", err)
	}
	if _, err := c.Reload(); err != nil || reads != 3 {
		t.Errorf("Reload returned %v after %d reads, want no error after 3", err, reads)
	}
}
