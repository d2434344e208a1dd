package discovery

// objectReader assembles a JSON object from lines of text. Discovery usually writes an object on one line but may
// indent it over several. The reader only counts brackets; the decoder checks whether the text is valid JSON.
type objectReader struct {
	text     []byte
	depth    int  // number of open brackets
	inString bool // inside a string literal
	escaped  bool // the previous byte was a backslash in a string literal
}

// addLine appends a line and reports whether the object has ended, complete or not. An object ends with its last
// closing bracket, with a line that ends inside a string literal, with an empty line (indented JSON contains none), or
// when its text exceeds maxBytes.
func (o *objectReader) addLine(line []byte, maxBytes int) (ended bool) {
	for _, char := range line {
		o.addByte(char)
	}
	o.text = append(o.text, line...)
	o.text = append(o.text, '\n')
	return o.depth <= 0 || o.inString || len(line) == 0 || len(o.text) > maxBytes
}

func (o *objectReader) addByte(char byte) {
	switch {
	case o.escaped:
		o.escaped = false
	case o.inString:
		o.escaped, o.inString = char == '\\', char != '"'
	case char == '"':
		o.inString = true
	case char == '{' || char == '[':
		o.depth++
	case char == '}' || char == ']':
		o.depth--
	}
}

// empty reports whether no line has been added since the last call of take.
func (o *objectReader) empty() bool { return len(o.text) == 0 }

// take returns the text of the object and resets the reader for the next one.
func (o *objectReader) take() []byte {
	text := o.text
	*o = objectReader{}
	return text
}
