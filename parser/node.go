package parser

import (
	"bytes"
	"encoding/json"
	"errors"
	"unicode/utf8"
)

type kind uint8

const (
	nullKind kind = iota
	boolKind
	numberKind
	textKind
	listKind
	objectKind
)

func (k kind) String() string {
	return [...]string{"null", "true or false", "a number", "a string", "a list", "an object"}[k]
}

// node is one JSON value with the line that it starts on.
type node struct {
	kind kind
	line int
	// text holds a string or the digits of a number.
	text string
	// yes holds a bool.
	yes    bool
	items  []*node
	fields []field
}

type field struct {
	name  string
	line  int
	value *node
}

// builder walks the tokens of a text whose syntax is known to be right.
type builder struct {
	data    []byte
	decoder *json.Decoder
	// line is the line of offset; both only grow.
	line   int
	offset int64
}

func build(data []byte) (*node, *Problem) {
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
	root, err := b.value()
	if err != nil {
		return nil, syntaxProblem(data, err)
	}
	return root, nil
}

func syntaxProblem(data []byte, err error) *Problem {
	line := 1 + bytes.Count(data, []byte("\n"))
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		end := min(int(syntax.Offset), len(data))
		line = 1 + bytes.Count(data[:end], []byte("\n"))
	}
	return &Problem{Line: line, Text: "not JSON: " + err.Error(), Remedy: "mend the syntax at or before this line"}
}

func (b *builder) token() (json.Token, int, error) {
	token, err := b.decoder.Token()
	if err != nil {
		return nil, 0, err
	}
	end := b.decoder.InputOffset()
	b.line += bytes.Count(b.data[b.offset:end], []byte("\n"))
	b.offset = end
	return token, b.line, nil
}

func (b *builder) value() (*node, error) {
	token, line, err := b.token()
	if err != nil {
		return nil, err
	}
	n := &node{line: line}
	switch t := token.(type) {
	case bool:
		n.kind, n.yes = boolKind, t
	case json.Number:
		n.kind, n.text = numberKind, t.String()
	case string:
		n.kind, n.text = textKind, t
	case json.Delim:
		if t == '[' {
			return n, b.list(n)
		}
		return n, b.object(n)
	}
	return n, nil
}

func (b *builder) list(n *node) error {
	n.kind = listKind
	for b.decoder.More() {
		item, err := b.value()
		if err != nil {
			return err
		}
		n.items = append(n.items, item)
	}
	_, _, err := b.token()
	return err
}

func (b *builder) object(n *node) error {
	n.kind = objectKind
	for b.decoder.More() {
		token, line, err := b.token()
		if err != nil {
			return err
		}
		value, err := b.value()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		n.fields = append(n.fields, field{name: name, line: line, value: value})
	}
	_, _, err := b.token()
	return err
}
