// Package parser reads JSON documents strictly. It rejects unknown and duplicate
// fields, wrong types and values out of range. It reports all problems of a
// document at once, each with its line, field and remedy.
package parser

import (
	"fmt"
	"strings"

	"agatevalve/common/fault"
)

// Problem is an error in a document.
type Problem struct {
	// File is the file name that was passed to Parse.
	File string
	// Line is the line number, from 1.
	Line int
	// Field is the path of the value, such as "routes[3].method". It is empty if
	// the problem concerns the whole document.
	Field string
	// Text describes the problem.
	Text string
	// Remedy says how to correct the document. It is never empty.
	Remedy string
}

// String returns the problem as one line of text without its remedy.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Text)
	}
	return fmt.Sprintf("%s:%d: field %s: %s", p.File, p.Line, p.Field, p.Text)
}

// Document is a parsed JSON text. It collects the problems that are found while its
// fields are read.
type Document struct {
	file     string
	root     *node
	problems []Problem
}

// Parse parses data, which must be a single JSON object. Problems contain the file
// name; the file itself is not read.
func Parse(file string, data []byte) (*Document, error) {
	d := &Document{file: file}
	root, problem := buildTree(data)
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

// Root returns the top-level object.
func (d *Document) Root() *Object { return &Object{doc: d, node: d.root} }

// Problems returns the problems recorded so far, in the order of recording.
func (d *Document) Problems() []Problem { return d.problems }

// Err returns nil if there are no problems, and otherwise one fault of kind Invalid
// that lists all of them.
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

// refuse records a problem.
func (d *Document) refuse(line int, field, remedy, format string, args ...any) {
	p := Problem{File: d.file, Line: line, Field: field, Text: fmt.Sprintf(format, args...), Remedy: remedy}
	d.problems = append(d.problems, p)
}
