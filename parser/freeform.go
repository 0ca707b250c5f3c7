package parser

import "fmt"

// Verbatim reads a string of at most maxBytes bytes. Unlike Text, it allows blanks
// at the ends, for content that is passed on unchanged.
func Verbatim(maxBytes int) Reader[string] {
	return func(v *Value) string {
		if !v.expectKind(stringKind) {
			return ""
		}
		if len(v.node.text) > maxBytes {
			v.Refuse(fmt.Sprintf("use at most %d bytes", maxBytes), "has %d bytes", len(v.node.text))
			return ""
		}
		return v.node.text
	}
}

// Map reads an object of at most maxFields fields whose names are not fixed. It
// records a problem for each repetition of a name.
func Map[T any](maxFields int, read Reader[T]) Reader[map[string]T] {
	return func(v *Value) map[string]T {
		if !v.expectKind(objectKind) {
			return nil
		}
		if len(v.node.fields) > maxFields {
			v.Refuse(fmt.Sprintf("use at most %d", maxFields), "has %d fields", len(v.node.fields))
			return nil
		}
		result := make(map[string]T, len(v.node.fields))
		for _, f := range v.node.fields {
			item := &Value{doc: v.doc, node: f.value, path: v.path + "." + f.name}
			if _, ok := result[f.name]; ok {
				v.doc.refuse(f.line, item.path, "keep one of the two", "given twice")
				continue
			}
			result[f.name] = read(item)
		}
		return result
	}
}
