package claimer

import (
	"fmt"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/tabler"
)

const (
	// bucketSpan is the length of a time bucket. Index rows whose deadlines are
	// in the same bucket have the same name prefix.
	bucketSpan = 10 * time.Second
	// bucketLayout formats the start of a bucket, in UTC, for the row name.
	bucketLayout = "2006-01-02T15:04:05"
	// bucketSeparator follows the bucket in the row name.
	bucketSeparator = "/"
)

// bucketOf returns the start of the bucket that contains a deadline.
func bucketOf(deadline time.Time) time.Time { return deadline.UTC().Truncate(bucketSpan) }

// bucketPrefix returns the name prefix of a bucket's index rows.
func bucketPrefix(bucket time.Time) string { return bucket.Format(bucketLayout) + bucketSeparator }

// indexWrite returns the write of a transaction's index row: it lists the jobs
// of the claims, and its name begins with the bucket of the latest deadline.
// The suffix is random, so that two transactions don't share a row.
func indexWrite(claims []*pendingClaim, latest time.Time, suffix uint64) tabler.Write {
	jobs := make([]byte, 0, len(claims)*len(task.JobID{}))
	for _, p := range claims {
		jobs = append(jobs, p.claim.Job[:]...)
	}
	row := fmt.Sprintf("%s%016x", bucketPrefix(bucketOf(latest)), suffix)
	return tabler.Write{
		Key:           tabler.Key{Table: tabler.ClaimIndex, Row: row},
		Unconditional: true,
		Value:         jobs,
	}
}

// decodeIndexRow returns the jobs that an index row lists.
func decodeIndexRow(row tabler.Row) ([]task.JobID, error) {
	const size = len(task.JobID{})
	if len(row.Value)%size != 0 {
		return nil, fault.New(fault.Invalid, rowRemedy, "index row %q is malformed", row.Key.Row)
	}
	jobs := make([]task.JobID, 0, len(row.Value)/size)
	for rest := row.Value; len(rest) > 0; rest = rest[size:] {
		jobs = append(jobs, task.JobID(rest[:size]))
	}
	return jobs, nil
}
