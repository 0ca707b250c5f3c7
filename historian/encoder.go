package historian

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"agatevalve/common/fault"
	"agatevalve/parser"
	"agatevalve/router"
	"agatevalve/tabler"
)

// jsonHead is the JSON form of a head row.
type jsonHead struct {
	Revision uint64 `json:"revision"`
	Token    string `json:"token"`
	Snapshot uint64 `json:"snapshot"`
}

// jsonChange is the JSON form of a Change; W is that of the row.
type jsonChange[W any] struct {
	Name   string `json:"name"`
	Before *W     `json:"before,omitempty"`
	After  *W     `json:"after,omitempty"`
}

// jsonChanges is the JSON form of Changes.
type jsonChanges struct {
	Routes []jsonChange[jsonRoute] `json:"routes,omitempty"`
	Pools  []jsonChange[jsonPool]  `json:"pools,omitempty"`
}

// jsonRevision is the JSON form of a revision row.
type jsonRevision struct {
	Revision uint64      `json:"revision"`
	Token    string      `json:"token"`
	Who      string      `json:"who"`
	When     string      `json:"when"`
	Why      string      `json:"why"`
	Reverts  uint64      `json:"reverts,omitempty"`
	Digest   string      `json:"digest"`
	Snapshot uint64      `json:"snapshot"`
	Changes  jsonChanges `json:"changes"`
}

// jsonAction is the JSON form of an audit row.
type jsonAction struct {
	Kind     string      `json:"kind"`
	Subject  string      `json:"subject,omitempty"`
	Token    string      `json:"token"`
	Who      string      `json:"who"`
	When     string      `json:"when"`
	Why      string      `json:"why"`
	Base     uint64      `json:"base"`
	Revision uint64      `json:"revision"`
	Reverts  uint64      `json:"reverts,omitempty"`
	Changes  jsonChanges `json:"changes"`
}

// EncodeHead returns the value of the head row.
func EncodeHead(h Head) []byte {
	return marshal(jsonHead{Revision: h.Revision, Token: string(h.Token), Snapshot: h.Snapshot})
}

// EncodeRevision returns the value of a revision row. The Before of its changes
// is left out.
func EncodeRevision(r Revision) []byte {
	return compress(marshal(jsonRevision{
		Revision: r.Number, Token: string(r.Token), Who: r.Who,
		When: encodeTime(r.When), Why: r.Why, Reverts: r.Reverts,
		Digest: hex.EncodeToString(r.Digest[:]), Snapshot: r.Snapshot,
		Changes: encodeChanges(r.Changes, false),
	}))
}

// EncodeSnapshot returns the value of a snapshot row.
func EncodeSnapshot(c Configuration) []byte { return compress(marshal(encodeConfiguration(c))) }

// EncodeAction returns the value of an audit row.
func EncodeAction(a Action) []byte { return compress(marshal(encodeAction(a))) }

// FormatAction returns the JSON form of an audit row, for the output of
// commands.
func FormatAction(a Action) []byte { return marshal(encodeAction(a)) }

// FormatChanges returns the JSON form of changes, for the output of commands.
func FormatChanges(c Changes) []byte { return marshal(encodeChanges(c, true)) }

func encodeAction(a Action) jsonAction {
	return jsonAction{
		Kind: string(a.Kind), Subject: a.Subject, Token: string(a.Token), Who: a.Who,
		When: encodeTime(a.When), Why: a.Why, Base: a.Base, Revision: a.Revision,
		Reverts: a.Reverts, Changes: encodeChanges(a.Changes, true),
	}
}

func encodeTime(t time.Time) string { return t.UTC().Format(time.RFC3339Nano) }

// encodeChanges returns the JSON form of changes. Without withBefore, the rows
// before the change are left out.
func encodeChanges(c Changes, withBefore bool) jsonChanges {
	return jsonChanges{
		Routes: encodeRowChanges(c.Routes, encodeRoute, withBefore),
		Pools:  encodeRowChanges(c.Pools, encodePool, withBefore),
	}
}

func encodeRowChanges[T, W any](changes []Change[T], encode func(T) W, withBefore bool) []jsonChange[W] {
	encoded := make([]jsonChange[W], 0, len(changes))
	for _, c := range changes {
		change := jsonChange[W]{Name: c.Name}
		if withBefore && c.Before != nil {
			w := encode(*c.Before)
			change.Before = &w
		}
		if c.After != nil {
			w := encode(*c.After)
			change.After = &w
		}
		encoded = append(encoded, change)
	}
	return encoded
}

