package historian

import (
	"crypto/sha256"
	"fmt"
	"time"

	"agatevalve/tabler"
)

// Token is unique to one publish, so that its writer recognises it after a
// lost reply.
type Token string

// Revision is one accepted change of the configuration. It is immutable.
type Revision struct {
	// Number is at least 1; the revision was made from Number-1.
	Number uint64
	Token  Token
	Who    string
	// When is by the clock of the operator's machine.
	When time.Time
	Why  string
	// Reverts is the revision whose content came back, or 0.
	Reverts uint64
	// Digest is that of the configuration after the changes.
	Digest [sha256.Size]byte
	// Snapshot is the newest revision up to Number with a snapshot, or 0 for
	// the empty configuration.
	Snapshot uint64
	// Changes carry no Before.
	Changes Changes
}

// Head points to the revision in force.
type Head struct {
	// Revision is 0 when nothing was published yet.
	Revision uint64
	Token    Token
	// Snapshot is the newest revision up to Revision with a snapshot.
	Snapshot uint64
	// Version is that of the head row, for compare-and-set.
	Version tabler.Version
}

// Action is one entry of the audit trail.
type Action struct {
	// Kind is what was done.
	Kind ActionKind
	// Subject is the agent or worker of a drain; it is empty for a publish.
	Subject string
	Token   Token
	Who     string
	When    time.Time
	Why     string
	// Base is the revision that the change was made from.
	Base uint64
	// Revision is the one published, or the one in force at an act by hand.
	Revision uint64
	// Reverts is the revision whose content came back, or 0.
	Reverts uint64
	// Changes hold each row before and after.
	Changes Changes
}

// ActionKind says what an entry of the audit trail records.
type ActionKind string

// Kinds of actions.
const (
	// Published is a new configuration revision.
	Published ActionKind = "publish"
	// Drained and Undrained are acts by hand on a minion or worker.
	Drained   ActionKind = "drain"
	Undrained ActionKind = "undrain"
)

// HeadKey names the row that points to the revision in force.
var HeadKey = tabler.Key{Table: tabler.Heads, Row: "configuration"}

// RevisionKey names the row of a revision.
func RevisionKey(number uint64) tabler.Key {
	return tabler.Key{Table: tabler.Revisions, Row: fmt.Sprintf("revision-%020d", number)}
}

// SnapshotKey names the row with the whole configuration at a revision.
func SnapshotKey(number uint64) tabler.Key {
	return tabler.Key{Table: tabler.Revisions, Row: fmt.Sprintf("snapshot-%020d", number)}
}

// PublishKey names the audit row of a publish.
func PublishKey(number uint64) tabler.Key {
	return tabler.Key{Table: tabler.Audit, Row: fmt.Sprintf("publish-%020d", number)}
}

// ActKey names the audit row of an act by hand. Rows of one day share a prefix.
func ActKey(when time.Time, token Token) tabler.Key {
	return tabler.Key{Table: tabler.Audit, Row: actPrefix(when) + when.UTC().Format("T15:04:05.000000000Z-") + string(token)}
}

func actPrefix(day time.Time) string { return "act-" + day.UTC().Format(time.DateOnly) }
