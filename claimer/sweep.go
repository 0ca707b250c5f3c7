package claimer

import (
	"context"
	"encoding/binary"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/tabler"
)

const (
	// Retention is how long a claim outlives its deadline.
	Retention = 24 * time.Hour
	// maxBucketsPerSweep bounds the work of one Sweep.
	maxBucketsPerSweep = 64
	// sweepLease is how long one sweeper keeps others away without a renewal.
	sweepLease = time.Minute
	// markSize is two times in nanoseconds.
	markSize = 16
)

// markKey is the row that says how far the index was swept. Its name sorts
// after all buckets.
var markKey = tabler.Key{Table: tabler.ClaimIndex, Row: "swept"}

// mark is the state of the sweep, shared by all entries.
type mark struct {
	// next is the first bucket that wasn't swept.
	next time.Time
	// leased keeps other sweepers away until then.
	leased  time.Time
	version tabler.Version
}

// Swept tells what a Sweep did.
type Swept struct {
	Buckets int
	// Deleted counts the claim rows that were deleted.
	Deleted int
	// Kept counts the claim rows that are still needed, because a takeover
	// moved their deadline, or that can't be read.
	Kept int
	// Done is false when more old claims wait for the next call.
	Done bool
}

// Sweep deletes claims whose deadline lies more than Retention before now, a
// transaction for each index row. Entries may call it at any time; a lease in
// the table lets one of them work at once.
func Sweep(ctx context.Context, table tabler.Table, now time.Time) (Swept, error) {
	var swept Swept
	m, err := leaseMark(ctx, table, now)
	if err != nil || m == nil {
		return swept, err
	}
	for m.next.Add(bucketSpan + Retention).Before(now) {
		if swept.Buckets == maxBucketsPerSweep {
			return swept, m.release(ctx, table)
		}
		if err := sweepBucket(ctx, table, m.next, now, &swept); err != nil {
			return swept, err
		}
		m.next = m.next.Add(bucketSpan)
		swept.Buckets++
	}
	swept.Done = true
	return swept, m.release(ctx, table)
}

// leaseMark takes the lease, or returns nil when another sweeper has it or
// nothing is due.
func leaseMark(ctx context.Context, table tabler.Table, now time.Time) (*mark, error) {
	rows, err := table.Read(ctx, []tabler.Key{markKey})
	if err != nil {
		return nil, err
	}
	m := &mark{next: bucketOf(now.Add(-Retention - bucketSpan))}
	if len(rows) > 0 {
		if m, err = decodeMark(rows[0]); err != nil {
			return nil, err
		}
		if now.Before(m.leased) || !m.next.Add(bucketSpan+Retention).Before(now) {
			return nil, nil
		}
	}
	m.leased = now.Add(sweepLease)
	result, err := table.Commit(ctx, []tabler.Write{m.write()})
	if err != nil || !result.Applied {
		return nil, err
	}
	m.version++
	return m, nil
}

// release stores how far the sweep came. Losing it, or the race with a sweeper
// that took over a lapsed lease, only repeats work.
func (m *mark) release(ctx context.Context, table tabler.Table) error {
	m.leased = time.Unix(0, 0)
	_, err := table.Commit(ctx, []tabler.Write{m.write()})
	return err
}

func (m *mark) write() tabler.Write {
	value := binary.BigEndian.AppendUint64(nil, uint64(m.next.UnixNano()))
	value = binary.BigEndian.AppendUint64(value, uint64(m.leased.UnixNano()))
	return tabler.Write{Key: markKey, Expect: m.version, Value: value}
}

func decodeMark(row tabler.Row) (*mark, error) {
	if len(row.Value) != markSize {
		return nil, fault.New(fault.Invalid, rowRemedy, "the mark of the claim sweep is malformed")
	}
	return &mark{
		next:    time.Unix(0, int64(binary.BigEndian.Uint64(row.Value))).UTC(),
		leased:  time.Unix(0, int64(binary.BigEndian.Uint64(row.Value[8:]))).UTC(),
		version: row.Version,
	}, nil
}

func sweepBucket(ctx context.Context, table tabler.Table, bucket, now time.Time, swept *Swept) error {
	index, err := table.Scan(ctx, tabler.ClaimIndex, bucketPrefix(bucket))
	if err != nil {
		return err
	}
	for _, row := range index {
		if err := sweepTransaction(ctx, table, row, now, swept); err != nil {
			return err
		}
	}
	return nil
}

// sweepTransaction deletes the old claims of one index row, and the row.
func sweepTransaction(ctx context.Context, table tabler.Table, index tabler.Row, now time.Time, swept *Swept) error {
	jobs, err := jobsOf(index)
	if err != nil {
		return err
	}
	rows, err := table.Read(ctx, keysOf(jobs))
	if err != nil {
		return err
	}
	writes := deletesOf(rows, now)
	kept := len(rows) - len(writes)
	writes = append(writes, tabler.Write{Key: index.Key, Any: true, Delete: true})
	result, err := table.Commit(ctx, writes)
	if err != nil {
		return err
	}
	if !result.Applied {
		return fault.New(fault.Conflict, "sweep again", "claims changed during the sweep")
	}
	swept.Deleted += len(writes) - 1
	swept.Kept += kept
	return nil
}

// deletesOf returns the deletion of each claim row that is old enough. A row
// with a later deadline was taken over and stands in a later index row, too.
func deletesOf(rows []tabler.Row, now time.Time) []tabler.Write {
	var writes []tabler.Write
	for _, r := range rows {
		claim, err := DecodeRow(r)
		if err != nil || !claim.Deadline.Add(Retention).Before(now) {
			continue
		}
		writes = append(writes, tabler.Write{Key: r.Key, Expect: r.Version, Delete: true})
	}
	return writes
}

func keysOf(jobs []task.JobID) []tabler.Key {
	keys := make([]tabler.Key, 0, len(jobs))
	for _, j := range jobs {
		keys = append(keys, KeyOf(j))
	}
	return keys
}
