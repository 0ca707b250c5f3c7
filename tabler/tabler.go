// Package tabler is the port to the platform's transactional table service.
package tabler

import "context"

// Version counts the writes of one row. 0 means that the row does not exist.
type Version uint64

// Key names a row.
type Key struct {
	Table string
	Row   string
}

// Row is a stored value.
type Row struct {
	Key     Key
	Version Version
	Value   []byte
}

// Write puts or deletes one row in a transaction.
type Write struct {
	Key Key
	// Expect is the version that the row must have; 0 means absent.
	Expect Version
	// Any skips the check of Expect.
	Any bool
	// Delete removes the row; Value is ignored.
	Delete bool
	Value  []byte
}

// Result tells how a transaction ended.
type Result struct {
	// Applied is true when every write took effect; otherwise none did.
	Applied bool
	// Conflicts holds the present state of each row whose check failed, with
	// Version 0 for an absent row. It is empty when Applied.
	Conflicts []Row
}

// Table is the transactional table service. An error of kind
// fault.Unavailable proves that nothing was written; fault.Uncertain means
// that the write may have taken effect.
type Table interface {
	// Read returns the rows that exist among keys, in no order.
	Read(ctx context.Context, keys []Key) ([]Row, error)
	// Scan returns all rows of a table whose names begin with prefix, by name.
	Scan(ctx context.Context, table, prefix string) ([]Row, error)
	// Commit applies all writes in one transaction, or none.
	Commit(ctx context.Context, writes []Write) (Result, error)
}

// Names of the tables that agatevalve keeps.
const (
	// Claims holds one row per keyed job.
	Claims = "claims"
	// ClaimIndex holds the jobs of each claim transaction, by deadline.
	ClaimIndex = "claim-index"
	// Entries holds one row per live entry.
	Entries = "entries"
	// Revisions holds immutable configuration revisions.
	Revisions = "revisions"
	// Heads holds the pointer to the revision in force.
	Heads = "heads"
	// Audit holds the trail of changes.
	Audit = "audit"
)
