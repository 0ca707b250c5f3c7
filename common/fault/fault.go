// Package fault defines the typed errors of agatevalve.
//
// Every error that leaves a package carries a kind, which callers branch on,
// and a remedy, which tells a person what to do next.
package fault

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an error by how callers should react to it.
type Kind uint8

const (
	// Internal is a fault of agatevalve itself.
	Internal Kind = iota
	// Invalid means bad input; the same input never succeeds.
	Invalid
	// NotFound means that something named in the input does not exist.
	NotFound
	// Conflict means that a concurrent change came first; read again and
	// retry.
	Conflict
	// TooLarge means that a limit from the settings was exceeded.
	TooLarge
	// Denied means that the operation is not allowed for this caller or on
	// this listener.
	Denied
	// Unavailable means that the operation provably had no effect.
	Unavailable
	// Uncertain means that the operation may have had its effect.
	Uncertain
	// Expired means that a deadline passed before the operation had any
	// effect.
	Expired
)

// String returns the kebab-case name of the kind.
func (k Kind) String() string {
	names := [...]string{
		"internal", "invalid", "not-found", "conflict", "too-large",
		"denied", "unavailable", "uncertain", "expired",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "unknown"
}

// Error is an error with a kind and a remedy.
type Error struct {
	Kind Kind
	// Text says what went wrong, without a trailing period.
	Text string
	// Remedy says what the reader can do; it is never empty.
	Remedy string
	cause  error
}

// New returns an error of the given kind. The remedy must not be empty.
func New(kind Kind, remedy, format string, args ...any) *Error {
	text := fmt.Sprintf(format, args...)
	return &Error{Kind: kind, Text: text, Remedy: remedy, cause: eris.New(text)}
}

// Wrap returns an error of the given kind that keeps err as its cause.
func Wrap(err error, kind Kind, remedy, format string, args ...any) *Error {
	text := fmt.Sprintf(format, args...)
	return &Error{Kind: kind, Text: text, Remedy: remedy, cause: eris.Wrap(err, text)}
}

// Error returns the text, the cause and the remedy in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s; %s", e.cause, e.Remedy)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the first fault in the chain of err, or Internal.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// RemedyOf returns the remedy of the first fault in the chain of err, or "".
func RemedyOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Remedy
	}
	return ""
}
