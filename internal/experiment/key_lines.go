package experiment

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines maps the full keys of a TOML document, such as "scenario.classes[1].share", to their lines.
type keyLines map[string]int

// findKeyLines returns the lines of the keys of a document, up to its first syntax error.
func findKeyLines(document []byte) keyLines {
	finder := lineFinder{lines: keyLines{}, elementCounts: map[string]int{}}
	finder.parser.Reset(document)
	for finder.parser.NextExpression() {
		expression := finder.parser.Expression()
		switch expression.Kind {
		case unstable.Table:
			finder.table = finder.add("", expression)
		case unstable.ArrayTable:
			finder.table = finder.addElement(expression)
		case unstable.KeyValue:
			finder.addValue(finder.table, expression)
		}
	}
	return finder.lines
}

// lineOf returns the line of a key. If the document does not contain the key, it returns the line of the nearest
// enclosing table, or 0 if there is none.
func (k keyLines) lineOf(key string) int {
	for key != "" {
		if line, ok := k[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 0
}

// keyAt returns the longest key on a line, or "" if the line has none. Of several longest keys it returns the first in
// alphabetical order.
func (k keyLines) keyAt(line int) string {
	var found string
	for key, keyLine := range k {
		if keyLine == line && (len(key) > len(found) || len(key) == len(found) && key < found) {
			found = key
		}
	}
	return found
}

// lineFinder holds the state of findKeyLines while it parses a document.
type lineFinder struct {
	parser        unstable.Parser
	lines         keyLines
	table         string         // full key of the current table
	elementCounts map[string]int // number of elements of each array of tables so far
}

// add records the line of a table or value under its parent and returns the full key. A key that leads through an array
// of tables refers to the last element of that array.
func (f *lineFinder) add(parent string, node *unstable.Node) string {
	key, line := parent, 0
	for parts := node.Key(); parts.Next(); {
		part := parts.Node()
		line = f.parser.Shape(part.Raw).Start.Line
		key = joinKey(f.lastElement(key), string(part.Data))
	}
	f.lines[key] = line
	return key
}

// addElement records the next element of an array of tables and returns its full key.
func (f *lineFinder) addElement(node *unstable.Node) string {
	array := f.add("", node)
	element := fmt.Sprintf("%s[%d]", array, f.elementCounts[array])
	f.lines[element] = f.lines[array]
	f.elementCounts[array]++
	return element
}

// lastElement returns the key of the last element if key is an array of tables, and otherwise key itself.
func (f *lineFinder) lastElement(key string) string {
	if count := f.elementCounts[key]; count > 0 {
		return fmt.Sprintf("%s[%d]", key, count-1)
	}
	return key
}

// addValue records a key and the keys of inline tables in its value.
func (f *lineFinder) addValue(parent string, node *unstable.Node) {
	key := f.add(parent, node)
	f.addInline(key, f.lines[key], node.Value())
}

// addInline records the keys within a value: those of inline tables and the elements of arrays.
func (f *lineFinder) addInline(key string, line int, value *unstable.Node) {
	switch value.Kind {
	case unstable.InlineTable:
		for members := value.Children(); members.Next(); {
			f.addValue(key, members.Node())
		}
	case unstable.Array:
		members := value.Children()
		for index := 0; members.Next(); index++ {
			element := fmt.Sprintf("%s[%d]", key, index)
			f.lines[element] = line
			f.addInline(element, line, members.Node())
		}
	}
}

func joinKey(parent, part string) string {
	if parent == "" {
		return part
	}
	return parent + "." + part
}
