package loopback

import (
	"os"
	"path/filepath"
	"testing"
)

// The control file must hold the lines of all active faults. The end of one must not end another with the same line.
func TestFaultControlHoldsAllActiveFaults(t *testing.T) {
	c := faultControl{path: filepath.Join(t.TempDir(), "faults")}
	for _, step := range []struct {
		change func(string) error
		fault  string
		want   string
	}{
		{c.add, "accept EMFILE", "accept EMFILE"},
		{c.add, "connect LATE", "accept EMFILE\nconnect LATE"},
		{c.add, "connect LATE", "accept EMFILE\nconnect LATE\nconnect LATE"},
		{c.remove, "connect LATE", "accept EMFILE\nconnect LATE"},
		{c.remove, "accept EMFILE", "connect LATE"},
		{c.remove, "connect LATE", ""},
	} {
		if err := step.change(step.fault); err != nil {
			t.Fatal(err)
		}
		if text, err := os.ReadFile(c.path); err != nil || string(text) != step.want {
			t.Errorf("the file holds %q (%v), want %q", text, err, step.want)
		}
	}
}
