package historian

import (
	"crypto/sha256"
	"fmt"
	"time"

	"agatevalve/tabler"
)

// Token identifies one publish or manual action. It is unique, so that a writer
// whose reply was lost can recognise its own row.
type Token string

// Revision is one published change of the configuration. It is immutable.
type Revision struct {
	// Number is at least 1; the base of the revision is Number-1.
	Number uint64
	Token  Token
	Who    string
	// When is the time by the clock of the operator's machine.
	When time.Time
	Why  string
	// Reverts is the revision whose content was restored, or 0.
	Reverts uint64
	// Digest is the digest of the configuration after the changes.
	Digest [sha256.Size]byte
	// Snapshot is the newest revision up to Number that has a snapshot. 0
	// stands for the empty configuration, which needs none.
	Snapshot uint64
	// Changes have no Before.
	Changes Changes
}

// Head points to the revision in force.
type Head struct {
	// Revision is 0 if nothing was published yet.
	Revision uint64
	Token    Token
	// Snapshot is the newest revision up to Revision with a snapshot.
	Snapshot uint64
	// Version is the version of the head row, for compare-and-set.
	Version tabler.Version
}

// Action is one row of the audit trail: a publish or a manual action.
type Action struct {
	// Kind is what was done.
	Kind ActionKind
	// Subject is the agent or worker that was drained or undrained; it is empty
	// for a publish.
	Subject string
	Token   Token
	Who     string
	When    time.Time
	Why     string
	// Base is the revision that an edit was made from, or the one in force at
	// the time of a manual action.
	Base uint64
	// Revision is the one published, or the one in force at the time of a
	// manual action.
	Revision uint64
	// Reverts is the revision whose content was restored, or 0.
	Reverts uint64
	// Changes hold each row before and after.
	Changes Changes
}

// ActionKind is the kind of an action in the audit trail.
type ActionKind string

// Kinds of actions.
const (
	// Published means that a configuration revision was published.
	Published ActionKind = "publish"
	// Drained and Undrained are manual actions on an agent or worker.
	Drained   ActionKind = "drain"
	Undrained ActionKind = "undrain"
)

// HeadKey is the key of the row that points to the revision in force.
var HeadKey = tabler.Key{Table: tabler.Heads, Row: "configuration"}

// RevisionKey returns the key of the row of a revision.
func RevisionKey(number uint64) tabler.Key {
	return tabler.Key{Table: tabler.Revisions, Row: fmt.Sprintf("revision-%020d", number)}
}

// SnapshotKey returns the key of the row with the whole configuration at a
// revision.
func SnapshotKey(number uint64) tabler.Key {
	return tabler.Key{Table: tabler.Revisions, Row: fmt.Sprintf("snapshot-%020d", number)}
}

// PublishKey returns the key of the audit row of a publish.
func PublishKey(number uint64) tabler.Key {
	return tabler.Key{Table: tabler.Audit, Row: fmt.Sprintf("publish-%020d", number)}
}

// ManualActionKey returns the key of the audit row of a manual action. The
// names of the rows of one day share a prefix and sort by time.
func ManualActionKey(when time.Time, token Token) tabler.Key {
	return tabler.Key{Table: tabler.Audit, Row: manualActionPrefix(when) + when.UTC().Format("T15:04:05.000000000Z-") + string(token)}
}

// manualActionPrefix returns the prefix of the row names of one day in UTC.
func manualActionPrefix(day time.Time) string { return "act-" + day.UTC().Format(time.DateOnly) }
