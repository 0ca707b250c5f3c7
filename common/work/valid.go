package work

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxNumber bounds incarnation and sequence numbers. Larger ones are not exact in
	// JSON, and one that counted would make all that follow look late.
	MaxNumber = 1 << 53
	// maxNameBytes bounds the names and labels in a description. The store takes no
	// longer keys.
	maxNameBytes = 200
	// maxLabels bounds the labels of a minion, which go into frames to all entries.
	maxLabels = 64
)

// Problem returns why a description names no minion to use; it is empty if it does.
func (m Minion) Problem() string {
	switch {
	case !IsName(m.Name):
		return "its name is malformed"
	case m.Incarnation == 0 || m.Incarnation > MaxNumber:
		return "its start time is missing or out of range"
	case m.Sequence > MaxNumber:
		return "its sequence number is out of range"
	case m.Room != m.Room.Bounded():
		return "its capacity is out of range"
	case len(m.Zone) > maxNameBytes:
		return "its zone is too long"
	case len(m.Labels) > maxLabels:
		return "it has too many labels"
	}
	for _, label := range m.Labels {
		if len(label) > maxNameBytes {
			return "a label is too long"
		}
	}
	return ""
}

// IsName reports whether a text can be the name of a minion or a zone, which travels
// in headers and frames.
func IsName(name string) bool {
	isOther := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name) && !strings.ContainsFunc(name, isOther)
}
