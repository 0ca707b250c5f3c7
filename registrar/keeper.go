package registrar

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/tabler"
)

const (
	defaultEvery    = 2 * time.Second
	defaultLifetime = 15 * time.Second
	// jitterPart is the inverse of the part of a period that jitter may take off.
	jitterPart = 4
	// forgetAfter is how long an expired row stays before any keeper deletes it.
	forgetAfter = time.Minute
	// maxForgotten bounds the rows that one renewal deletes.
	maxForgotten = 16
	// callWithin bounds one call to the store in periods.
	callWithin = 2
)

// Options configure a Keeper.
type Options struct {
	Table tabler.Table
	// Member is this entry; Expires is set by the Keeper. A Member without an
	// incarnation isn't registered: the Keeper only lists then.
	Member Member
	// Every is the time between renewals; 0 takes the default.
	Every time.Duration
	// Lifetime is how long a row outlives its renewal; 0 takes the default.
	// It must be several times Every.
	Lifetime time.Duration
	// Random provides jitter; nil takes a random seed.
	Random *rand.Rand
	// Changed is called on the Keeper's goroutine after each list that was
	// read; it may be nil and must not call Close.
	Changed func([]Member)
	// Log may be nil.
	Log *slog.Logger
}

// Keeper renews the membership of one entry and keeps the list of all. It is
// safe for concurrent use.
type Keeper struct {
	options Options
	// revisions holds the newest revision that waits for its renewal.
	revisions *ring.Ring[uint64]
	stop      context.CancelFunc
	loop      sync.WaitGroup
	mu        sync.Mutex
	// revision is the configuration revision to register.
	revision uint64
	// members are those that were live when the list was last read.
	members []Member
	// seen is when the list was last read; zero before.
	seen time.Time
	// graceUntil is when members that expired during an outage are given up.
	graceUntil time.Time
	// forgetFrom is when expired rows may be deleted. It lies well after an
	// outage, so that no row is deleted that its entry is about to renew.
	forgetFrom time.Time
}

// New starts a Keeper, which registers its entry at once.
func New(options Options) *Keeper {
	options = withDefaults(options)
	ctx, stop := context.WithCancel(context.Background())
	k := &Keeper{
		options:   options,
		revisions: ring.New[uint64](1),
		stop:      stop,
		revision:  options.Member.Revision,
	}
	k.loop.Go(func() { k.run(ctx) })
	return k
}

// SetRevision registers the configuration revision in force, soon.
func (k *Keeper) SetRevision(revision uint64) {
	k.mu.Lock()
	changed := revision != k.revision
	k.revision = revision
	k.mu.Unlock()
	if changed {
		k.revisions.Offer(revision) // A full ring has a renewal under way.
	}
}

// Members returns the entries that were live when the list was last read, and
// when that was. An outage of the store leaves the last list in place.
func (k *Keeper) Members() ([]Member, time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.members, k.seen
}

// Close removes the registration, unless the store fails, and waits for the
// goroutine.
func (k *Keeper) Close() {
	k.stop()
	k.loop.Wait()
}

func (k *Keeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		k.renew(ctx)
		k.list(ctx)
		k.rest(ctx)
	}
	k.remove()
}

// rest waits for the next renewal, or for a revision to tell of.
func (k *Keeper) rest(ctx context.Context) {
	timer := time.NewTimer(k.pause())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.revisions.Ready():
		k.revisions.TakeAll(nil)
	}
}

// pause returns the time to the next renewal: Every less some jitter, so that
// entries that started together drift apart.
func (k *Keeper) pause() time.Duration {
	jitter := k.options.Random.Int64N(int64(k.options.Every)/jitterPart + 1)
	return k.options.Every - time.Duration(jitter)
}

func (k *Keeper) renew(ctx context.Context) {
	if !k.registered() {
		return
	}
	member := k.options.Member
	k.mu.Lock()
	member.Revision = k.revision
	k.mu.Unlock()
	member.Expires = time.Now().Add(k.options.Lifetime)
	writes := []tabler.Write{{Key: KeyOf(member.Process), Any: true, Value: EncodeRow(member)}}
	k.commit(ctx, writes, "could not renew the registration")
}

func (k *Keeper) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callWithin*k.options.Every)
	defer cancel()
	members, err := List(ctx, k.options.Table)
	if err != nil {
		k.options.Log.Warn("registrar: Could not list the entries", "error", err)
		return
	}
	now := time.Now()
	live, forget := k.update(members, now)
	if k.options.Changed != nil {
		k.options.Changed(live)
	}
	if forget && k.registered() {
		k.forget(ctx, members, now)
	}
}

// update takes a list that was read. It returns the live members, and whether
// expired rows may be deleted. After an outage all rows have expired until
// their entries have renewed, so those that were live before it get the time
// for that.
func (k *Keeper) update(members []Member, now time.Time) (live []Member, forget bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.seen) > k.options.Lifetime/2 {
		k.forgetFrom = now.Add(forgetAfter)
	}
	if !k.seen.IsZero() && now.Sub(k.seen) > k.options.Lifetime/2 {
		k.graceUntil = now.Add(k.options.Lifetime)
	}
	wereLive := make(map[task.Process]bool, len(k.members))
	if now.Before(k.graceUntil) {
		for _, m := range k.members {
			wereLive[m.Process] = true
		}
	}
	live = make([]Member, 0, len(members))
	for _, m := range members {
		if now.Before(m.Expires) || wereLive[m.Process] {
			live = append(live, m)
		}
	}
	k.members, k.seen = live, now
	return live, now.After(k.forgetFrom)
}

// forget deletes rows of entries that ended without removing them.
func (k *Keeper) forget(ctx context.Context, members []Member, now time.Time) {
	var writes []tabler.Write
	for _, m := range members {
		if m.Expires.Add(forgetAfter).Before(now) && len(writes) < maxForgotten {
			writes = append(writes, tabler.Write{Key: KeyOf(m.Process), Any: true, Delete: true})
		}
	}
	if len(writes) > 0 {
		k.commit(ctx, writes, "could not delete expired registrations")
	}
}

func (k *Keeper) remove() {
	if !k.registered() {
		return
	}
	writes := []tabler.Write{{Key: KeyOf(k.options.Member.Process), Any: true, Delete: true}}
	k.commit(context.Background(), writes, "could not remove the registration")
}

func (k *Keeper) commit(ctx context.Context, writes []tabler.Write, complaint string) {
	ctx, cancel := context.WithTimeout(ctx, callWithin*k.options.Every)
	defer cancel()
	if _, err := k.options.Table.Commit(ctx, writes); err != nil {
		k.options.Log.Warn("registrar: Store call failed: "+complaint, "error", err)
	}
}

func (k *Keeper) registered() bool { return k.options.Member.Process.Incarnation != 0 }

func withDefaults(options Options) Options {
	if options.Every == 0 {
		options.Every = defaultEvery
	}
	if options.Lifetime == 0 {
		options.Lifetime = defaultLifetime
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	return options
}
