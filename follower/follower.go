// Package follower keeps an entry on the newest configuration revision.
//
// It polls the head row, which is one small read, fetches what is new, and
// swaps the compiled table in one step, so that a request sees one revision
// from start to end. It never goes back, and keeps the last revision through an
// outage of the store. Other processes mention the revisions that they know of;
// a higher one is looked for at once, and until it is found the follower knows
// that it is stale. While the store can't be read it asks other entries, and
// goes on in the store from what it took.
package follower

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"agatevalve/common/fault"
	"agatevalve/historian"
	"agatevalve/router"
)

const (
	// defaultInterval is the mean time between two polls.
	defaultInterval = 1500 * time.Millisecond
	// defaultTimeout caps one poll with its fetch.
	defaultTimeout = 2 * time.Second
	// jitter is the part of the interval by which polls are spread.
	jitter = 0.25
	// hearAgain is the least time between two polls.
	hearAgain = 50 * time.Millisecond
	// missedPart is the inverse of the part of the interval that is rested after
	// a poll that was not answered.
	missedPart = 2
)

// Source reads the configuration; historian.Historian is one.
type Source interface {
	// Head returns the pointer to the revision in force.
	Head(ctx context.Context) (historian.Head, error)
	// Advance returns the configuration at the head, starting from a known one.
	Advance(ctx context.Context, known historian.Configuration, head historian.Head) (historian.Configuration, error)
}

var _ Source = (*historian.Historian)(nil)

// Options configure a Follower.
type Options struct {
	Source Source
	// Peers are asked while the store can't be read; nil asks nobody.
	Peers Peers
	// Interval is the mean time between polls; 0 takes the default of 1.5 s.
	Interval time.Duration
	// Timeout caps one poll; 0 takes the default of 2 s.
	Timeout time.Duration
	// Random spreads the polls. It is used by one goroutine only; nil takes a
	// seed of its own.
	Random *rand.Rand
	// Now returns the time; nil takes the system's clock.
	Now func() time.Time
	Log *slog.Logger
}

// Follower follows the configuration. It is safe for concurrent use.
type Follower struct {
	options Options
	current atomic.Pointer[router.Table]
	// held is what current was compiled from.
	held atomic.Pointer[historian.Configuration]
	// mu guards state.
	mu    sync.Mutex
	state state
	// packing guards packed, which is made when it is asked for.
	packing sync.Mutex
	packed  historian.Snapshot
	// heard holds at most one token, present after Hear of a new revision.
	heard chan struct{}
	stop  context.CancelFunc
	done  chan struct{}
}

// New starts a Follower. It serves an empty table until it has read the store.
func New(options Options) *Follower {
	options.setDefaults()
	ctx, stop := context.WithCancel(context.Background())
	f := &Follower{
		options: options,
		heard:   make(chan struct{}, 1),
		stop:    stop,
		done:    make(chan struct{}),
	}
	f.current.Store(emptyTable())
	f.held.Store(&historian.Configuration{})
	go func() {
		defer close(f.done)
		f.follow(ctx)
	}()
	return f
}

func (o *Options) setDefaults() {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

func emptyTable() *router.Table {
	table, err := router.Compile(0, nil, nil)
	if err != nil {
		panic("follower: empty table refused: " + err.Error())
	}
	return table
}

// Current returns the table in force here; it is never nil. Its revision is 0
// until the first one was read.
func (f *Follower) Current() *router.Table { return f.current.Load() }

// Revision returns the number of the revision in force here.
func (f *Follower) Revision() uint64 { return f.Current().Revision() }

// Snapshot returns the configuration in force here, packed for another entry.
// It is packed once for each revision that is asked for.
func (f *Follower) Snapshot() historian.Snapshot {
	f.packing.Lock()
	defer f.packing.Unlock()
	if held := f.held.Load(); held.Revision != f.packed.Revision {
		f.packed = historian.NewSnapshot(*held)
	}
	return f.packed
}

// Known returns the highest revision that is known to exist.
func (f *Follower) Known() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.known
}

// Hear tells that another process knows of a revision. It never blocks.
func (f *Follower) Hear(revision uint64) {
	f.mu.Lock()
	news := f.state.hear(revision, f.options.Now())
	f.mu.Unlock()
	if !news {
		return
	}
	select {
	case f.heard <- struct{}{}:
	default:
	}
}

