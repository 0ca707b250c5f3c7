package encoder

import (
	"strings"
	"unicode/utf8"
)

// textToWire converts a string that may not be valid UTF-8, such as a header
// value, to one that is, because a string field of a protobuf message must be
// UTF-8. It decodes the bytes as ISO 8859-1: each byte becomes the rune of the
// same number.
func textToWire(s string) string {
	if isASCII(s) {
		return s
	}
	var b strings.Builder
	b.Grow(2 * len(s))
	for i := range len(s) {
		b.WriteRune(rune(s[i]))
	}
	return b.String()
}

// textFromWire is the inverse of textToWire. It rejects runes above 0xff. Errors
// refer to the text as field.
func textFromWire(field, s string) (string, error) {
	if isASCII(s) {
		return s, nil
	}
	b := make([]byte, 0, len(s))
	for _, r := range s {
		if r > 0xff {
			return "", invalid("the %s holds the character %q, which is not a byte", field, r)
		}
		b = append(b, byte(r))
	}
	return string(b), nil
}

func isASCII(s string) bool {
	for i := range len(s) {
		if s[i] >= utf8.RuneSelf {
			return false
		}
	}
	return true
}
