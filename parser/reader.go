package parser

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Value is one JSON value with its position.
type Value struct {
	doc  *Document
	node *node
	path string
}

// Refuse records a problem with the value.
func (v *Value) Refuse(remedy, format string, args ...any) {
	v.doc.refuse(v.node.line, v.path, remedy, format, args...)
}

func (v *Value) is(want kind) bool {
	if v.node.kind == want {
		return true
	}
	v.Refuse("write "+want.String(), "is %s", v.node.kind)
	return false
}

// Reader turns a value into a T. It records a problem and returns the zero
// value when it can't.
type Reader[T any] func(v *Value) T

// Text reads a string of at most longest bytes without blanks at its ends.
func Text(longest int) Reader[string] {
	return func(v *Value) string {
		if !v.is(textKind) {
			return ""
		}
		text := v.node.text
		if len(text) > longest {
			v.Refuse(fmt.Sprintf("use at most %d bytes", longest), "has %d bytes", len(text))
			return ""
		}
		if strings.TrimSpace(text) != text {
			v.Refuse("remove the blanks", "%q begins or ends with blanks", text)
			return ""
		}
		return text
	}
}

// Name reads a string that is not empty, of at most longest bytes.
func Name(longest int) Reader[string] {
	text := Text(longest)
	return func(v *Value) string {
		before := len(v.doc.problems)
		name := text(v)
		if name == "" && len(v.doc.problems) == before {
			v.Refuse("write a name", "is empty")
		}
		return name
	}
}

// Int reads a whole number from least to most.
func Int(least, most int) Reader[int] {
	remedy := fmt.Sprintf("use a whole number from %d to %d", least, most)
	return func(v *Value) int {
		if !v.is(numberKind) {
			return 0
		}
		number, err := strconv.Atoi(v.node.text)
		if err != nil {
			v.Refuse(remedy, "%s is not a whole number in range", v.node.text)
			return 0
		}
		if number < least || number > most {
			v.Refuse(remedy, "%d is out of range", number)
			return 0
		}
		return number
	}
}

// Uint64 reads a whole number that is not negative.
func Uint64(v *Value) uint64 {
	if !v.is(numberKind) {
		return 0
	}
	number, err := strconv.ParseUint(v.node.text, 10, 64)
	if err != nil {
		v.Refuse("use a whole number from 0", "%s is not a whole number in range", v.node.text)
		return 0
	}
	return number
}

// Bool reads true or false.
func Bool(v *Value) bool { return v.is(boolKind) && v.node.yes }

// Duration reads a string such as "30s" or "1m30s", from least to most.
func Duration(least, most time.Duration) Reader[time.Duration] {
	remedy := fmt.Sprintf("use a duration from %q to %q with its unit", least, most)
	return func(v *Value) time.Duration {
		if v.node.kind != textKind {
			v.Refuse(remedy, "is %s", v.node.kind)
			return 0
		}
		d, err := time.ParseDuration(v.node.text)
		if err != nil {
			v.Refuse(remedy, "%q is not a duration", v.node.text)
			return 0
		}
		if d < least || d > most {
			v.Refuse(remedy, "%s is out of range", d)
			return 0
		}
		return d
	}
}

// Time reads a string in RFC 3339.
func Time(v *Value) time.Time {
	if !v.is(textKind) {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339Nano, v.node.text)
	if err != nil {
		v.Refuse(`use a time such as "2026-01-02T15:04:05Z"`, "%q is not a time", v.node.text)
	}
	return t
}

// Address reads an IP number with a port, such as "127.0.0.1:8000".
func Address(v *Value) netip.AddrPort {
	const remedy = `use an IP number and a port, such as "127.0.0.1:8000"`
	if !v.is(textKind) {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(v.node.text)
	if err != nil {
		v.Refuse(remedy, "%q is not an address", v.node.text)
		return netip.AddrPort{}
	}
	if address.Port() == 0 {
		v.Refuse(remedy, "%q has port 0", v.node.text)
		return netip.AddrPort{}
	}
	return address
}

// AddressOrNone reads an address, or the zero one from an empty text.
func AddressOrNone(v *Value) netip.AddrPort {
	if v.node.kind == textKind && v.node.text == "" {
		return netip.AddrPort{}
	}
	return Address(v)
}

// Reachable reads an address that other machines can call: not 0.0.0.0 or ::.
func Reachable(v *Value) netip.AddrPort {
	address := Address(v)
	if address.IsValid() && address.Addr().IsUnspecified() {
		v.Refuse("name the interface's own IP number", "%s can't be reached from other machines", address)
		return netip.AddrPort{}
	}
	return address
}

// List reads a list of at most longest items.
func List[T any](longest int, read Reader[T]) Reader[[]T] {
	return func(v *Value) []T {
		if !v.is(listKind) {
			return nil
		}
		if len(v.node.items) > longest {
			v.Refuse(fmt.Sprintf("use at most %d", longest), "has %d items", len(v.node.items))
			return nil
		}
		items := make([]T, 0, len(v.node.items))
		for i, item := range v.node.items {
			path := v.path + "[" + strconv.Itoa(i) + "]"
			items = append(items, read(&Value{doc: v.doc, node: item, path: path}))
		}
		return items
	}
}

// Nested reads an object and closes it.
func Nested[T any](read func(o *Object) T) Reader[T] {
	return func(v *Value) T {
		if !v.is(objectKind) {
			var zero T
			return zero
		}
		o := &Object{doc: v.doc, node: v.node, path: v.path}
		result := read(o)
		o.Close()
		return result
	}
}

// Decode reads a whole document with one function. The name stands in the
// problems.
func Decode[T any](file string, data []byte, read func(o *Object) T) (T, error) {
	d, err := Parse(file, data)
	if err != nil {
		var zero T
		return zero, err
	}
	root := d.Root()
	result := read(root)
	root.Close()
	if err := d.Err(); err != nil {
		var zero T
		return zero, err
	}
	return result, nil
}
