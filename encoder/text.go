package encoder

import (
	"strings"
	"unicode/utf8"
)

// textToWire encodes bytes that need not be UTF-8, such as a header value,
// into a string that is. A byte from 0x80 up becomes the rune of that number,
// as in ISO 8859-1, because a string field of a message must be UTF-8.
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

// textFromWire reverses textToWire.
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
