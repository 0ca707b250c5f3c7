// Package follower keeps an entry on the newest published revision of the
// configuration.
//
// A Follower polls the head row of the table service (the store), which is one
// small read, fetches the newer revision, and swaps in its compiled table
// atomically, so that a request sees a single revision from start to end. The
// revision in force never decreases, and the last one stays in force while the
// store is unavailable.
//
// Other processes announce the revisions that they know. The announcement of a
// higher revision triggers a poll at once, and until that revision is loaded
// the follower counts as behind. While the store can't be read, the follower
// asks other entries for their configuration, and later goes on in the store
// from the revision that it adopted.
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
	// defaultPollInterval is the mean time between two polls.
	defaultPollInterval = 1500 * time.Millisecond
	// defaultPollTimeout bounds one poll, including the fetch of the revision.
	defaultPollTimeout = 2 * time.Second
	// jitter is the maximum deviation of the delay between two polls, as a
	// fraction of the interval.
	jitter = 0.25
	// minPollDelay is the minimum delay between two polls. It limits the rate
	// of polls that announcements trigger.
	minPollDelay = 50 * time.Millisecond
	// retryDivisor divides the interval after a poll that the store did not
	// answer, so that a retry comes sooner.
	retryDivisor = 2
)

// Source reads the configuration; historian.Historian implements it.
type Source interface {
	// Head returns the pointer to the revision in force.
	Head(ctx context.Context) (historian.Head, error)
	// Advance returns the configuration at the head. It reads only what was
	// published after known, where it can.
	Advance(ctx context.Context, known historian.Configuration, head historian.Head) (historian.Configuration, error)
}

var _ Source = (*historian.Historian)(nil)

// Options configure a Follower.
type Options struct {
	Source Source
	// Peers are asked for their configuration while the store can't be read;
	// nil disables this.
	Peers Peers
	// Interval is the mean time between polls; 0 means the default of 1.5 s.
	Interval time.Duration
	// Timeout bounds one poll; 0 means the default of 2 s.
	Timeout time.Duration
	// Random is the source of the poll jitter. Only the polling goroutine uses
	// it; nil means a randomly seeded one.
	Random *rand.Rand
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	Log *slog.Logger
}

// Follower holds the compiled table of the newest revision and keeps it up to
// date from a goroutine of its own. It is safe for concurrent use.
type Follower struct {
	options Options
	// current is the table in force.
	current atomic.Pointer[router.Table]
	// configuration is what current was compiled from.
	configuration atomic.Pointer[historian.Configuration]
	// mu guards state.
	mu    sync.Mutex
	state state
	// snapshotMu guards snapshot, which is encoded on demand.
	snapshotMu sync.Mutex
	snapshot   historian.Snapshot
	// wake holds at most one token, which starts the next poll early. It is put
	// there when a higher revision is announced.
	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}
}

// New starts a Follower. Its table is empty until the first revision is loaded.
func New(options Options) *Follower {
	options.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		options: options,
		wake:    make(chan struct{}, 1),
		cancel:  cancel,
		done:    make(chan struct{}),
	}
	f.current.Store(emptyTable())
	f.configuration.Store(&historian.Configuration{})
	go func() {
		defer close(f.done)
		f.run(ctx)
	}()
	return f
}

func (o *Options) setDefaults() {
	if o.Interval == 0 {
		o.Interval = defaultPollInterval
	}
	if o.Timeout == 0 {
		o.Timeout = defaultPollTimeout
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
		panic("follower: compile empty table: " + err.Error())
	}
	return table
}

// Current returns the table in force; it is never nil. Its revision is 0 until
// the first one was loaded.
func (f *Follower) Current() *router.Table { return f.current.Load() }

// Revision returns the number of the revision in force in this entry.
func (f *Follower) Revision() uint64 { return f.Current().Revision() }

// Snapshot returns the configuration in force, encoded for another entry. It is
// encoded on the first call for each revision.
func (f *Follower) Snapshot() historian.Snapshot {
	f.snapshotMu.Lock()
	defer f.snapshotMu.Unlock()
	if configuration := f.configuration.Load(); configuration.Revision != f.snapshot.Revision {
		f.snapshot = historian.NewSnapshot(*configuration)
	}
	return f.snapshot
}

// KnownRevision returns the highest revision that is known to exist. It may not
// be in force here yet.
func (f *Follower) KnownRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.known
}

// NotifyRevision handles the announcement of a revision by another process: a revision
// that was not known before triggers a poll. It never blocks.
func (f *Follower) NotifyRevision(revision uint64) {
	f.mu.Lock()
	isNew := f.state.notify(revision, f.options.Now())
	f.mu.Unlock()
	if !isNew {
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Stale reports whether a newer revision is known to exist than the one in
// force here, and the last attempt to load it failed.
func (f *Follower) Stale() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.stale()
}

// Ready reports whether the entry may take requests. A new follower is ready
// once it has read the store or adopted a revision from another entry, and has
// reached every revision announced to it. Later it stops being ready when it
// has been behind a newer revision for GracePeriod.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.ready(f.options.Now())
}

