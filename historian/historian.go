// Package historian reads the configuration and its history from the table
// service, and knows the form of the rows.
//
// Three forms were weighed for 2,600 changes a day of a configuration with
// 2,000 routes and 500 pools. A whole compressed copy per revision is simplest
// and writes tens of kilobytes for a change of one row. Chunks shared by their
// hash write one chunk and a list of hashes, and need a collector for chunks
// that no revision names. Chosen are the changes of each revision, with a
// snapshot of the whole every SnapshotEvery revisions: a change writes what
// was changed, a follower reads just that, and a new entry reads one snapshot
// and at most SnapshotEvery rows in a single read.
//
// Each revision row carries the digest of the whole configuration, so that a
// lost or damaged row is found and never served.
package historian

import (
	"context"
	"time"

	"agatevalve/common/fault"
	"agatevalve/tabler"
)

const (
	// SnapshotEvery is the number of revisions from one snapshot to the next.
	SnapshotEvery = 32
	// mostDeltas is how many revision rows are read to avoid a snapshot.
	mostDeltas = 64
	// historyBatch is how many rows one read of the history takes.
	historyBatch = 100
)

const damagedRemedy = "restore the row from a backup of the table service, or revert to an older revision"

// Historian reads revisions. It keeps nothing and is safe for concurrent use.
type Historian struct{ table tabler.Table }

// New returns a Historian of the given table service.
func New(table tabler.Table) *Historian { return &Historian{table: table} }

// Head returns the pointer to the revision in force.
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

// Advance returns the configuration at the head, starting from one that is
// known already. It reads as few rows as it can, in one read.
func (h *Historian) Advance(ctx context.Context, known Configuration, head Head) (Configuration, error) {
	if known.Revision == head.Revision {
		return known, nil
	}
	if known.Revision > head.Revision {
		return Configuration{}, fault.New(fault.Invalid, damagedRemedy,
			"the head went back from revision %d to %d", known.Revision, head.Revision)
	}
	near := head.Revision-known.Revision <= mostDeltas
	if known.Revision >= head.Snapshot || known.Revision > 0 && near {
		return h.replay(ctx, known, head.Revision, false)
	}
	return h.replay(ctx, Configuration{Revision: head.Snapshot}, head.Revision, true)
}

// At returns the configuration at a revision.
func (h *Historian) At(ctx context.Context, number uint64) (Configuration, error) {
	if number == 0 {
		return Configuration{}, nil
	}
	r, err := h.Revision(ctx, number)
	if err != nil {
		return Configuration{}, err
	}
	return h.replay(ctx, Configuration{Revision: r.Snapshot}, number, r.Snapshot > 0)
}

// Revision returns one revision.
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

// Revisions returns the existing revisions from first to last, by number.
func (h *Historian) Revisions(ctx context.Context, first, last uint64) ([]Revision, error) {
	return readNumbered(ctx, h.table, first, last, RevisionKey, decodeRevision)
}

// Publishes returns the audit rows of the publishes from first to last.
func (h *Historian) Publishes(ctx context.Context, first, last uint64) ([]Action, error) {
	return readNumbered(ctx, h.table, first, last, PublishKey, decodeAction)
}

// Acts returns the audit rows of acts by hand on one day in UTC, by time.
func (h *Historian) Acts(ctx context.Context, day time.Time) ([]Action, error) {
	rows, err := h.table.Scan(ctx, tabler.Audit, actPrefix(day))
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

func readNumbered[T any](ctx context.Context, table tabler.Table, first, last uint64,
	key func(uint64) tabler.Key, decode func(tabler.Row) (T, error),
) ([]T, error) {
	var found []T
	for first <= last {
		end := min(last, first+historyBatch-1)
		rows, err := readMap(ctx, table, keysBetween(nil, first, end, key))
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

func keysBetween(keys []tabler.Key, first, last uint64, key func(uint64) tabler.Key) []tabler.Key {
	for number := first; number <= last; number++ {
		keys = append(keys, key(number))
	}
	return keys
}

func readMap(ctx context.Context, table tabler.Table, keys []tabler.Key) (map[tabler.Key]tabler.Row, error) {
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

// replay applies the revisions after c up to last. With snapshot it first takes
// the rows of c from the snapshot at its revision.
func (h *Historian) replay(ctx context.Context, c Configuration, last uint64, snapshot bool) (Configuration, error) {
	first := c.Revision + 1
	var keys []tabler.Key
	if snapshot {
		keys = append(keys, SnapshotKey(c.Revision))
	}
	if last == c.Revision {
		// Without a later one, the snapshot's own revision row gives the digest.
		first = last
	}
	rows, err := readMap(ctx, h.table, keysBetween(keys, first, last, RevisionKey))
	if err != nil {
		return Configuration{}, err
	}
	if snapshot {
		if c, err = readSnapshot(rows, c.Revision); err != nil {
			return Configuration{}, err
		}
	}
	var newest Revision
	for number := first; number <= last; number++ {
		if newest, err = readRevision(rows, number); err != nil {
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

func readSnapshot(rows map[tabler.Key]tabler.Row, number uint64) (Configuration, error) {
	row, ok := rows[SnapshotKey(number)]
	if !ok {
		return Configuration{}, fault.New(fault.Internal, damagedRemedy, "the snapshot of revision %d is missing", number)
	}
	return decodeSnapshot(row, number)
}

func readRevision(rows map[tabler.Key]tabler.Row, number uint64) (Revision, error) {
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
