package claimer

import (
	"time"

	"agatevalve/dispatcher"
	"agatevalve/tabler"
)

// CommitDone handles the reply to a commit that Next returned.
func (c *Core) CommitDone(batch *Batch, result tabler.Result, err error, now time.Time) []dispatcher.Event {
	c.removeInFlight(batch)
	for _, p := range batch.claims {
		p.committing = false
		p.maybeStored = p.maybeStored || (err != nil && !provesNotApplied(err))
	}
	events := c.Expire(now)
	if err != nil {
		return append(events, c.handleCommitError(batch, err, now)...)
	}
	c.recordSuccess()
	c.pacer.recordAnswer(batch.sentAt, now)
	if result.Applied {
		return append(events, c.handleApplied(batch)...)
	}
	c.pacer.endCooldown() // A few conflicts kept the rest of the batch from being stored.
	return append(events, c.handleConflicts(batch, result.Conflicts)...)
}

// ReadDone handles the reply to a read that Next returned.
func (c *Core) ReadDone(batch *Batch, rows []tabler.Row, err error, now time.Time) []dispatcher.Event {
	c.removeInFlight(batch)
	events := c.Expire(now)
	live := liveClaims(batch.claims)
	if err != nil {
		c.recordFailure(now)
		c.readQueue = prepend(c.readQueue, live)
		return events
	}
	c.recordSuccess()
	found := rowsByKey(rows)
	var writable []*pendingClaim
	for _, p := range live {
		event := c.resolve(p, found[p.key])
		if event == nil {
			writable = append(writable, p)
			continue
		}
		events = append(events, event)
	}
	c.commitQueue = prepend(c.commitQueue, writable)
	return events
}

// handleCommitError backs off and queues the claims for a retry. After a
// permanent error it halves the size of transactions instead, so that a claim
// that the store rejects is eventually sent alone and fails.
func (c *Core) handleCommitError(batch *Batch, err error, now time.Time) []dispatcher.Event {
	live := liveClaims(batch.claims)
	if !isPermanent(err) {
		c.recordFailure(now)
		c.requeue(live, err)
		return nil
	}
	c.recordSuccess()
	if len(batch.claims) == 1 {
		return c.endAllFailed(live, "the store refused the claim: "+err.Error())
	}
	c.maxRows = len(batch.claims) / 2
	c.commitQueue = prepend(c.commitQueue, live)
	return nil
}

// requeue queues claims for another commit, or for a read if the failed commit
// may have been applied.
func (c *Core) requeue(claims []*pendingClaim, err error) {
	if provesNotApplied(err) {
		c.commitQueue = prepend(c.commitQueue, claims)
		return
	}
	c.readQueue = prepend(c.readQueue, claims)
}

// handleApplied ends the claims of an applied commit and doubles the size of
// transactions again, up to the limit.
func (c *Core) handleApplied(batch *Batch) []dispatcher.Event {
	c.maxRows = min(2*c.maxRows, c.limits.TransactionRows)
	var events []dispatcher.Event
	for _, p := range liveClaims(batch.claims) {
		events = append(events, c.endWon(p))
	}
	return events
}

// handleConflicts resolves the claims in conflict and queues the rest for
// another commit.
func (c *Core) handleConflicts(batch *Batch, conflicts []tabler.Row) []dispatcher.Event {
	found := rowsByKey(conflicts)
	var events []dispatcher.Event
	var rest []*pendingClaim
	for _, p := range liveClaims(batch.claims) {
		row, conflicted := found[p.key]
		if !conflicted {
			rest = append(rest, p)
			continue
		}
		event := c.resolve(p, row)
		if event == nil {
			rest = append(rest, p)
			continue
		}
		events = append(events, event)
	}
	c.commitQueue = prepend(c.commitQueue, rest)
	return events
}

// resolve compares a claim with its stored row, whose version is 0 if it is
// absent, and ends the claim if that decides its outcome. It returns nil if the
// claim can be committed over the row.
func (c *Core) resolve(p *pendingClaim, row tabler.Row) dispatcher.Event {
	if row.Version == 0 {
		if p.replaces != nil {
			return c.endFailed(p, "the claim to take over has gone")
		}
		p.expectVersion = 0
		return nil
	}
	stored, err := DecodeRow(row)
	if err != nil {
		p.maybeStored = false // Not the row of this claim, since any entry can decode that one.
		return c.endFailed(p, "the stored claim can't be read: "+err.Error())
	}
	if stored.Token == p.claim.Token && stored.Owner == p.claim.Owner {
		return c.endWon(p)
	}
	if p.replaces != nil && stored.Token == p.replaces.Token && stored.Owner == p.replaces.Owner {
		p.expectVersion = row.Version
		return nil
	}
	return c.endHeld(p, stored)
}

// endAllFailed ends claims that could not be stored, all for the same reason.
func (c *Core) endAllFailed(claims []*pendingClaim, reason string) []dispatcher.Event {
	var events []dispatcher.Event
	for _, p := range claims {
		events = append(events, c.endFailed(p, reason))
	}
	return events
}

// liveClaims returns the claims that haven't ended.
func liveClaims(claims []*pendingClaim) []*pendingClaim {
	var live []*pendingClaim
	for _, p := range claims {
		if !p.ended {
			live = append(live, p)
		}
	}
	return live
}

// rowsByKey indexes rows by their keys.
func rowsByKey(rows []tabler.Row) map[tabler.Key]tabler.Row {
	found := make(map[tabler.Key]tabler.Row, len(rows))
	for _, r := range rows {
		found[r.Key] = r
	}
	return found
}