// decodeHead reads a head row, with its version.
func decodeHead(row tabler.Row) (Head, error) {
	return decodeRow(row, func(o *parser.Object) Head {
		return Head{
			Revision: parser.Required(o, "revision", parser.Uint64),
			Token:    Token(parser.Required(o, "token", parser.Text(maxTextBytes))),
			Snapshot: parser.Required(o, "snapshot", parser.Uint64),
			Version:  row.Version,
		}
	})
}

func decodeRevision(row tabler.Row) (Revision, error) {
	return decodeRow(row, func(o *parser.Object) Revision {
		text := parser.Text(maxTextBytes)
		return Revision{
			Number:   parser.Required(o, "revision", parser.Uint64),
			Token:    Token(parser.Required(o, "token", text)),
			Who:      parser.Required(o, "who", text),
			When:     parser.Required(o, "when", parser.Time),
			Why:      parser.Required(o, "why", text),
			Reverts:  parser.Optional(o, "reverts", 0, parser.Uint64),
			Digest:   parser.Required(o, "digest", decodeDigest),
			Snapshot: parser.Required(o, "snapshot", parser.Uint64),
			Changes:  parser.Required(o, "changes", parser.Nested(decodeChanges)),
		}
	})
}

func decodeSnapshot(row tabler.Row, revision uint64) (Configuration, error) {
	data, err := decompress(row.Value)
	if err != nil {
		return Configuration{}, decodeError(err, row)
	}
	c, err := DecodeConfiguration(rowName(row), data)
	if err != nil {
		return Configuration{}, decodeError(err, row)
	}
	c.Revision = revision
	return c, nil
}

func decodeAction(row tabler.Row) (Action, error) {
	return decodeRow(row, func(o *parser.Object) Action {
		text := parser.Text(maxTextBytes)
		return Action{
			Kind:     ActionKind(parser.Required(o, "kind", text)),
			Subject:  parser.Optional(o, "subject", "", text),
			Token:    Token(parser.Required(o, "token", text)),
			Who:      parser.Required(o, "who", text),
			When:     parser.Required(o, "when", parser.Time),
			Why:      parser.Required(o, "why", text),
			Base:     parser.Required(o, "base", parser.Uint64),
			Revision: parser.Required(o, "revision", parser.Uint64),
			Reverts:  parser.Optional(o, "reverts", 0, parser.Uint64),
			Changes:  parser.Required(o, "changes", parser.Nested(decodeChanges)),
		}
	})
}

func decodeChanges(o *parser.Object) Changes {
	return Changes{
		Routes: parser.Optional(o, "routes", nil, parser.List(2*router.MaxRoutes, decodeChange(decodeRoute))),
		Pools:  parser.Optional(o, "pools", nil, parser.List(2*router.MaxPools, decodeChange(decodePool))),
	}
}

// decodeChange returns a reader of a change of a row that read reads.
func decodeChange[T any](read func(o *parser.Object) T) parser.Reader[Change[T]] {
	readPointer := parser.Nested(func(o *parser.Object) *T {
		t := read(o)
		return &t
	})
	return parser.Nested(func(o *parser.Object) Change[T] {
		return Change[T]{
			Name:   parser.Required(o, "name", parser.Text(maxTextBytes)),
			Before: parser.Optional(o, "before", nil, readPointer),
			After:  parser.Optional(o, "after", nil, readPointer),
		}
	})
}

// decodeDigest reads a SHA-256 sum in hexadecimal.
func decodeDigest(v *parser.Value) [sha256.Size]byte {
	var digest [sha256.Size]byte
	text := parser.Text(2 * sha256.Size)(v)
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(digest) {
		v.Refuse("restore the row from a backup", "not a digest")
		return digest
	}
	copy(digest[:], data)
	return digest
}

// decodeRow decompresses the value of a row and reads it with read.
func decodeRow[T any](row tabler.Row, read func(o *parser.Object) T) (T, error) {
	var zero T
	data, err := decompress(row.Value)
	if err != nil {
		return zero, decodeError(err, row)
	}
	t, err := parser.Decode(rowName(row), data, read)
	if err != nil {
		return zero, decodeError(err, row)
	}
	return t, nil
}

// rowName returns the name that stands for a row in parse errors.
func rowName(row tabler.Row) string { return row.Key.Table + "/" + row.Key.Row }

// decodeError returns the error for a row that can't be decoded.
func decodeError(err error, row tabler.Row) error {
	return fault.Wrap(err, fault.Invalid, "use the version of agatevalve that wrote it, or a newer one",
		"row %s of table %s can't be read", row.Key.Row, row.Key.Table)
}