// Stale reports whether a newer revision is known to exist than the one in
// force here, and the last try to get it failed.
func (f *Follower) Stale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.stale()
}

// Ready reports whether the entry may take requests. A new follower is ready
// once it has read the store, or has a revision from another entry, and has
// every revision that it heard of. Later it stops being ready when it could not
// get a newer one for Grace.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.ready(f.options.Now())
}

// Reachable reports whether the last poll of the store succeeded.
func (f *Follower) Reachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.reachable
}

// Close stops the follower and waits for it.
func (f *Follower) Close() {
	f.stop()
	<-f.done
}

func (f *Follower) follow(ctx context.Context) {
	var known historian.Configuration
	for ctx.Err() == nil {
		known = f.poll(ctx, known)
		if !f.Reachable() {
			known = f.ask(ctx, known)
		}
		f.rest(ctx)
	}
}

// rest waits for the next poll.
func (f *Follower) rest(ctx context.Context) {
	interval := f.options.Interval
	if !f.Reachable() {
		interval /= missedPart
	}
	spread := 1 + jitter*(2*f.options.Random.Float64()-1)
	regular := time.NewTimer(time.Duration(spread * float64(interval)))
	defer regular.Stop()
	pause := time.NewTimer(hearAgain)
	defer pause.Stop()
	select {
	case <-ctx.Done():
		return
	case <-pause.C:
	}
	select {
	case <-ctx.Done():
	case <-f.heard:
	case <-regular.C:
	}
}

// poll reads the head and what is new. It returns the configuration known then.
func (f *Follower) poll(ctx context.Context, known historian.Configuration) historian.Configuration {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timeout)
	defer cancel()
	before := f.Known()
	head, err := f.options.Source.Head(ctx)
	if err != nil {
		f.miss(ctx, before, err)
		return known
	}
	switch f.see(head.Revision, before) {
	case upToDate:
		return known
	case wentBack:
		f.options.Log.Error("follower: The store went back to an older revision. Restore it, or publish again.",
			"revision", known.Revision, "head", head.Revision)
		return known
	}
	next, err := f.advance(ctx, known, head)
	if err != nil {
		f.miss(ctx, head.Revision, err)
		return known
	}
	table, err := next.Compile()
	if err != nil {
		f.refuse(head.Revision, err)
		return known
	}
	f.swap(table, next)
	f.options.Log.Info("follower: A revision is in force.", "revision", head.Revision, "before", known.Revision)
	return next
}

// advance reads the revision at the head. What came from another entry may
// differ from the store, so that a revision which does not fit what is known is
// read once more from nothing.
func (f *Follower) advance(ctx context.Context, known historian.Configuration, head historian.Head) (historian.Configuration, error) {
	next, err := f.options.Source.Advance(ctx, known, head)
	if err == nil || known.Revision == 0 || silent(ctx, err) {
		return next, err
	}
	return f.options.Source.Advance(ctx, historian.Configuration{}, head)
}

func (f *Follower) see(head, before uint64) sight {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.see(head, before, f.options.Now())
}

// swap brings a table into force, with what it was compiled from.
func (f *Follower) swap(table *router.Table, from historian.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held.Store(&from)
	f.current.Store(table)
	f.state.load(table.Revision())
}

// miss notes that the store could not be read, or that it holds a revision that
// can't be read.
func (f *Follower) miss(ctx context.Context, revision uint64, err error) {
	if !silent(ctx, err) {
		f.refuse(revision, err)
		return
	}
	f.mu.Lock()
	news := f.state.miss()
	f.mu.Unlock()
	if news {
		f.options.Log.Warn("follower: The store can't be read. The last revision stays in force.",
			"revision", f.Revision(), "error", err)
	}
}

// silent tells a store that did not answer from an answer that can't be used.
func silent(ctx context.Context, err error) bool {
	kind := fault.KindOf(err)
	return kind == fault.Unavailable || kind == fault.Uncertain || ctx.Err() != nil
}

// refuse notes that a revision can't be brought into force by this version.
func (f *Follower) refuse(revision uint64, err error) {
	f.mu.Lock()
	news := f.state.refuse(revision)
	f.mu.Unlock()
	if news {
		f.options.Log.Error("follower: A revision is refused here and not in force. Replace this entry by a newer version, or revert.",
			"revision", revision, "kept", f.Revision(), "error", err)
	}
}
