package claimer

import (
	"fmt"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/tabler"
)

const (
	// bucketSpan is the range of deadlines that share a prefix of the index.
	bucketSpan = 10 * time.Second
	// bucketLayout names a bucket by its start, in UTC.
	bucketLayout = "2006-01-02T15:04:05"
	// bucketEnd ends the prefix of a bucket's rows.
	bucketEnd = "/"
)

// bucketOf returns the start of the bucket that a deadline falls into.
func bucketOf(deadline time.Time) time.Time { return deadline.UTC().Truncate(bucketSpan) }

func bucketPrefix(bucket time.Time) string { return bucket.Format(bucketLayout) + bucketEnd }

// indexWrite returns the index row of one transaction: the jobs of its claims
// under the bucket of the latest deadline. The name is random, so that two
// transactions never share a row.
func indexWrite(claims []*pending, latest time.Time, name uint64) tabler.Write {
	jobs := make([]byte, 0, len(claims)*len(task.JobID{}))
	for _, p := range claims {
		jobs = append(jobs, p.claim.Job[:]...)
	}
	row := fmt.Sprintf("%s%016x", bucketPrefix(bucketOf(latest)), name)
	return tabler.Write{
		Key:   tabler.Key{Table: tabler.ClaimIndex, Row: row},
		Any:   true,
		Value: jobs,
	}
}

// jobsOf returns the jobs that an index row names.
func jobsOf(row tabler.Row) ([]task.JobID, error) {
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
