package experiment

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines maps the full keys of a TOML document, such as "scenario.classes[1].share", to their lines.
type keyLines map[string]int

// findKeyLines reads a document as far as it can be parsed.
func findKeyLines(document []byte) keyLines {
	finder := lineFinder{lines: keyLines{}, elements: map[string]int{}}
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

// of returns the line of a key, or else of the table that it belongs in. It returns 0 if the document has neither.
func (k keyLines) of(key string) int {
	for key != "" {
		if line, ok := k[key]; ok {
			return line
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 0
}

// at returns the key on a line, the longest if there are several, or "".
func (k keyLines) at(line int) string {
	var found string
	for key, its := range k {
		if its == line && (len(key) > len(found) || len(key) == len(found) && key < found) {
			found = key
		}
	}
	return found
}

// lineFinder is the state of findKeyLines.
type lineFinder struct {
	parser   unstable.Parser
	lines    keyLines
	table    string         // the full key of the present table
	elements map[string]int // how many elements each array of tables has so far
}

// add notes the key of a table or value under its parent and returns the full key. A table may lie within the last
// element of an array of tables.
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

func (f *lineFinder) addElement(node *unstable.Node) string {
	array := f.add("", node)
	element := fmt.Sprintf("%s[%d]", array, f.elements[array])
	f.lines[element] = f.lines[array]
	f.elements[array]++
	return element
}

func (f *lineFinder) lastElement(key string) string {
	if count := f.elements[key]; count > 0 {
		return fmt.Sprintf("%s[%d]", key, count-1)
	}
	return key
}

// addValue notes a key and, below it, those of inline tables.
func (f *lineFinder) addValue(parent string, node *unstable.Node) {
	key := f.add(parent, node)
	f.addInline(key, f.lines[key], node.Value())
}

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
