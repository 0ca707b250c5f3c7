// Package parser reads strict JSON with positions. It refuses unknown and
// doubled fields, wrong types and values out of range, and reports every
// problem of a document at once, each with its line, field and remedy.
package parser

import (
	"fmt"
	"strings"

	"agatevalve/common/fault"
)

// Problem is one mistake in a document.
type Problem struct {
	// File is the name given to Parse.
	File string
	// Line counts from 1.
	Line int
	// Field is the path of the value, such as "routes[3].method"; it is empty
	// for a mistake of the whole document.
	Field string
	// Text says what is wrong.
	Text string
	// Remedy says what to write instead; it is never empty.
	Remedy string
}

// String returns the problem in one line, without its remedy.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: field %s: %s", p.File, p.Line, p.Field, p.Text)
}

// Document collects the problems of one JSON text while its fields are read.
type Document struct {
	file     string
	root     *node
	problems []Problem
}

// Parse reads the syntax of data, which must be a single JSON object. The file
// name stands in the problems.
func Parse(file string, data []byte) (*Document, error) {
	d := &Document{file: file}
	root, problem := build(data)
	if problem == nil && root.kind != objectKind {
		problem = &Problem{Line: root.line, Text: "not a JSON object", Remedy: "start the text with {"}
	}
	if problem != nil {
		problem.File = file
		d.problems = append(d.problems, *problem)
		return nil, d.Err()
	}
	d.root = root
	return d, nil
}

// Root returns the outermost object.
func (d *Document) Root() *Object { return &Object{doc: d, node: d.root} }

// Problems returns what was refused so far, in the order of reading.
func (d *Document) Problems() []Problem { return d.problems }

// Err returns nil, or one fault of kind Invalid that names every problem.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	if len(d.problems) == 1 {
		return fault.New(fault.Invalid, d.problems[0].Remedy, "%s", d.problems[0])
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%d problems", len(d.problems))
	for _, p := range d.problems {
		fmt.Fprintf(&b, "\n  %s; %s", p, p.Remedy)
	}
	return fault.New(fault.Invalid, "mend each line named above", "%s", b.String())
}

func (d *Document) refuse(line int, field, remedy, format string, args ...any) {
	p := Problem{File: d.file, Line: line, Field: field, Text: fmt.Sprintf(format, args...), Remedy: remedy}
	d.problems = append(d.problems, p)
}
