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

// minCompact is the length of a queue that isn't worth compacting.
const minCompact = 64

// Limits bound what a Core holds and sends.
type Limits struct {
	// Waiting bounds the claims that are held at once.
	Waiting int
	// WaitingBytes bounds the rows of the claims that are held at once.
	WaitingBytes int
	// Rows and Bytes bound the claims of one transaction.
	Rows  int
	Bytes int
	// FleetCommits bounds the transactions a second of all entries together,
	// so that the store has room for other writers.
	FleetCommits int
	// InFlight bounds the calls that are sent and not answered. There is more
	// than one only when the others are late.
	InFlight int
	// MinBackoff and MaxBackoff bound the ceiling of the wait after failures.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// DefaultLimits return the limits of an entry.
func DefaultLimits() Limits {
	return Limits{
		Waiting:      64 << 10,
		WaitingBytes: 64 << 20,
		Rows:         1024,
		Bytes:        2 << 20,
		FleetCommits: 160,
		InFlight:     4,
		MinBackoff:   10 * time.Millisecond,
		MaxBackoff:   time.Second,
	}
}

// Batch is one call to the table service: a read of Keys, or else a commit of
// Writes.
type Batch struct {
	Keys   []tabler.Key
	Writes []tabler.Write
	// Deadline is the latest deadline of the batch's claims.
	Deadline time.Time
	// claims are in the order of Keys or Writes.
	claims []*pending
	// sent is when the batch was handed out.
	sent time.Time
}

// Core decides which claims go into which transaction and what became of
// them. It performs no input or output, reads no clock, and is not safe for
// concurrent use.
//
// Each claim ends in exactly one event, unless a later command for the same
// job replaces it. ClaimWon is returned only before the claim's deadline. A
// claim that failed in doubt, or was replaced, may still stand in the store;
// a later claim of the job then gets it as ClaimHeld.
type Core struct {
	limits Limits
	random *rand.Rand
	// held has the one live claim of each job.
	held map[task.JobID]*pending
	// bytes is the sum of the rows in held.
	bytes     int
	deadlines deadlineHeap
	// reads wait to be looked up, commits to be written. They may contain
	// ended claims, which are skipped.
	reads   []*pending
	commits []*pending
	// inFlight has the batches that Next returned and that aren't done, the
	// oldest first.
	inFlight []*Batch
	pacer    *pacer
	// rows is the present bound of one transaction, at most limits.Rows. It
	// shrinks when the service refuses a transaction.
	rows int
	// failures counts the calls that failed since the last one that succeeded.
	failures int
	// resume is when the next call may be sent.
	resume time.Time
}

// pending is a claim whose fate isn't decided.
type pending struct {
	claim dispatcher.Claim
	// old is the claim to replace; nil for an insert.
	old   *dispatcher.Claim
	key   tabler.Key
	value []byte
	// expect is the version that the row must have for the write.
	expect tabler.Version
	// doubtful means that a write may have taken effect.
	doubtful bool
	// sent means that a commit is in flight.
	sent bool
	// ended means that an event was returned or the claim was replaced.
	ended bool
	// place is the index in the heap of deadlines.
	place int
}

// NewCore returns a Core without claims.
func NewCore(limits Limits, random *rand.Rand) *Core {
	return &Core{
		limits: limits,
		random: random,
		held:   map[task.JobID]*pending{},
		rows:   limits.Rows,
		pacer:  newPacer(limits.FleetCommits, random),
	}
}

// Insert takes a claim that must be the first of its job.
func (c *Core) Insert(command dispatcher.WriteClaim, now time.Time) []dispatcher.Event {
	return c.add(&pending{claim: command.Claim}, now)
}

// Take takes a claim that replaces another.
func (c *Core) Take(command dispatcher.ReplaceClaim, now time.Time) []dispatcher.Event {
	return c.add(&pending{claim: command.Claim, old: &command.Old}, now)
}

// SetEntries tells how many live entries share the bound on transactions. A
// number below one counts as one.
func (c *Core) SetEntries(entries int) { c.pacer.entries = max(1, entries) }

// Next returns the next call to make, or nil when there is none now.
func (c *Core) Next(now time.Time) *Batch {
	if !c.free(now) || now.Before(c.resume) {
		return nil
	}
	batch := c.nextRead()
	if batch == nil && !now.Before(c.pacer.ready()) {
		if batch = c.nextCommit(); batch != nil {
			c.pacer.sent(now)
		}
	}
	if batch != nil {
		batch.sent = now
		c.inFlight = append(c.inFlight, batch)
	}
	return batch
}

// Wake returns when Expire or Next has something to do without further
// calls, and false when it never has.
func (c *Core) Wake() (time.Time, bool) {
	if len(c.deadlines) == 0 {
		return time.Time{}, false
	}
	wake := c.deadlines[0].claim.Deadline
	if next, ok := c.nextCall(); ok && next.Before(wake) {
		wake = next
	}
	return wake, true
}

// nextCall returns when Next may return a call, and false when that takes an
// answer first.
func (c *Core) nextCall() (time.Time, bool) {
	if c.Queued() == 0 || len(c.inFlight) >= c.window() {
		return time.Time{}, false
	}
	next := c.resume
	if len(c.reads) == 0 {
		next = later(next, c.pacer.ready())
	}
	if n := len(c.inFlight); n > 0 {
		next = later(next, c.inFlight[n-1].sent.Add(c.pacer.late()))
	}
	return next, true
}

// Expire ends the claims whose deadline has passed.
func (c *Core) Expire(now time.Time) []dispatcher.Event {
	var events []dispatcher.Event
	for len(c.deadlines) > 0 && !now.Before(c.deadlines[0].claim.Deadline) {
		events = append(events, c.fail(c.deadlines[0], "the deadline passed before the claim was stored"))
	}
	return events
}

// Stop ends all claims.
func (c *Core) Stop() []dispatcher.Event {
	var events []dispatcher.Event
	for len(c.deadlines) > 0 {
		events = append(events, c.fail(c.deadlines[0], "the entry stopped before the claim was stored"))
	}
	return events
}

// Waiting returns the number of claims that are held.
func (c *Core) Waiting() int { return len(c.held) }

// Queued returns the length of the queues. It stays within a multiple of
// Limits.Waiting, ended claims included.
func (c *Core) Queued() int { return len(c.reads) + len(c.commits) }

func (c *Core) add(p *pending, now time.Time) []dispatcher.Event {
	job := p.claim.Job
	if older, ok := c.held[job]; ok {
		c.end(older)
	}
	value, err := EncodeRow(p.claim)
	if err != nil {
		return []dispatcher.Event{dispatcher.ClaimFailed{Job: job, Reason: "the claim can't be stored: " + err.Error()}}
	}
	if !now.Before(p.claim.Deadline) {
		return []dispatcher.Event{dispatcher.ClaimFailed{Job: job, Reason: "the deadline passed before the claim was sent"}}
	}
	if len(c.held) >= c.limits.Waiting || c.bytes+len(value) > c.limits.WaitingBytes {
		return []dispatcher.Event{dispatcher.ClaimFailed{Job: job, Reason: "too many claims wait for the store"}}
	}
	p.key, p.value = KeyOf(job), value
	c.hold(p)
	c.reads, c.commits = c.compact(c.reads), c.compact(c.commits)
	if p.old != nil {
		c.reads = append(c.reads, p)
	} else {
		c.commits = append(c.commits, p)
	}
	return nil
}

// free tells whether another call may be sent: there is none in flight, or
// those that are there are late, and may be stuck on a silent connection.
func (c *Core) free(now time.Time) bool {
	n := len(c.inFlight)
	if n == 0 {
		return true
	}
	late := !now.Before(c.inFlight[n-1].sent.Add(c.pacer.late()))
	return n < c.window() && late
}

// landed takes a batch out of flight.
func (c *Core) landed(batch *Batch) {
	c.inFlight = slices.DeleteFunc(c.inFlight, func(b *Batch) bool { return b == batch })
}

// window returns how many calls may be in flight. While the store fails, one
// call at a time finds out when it is back.
func (c *Core) window() int {
	if c.failures > 0 {
		return 1
	}
	return c.limits.InFlight
}

func (c *Core) nextRead() *Batch {
	claims, rest := c.cut(c.reads)
	c.reads = rest
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

func (c *Core) nextCommit() *Batch {
	claims, rest := c.cut(c.commits)
	c.commits = rest
	if len(claims) == 0 {
		return nil
	}
	batch := &Batch{claims: claims}
	for _, p := range claims {
		p.sent = true
		batch.Writes = append(batch.Writes, tabler.Write{Key: p.key, Expect: p.expect, Value: p.value})
		batch.Deadline = later(batch.Deadline, p.claim.Deadline)
	}
	batch.Writes = append(batch.Writes, indexWrite(claims, batch.Deadline, c.random.Uint64()))
	return batch
}

// cut takes the live claims for one transaction off the front of a queue.
func (c *Core) cut(queue []*pending) (claims, rest []*pending) {
	bytes := 0
	for i, p := range queue {
		if p.ended {
			continue
		}
		bytes += len(p.value)
		full := len(claims) == c.rows || bytes > c.limits.Bytes
		if full && len(claims) > 0 {
			return claims, queue[i:]
		}
		claims = append(claims, p)
	}
	return claims, nil
}

// compact drops ended claims from a queue once they outnumber the live ones,
// which they do when claims expire throughout an outage.
func (c *Core) compact(queue []*pending) []*pending {
	if len(queue) <= minCompact+2*len(c.held) {
		return queue
	}
	return liveOf(queue)
}

func (c *Core) hold(p *pending) {
	c.held[p.claim.Job] = p
	c.bytes += len(p.value)
	c.deadlines.add(p)
}

func (c *Core) end(p *pending) {
	p.ended = true
	c.bytes -= len(p.value)
	c.deadlines.remove(p)
	delete(c.held, p.claim.Job)
}

func (c *Core) win(p *pending) dispatcher.Event {
	c.end(p)
	return dispatcher.ClaimWon{Claim: p.claim}
}

func (c *Core) lose(p *pending, holder dispatcher.Claim) dispatcher.Event {
	c.end(p)
	return dispatcher.ClaimHeld{Claim: holder}
}

func (c *Core) fail(p *pending, reason string) dispatcher.Event {
	c.end(p)
	if p.doubtful || p.sent {
		reason += "; it isn't known whether it was stored, and nothing was started under it"
	}
	return dispatcher.ClaimFailed{Job: p.claim.Job, Reason: reason}
}

// failed records a failed call and sets when the next one may be sent: full
// jitter below an exponential ceiling, after Marc Brooker, "Exponential
// Backoff and Jitter", AWS Architecture Blog, 2015.
func (c *Core) failed(now time.Time) {
	ceiling := c.limits.MinBackoff << min(c.failures, 20)
	ceiling = min(ceiling, c.limits.MaxBackoff)
	c.failures++
	c.resume = now.Add(time.Duration(c.random.Int64N(int64(ceiling)) + 1))
}

func (c *Core) succeeded() {
	c.failures = 0
	c.resume = time.Time{}
}

// again puts claims at the front of a queue.
func again(queue, claims []*pending) []*pending {
	return slices.Concat(claims, queue)
}

// refusedForGood tells whether a call with the same content can never succeed.
func refusedForGood(err error) bool {
	kind := fault.KindOf(err)
	return kind == fault.Invalid || kind == fault.TooLarge
}

// provedUnwritten tells whether an error of a commit proves that it had no effect.
func provedUnwritten(err error) bool {
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
