package claimer

import (
	"time"

	"agatevalve/dispatcher"
	"agatevalve/tabler"
)

// CommitDone takes the reply to a commit that Next returned.
func (c *Core) CommitDone(batch *Batch, result tabler.Result, err error, now time.Time) []dispatcher.Event {
	c.landed(batch)
	for _, p := range batch.claims {
		p.sent = false
		p.doubtful = p.doubtful || (err != nil && !provedUnwritten(err))
	}
	events := c.Expire(now)
	if err != nil {
		return append(events, c.commitFailed(batch, err, now)...)
	}
	c.succeeded()
	c.pacer.answered(batch.sent, now)
	if result.Applied {
		return append(events, c.commitApplied(batch)...)
	}
	c.pacer.hurry() // Most of the batch lost its turn to a few conflicts.
	return append(events, c.commitConflicted(batch, result.Conflicts)...)
}

// ReadDone takes the reply to a read that Next returned.
func (c *Core) ReadDone(batch *Batch, rows []tabler.Row, err error, now time.Time) []dispatcher.Event {
	c.landed(batch)
	events := c.Expire(now)
	live := liveOf(batch.claims)
	if err != nil {
		c.failed(now)
		c.reads = again(c.reads, live)
		return events
	}
	c.succeeded()
	found := byKey(rows)
	var writable []*pending
	for _, p := range live {
		event := c.settle(p, found[p.key])
		if event == nil {
			writable = append(writable, p)
			continue
		}
		events = append(events, event)
	}
	c.commits = again(c.commits, writable)
	return events
}

func (c *Core) commitFailed(batch *Batch, err error, now time.Time) []dispatcher.Event {
	live := liveOf(batch.claims)
	if !refusedForGood(err) {
		c.failed(now)
		c.retry(live, err)
		return nil
	}
	c.succeeded()
	if len(batch.claims) == 1 {
		return c.failAll(live, "the store refused the claim: "+err.Error())
	}
	c.rows = len(batch.claims) / 2
	c.commits = again(c.commits, live)
	return nil
}

// retry queues claims for a write, or for a read when a write may have taken
// effect.
func (c *Core) retry(claims []*pending, err error) {
	if provedUnwritten(err) {
		c.commits = again(c.commits, claims)
		return
	}
	c.reads = again(c.reads, claims)
}

func (c *Core) commitApplied(batch *Batch) []dispatcher.Event {
	c.rows = min(2*c.rows, c.limits.Rows)
	var events []dispatcher.Event
	for _, p := range liveOf(batch.claims) {
		events = append(events, c.win(p))
	}
	return events
}

// commitConflicted settles the claims in conflict and commits the rest again.
func (c *Core) commitConflicted(batch *Batch, conflicts []tabler.Row) []dispatcher.Event {
	found := byKey(conflicts)
	var events []dispatcher.Event
	var rest []*pending
	for _, p := range liveOf(batch.claims) {
		row, conflicted := found[p.key]
		if !conflicted {
			rest = append(rest, p)
			continue
		}
		event := c.settle(p, row)
		if event == nil {
			rest = append(rest, p)
			continue
		}
		events = append(events, event)
	}
	c.commits = again(c.commits, rest)
	return events
}

// settle compares a claim with its stored row, whose version is 0 when absent.
// It returns nil when the claim may be written over the row.
func (c *Core) settle(p *pending, row tabler.Row) dispatcher.Event {
	if row.Version == 0 {
		if p.old != nil {
			return c.fail(p, "the claim to take over has gone")
		}
		p.expect = 0
		return nil
	}
	stored, err := DecodeRow(row)
	if err != nil {
		p.doubtful = false // The row isn't ours, which any entry can read.
		return c.fail(p, "the stored claim can't be read: "+err.Error())
	}
	if stored.Token == p.claim.Token && stored.Owner == p.claim.Owner {
		return c.win(p)
	}
	if p.old != nil && stored.Token == p.old.Token && stored.Owner == p.old.Owner {
		p.expect = row.Version
		return nil
	}
	return c.lose(p, stored)
}

func (c *Core) failAll(claims []*pending, reason string) []dispatcher.Event {
	var events []dispatcher.Event
	for _, p := range claims {
		events = append(events, c.fail(p, reason))
	}
	return events
}

func liveOf(claims []*pending) []*pending {
	var live []*pending
	for _, p := range claims {
		if !p.ended {
			live = append(live, p)
		}
	}
	return live
}

func byKey(rows []tabler.Row) map[tabler.Key]tabler.Row {
	found := make(map[tabler.Key]tabler.Row, len(rows))
	for _, r := range rows {
		found[r.Key] = r
	}
	return found
}