// StoreReachable reports whether the store answered the last poll.
func (f *Follower) StoreReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.storeReachable
}

// Close stops the follower and waits for its goroutine to end.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

// run polls until ctx ends. It asks the peers after each poll that the store
// did not answer.
func (f *Follower) run(ctx context.Context) {
	var current historian.Configuration
	for ctx.Err() == nil {
		current = f.poll(ctx, current)
		if !f.StoreReachable() {
			current = f.queryPeers(ctx, current)
		}
		f.waitForNextPoll(ctx)
	}
}

// waitForNextPoll waits for the interval with jitter, or until a revision is
// announced, but at least for minPollDelay.
func (f *Follower) waitForNextPoll(ctx context.Context) {
	interval := f.options.Interval
	if !f.StoreReachable() {
		interval /= retryDivisor
	}
	factor := 1 + jitter*(2*f.options.Random.Float64()-1)
	next := time.NewTimer(time.Duration(factor * float64(interval)))
	defer next.Stop()
	minimum := time.NewTimer(minPollDelay)
	defer minimum.Stop()
	select {
	case <-ctx.Done():
		return
	case <-minimum.C:
	}
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-next.C:
	}
}

// poll reads the head and brings a newer revision into force. It returns the
// configuration in force afterwards.
func (f *Follower) poll(ctx context.Context, current historian.Configuration) historian.Configuration {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timeout)
	defer cancel()
	knownBefore := f.KnownRevision()
	head, err := f.options.Source.Head(ctx)
	if err != nil {
		f.handleReadError(ctx, knownBefore, err)
		return current
	}
	switch f.observeHead(head.Revision, knownBefore) {
	case headUnchanged:
		return current
	case headOlder:
		f.options.Log.Error("follower: The store went back to an older revision. Restore it, or publish again.",
			"revision", current.Revision, "head", head.Revision)
		return current
	}
	next, err := f.fetch(ctx, current, head)
	if err != nil {
		f.handleReadError(ctx, head.Revision, err)
		return current
	}
	table, err := next.Compile()
	if err != nil {
		f.recordRefusal(head.Revision, err)
		return current
	}
	f.activate(table, next)
	f.options.Log.Info("follower: A revision is in force.", "revision", head.Revision, "before", current.Revision)
	return next
}

// fetch reads the revision at the head. A configuration that was adopted from
// another entry may differ from the store's; so if the head can't be reached
// from current, the whole configuration is read instead.
func (f *Follower) fetch(ctx context.Context, current historian.Configuration, head historian.Head) (historian.Configuration, error) {
	next, err := f.options.Source.Advance(ctx, current, head)
	if err == nil || current.Revision == 0 || unanswered(ctx, err) {
		return next, err
	}
	return f.options.Source.Advance(ctx, historian.Configuration{}, head)
}

// observeHead records the head that a poll read and compares it with the
// revision in force. knownBefore is the highest known revision when the poll
// began.
func (f *Follower) observeHead(head, knownBefore uint64) headStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.observeHead(head, knownBefore, f.options.Now())
}

// activate brings a table into force, with the configuration it was compiled
// from.
func (f *Follower) activate(table *router.Table, configuration historian.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configuration.Store(&configuration)
	f.current.Store(table)
	f.state.setRevision(table.Revision())
}

// handleReadError records a failed read: either the store did not answer, or it
// answered with a revision that can't be used.
func (f *Follower) handleReadError(ctx context.Context, revision uint64, err error) {
	if !unanswered(ctx, err) {
		f.recordRefusal(revision, err)
		return
	}
	f.mu.Lock()
	isNew := f.state.recordUnanswered()
	f.mu.Unlock()
	if isNew {
		f.options.Log.Warn("follower: The store can't be read. The last revision stays in force.",
			"revision", f.Revision(), "error", err)
	}
}

// unanswered reports whether err means that the store did not answer, as
// opposed to an answer that can't be used.
func unanswered(ctx context.Context, err error) bool {
	kind := fault.KindOf(err)
	return kind == fault.Unavailable || kind == fault.Uncertain || ctx.Err() != nil
}

// recordRefusal records a revision that this version of the program can't bring
// into force, and logs it once.
func (f *Follower) recordRefusal(revision uint64, err error) {
	f.mu.Lock()
	isNew := f.state.recordRefusal(revision)
	f.mu.Unlock()
	if isNew {
		f.options.Log.Error("follower: A revision is refused here and not in force. Replace this entry by a newer version, or revert.",
			"revision", revision, "kept", f.Revision(), "error", err)
	}
}
