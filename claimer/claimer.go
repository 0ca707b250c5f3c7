// Package claimer stores claims, which record the owners of jobs that have
// idempotency keys. It uses group commit: one transaction stores all claims
// that are waiting, up to its limits.
//
// The name of a claim's row is its job ID alone, so that a lookup is a single
// read. To find old claims without scanning the whole table, each transaction
// also writes one index row that lists the transaction's jobs. The name of the
// index row begins with the time bucket of the transaction's latest deadline.
// Two alternatives were rejected. One table per day makes deletion cheap, but
// insert-if-absent would have to check two tables around midnight, and a job
// could be claimed in both. A time in the row's name isn't known to a
// resubmission of the job. The index costs one row per transaction and 16 bytes
// per claim.
//
// If the reply to a commit is lost, it is uncertain whether the claims were
// stored. They are then read back, and the writer recognises its own token. If
// the row is absent, the claim is written again with the same token: should the
// first write still arrive later, it conflicts with the second and changes
// nothing.
package claimer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/common/ring"
	"agatevalve/dispatcher"
	"agatevalve/tabler"
)

// defaultRingSize is the default of Options.RingSize.
const defaultRingSize = 16 << 10

// Options configure a Claimer.
type Options struct {
	Table tabler.Table
	// Deliver handles the events, one at a time, on the Claimer's goroutine. It
	// must not call Close.
	Deliver func(dispatcher.Event)
	// Limits default to DefaultLimits if zero.
	Limits Limits
	// RingSize bounds the commands that wait for the Claimer's goroutine; 0
	// selects the default.
	RingSize int
	// Random is the source of jitter and of the names of index rows; nil selects
	// one with a random seed.
	Random *rand.Rand
	// Registry receives the metrics; it may be nil.
	Registry metrics.Registry
	// Log may be nil.
	Log *slog.Logger
}

// Claimer stores claims in the table service. One goroutine owns the Core, and
// Limits.InFlight others make the store calls. It is safe for concurrent use.
type Claimer struct {
	options Options
	core    *Core
	// commands holds the commands that the core hasn't handled yet.
	commands *ring.Ring[dispatcher.Command]
	// batches holds the calls to make, for the senders.
	batches *ring.Ring[*Batch]
	// replies holds the outcomes of the calls, for the core.
	replies *ring.Ring[reply]
	meters  meters
	// entries is the number of live entries; 0 if unknown.
	entries atomic.Int64
	stop    context.CancelFunc
	loop    sync.WaitGroup
	senders sync.WaitGroup
}

// reply is the outcome of a store call: rows of a read, or the result of a
// commit.
type reply struct {
	batch  *Batch
	rows   []tabler.Row
	result tabler.Result
	err    error
}

// New starts a Claimer. Close stops it.
func New(options Options) *Claimer {
	options = withDefaults(options)
	ctx, stop := context.WithCancel(context.Background())
	c := &Claimer{
		options:  options,
		core:     NewCore(options.Limits, options.Random),
		commands: ring.New[dispatcher.Command](options.RingSize),
		batches:  ring.New[*Batch](options.Limits.InFlight),
		replies:  ring.New[reply](options.Limits.InFlight),
		meters:   newMeters(options.Registry),
		stop:     stop,
	}
	for range options.Limits.InFlight {
		c.senders.Go(func() { c.runSender(ctx) })
	}
	c.loop.Go(func() { c.run(ctx) })
	return c
}

// Insert queues a claim for a job that must not have one yet. It reports false
// if the queue is full or closed; then nothing is written, and no event
// follows.
func (c *Claimer) Insert(command dispatcher.WriteClaim) bool { return c.commands.Offer(command) }

// Replace queues a claim that replaces another one. It reports false in the same
// cases as Insert.
func (c *Claimer) Replace(command dispatcher.ReplaceClaim) bool { return c.commands.Offer(command) }

// SetEntries sets the number of live entries that share
// Limits.FleetCommitsPerSecond. Before the first call, and for numbers below
// one, this entry uses the whole rate.
func (c *Claimer) SetEntries(entries int) {
	c.entries.Store(int64(entries))
	c.meters.entries.Update(int64(entries))
}

// Close ends all pending claims with ClaimFailed and waits for the goroutines.
func (c *Claimer) Close() {
	c.commands.Close()
	c.stop()
	c.loop.Wait()
	c.senders.Wait()
}

