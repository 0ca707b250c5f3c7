package claimer_test

import (
	"fmt"
	"time"

	"agatevalve/claimer"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/tabler"
)

// oracle is a table that also checks the claims stored in it and the events
// returned to entries.
type oracle struct {
	rows map[tabler.Key]tabler.Row
	// ignoreVersions makes the table faulty, in order to test the oracle: it
	// ignores the expected versions.
	ignoreVersions bool
	// replaces maps the token of each takeover to the token that it may replace.
	replaces map[uint64]uint64
	// writeCounts counts the applied writes of each token.
	writeCounts map[uint64]int
	// outstanding holds the claims without an event, by token.
	outstanding map[uint64]dispatcher.Claim
	// winners holds the winning token of each generation.
	winners map[generation]uint64
	// violations describes the errors that were found.
	violations []string
}

// generation identifies a generation of the claims of one job. It has at most
// one winner.
type generation struct {
	job    task.JobID
	number task.Generation
}

func newOracle() *oracle {
	return &oracle{
		rows:        map[tabler.Key]tabler.Row{},
		replaces:    map[uint64]uint64{},
		writeCounts: map[uint64]int{},
		outstanding: map[uint64]dispatcher.Claim{},
		winners:     map[generation]uint64{},
	}
}

// commit applies all writes or none, and checks the claims among them.
func (o *oracle) commit(writes []tabler.Write) tabler.Result {
	var conflicts []tabler.Row
	for _, w := range writes {
		row := o.rows[w.Key]
		if !w.Unconditional && !o.ignoreVersions && row.Version != w.Expect {
			row.Key = w.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return tabler.Result{Conflicts: conflicts}
	}
	for _, w := range writes {
		before := o.rows[w.Key]
		row := tabler.Row{Key: w.Key, Version: before.Version + 1, Value: w.Value}
		o.rows[w.Key] = row
		if w.Key.Table == tabler.Claims {
			o.checkWrite(before, row)
		}
	}
	return tabler.Result{Applied: true}
}

// checkWrite checks that a claim is stored only once, and that it replaces no
// other claim than the one it was meant to take over.
func (o *oracle) checkWrite(before, row tabler.Row) {
	claim, err := claimer.DecodeRow(row)
	if err != nil {
		o.addViolation("unreadable row: %v", err)
		return
	}
	o.writeCounts[claim.Token]++
	if o.writeCounts[claim.Token] > 1 {
		o.addViolation("token %d was stored more than once", claim.Token)
	}
	if before.Version == 0 || o.ignoreVersions {
		return
	}
	replaced, err := claimer.DecodeRow(before)
	if err != nil || o.replaces[claim.Token] != replaced.Token {
		o.addViolation("token %d replaced %d, which it wasn't meant to take over", claim.Token, replaced.Token)
	}
}

// read returns the existing rows among keys.
func (o *oracle) read(keys []tabler.Key) []tabler.Row {
	var rows []tabler.Row
	for _, k := range keys {
		if row, ok := o.rows[k]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// recordCommand records the claim of a command as outstanding. It supersedes an
// outstanding claim of the same entry for the job.
func (o *oracle) recordCommand(claim dispatcher.Claim) {
	if older, ok := o.outstandingClaim(claim.Owner, claim.Job); ok {
		delete(o.outstanding, older.Token)
	}
	o.outstanding[claim.Token] = claim
}

// outstandingClaim returns an entry's outstanding claim for a job, if any.
func (o *oracle) outstandingClaim(owner task.Process, job task.JobID) (dispatcher.Claim, bool) {
	for _, claim := range o.outstanding {
		if claim.Owner == owner && claim.Job == job {
			return claim, true
		}
	}
	return dispatcher.Claim{}, false
}

// checkEvent checks an event that an entry's core returned.
func (o *oracle) checkEvent(owner task.Process, event dispatcher.Event, now time.Time) {
	switch e := event.(type) {
	case dispatcher.ClaimWon:
		o.checkWon(owner, e.Claim, now)
	case dispatcher.ClaimHeld:
		if o.writeCounts[e.Claim.Token] == 0 {
			o.addViolation("held by token %d, which was never stored", e.Claim.Token)
		}
		claim := o.takeOutstanding(owner, e.Claim.Job)
		if claim.Token == e.Claim.Token {
			o.addViolation("token %d is held by itself", claim.Token)
		}
	case dispatcher.ClaimFailed:
		o.takeOutstanding(owner, e.Job)
	}
}

// checkWon checks that the winner is the outstanding claim, is stored, is before
// its deadline, and is the only winner of its generation.
func (o *oracle) checkWon(owner task.Process, claim dispatcher.Claim, now time.Time) {
	requested := o.takeOutstanding(owner, claim.Job)
	if requested.Token != claim.Token {
		o.addViolation("token %d won, but %d was requested", claim.Token, requested.Token)
	}
	if o.writeCounts[claim.Token] == 0 {
		o.addViolation("token %d won without a row", claim.Token)
	}
	if !now.Before(claim.Deadline) {
		o.addViolation("token %d won after its deadline", claim.Token)
	}
	g := generation{claim.Job, claim.Generation}
	if other, ok := o.winners[g]; ok {
		o.addViolation("tokens %d and %d won the same generation", other, claim.Token)
	}
	o.winners[g] = claim.Token
}

// takeOutstanding removes and returns the claim that an event ends. An event
// without an outstanding claim is a violation.
func (o *oracle) takeOutstanding(owner task.Process, job task.JobID) dispatcher.Claim {
	claim, ok := o.outstandingClaim(owner, job)
	if !ok {
		o.addViolation("an event for %s, for which no claim is outstanding", job)
	}
	delete(o.outstanding, claim.Token)
	return claim
}

func (o *oracle) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}
