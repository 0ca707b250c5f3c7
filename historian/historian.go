// Package historian reads the configuration and its history from the table
// service, and encodes and decodes their rows.
//
// Three ways of storing were compared for 2,600 changes a day of a
// configuration with 2,000 routes and 500 pools. A whole compressed copy for
// each revision is the simplest, but writes tens of kilobytes for a change of
// one row. Content-addressed chunks write one chunk and a list of hashes, but
// need a garbage collector for the chunks that no revision refers to. The third
// was chosen: each revision row holds its changes, and a snapshot of the whole
// is written at least every SnapshotEvery revisions. A publish writes what was
// changed, a follower reads just that, and a new entry reads one snapshot and
// at most SnapshotEvery rows in a single read.
//
// Each revision row carries the digest of the whole configuration, so that a
// lost or damaged row is detected and never served.
package historian

import (
	"context"
	"time"

	"agatevalve/common/fault"
	"agatevalve/tabler"
)

const (
	// SnapshotEvery is the maximum number of revisions from one snapshot to the
	// next.
	SnapshotEvery = 32
	// maxReplayedRevisions is the maximum number of revisions that are replayed
	// on a known configuration where a newer snapshot could be read instead.
	maxReplayedRevisions = 64
	// readBatchRows is the maximum number of rows in one read of the history.
	readBatchRows = 100
)

const damagedRemedy = "restore the row from a backup of the table service, or revert to an older revision"

// Historian reads revisions and audit rows. It is stateless and safe for
// concurrent use.
type Historian struct{ table tabler.Table }

// New returns a Historian of the given table service.
func New(table tabler.Table) *Historian { return &Historian{table: table} }

// Head returns the pointer to the revision in force. It is zero if nothing was
// published yet.
func (h *Historian) Head(ctx context.Context) (Head, error) {
	rows, err := h.table.Read(ctx, []tabler.Key{HeadKey})
	if err != nil {
		return Head{}, err
	}
	if len(rows) == 0 {
		return Head{}, nil
	}
	return decodeHead(rows[0])
}

// Current returns the head and the configuration that it points to.
func (h *Historian) Current(ctx context.Context) (Head, Configuration, error) {
	head, err := h.Head(ctx)
	if err != nil {
		return Head{}, Configuration{}, err
	}
	c, err := h.Advance(ctx, Configuration{}, head)
	return head, c, err
}

// Advance returns the configuration at the head, starting from a known one. It
// reads as few rows as possible, in one read: the revisions after known, or the
// last snapshot and the revisions after that.
func (h *Historian) Advance(ctx context.Context, known Configuration, head Head) (Configuration, error) {
	if known.Revision == head.Revision {
		return known, nil
	}
	if known.Revision > head.Revision {
		return Configuration{}, fault.New(fault.Invalid, damagedRemedy,
			"the head went back from revision %d to %d", known.Revision, head.Revision)
	}
	withinLimit := head.Revision-known.Revision <= maxReplayedRevisions
	if known.Revision >= head.Snapshot || known.Revision > 0 && withinLimit {
		return h.replay(ctx, known, head.Revision, false)
	}
	return h.replay(ctx, Configuration{Revision: head.Snapshot}, head.Revision, true)
}

// ConfigurationAt returns the configuration as of a revision.
func (h *Historian) ConfigurationAt(ctx context.Context, number uint64) (Configuration, error) {
	if number == 0 {
		return Configuration{}, nil
	}
	r, err := h.Revision(ctx, number)
	if err != nil {
		return Configuration{}, err
	}
	return h.replay(ctx, Configuration{Revision: r.Snapshot}, number, r.Snapshot > 0)
}

// Revision returns the revision with the given number.
func (h *Historian) Revision(ctx context.Context, number uint64) (Revision, error) {
	found, err := h.Revisions(ctx, number, number)
	if err != nil {
		return Revision{}, err
	}
	if len(found) == 0 {
		return Revision{}, fault.New(fault.NotFound, "list the revisions with agatevalve config history", "no revision %d", number)
	}
	return found[0], nil
}

// Revisions returns the existing revisions from first to last, in ascending
// order.
func (h *Historian) Revisions(ctx context.Context, first, last uint64) ([]Revision, error) {
	return readRange(ctx, h.table, first, last, RevisionKey, decodeRevision)
}

// PublishActions returns the audit rows of the publishes of revisions first to
// last.
func (h *Historian) PublishActions(ctx context.Context, first, last uint64) ([]Action, error) {
	return readRange(ctx, h.table, first, last, PublishKey, decodeAction)
}

