package discovery

import (
	"strings"
	"testing"
)

// The reader must find the last line of an object that is indented over several lines, and must not wait forever for
// the end of an incomplete or invalid one.
func TestObjectReaderFindsTheEndOfAnObject(t *testing.T) {
	const maxBytes = 40
	for text, want := range map[string][]bool{ // whether the object has ended after each line
		`{"a":[1]}`:                           {true},
		"{\n\"a\": [\n1\n]\n}":                {false, false, false, false, true},
		"{\"}\\\"]\": 1,\n\"b\": 2}":          {false, true},
		"{\"cut\n":                            {true, true},
		"{\n":                                 {false, true}, // an empty line
		"not JSON":                            {true},
		"}":                                   {true},
		"{\n" + strings.Repeat("1", maxBytes): {false, true},
	} {
		var object objectReader
		for i, line := range strings.Split(text, "\n") {
			if got := object.addLine([]byte(line), maxBytes); got != want[i] {
				t.Errorf("%q: ended %v after line %d, want %v", text, got, i, want[i])
			}
		}
		if got := string(object.take()); got != text+"\n" || !object.empty() {
			t.Errorf("%q: took %q, want all lines", text, got)
		}
	}
}
