package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"unicode/utf8"
)

// kind is the type of a JSON value.
type kind uint8

const (
	nullKind kind = iota
	boolKind
	numberKind
	stringKind
	listKind
	objectKind
)

// String returns the kind as problems and remedies name it.
func (k kind) String() string {
	return [...]string{"null", "true or false", "a number", "a string", "a list", "an object"}[k]
}

// node is a JSON value with the line on which it starts.
type node struct {
	kind kind
	line int
	// text is the value of a string, or a number as it is written.
	text string
	// boolValue is the value if kind is boolKind.
	boolValue bool
	items     []*node
	fields    []field
}

type field struct {
	name  string
	line  int
	value *node
}

// builder builds a tree of nodes from the tokens of a valid JSON text.
type builder struct {
	data    []byte
	decoder *json.Decoder
	// line is the line number at offset, the end of the last token.
	line   int
	offset int64
}

// buildTree parses data. It checks the syntax of the whole text first, since a
// decoder of tokens does not reject text after the first value.
func buildTree(data []byte) (*node, *Problem) {
	if !utf8.Valid(data) {
		return nil, &Problem{Line: 1, Text: "not UTF-8", Remedy: "save the text as UTF-8"}
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, syntaxProblem(data, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	b := &builder{data: data, decoder: decoder, line: 1}
	root, err := b.readValue()
	if err != nil {
		return nil, syntaxProblem(data, err)
	}
	return root, nil
}

// syntaxProblem returns the problem for a syntax error, with the line of its offset
// if that is known and the last line otherwise.
func syntaxProblem(data []byte, err error) *Problem {
	line := 1 + bytes.Count(data, []byte("\n"))
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		end := min(int(syntax.Offset), len(data))
		line = 1 + bytes.Count(data[:end], []byte("\n"))
	}
	return &Problem{Line: line, Text: "not JSON: " + err.Error(), Remedy: "mend the syntax at or before this line"}
}

// readToken returns the next token and its line. No token spans lines, as JSON
// strings contain no line breaks.
func (b *builder) readToken() (json.Token, int, error) {
	token, err := b.decoder.Token()
	if err != nil {
		return nil, 0, err
	}
	end := b.decoder.InputOffset()
	b.line += bytes.Count(b.data[b.offset:end], []byte("\n"))
	b.offset = end
	return token, b.line, nil
}

func (b *builder) readValue() (*node, error) {
	token, line, err := b.readToken()
	if err != nil {
		return nil, err
	}
	n := &node{line: line}
	switch t := token.(type) {
	case bool:
		n.kind, n.boolValue = boolKind, t
	case json.Number:
		n.kind, n.text = numberKind, t.String()
	case string:
		n.kind, n.text = stringKind, t
	case json.Delim:
		if t == '[' {
			return n, b.readList(n)
		}
		return n, b.readObject(n)
	}
	return n, nil
}

// readList reads the items and the end of a list into n.
func (b *builder) readList(n *node) error {
	n.kind = listKind
	for b.decoder.More() {
		item, err := b.readValue()
		if err != nil {
			return err
		}
		n.items = append(n.items, item)
	}
	_, _, err := b.readToken()
	return err
}

// readObject reads the fields and the end of an object into n. It keeps fields
// with the same name, so that they can be reported.
func (b *builder) readObject(n *node) error {
	n.kind = objectKind
	for b.decoder.More() {
		token, line, err := b.readToken()
		if err != nil {
			return err
		}
		value, err := b.readValue()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		n.fields = append(n.fields, field{name: name, line: line, value: value})
	}
	_, _, err := b.readToken()
	return err
}
