package node

// object gathers the lines of one JSON object: discovery writes one to a line, but a list may come
// indented, over many. It only counts brackets; whether they hold JSON is the parser's to say.
type object struct {
	text    []byte
	depth   int
	quoted  bool // inside a string
	escaped bool // behind a backslash there
}

// add takes a line. It reports whether the object has ended, well or not: an empty line ends it
// too, for indented text has none, and so does one beyond the size given.
func (o *object) add(line []byte, most int) bool {
	for _, b := range line {
		switch {
		case o.escaped:
			o.escaped = false
		case o.quoted:
			o.escaped, o.quoted = b == '\\', b != '"'
		case b == '"':
			o.quoted = true
		case b == '{' || b == '[':
			o.depth++
		case b == '}' || b == ']':
			o.depth--
		}
	}
	o.text = append(append(o.text, line...), '\n')
	return o.depth <= 0 || o.quoted || len(line) == 0 || len(o.text) > most
}

// take returns what was gathered and begins anew.
func (o *object) take() []byte {
	text := o.text
	*o = object{}
	return text
}
