// Package tabler defines the interface to the platform's transactional table
// service and the names of the tables that agatevalve keeps there.
package tabler

import "context"

// Version is the number of writes of a row, for optimistic concurrency
// control. 0 means that the row does not exist.
type Version uint64

// Key identifies a row by its table and its name within the table.
type Key struct {
	Table string
	Row   string
}

// Row is a stored value with its key and version.
type Row struct {
	Key     Key
	Version Version
	Value   []byte
}

// Write puts or deletes one row as part of a transaction.
type Write struct {
	Key Key
	// Expect is the version that the row must have for the transaction to be
	// applied; 0 means that the row must not exist.
	Expect Version
	// Unconditional disables the version check: Expect is ignored.
	Unconditional bool
	// Delete removes the row; Value is ignored.
	Delete bool
	Value  []byte
}

// Result is the outcome of a transaction.
type Result struct {
	// Applied is true if every write took effect; otherwise none did.
	Applied bool
	// Conflicts holds the current state of each row whose version check failed,
	// with Version 0 for an absent row. It is empty if Applied is true.
	Conflicts []Row
}

// Table is the transactional table service. An error of kind
// fault.Unavailable proves that nothing was written; fault.Uncertain means
// that the transaction may have been applied.
type Table interface {
	// Read returns the existing rows among keys, in no particular order.
	Read(ctx context.Context, keys []Key) ([]Row, error)
	// Scan returns all rows of a table whose names begin with prefix, sorted by
	// name.
	Scan(ctx context.Context, table, prefix string) ([]Row, error)
	// Commit applies either all writes, in one transaction, or none.
	Commit(ctx context.Context, writes []Write) (Result, error)
}

// Names of the tables that agatevalve keeps.
const (
	// Claims holds one row per job with an idempotency key: its claim.
	Claims = "claims"
	// ClaimIndex holds one row per claim transaction, which lists its jobs. The
	// names begin with the deadline, so that old claims can be found.
	ClaimIndex = "claim-index"
	// Entries holds one membership row per running entry.
	Entries = "entries"
	// Revisions holds immutable configuration revisions.
	Revisions = "revisions"
	// Heads holds the pointer to the configuration revision in force.
	Heads = "heads"
	// Audit holds the audit log of changes.
	Audit = "audit"
)
