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
	// Retention is the time for which a claim is kept after its deadline.
	Retention = 24 * time.Hour
	// maxBucketsPerSweep bounds the work of one call of Sweep.
	maxBucketsPerSweep = 64
	// sweepLeaseDuration is the duration of the lease that keeps other entries
	// from sweeping at the same time. It isn't renewed during a sweep.
	sweepLeaseDuration = time.Minute
	// sweepStateSize is the size of a stored sweepState: two timestamps in
	// nanoseconds.
	sweepStateSize = 16
)

// sweepStateKey is the key of the row that holds the sweepState. Its name sorts
// after those of all buckets.
var sweepStateKey = tabler.Key{Table: tabler.ClaimIndex, Row: "swept"}

// sweepState is the progress of sweeping and its lease. It is stored in the
// table and shared by all entries.
type sweepState struct {
	// nextBucket is the start of the first bucket that hasn't been swept.
	nextBucket time.Time
	// leaseExpiry is the time until which only the lease holder may sweep.
	leaseExpiry time.Time
	// version is the version of the stored row; 0 if there is none.
	version tabler.Version
}

// SweepResult is the result of a call of Sweep.
type SweepResult struct {
	// Buckets counts the index buckets that were swept.
	Buckets int
	// Deleted counts the claim rows that were deleted.
	Deleted int
	// Kept counts the claim rows that were not deleted, because a takeover moved
	// their deadline or because they can't be decoded.
	Kept int
	// Done is false if there are more old claims for the next call to delete, or
	// if there was nothing to do or another entry holds the lease.
	Done bool
}

// Sweep deletes claims whose deadline is more than Retention before now, with
// one transaction per index row. Any entry may call it at any time; a lease in
// the table ensures that only one of them sweeps at a time.
func Sweep(ctx context.Context, table tabler.Table, now time.Time) (SweepResult, error) {
	var swept SweepResult
	state, err := acquireLease(ctx, table, now)
	if err != nil || state == nil {
		return swept, err
	}
	for state.nextBucket.Add(bucketSpan + Retention).Before(now) {
		if swept.Buckets == maxBucketsPerSweep {
			return swept, state.release(ctx, table)
		}
		if err := sweepBucket(ctx, table, state.nextBucket, now, &swept); err != nil {
			return swept, err
		}
		state.nextBucket = state.nextBucket.Add(bucketSpan)
		swept.Buckets++
	}
	swept.Done = true
	return swept, state.release(ctx, table)
}

// acquireLease acquires the lease and returns the state. It returns nil if
// another sweeper holds the lease or no bucket is due.
func acquireLease(ctx context.Context, table tabler.Table, now time.Time) (*sweepState, error) {
	rows, err := table.Read(ctx, []tabler.Key{sweepStateKey})
	if err != nil {
		return nil, err
	}
	state := &sweepState{nextBucket: bucketOf(now.Add(-Retention - bucketSpan))}
	if len(rows) > 0 {
		if state, err = decodeSweepState(rows[0]); err != nil {
			return nil, err
		}
		if now.Before(state.leaseExpiry) || !state.nextBucket.Add(bucketSpan+Retention).Before(now) {
			return nil, nil
		}
	}
	state.leaseExpiry = now.Add(sweepLeaseDuration)
	result, err := table.Commit(ctx, []tabler.Write{state.write()})
	if err != nil || !result.Applied {
		return nil, err
	}
	state.version++
	return state, nil
}

// release stores the progress and releases the lease. If that fails, or
// conflicts with a sweeper that acquired the expired lease, the only
// consequence is that buckets are swept again.
func (s *sweepState) release(ctx context.Context, table tabler.Table) error {
	s.leaseExpiry = time.Unix(0, 0)
	_, err := table.Commit(ctx, []tabler.Write{s.write()})
	return err
}

// write returns the write that stores the state.
func (s *sweepState) write() tabler.Write {
	value := binary.BigEndian.AppendUint64(nil, uint64(s.nextBucket.UnixNano()))
	value = binary.BigEndian.AppendUint64(value, uint64(s.leaseExpiry.UnixNano()))
	return tabler.Write{Key: sweepStateKey, Expect: s.version, Value: value}
}

// decodeSweepState is the inverse of sweepState.write.
func decodeSweepState(row tabler.Row) (*sweepState, error) {
	if len(row.Value) != sweepStateSize {
		return nil, fault.New(fault.Invalid, rowRemedy, "the state of the claim sweep is malformed")
	}
	return &sweepState{
		nextBucket:  time.Unix(0, int64(binary.BigEndian.Uint64(row.Value))).UTC(),
		leaseExpiry: time.Unix(0, int64(binary.BigEndian.Uint64(row.Value[8:]))).UTC(),
		version:     row.Version,
	}, nil
}

// sweepBucket sweeps all index rows of a bucket.
func sweepBucket(ctx context.Context, table tabler.Table, bucket, now time.Time, swept *SweepResult) error {
	index, err := table.Scan(ctx, tabler.ClaimIndex, bucketPrefix(bucket))
	if err != nil {
		return err
	}
	for _, row := range index {
		if err := sweepIndexRow(ctx, table, row, now, swept); err != nil {
			return err
		}
	}
	return nil
}

// sweepIndexRow deletes the old claims that an index row lists, and the index
// row itself.
func sweepIndexRow(ctx context.Context, table tabler.Table, index tabler.Row, now time.Time, swept *SweepResult) error {
	jobs, err := decodeIndexRow(index)
	if err != nil {
		return err
	}
	rows, err := table.Read(ctx, claimKeys(jobs))
	if err != nil {
		return err
	}
	writes := expiredDeletes(rows, now)
	kept := len(rows) - len(writes)
	writes = append(writes, tabler.Write{Key: index.Key, Unconditional: true, Delete: true})
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

// expiredDeletes returns the deletion of each claim row that is past Retention.
// A claim with a later deadline was taken over, and is listed in a later index
// row, too.
func expiredDeletes(rows []tabler.Row, now time.Time) []tabler.Write {
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

// claimKeys returns the keys of the claim rows of jobs.
func claimKeys(jobs []task.JobID) []tabler.Key {
	keys := make([]tabler.Key, 0, len(jobs))
	for _, j := range jobs {
		keys = append(keys, KeyOf(j))
	}
	return keys
}
