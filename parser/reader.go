package parser

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Value is a JSON value with its line and path.
type Value struct {
	doc  *Document
	node *node
	path string
}

// Refuse records a problem with the value.
func (v *Value) Refuse(remedy, format string, args ...any) {
	v.doc.refuse(v.node.line, v.path, remedy, format, args...)
}

// expectKind reports whether the value is of the wanted kind. If not, it records a
// problem.
func (v *Value) expectKind(want kind) bool {
	if v.node.kind == want {
		return true
	}
	v.Refuse("write "+want.String(), "is %s", v.node.kind)
	return false
}

// Reader converts a JSON value to a T. If the value is not valid, it records a
// problem and returns the zero value.
type Reader[T any] func(v *Value) T

// Text reads a string of at most maxBytes bytes without blanks at its ends.
func Text(maxBytes int) Reader[string] {
	return func(v *Value) string {
		if !v.expectKind(stringKind) {
			return ""
		}
		text := v.node.text
		if len(text) > maxBytes {
			v.Refuse(fmt.Sprintf("use at most %d bytes", maxBytes), "has %d bytes", len(text))
			return ""
		}
		if strings.TrimSpace(text) != text {
			v.Refuse("remove the blanks", "%q begins or ends with blanks", text)
			return ""
		}
		return text
	}
}

// Name reads a string as Text does, but rejects an empty one.
func Name(maxBytes int) Reader[string] {
	text := Text(maxBytes)
	return func(v *Value) string {
		problemsBefore := len(v.doc.problems)
		name := text(v)
		if name == "" && len(v.doc.problems) == problemsBefore {
			v.Refuse("write a name", "is empty")
		}
		return name
	}
}

// Int reads a whole number from minimum to maximum.
func Int(minimum, maximum int) Reader[int] {
	remedy := fmt.Sprintf("use a whole number from %d to %d", minimum, maximum)
	return func(v *Value) int {
		if !v.expectKind(numberKind) {
			return 0
		}
		number, err := strconv.Atoi(v.node.text)
		if err != nil {
			v.Refuse(remedy, "%s is not a whole number in range", v.node.text)
			return 0
		}
		if number < minimum || number > maximum {
			v.Refuse(remedy, "%d is out of range", number)
			return 0
		}
		return number
	}
}

// Uint64 reads a whole number that is not negative.
func Uint64(v *Value) uint64 {
	if !v.expectKind(numberKind) {
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
func Bool(v *Value) bool { return v.expectKind(boolKind) && v.node.boolValue }

// Duration reads a string such as "30s" or "1m30s", from minimum to maximum.
func Duration(minimum, maximum time.Duration) Reader[time.Duration] {
	remedy := fmt.Sprintf("use a duration from %q to %q with its unit", minimum, maximum)
	return func(v *Value) time.Duration {
		if v.node.kind != stringKind {
			v.Refuse(remedy, "is %s", v.node.kind)
			return 0
		}
		d, err := time.ParseDuration(v.node.text)
		if err != nil {
			v.Refuse(remedy, "%q is not a duration", v.node.text)
			return 0
		}
		if d < minimum || d > maximum {
			v.Refuse(remedy, "%s is out of range", d)
			return 0
		}
		return d
	}
}

// Time reads a string in RFC 3339.
func Time(v *Value) time.Time {
	if !v.expectKind(stringKind) {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339Nano, v.node.text)
	if err != nil {
		v.Refuse(`use a time such as "2026-01-02T15:04:05Z"`, "%q is not a time", v.node.text)
	}
	return t
}

// Address reads an IP address with a port other than 0, such as "127.0.0.1:8000".
func Address(v *Value) netip.AddrPort {
	const remedy = `use an IP number and a port, such as "127.0.0.1:8000"`
	if !v.expectKind(stringKind) {
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

// AddressOrNone reads an address as Address does, or the zero AddrPort from an
// empty string.
func AddressOrNone(v *Value) netip.AddrPort {
	if v.node.kind == stringKind && v.node.text == "" {
		return netip.AddrPort{}
	}
	return Address(v)
}

// ReachableAddress reads an address that other processes can connect to: it rejects
// 0.0.0.0 and ::.
func ReachableAddress(v *Value) netip.AddrPort {
	address := Address(v)
	if address.IsValid() && address.Addr().IsUnspecified() {
		v.Refuse("name the interface's own IP number", "%s can't be reached from other machines", address)
		return netip.AddrPort{}
	}
	return address
}

// List reads a list of at most maxItems items.
func List[T any](maxItems int, read Reader[T]) Reader[[]T] {
	return func(v *Value) []T {
		if !v.expectKind(listKind) {
			return nil
		}
		if len(v.node.items) > maxItems {
			v.Refuse(fmt.Sprintf("use at most %d", maxItems), "has %d items", len(v.node.items))
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

// Nested reads an object with the given function and rejects the fields that the
// function did not read.
func Nested[T any](read func(o *Object) T) Reader[T] {
	return func(v *Value) T {
		if !v.expectKind(objectKind) {
			var zero T
			return zero
		}
		o := &Object{doc: v.doc, node: v.node, path: v.path}
		result := read(o)
		o.CheckFields()
		return result
	}
}

// Decode parses data and reads its top-level object with the given function. It
// returns an error that lists all problems. The file name only appears in these.
func Decode[T any](file string, data []byte, read func(o *Object) T) (T, error) {
	d, err := Parse(file, data)
	if err != nil {
		var zero T
		return zero, err
	}
	root := d.Root()
	result := read(root)
	root.CheckFields()
	if err := d.Err(); err != nil {
		var zero T
		return zero, err
	}
	return result, nil
}
