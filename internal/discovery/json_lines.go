package discovery

// objectReader assembles a JSON object from lines of text. Discovery usually writes an object on one line, but may
// also indent it over many. The reader only counts brackets; whether the text is valid JSON is left to the decoder.
type objectReader struct {
	text     []byte
	depth    int  // of open brackets
	inString bool // after an opening quote
	escaped  bool // after a backslash in a string
}

// addLine appends a line and reports whether the object has ended, completely or not. Besides the last closing bracket,
// these end it: a line that ends in a string, an empty line, because indented text contains none, and text of more than
// maxBytes.
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

// empty reports whether no line has been added since the last object.
func (o *objectReader) empty() bool { return len(o.text) == 0 }

// take returns the text of the object and begins the next one.
func (o *objectReader) take() []byte {
	text := o.text
	*o = objectReader{}
	return text
}
