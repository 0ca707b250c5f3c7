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

type wireHead struct {
	Revision uint64 `json:"revision"`
	Token    string `json:"token"`
	Snapshot uint64 `json:"snapshot"`
}

type wireChange[W any] struct {
	Name   string `json:"name"`
	Before *W     `json:"before,omitempty"`
	After  *W     `json:"after,omitempty"`
}

type wireChanges struct {
	Routes []wireChange[wireRoute] `json:"routes,omitempty"`
	Pools  []wireChange[wirePool]  `json:"pools,omitempty"`
}

type wireRevision struct {
	Revision uint64      `json:"revision"`
	Token    string      `json:"token"`
	Who      string      `json:"who"`
	When     string      `json:"when"`
	Why      string      `json:"why"`
	Reverts  uint64      `json:"reverts,omitempty"`
	Digest   string      `json:"digest"`
	Snapshot uint64      `json:"snapshot"`
	Changes  wireChanges `json:"changes"`
}

type wireAction struct {
	Kind     string      `json:"kind"`
	Subject  string      `json:"subject,omitempty"`
	Token    string      `json:"token"`
	Who      string      `json:"who"`
	When     string      `json:"when"`
	Why      string      `json:"why"`
	Base     uint64      `json:"base"`
	Revision uint64      `json:"revision"`
	Reverts  uint64      `json:"reverts,omitempty"`
	Changes  wireChanges `json:"changes"`
}

// EncodeHead returns the value of the head row.
func EncodeHead(h Head) []byte {
	return marshal(wireHead{Revision: h.Revision, Token: string(h.Token), Snapshot: h.Snapshot})
}

// EncodeRevision returns the value of a revision row. Before is left out.
func EncodeRevision(r Revision) []byte {
	return pack(marshal(wireRevision{
		Revision: r.Number, Token: string(r.Token), Who: r.Who,
		When: encodeTime(r.When), Why: r.Why, Reverts: r.Reverts,
		Digest: hex.EncodeToString(r.Digest[:]), Snapshot: r.Snapshot,
		Changes: encodeChanges(r.Changes, false),
	}))
}

// EncodeSnapshot returns the value of a snapshot row.
func EncodeSnapshot(c Configuration) []byte { return pack(marshal(encodeConfiguration(c))) }

// EncodeAction returns the value of an audit row.
func EncodeAction(a Action) []byte { return pack(marshal(encodeAction(a))) }

// FormatAction returns the JSON form of an action for programs.
func FormatAction(a Action) []byte { return marshal(encodeAction(a)) }

// FormatChanges returns the JSON form of changes for programs.
func FormatChanges(c Changes) []byte { return marshal(encodeChanges(c, true)) }

func encodeAction(a Action) wireAction {
	return wireAction{
		Kind: string(a.Kind), Subject: a.Subject, Token: string(a.Token), Who: a.Who,
		When: encodeTime(a.When), Why: a.Why, Base: a.Base, Revision: a.Revision,
		Reverts: a.Reverts, Changes: encodeChanges(a.Changes, true),
	}
}

func encodeTime(t time.Time) string { return t.UTC().Format(time.RFC3339Nano) }

func encodeChanges(c Changes, before bool) wireChanges {
	return wireChanges{
		Routes: encodeRowChanges(c.Routes, encodeRoute, before),
		Pools:  encodeRowChanges(c.Pools, encodePool, before),
	}
}

func encodeRowChanges[T, W any](changes []Change[T], encode func(T) W, before bool) []wireChange[W] {
	wires := make([]wireChange[W], 0, len(changes))
	for _, c := range changes {
		wire := wireChange[W]{Name: c.Name}
		if before && c.Before != nil {
			w := encode(*c.Before)
			wire.Before = &w
		}
		if c.After != nil {
			w := encode(*c.After)
			wire.After = &w
		}
		wires = append(wires, wire)
	}
	return wires
}

func decodeHead(row tabler.Row) (Head, error) {
	return decodeRow(row, func(o *parser.Object) Head {
		return Head{
			Revision: parser.Required(o, "revision", parser.Uint64),
			Token:    Token(parser.Required(o, "token", parser.Text(longestText))),
			Snapshot: parser.Required(o, "snapshot", parser.Uint64),
			Version:  row.Version,
		}
	})
}

func decodeRevision(row tabler.Row) (Revision, error) {
	return decodeRow(row, func(o *parser.Object) Revision {
		text := parser.Text(longestText)
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
	data, err := unpack(row.Value)
	if err != nil {
		return Configuration{}, unreadable(err, row)
	}
	c, err := DecodeConfiguration(rowName(row), data)
	if err != nil {
		return Configuration{}, unreadable(err, row)
	}
	c.Revision = revision
	return c, nil
}

func decodeAction(row tabler.Row) (Action, error) {
	return decodeRow(row, func(o *parser.Object) Action {
		text := parser.Text(longestText)
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

func decodeChange[T any](read func(o *parser.Object) T) parser.Reader[Change[T]] {
	pointer := parser.Nested(func(o *parser.Object) *T {
		t := read(o)
		return &t
	})
	return parser.Nested(func(o *parser.Object) Change[T] {
		return Change[T]{
			Name:   parser.Required(o, "name", parser.Text(longestText)),
			Before: parser.Optional(o, "before", nil, pointer),
			After:  parser.Optional(o, "after", nil, pointer),
		}
	})
}

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

func decodeRow[T any](row tabler.Row, read func(o *parser.Object) T) (T, error) {
	var zero T
	data, err := unpack(row.Value)
	if err != nil {
		return zero, unreadable(err, row)
	}
	t, err := parser.Decode(rowName(row), data, read)
	if err != nil {
		return zero, unreadable(err, row)
	}
	return t, nil
}

func rowName(row tabler.Row) string { return row.Key.Table + "/" + row.Key.Row }

func unreadable(err error, row tabler.Row) error {
	return fault.Wrap(err, fault.Invalid, "use the version of agatevalve that wrote it, or a newer one",
		"row %s of table %s can't be read", row.Key.Row, row.Key.Table)
}
