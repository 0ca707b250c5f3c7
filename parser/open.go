package parser

import "fmt"

// Verbatim reads a string of at most longest bytes as it stands, with its
// blanks, for content that is only passed on.
func Verbatim(longest int) Reader[string] {
	return func(v *Value) string {
		if !v.is(textKind) {
			return ""
		}
		if len(v.node.text) > longest {
			v.Refuse(fmt.Sprintf("use at most %d bytes", longest), "has %d bytes", len(v.node.text))
			return ""
		}
		return v.node.text
	}
}

// Map reads an object whose field names are data. A name given twice is
// refused.
func Map[T any](longest int, read Reader[T]) Reader[map[string]T] {
	return func(v *Value) map[string]T {
		if !v.is(objectKind) {
			return nil
		}
		if len(v.node.fields) > longest {
			v.Refuse(fmt.Sprintf("use at most %d", longest), "has %d fields", len(v.node.fields))
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