// run is the event loop of the goroutine that owns the core.
func (c *Claimer) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		c.resetTimer(timer)
		select {
		case <-ctx.Done():
			c.deliver(c.handleCommands())
			c.deliver(c.core.Stop())
			return
		case <-c.commands.Ready():
			c.deliver(c.handleCommands())
		case <-c.replies.Ready():
			c.deliver(c.handleReplies())
		case <-timer.C:
			c.deliver(c.core.Expire(time.Now()))
		}
		c.sendBatches()
	}
}

// runSender makes store calls, one at a time, until ctx ends.
func (c *Claimer) runSender(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.batches.Ready():
		}
		batches, _ := c.batches.TakeUpTo(nil, 1)
		for _, b := range batches {
			c.replies.Offer(c.callStore(ctx, b)) // Never full: it has room for every call in flight.
		}
	}
}

// callStore makes one store call, whose deadline is the latest deadline of its
// claims.
func (c *Claimer) callStore(ctx context.Context, batch *Batch) reply {
	ctx, cancel := context.WithDeadline(ctx, batch.Deadline)
	defer cancel()
	if len(batch.Keys) > 0 {
		rows, err := c.options.Table.Read(ctx, batch.Keys)
		return reply{batch: batch, rows: rows, err: err}
	}
	result, err := c.options.Table.Commit(ctx, batch.Writes)
	return reply{batch: batch, result: result, err: err}
}

// handleCommands passes all queued commands to the core and returns the events.
func (c *Claimer) handleCommands() []dispatcher.Event {
	commands, _ := c.commands.TakeAll(nil)
	var events []dispatcher.Event
	now := time.Now()
	for _, command := range commands {
		switch command := command.(type) {
		case dispatcher.WriteClaim:
			events = append(events, c.core.Insert(command, now)...)
		case dispatcher.ReplaceClaim:
			events = append(events, c.core.Replace(command, now)...)
		}
	}
	return events
}

// handleReplies passes all store replies to the core and returns the events.
func (c *Claimer) handleReplies() []dispatcher.Event {
	replies, _ := c.replies.TakeAll(nil)
	var events []dispatcher.Event
	for _, r := range replies {
		c.recordReply(r)
		if len(r.batch.Keys) > 0 {
			events = append(events, c.core.ReadDone(r.batch, r.rows, r.err, time.Now())...)
		} else {
			events = append(events, c.core.CommitDone(r.batch, r.result, r.err, time.Now())...)
		}
	}
	return events
}

// sendBatches hands the calls that may be made now to the senders.
func (c *Claimer) sendBatches() {
	c.core.SetEntries(int(c.entries.Load()))
	now := time.Now()
	for batch := c.core.Next(now); batch != nil; batch = c.core.Next(now) {
		c.batches.Offer(batch) // Never full: it has room for every call in flight.
	}
	c.meters.waiting.Update(int64(c.core.PendingClaims()))
	c.meters.queued.Update(int64(c.core.Queued()))
}

// resetTimer sets the timer to the core's wake-up time, or stops it.
func (c *Claimer) resetTimer(timer *time.Timer) {
	wake, ok := c.core.WakeTime()
	if !ok {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(wake))
}

// deliver counts the events and passes them to Options.Deliver.
func (c *Claimer) deliver(events []dispatcher.Event) {
	for _, e := range events {
		e = failIfLate(e, time.Now())
		c.meters.countEvent(e)
		c.options.Deliver(e)
	}
}

// failIfLate replaces a ClaimWon whose delivery was delayed past the claim's
// deadline by a ClaimFailed.
func failIfLate(e dispatcher.Event, now time.Time) dispatcher.Event {
	won, ok := e.(dispatcher.ClaimWon)
	if !ok || now.Before(won.Claim.Deadline) {
		return e
	}
	return dispatcher.ClaimFailed{
		Job:    won.Claim.Job,
		Reason: "the deadline passed as the claim was stored; nothing was started under it",
	}
}

// recordReply updates the metrics of store calls and logs a failed call.
func (c *Claimer) recordReply(r reply) {
	if r.err != nil {
		c.meters.storeFailures.Inc(1)
		c.options.Log.Warn("claimer: Store call failed", "claims", len(r.batch.claims), "error", r.err)
		return
	}
	if len(r.batch.Keys) > 0 {
		c.meters.reads.Inc(1)
		return
	}
	c.meters.transactions.Inc(1)
	c.meters.rowsPerTransaction.Update(int64(len(r.batch.claims)))
}

func withDefaults(options Options) Options {
	if options.Limits == (Limits{}) {
		options.Limits = DefaultLimits()
	}
	if options.RingSize == 0 {
		options.RingSize = defaultRingSize
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	return options
}
