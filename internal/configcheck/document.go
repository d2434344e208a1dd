package configcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// value is a JSON value with the line on which it starts.
type value struct {
	line int
	// content holds members, elements, or the token that json.Decoder returns for a scalar.
	content any
}

// members holds the members of a JSON object, in document order.
type members []member

type member struct {
	key   string
	line  int
	value *value
}

type elements []*value

// parse parses a JSON text that consists of one value. Its error describes the first syntax error.
func parse(text []byte) (*value, error) {
	if err := json.Unmarshal(text, new(any)); err != nil {
		var mistyped *json.UnmarshalTypeError // a number out of range for float64, which checkType reports with its path
		if !errors.As(err, &mistyped) {
			return nil, err
		}
	}
	p := &parser{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), line: 1}
	p.decoder.UseNumber()
	return p.value()
}

// errorLine returns the line of a syntax error.
func errorLine(text []byte, err error) int {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return 1
	}
	return 1 + bytes.Count(text[:min(int(syntax.Offset), len(text))], []byte("\n"))
}

// parser builds values from the tokens of a text that is known to be valid JSON.
type parser struct {
	text    []byte
	decoder *json.Decoder
	line    int // line number of the end of the last token
	offset  int // byte offset of the end of the last token
}

func (p *parser) token() (json.Token, error) {
	token, err := p.decoder.Token()
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w", err)
	}
	end := int(p.decoder.InputOffset())
	p.line += bytes.Count(p.text[p.offset:end], []byte("\n"))
	p.offset = end
	return token, nil
}

func (p *parser) value() (*value, error) {
	token, err := p.token()
	if err != nil {
		return nil, err
	}
	parsed := &value{line: p.line, content: token}
	switch token {
	case json.Delim('{'):
		parsed.content, err = p.members()
	case json.Delim('['):
		parsed.content, err = p.elements()
	}
	return parsed, err
}

func (p *parser) members() (members, error) {
	list := members{}
	for p.decoder.More() {
		key, err := p.token()
		if err != nil {
			return nil, err
		}
		name, _ := key.(string) // the decoder returns every key as a string
		line := p.line
		content, err := p.value()
		if err != nil {
			return nil, err
		}
		list = append(list, member{key: name, line: line, value: content})
	}
	_, err := p.token() // consumes the closing brace
	return list, err
}

func (p *parser) elements() (elements, error) {
	list := elements{}
	for p.decoder.More() {
		element, err := p.value()
		if err != nil {
			return nil, err
		}
		list = append(list, element)
	}
	_, err := p.token() // consumes the closing bracket
	return list, err
}
