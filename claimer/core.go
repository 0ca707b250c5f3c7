package claimer

import (
	"math/rand/v2"
	"slices"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/tabler"
)

// minCompactLength is the length up to which a queue is never compacted.
const minCompactLength = 64

// Limits bound the memory and the store traffic of a Core.
type Limits struct {
	// Pending bounds the number of pending claims.
	Pending int
	// PendingBytes bounds the total size of the rows of pending claims.
	PendingBytes int
	// TransactionRows and TransactionBytes bound the number and the total size of
	// the claims in one transaction. A larger claim is sent in one of its own.
	TransactionRows  int
	TransactionBytes int
	// FleetCommitsPerSecond bounds the transactions per second of all entries
	// together, so that the store has capacity left for other writers.
	FleetCommitsPerSecond int
	// InFlight bounds the calls in flight; all but the newest are overdue ones.
	InFlight int
	// MinBackoff and MaxBackoff bound the ceiling of the backoff after failures.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// DefaultLimits returns the limits of an entry.
func DefaultLimits() Limits {
	return Limits{
		Pending:               64 << 10,
		PendingBytes:          64 << 20,
		TransactionRows:       1024,
		TransactionBytes:      2 << 20,
		FleetCommitsPerSecond: 160,
		InFlight:              4,
		MinBackoff:            10 * time.Millisecond,
		MaxBackoff:            time.Second,
	}
}

// Batch is one call to the table service: a read of Keys if there are any, or
// else a commit of Writes.
type Batch struct {
	Keys   []tabler.Key
	Writes []tabler.Write
	// Deadline is the latest deadline of the batch's claims.
	Deadline time.Time
	// claims are the claims of the batch, in the order of Keys or Writes.
	claims []*pendingClaim
	// sentAt is the time at which Next returned the batch.
	sentAt time.Time
}

// Core decides which claims go into which transaction and determines their
// outcomes. It performs no I/O, reads no clock, and is not safe for concurrent
// use.
//
// Each claim ends with exactly one event, unless a later command for the same
// job supersedes it. ClaimWon is returned only before the claim's deadline. A
// claim that failed with an uncertain outcome, or was superseded, may still be
// in the store; a later claim for the job then gets it with ClaimHeld. Insert
// and Replace return an event only if they reject the claim.
type Core struct {
	limits Limits
	random *rand.Rand
	// pending holds the pending claim of each job; there is at most one.
	pending map[task.JobID]*pendingClaim
	// pendingBytes is the total size of the rows of the pending claims.
	pendingBytes int
	deadlines    deadlineHeap
	// readQueue holds the claims whose rows are to be read, commitQueue those to
	// be written. They may contain ended claims, which are skipped.
	readQueue   []*pendingClaim
	commitQueue []*pendingClaim
	// inFlight holds the batches returned by Next that are still in flight,
	// oldest first.
	inFlight []*Batch
	pacer    *pacer
	// maxRows is the current limit of claims per transaction, at most
	// limits.TransactionRows. It shrinks when the service rejects a transaction.
	maxRows int
	// consecutiveFailures counts the failed calls since the last success.
	consecutiveFailures int
	// backoffUntil is the end of the backoff; no call is sent before.
	backoffUntil time.Time
}

// pendingClaim is a claim whose outcome isn't known yet.
type pendingClaim struct {
	claim dispatcher.Claim
	// replaces is the claim to replace; nil for an insert.
	replaces *dispatcher.Claim
	key      tabler.Key
	value    []byte
	// expectVersion is the version that the stored row must have.
	expectVersion tabler.Version
	// maybeStored is true if a commit without a reply may have been applied.
	maybeStored bool
	// committing is true while a commit of the claim is in flight.
	committing bool
	// ended is true once the claim has its event or was superseded.
	ended bool
	// heapIndex is the claim's index in Core.deadlines.
	heapIndex int
}

// NewCore returns a Core without pending claims.
func NewCore(limits Limits, random *rand.Rand) *Core {
	return &Core{
		limits:  limits,
		random:  random,
		pending: map[task.JobID]*pendingClaim{},
		maxRows: limits.TransactionRows,
		pacer:   newPacer(limits.FleetCommitsPerSecond, random),
	}
}

// Insert adds a claim for a job that must not have one yet.
func (c *Core) Insert(command dispatcher.WriteClaim, now time.Time) []dispatcher.Event {
	return c.add(&pendingClaim{claim: command.Claim}, now)
}

// Replace adds a claim that replaces another one.
func (c *Core) Replace(command dispatcher.ReplaceClaim, now time.Time) []dispatcher.Event {
	return c.add(&pendingClaim{claim: command.Claim, replaces: &command.Old}, now)
}

// SetEntries sets the number of live entries that share Limits.FleetCommitsPerSecond.
// A number below one counts as one.
func (c *Core) SetEntries(entries int) { c.pacer.entries = max(1, entries) }

// Next returns the next call to make, or nil if none may be made now.
func (c *Core) Next(now time.Time) *Batch {
	if !c.canSend(now) || now.Before(c.backoffUntil) {
		return nil
	}
	batch := c.nextRead()
	if batch == nil && !now.Before(c.pacer.readyAt()) {
		if batch = c.nextCommit(); batch != nil {
			c.pacer.recordSent(now)
		}
	}
	if batch != nil {
		batch.sentAt = now
		c.inFlight = append(c.inFlight, batch)
	}
	return batch
}

// WakeTime returns the time at which Expire or Next will next have something to do
// if no reply or command comes first. It returns false if there is none.
func (c *Core) WakeTime() (time.Time, bool) {
	if len(c.deadlines) == 0 {
		return time.Time{}, false
	}
	wake := c.deadlines[0].claim.Deadline
	if next, ok := c.nextSendTime(); ok && next.Before(wake) {
		wake = next
	}
	return wake, true
}

// nextSendTime returns the time at which Next may return a call. It returns
// false if there is nothing to send or a reply has to come first.
func (c *Core) nextSendTime() (time.Time, bool) {
	if c.Queued() == 0 || len(c.inFlight) >= c.maxInFlight() {
		return time.Time{}, false
	}
	next := c.backoffUntil
	if len(c.readQueue) == 0 {
		next = later(next, c.pacer.readyAt())
	}
	if n := len(c.inFlight); n > 0 {
		next = later(next, c.inFlight[n-1].sentAt.Add(c.pacer.overdueAfter()))
	}
	return next, true
}

// Expire fails the claims whose deadline has passed.
func (c *Core) Expire(now time.Time) []dispatcher.Event {
	var events []dispatcher.Event
	for len(c.deadlines) > 0 && !now.Before(c.deadlines[0].claim.Deadline) {
		events = append(events, c.endFailed(c.deadlines[0], "the deadline passed before the claim was stored"))
	}
	return events
}

// Stop fails all pending claims.
func (c *Core) Stop() []dispatcher.Event {
	var events []dispatcher.Event
	for len(c.deadlines) > 0 {
		events = append(events, c.endFailed(c.deadlines[0], "the entry stopped before the claim was stored"))
	}
	return events
}

// PendingClaims returns the number of pending claims.
func (c *Core) PendingClaims() int { return len(c.pending) }

// Queued returns the total length of the queues, ended claims included. It is
// bounded by a multiple of Limits.Pending.
func (c *Core) Queued() int { return len(c.readQueue) + len(c.commitQueue) }

// add queues a claim, superseding an older one for the same job.
func (c *Core) add(p *pendingClaim, now time.Time) []dispatcher.Event {
	job := p.claim.Job
	if older, ok := c.pending[job]; ok {
		c.untrack(older)
	}
	value, err := EncodeRow(p.claim)
	if err != nil {
		return []dispatcher.Event{dispatcher.ClaimFailed{Job: job, Reason: "the claim can't be stored: " + err.Error()}}
	}
	if !now.Before(p.claim.Deadline) {
		return []dispatcher.Event{dispatcher.ClaimFailed{Job: job, Reason: "the deadline passed before the claim was sent"}}
	}
	if len(c.pending) >= c.limits.Pending || c.pendingBytes+len(value) > c.limits.PendingBytes {
		return []dispatcher.Event{dispatcher.ClaimFailed{Job: job, Reason: "too many claims wait for the store"}}
	}
	p.key, p.value = KeyOf(job), value
	c.track(p)
	c.readQueue, c.commitQueue = c.compact(c.readQueue), c.compact(c.commitQueue)
	if p.replaces != nil {
		c.readQueue = append(c.readQueue, p)
	} else {
		c.commitQueue = append(c.commitQueue, p)
	}
	return nil
}

// canSend reports whether another call may be sent: none is in flight, or those
// in flight are overdue and may be stuck on a dead connection.
func (c *Core) canSend(now time.Time) bool {
	n := len(c.inFlight)
	if n == 0 {
		return true
	}
	overdue := !now.Before(c.inFlight[n-1].sentAt.Add(c.pacer.overdueAfter()))
	return n < c.maxInFlight() && overdue
}

// removeInFlight removes a batch that was answered or failed from inFlight.
func (c *Core) removeInFlight(batch *Batch) {
	c.inFlight = slices.DeleteFunc(c.inFlight, func(b *Batch) bool { return b == batch })
}

// maxInFlight returns the current limit of calls in flight. While the store
// fails, it is probed by one call at a time.
func (c *Core) maxInFlight() int {
	if c.consecutiveFailures > 0 {
		return 1
	}
	return c.limits.InFlight
}

// nextRead returns a read of the rows at the front of readQueue, or nil.
func (c *Core) nextRead() *Batch {
	claims, rest := c.takeBatch(c.readQueue)
	c.readQueue = rest
	if len(claims) == 0 {
		return nil
	}
	batch := &Batch{claims: claims}
	for _, p := range claims {
		batch.Keys = append(batch.Keys, p.key)
		batch.Deadline = later(batch.Deadline, p.claim.Deadline)
	}
	return batch
}

// nextCommit returns a commit of the claims at the front of commitQueue, or nil.
func (c *Core) nextCommit() *Batch {
	claims, rest := c.takeBatch(c.commitQueue)
	c.commitQueue = rest
	if len(claims) == 0 {
		return nil
	}
	batch := &Batch{claims: claims}
	for _, p := range claims {
		p.committing = true
		batch.Writes = append(batch.Writes, tabler.Write{Key: p.key, Expect: p.expectVersion, Value: p.value})
		batch.Deadline = later(batch.Deadline, p.claim.Deadline)
	}
	batch.Writes = append(batch.Writes, indexWrite(claims, batch.Deadline, c.random.Uint64()))
	return batch
}

// takeBatch splits a queue into the claims for one call, without ended ones,
// and the rest of the queue.
func (c *Core) takeBatch(queue []*pendingClaim) (claims, rest []*pendingClaim) {
	bytes := 0
	for i, p := range queue {
		if p.ended {
			continue
		}
		bytes += len(p.value)
		full := len(claims) == c.maxRows || bytes > c.limits.TransactionBytes
		if full && len(claims) > 0 {
			return claims, queue[i:]
		}
		claims = append(claims, p)
	}
	return claims, nil
}

// compact removes ended claims from a queue once they outnumber the pending
// ones, as they do when claims expire throughout a store outage.
func (c *Core) compact(queue []*pendingClaim) []*pendingClaim {
	if len(queue) <= minCompactLength+2*len(c.pending) {
		return queue
	}
	return liveClaims(queue)
}

func (c *Core) track(p *pendingClaim) {
	c.pending[p.claim.Job] = p
	c.pendingBytes += len(p.value)
	c.deadlines.add(p)
}

// untrack marks a claim as ended and removes it from the pending ones.
func (c *Core) untrack(p *pendingClaim) {
	p.ended = true
	c.pendingBytes -= len(p.value)
	c.deadlines.remove(p)
	delete(c.pending, p.claim.Job)
}

func (c *Core) endWon(p *pendingClaim) dispatcher.Event {
	c.untrack(p)
	return dispatcher.ClaimWon{Claim: p.claim}
}

func (c *Core) endHeld(p *pendingClaim, holder dispatcher.Claim) dispatcher.Event {
	c.untrack(p)
	return dispatcher.ClaimHeld{Claim: holder}
}

// endFailed ends a claim that could not be stored and returns its event. The
// reason states if the claim may have been stored nevertheless.
func (c *Core) endFailed(p *pendingClaim, reason string) dispatcher.Event {
	c.untrack(p)
	if p.maybeStored || p.committing {
		reason += "; it isn't known whether it was stored, and nothing was started under it"
	}
	return dispatcher.ClaimFailed{Job: p.claim.Job, Reason: reason}
}

// recordFailure counts a failed call and sets the backoff: full jitter below an
// exponential ceiling, after Marc Brooker, "Exponential Backoff and Jitter",
// AWS Architecture Blog, 2015.
func (c *Core) recordFailure(now time.Time) {
	ceiling := c.limits.MinBackoff << min(c.consecutiveFailures, 20)
	ceiling = min(ceiling, c.limits.MaxBackoff)
	c.consecutiveFailures++
	c.backoffUntil = now.Add(time.Duration(c.random.Int64N(int64(ceiling)) + 1))
}

func (c *Core) recordSuccess() {
	c.consecutiveFailures = 0
	c.backoffUntil = time.Time{}
}

// prepend returns the queue with claims at its front.
func prepend(queue, claims []*pendingClaim) []*pendingClaim {
	return slices.Concat(claims, queue)
}

// isPermanent reports whether a call with the same content can never succeed.
func isPermanent(err error) bool {
	kind := fault.KindOf(err)
	return kind == fault.Invalid || kind == fault.TooLarge
}

// provesNotApplied reports whether a commit's error proves that it had no effect.
func provesNotApplied(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Invalid, fault.TooLarge, fault.Denied, fault.Expired:
		return true
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
