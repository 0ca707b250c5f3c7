// Package claimer stores the claims of keyed jobs by group commit: one
// transaction carries all claims that wait.
//
// A claim's row is named by its job alone, so that looking one up stays a
// single read. Old rows have to be found by age without scanning the table;
// each transaction therefore also writes one row of an index, named by the
// bucket of its latest deadline, that lists the transaction's jobs. Ways
// weighed: a table per day makes deletion cheap, but insert-if-absent would
// then have to check two tables around midnight, and a job could be claimed in
// both; a time in the row's name isn't known to a resubmission. The index
// costs one row per transaction and 16 bytes per claim.
//
// A reply that was lost leaves a claim in doubt. It is read again, and its
// writer recognises its own token. A claim in doubt whose row is absent is
// written again under the same token: should the first write still arrive, it
// conflicts with the second and changes nothing.
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

// defaultRingSize bounds the commands that wait for the deciding goroutine.
const defaultRingSize = 16 << 10

// Options configure a Claimer.
type Options struct {
	Table tabler.Table
	// Deliver takes the events, one at a time, on the Claimer's goroutine. It
	// must not call Close.
	Deliver func(dispatcher.Event)
	// Limits are DefaultLimits when zero.
	Limits Limits
	// RingSize bounds the commands that wait; 0 takes the default.
	RingSize int
	// Random provides jitter and index names; nil takes a random seed.
	Random *rand.Rand
	// Registry receives the metrics; nil takes none.
	Registry metrics.Registry
	// Log may be nil.
	Log *slog.Logger
}

// Claimer stores claims. It is safe for concurrent use.
type Claimer struct {
	options  Options
	core     *Core
	commands *ring.Ring[dispatcher.Command]
	batches  *ring.Ring[*Batch]
	replies  *ring.Ring[reply]
	meters   meters
	// entries is the number of live entries; 0 when unknown.
	entries atomic.Int64
	stop    context.CancelFunc
	loop    sync.WaitGroup
	senders sync.WaitGroup
}

// reply is the end of one call.
type reply struct {
	batch  *Batch
	rows   []tabler.Row
	result tabler.Result
	err    error
}

// New starts a Claimer.
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
		c.senders.Go(func() { c.send(ctx) })
	}
	c.loop.Go(func() { c.run(ctx) })
	return c
}

// Insert queues a claim that must be the first of its job. It reports false
// when the queue is full or closed; nothing was written then, and no event
// follows.
func (c *Claimer) Insert(command dispatcher.WriteClaim) bool { return c.commands.Offer(command) }

// Take queues a claim that replaces another. It reports false like Insert.
func (c *Claimer) Take(command dispatcher.ReplaceClaim) bool { return c.commands.Offer(command) }

// SetEntries tells how many live entries share the bound on transactions.
// Until then, and below one, this entry counts as the only one.
func (c *Claimer) SetEntries(entries int) {
	c.entries.Store(int64(entries))
	c.meters.sharers.Update(int64(entries))
}

// Close ends all claims with ClaimFailed, and waits for the goroutines.
func (c *Claimer) Close() {
	c.commands.Close()
	c.stop()
	c.loop.Wait()
	c.senders.Wait()
}

// run is the duty that decides. It owns the core.
func (c *Claimer) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		c.setTimer(timer)
		select {
		case <-ctx.Done():
			c.deliver(c.takeCommands())
			c.deliver(c.core.Stop())
			return
		case <-c.commands.Ready():
			c.deliver(c.takeCommands())
		case <-c.replies.Ready():
			c.deliver(c.takeReplies())
		case <-timer.C:
			c.deliver(c.core.Expire(time.Now()))
		}
		c.sendBatches()
	}
}

// send is the duty that waits for the store, one call at a time.
func (c *Claimer) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.batches.Ready():
		}
		taken, _ := c.batches.TakeUpTo(nil, 1)
		for _, b := range taken {
			c.replies.Offer(c.call(ctx, b)) // The ring has a place for each call in flight.
		}
	}
}

func (c *Claimer) call(ctx context.Context, batch *Batch) reply {
	ctx, cancel := context.WithDeadline(ctx, batch.Deadline)
	defer cancel()
	if len(batch.Keys) > 0 {
		rows, err := c.options.Table.Read(ctx, batch.Keys)
		return reply{batch: batch, rows: rows, err: err}
	}
	result, err := c.options.Table.Commit(ctx, batch.Writes)
	return reply{batch: batch, result: result, err: err}
}

func (c *Claimer) takeCommands() []dispatcher.Event {
	commands, _ := c.commands.TakeAll(nil)
	var events []dispatcher.Event
	now := time.Now()
	for _, command := range commands {
		switch command := command.(type) {
		case dispatcher.WriteClaim:
			events = append(events, c.core.Insert(command, now)...)
		case dispatcher.ReplaceClaim:
			events = append(events, c.core.Take(command, now)...)
		}
	}
	return events
}

func (c *Claimer) takeReplies() []dispatcher.Event {
	replies, _ := c.replies.TakeAll(nil)
	var events []dispatcher.Event
	for _, r := range replies {
		c.observe(r)
		if len(r.batch.Keys) > 0 {
			events = append(events, c.core.ReadDone(r.batch, r.rows, r.err, time.Now())...)
		} else {
			events = append(events, c.core.CommitDone(r.batch, r.result, r.err, time.Now())...)
		}
	}
	return events
}

func (c *Claimer) sendBatches() {
	c.core.SetEntries(int(c.entries.Load()))
	now := time.Now()
	for batch := c.core.Next(now); batch != nil; batch = c.core.Next(now) {
		c.batches.Offer(batch) // The ring has a place for each call in flight.
	}
	c.meters.waiting.Update(int64(c.core.Waiting()))
	c.meters.queued.Update(int64(c.core.Queued()))
}

func (c *Claimer) setTimer(timer *time.Timer) {
	wake, ok := c.core.Wake()
	if !ok {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(wake))
}

func (c *Claimer) deliver(events []dispatcher.Event) {
	for _, e := range events {
		e = inTime(e, time.Now())
		c.meters.count(e)
		c.options.Deliver(e)
	}
}

// inTime turns a victory whose delivery was held up past the deadline into a
// failure.
func inTime(e dispatcher.Event, now time.Time) dispatcher.Event {
	won, ok := e.(dispatcher.ClaimWon)
	if !ok || now.Before(won.Claim.Deadline) {
		return e
	}
	return dispatcher.ClaimFailed{
		Job:    won.Claim.Job,
		Reason: "the deadline passed as the claim was stored; nothing was started under it",
	}
}

func (c *Claimer) observe(r reply) {
	if r.err != nil {
		c.meters.failures.Inc(1)
		c.options.Log.Warn("claimer: Store call failed", "claims", len(r.batch.claims), "error", r.err)
		return
	}
	if len(r.batch.Keys) > 0 {
		c.meters.reads.Inc(1)
		return
	}
	c.meters.transactions.Inc(1)
	c.meters.rows.Update(int64(len(r.batch.claims)))
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
