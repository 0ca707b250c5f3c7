package parser

import "strings"

// Object is a JSON object whose fields are read one by one with Required and
// Optional. Afterwards, CheckFields reports the fields that were not read.
type Object struct {
	doc  *Document
	node *node
	path string
	// knownFields are the names that were looked up, in this order.
	knownFields []string
}

// Line returns the line on which the object starts.
func (o *Object) Line() int { return o.node.line }

// Refuse records a problem with a field of the object, for checks that involve
// several fields. The field may be absent; then the problem has the line of the
// object.
func (o *Object) Refuse(name, remedy, format string, args ...any) {
	line := o.node.line
	for _, f := range o.node.fields {
		if f.name == name {
			line = f.line
		}
	}
	o.doc.refuse(line, o.childPath(name), remedy, format, args...)
}

// CheckFields records a problem for each field that was not looked up and for each
// repetition of a field.
func (o *Object) CheckFields() {
	seen := make(map[string]bool, len(o.node.fields))
	for _, f := range o.node.fields {
		if !o.isKnown(f.name) {
			o.doc.refuse(f.line, o.childPath(f.name), "use one of "+strings.Join(o.knownFields, ", "), "unknown field")
			continue
		}
		if seen[f.name] {
			o.doc.refuse(f.line, o.childPath(f.name), "keep one of the two", "given twice")
		}
		seen[f.name] = true
	}
}

func (o *Object) isKnown(name string) bool {
	for _, known := range o.knownFields {
		if known == name {
			return true
		}
	}
	return false
}

// childPath returns the path of a field of the object.
func (o *Object) childPath(name string) string {
	if o.path == "" {
		return name
	}
	return o.path + "." + name
}

// lookUp returns the value of a field, or nil if it is absent, and adds its name to
// the known fields.
func (o *Object) lookUp(name string) *Value {
	o.knownFields = append(o.knownFields, name)
	for _, f := range o.node.fields {
		if f.name == name {
			return &Value{doc: o.doc, node: f.value, path: o.childPath(name)}
		}
	}
	return nil
}

// Required reads a field that must be present. If it is absent, Required records a
// problem and returns the zero value.
func Required[T any](o *Object, name string, read Reader[T]) T {
	v := o.lookUp(name)
	if v == nil {
		var zero T
		o.doc.refuse(o.node.line, o.childPath(name), "add the field", "missing")
		return zero
	}
	return read(v)
}

// Optional reads a field, or returns defaultValue if it is absent.
func Optional[T any](o *Object, name string, defaultValue T, read Reader[T]) T {
	v := o.lookUp(name)
	if v == nil {
		return defaultValue
	}
	return read(v)
}