// ManualActions returns the audit rows of the manual actions on one day in UTC,
// by time.
func (h *Historian) ManualActions(ctx context.Context, day time.Time) ([]Action, error) {
	rows, err := h.table.Scan(ctx, tabler.Audit, manualActionPrefix(day))
	if err != nil {
		return nil, err
	}
	actions := make([]Action, 0, len(rows))
	for _, row := range rows {
		a, err := decodeAction(row)
		if err != nil {
			return nil, err
		}
		actions = append(actions, a)
	}
	return actions, nil
}

// readRange reads and decodes the existing rows numbered first to last, in
// batches. key returns the key of the row with a number.
func readRange[T any](ctx context.Context, table tabler.Table, first, last uint64,
	key func(uint64) tabler.Key, decode func(tabler.Row) (T, error),
) ([]T, error) {
	var found []T
	for first <= last {
		end := min(last, first+readBatchRows-1)
		rows, err := readByKey(ctx, table, appendKeys(nil, first, end, key))
		if err != nil {
			return nil, err
		}
		for number := first; number <= end; number++ {
			row, ok := rows[key(number)]
			if !ok {
				continue
			}
			t, err := decode(row)
			if err != nil {
				return nil, err
			}
			found = append(found, t)
		}
		first = end + 1
	}
	return found, nil
}

// appendKeys appends the keys of the rows numbered first to last.
func appendKeys(keys []tabler.Key, first, last uint64, key func(uint64) tabler.Key) []tabler.Key {
	for number := first; number <= last; number++ {
		keys = append(keys, key(number))
	}
	return keys
}

// readByKey reads rows and returns those that exist, by key.
func readByKey(ctx context.Context, table tabler.Table, keys []tabler.Key) (map[tabler.Key]tabler.Row, error) {
	rows, err := table.Read(ctx, keys)
	if err != nil {
		return nil, err
	}
	byKey := make(map[tabler.Key]tabler.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	return byKey, nil
}

// replay applies to c the changes of the revisions after it, up to last, and
// verifies the digest. With fromSnapshot, only the revision of c is used, and
// its rows are read from the snapshot at that revision.
func (h *Historian) replay(ctx context.Context, c Configuration, last uint64, fromSnapshot bool) (Configuration, error) {
	first := c.Revision + 1
	var keys []tabler.Key
	if fromSnapshot {
		keys = append(keys, SnapshotKey(c.Revision))
	}
	if last == c.Revision {
		// If no revision follows the snapshot, the digest comes from the
		// revision row of the snapshot itself.
		first = last
	}
	rows, err := readByKey(ctx, h.table, appendKeys(keys, first, last, RevisionKey))
	if err != nil {
		return Configuration{}, err
	}
	if fromSnapshot {
		if c, err = findSnapshot(rows, c.Revision); err != nil {
			return Configuration{}, err
		}
	}
	var newest Revision
	for number := first; number <= last; number++ {
		if newest, err = findRevision(rows, number); err != nil {
			return Configuration{}, err
		}
		if number == c.Revision {
			continue
		}
		if c, err = c.Apply(number, newest.Changes); err != nil {
			return Configuration{}, fault.Wrap(err, fault.Internal, damagedRemedy, "revision %d does not apply", number)
		}
	}
	if c.Digest() != newest.Digest {
		return Configuration{}, fault.New(fault.Internal, damagedRemedy, "the digest of revision %d differs", last)
	}
	return c, nil
}

// findSnapshot decodes the snapshot of a revision from the rows read. It is an
// error if the row is missing.
func findSnapshot(rows map[tabler.Key]tabler.Row, number uint64) (Configuration, error) {
	row, ok := rows[SnapshotKey(number)]
	if !ok {
		return Configuration{}, fault.New(fault.Internal, damagedRemedy, "the snapshot of revision %d is missing", number)
	}
	return decodeSnapshot(row, number)
}

// findRevision decodes a revision from the rows read. It is an error if the row
// is missing or holds another revision.
func findRevision(rows map[tabler.Key]tabler.Row, number uint64) (Revision, error) {
	row, ok := rows[RevisionKey(number)]
	if !ok {
		return Revision{}, fault.New(fault.Internal, damagedRemedy, "revision %d is missing", number)
	}
	r, err := decodeRevision(row)
	if err == nil && r.Number != number {
		err = fault.New(fault.Internal, damagedRemedy, "the row of revision %d holds %d", number, r.Number)
	}
	return r, err
}
