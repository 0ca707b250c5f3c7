package parser

import "strings"

// Object is a JSON object whose fields are taken one by one. Close refuses the
// fields that nobody took.
type Object struct {
	doc  *Document
	node *node
	path string
	// known holds the names taken, in the order of reading.
	known []string
}

// Line returns the line on which the object starts.
func (o *Object) Line() int { return o.node.line }

// Refuse records a problem with a field of the object, for checks that span
// several fields. The field may be absent.
func (o *Object) Refuse(name, remedy, format string, args ...any) {
	line := o.node.line
	for _, f := range o.node.fields {
		if f.name == name {
			line = f.line
		}
	}
	o.doc.refuse(line, o.child(name), remedy, format, args...)
}

// Close refuses each field that was not taken and each one given twice.
func (o *Object) Close() {
	seen := make(map[string]bool, len(o.node.fields))
	for _, f := range o.node.fields {
		if !o.knows(f.name) {
			o.doc.refuse(f.line, o.child(f.name), "use one of "+strings.Join(o.known, ", "), "unknown field")
			continue
		}
		if seen[f.name] {
			o.doc.refuse(f.line, o.child(f.name), "keep one of the two", "given twice")
		}
		seen[f.name] = true
	}
}

func (o *Object) knows(name string) bool {
	for _, known := range o.known {
		if known == name {
			return true
		}
	}
	return false
}

func (o *Object) child(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

func (o *Object) take(name string) *Value {
	o.known = append(o.known, name)
	for _, f := range o.node.fields {
		if f.name == name {
			return &Value{doc: o.doc, node: f.value, path: o.child(name)}
		}
	}
	return nil
}

// Required reads a field that must be present.
func Required[T any](o *Object, name string, read Reader[T]) T {
	v := o.take(name)
	if v == nil {
		var zero T
		o.doc.refuse(o.node.line, o.child(name), "add the field", "missing")
		return zero
	}
	return read(v)
}

// Optional reads a field, or returns otherwise when it is absent.
func Optional[T any](o *Object, name string, otherwise T, read Reader[T]) T {
	v := o.take(name)
	if v == nil {
		return otherwise
	}
	return read(v)
}
