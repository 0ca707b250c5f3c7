package claimer_test

import (
	"fmt"
	"time"

	"agatevalve/claimer"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/tabler"
)

// oracle is a table that remembers which claims it stored, and the events
// that entries were given.
type oracle struct {
	rows map[tabler.Key]tabler.Row
	// blind plants a fault: the table ignores the expected versions.
	blind bool
	// replaces has the token that each takeover may replace.
	replaces map[uint64]uint64
	// stored counts the writes of each token.
	stored map[uint64]int
	// asked has the claims without an event, by token.
	asked map[uint64]dispatcher.Claim
	// winners has the winning token of each generation.
	winners    map[generation]uint64
	violations []string
}

type generation struct {
	job    task.JobID
	number task.Generation
}

func newOracle() *oracle {
	return &oracle{
		rows:     map[tabler.Key]tabler.Row{},
		replaces: map[uint64]uint64{},
		stored:   map[uint64]int{},
		asked:    map[uint64]dispatcher.Claim{},
		winners:  map[generation]uint64{},
	}
}

// commit applies all writes or none.
func (o *oracle) commit(writes []tabler.Write) tabler.Result {
	var conflicts []tabler.Row
	for _, w := range writes {
		row := o.rows[w.Key]
		if !w.Any && !o.blind && row.Version != w.Expect {
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
			o.record(before, row)
		}
	}
	return tabler.Result{Applied: true}
}

func (o *oracle) record(before, row tabler.Row) {
	claim, err := claimer.DecodeRow(row)
	if err != nil {
		o.violate("unreadable row: %v", err)
		return
	}
	o.stored[claim.Token]++
	if o.stored[claim.Token] > 1 {
		o.violate("token %d was stored twice", claim.Token)
	}
	if before.Version == 0 || o.blind {
		return
	}
	replaced, err := claimer.DecodeRow(before)
	if err != nil || o.replaces[claim.Token] != replaced.Token {
		o.violate("token %d replaced %d, which it wasn't meant to", claim.Token, replaced.Token)
	}
}

func (o *oracle) read(keys []tabler.Key) []tabler.Row {
	var rows []tabler.Row
	for _, k := range keys {
		if row, ok := o.rows[k]; ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// ask records a command, which replaces the entry's earlier one for the job.
func (o *oracle) ask(claim dispatcher.Claim) {
	if older, ok := o.waiting(claim.Owner, claim.Job); ok {
		delete(o.asked, older.Token)
	}
	o.asked[claim.Token] = claim
}

func (o *oracle) waiting(owner task.Process, job task.JobID) (dispatcher.Claim, bool) {
	for _, claim := range o.asked {
		if claim.Owner == owner && claim.Job == job {
			return claim, true
		}
	}
	return dispatcher.Claim{}, false
}

// see checks an event that an entry was given.
func (o *oracle) see(owner task.Process, event dispatcher.Event, now time.Time) {
	switch e := event.(type) {
	case dispatcher.ClaimWon:
		o.seeWon(owner, e.Claim, now)
	case dispatcher.ClaimHeld:
		if o.stored[e.Claim.Token] == 0 {
			o.violate("held by token %d, which was never stored", e.Claim.Token)
		}
		claim := o.answered(owner, e.Claim.Job)
		if claim.Token == e.Claim.Token {
			o.violate("token %d is held by itself", claim.Token)
		}
	case dispatcher.ClaimFailed:
		o.answered(owner, e.Job)
	}
}

func (o *oracle) seeWon(owner task.Process, claim dispatcher.Claim, now time.Time) {
	asked := o.answered(owner, claim.Job)
	if asked.Token != claim.Token {
		o.violate("token %d won, but %d was asked", claim.Token, asked.Token)
	}
	if o.stored[claim.Token] == 0 {
		o.violate("token %d won without a row", claim.Token)
	}
	if !now.Before(claim.Deadline) {
		o.violate("token %d won after its deadline", claim.Token)
	}
	g := generation{claim.Job, claim.Generation}
	if other, ok := o.winners[g]; ok {
		o.violate("tokens %d and %d won the same generation", other, claim.Token)
	}
	o.winners[g] = claim.Token
}

func (o *oracle) answered(owner task.Process, job task.JobID) dispatcher.Claim {
	claim, ok := o.waiting(owner, job)
	if !ok {
		o.violate("an event for %s, which nobody asked for", job)
	}
	delete(o.asked, claim.Token)
	return claim
}

func (o *oracle) violate(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}
