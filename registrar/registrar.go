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
	defaultRenewInterval = 2 * time.Second
	defaultTTL           = 15 * time.Second
	// jitterDivisor bounds the jitter: it shortens a renewal interval by at most
	// 1/jitterDivisor of it.
	jitterDivisor = 4
	// deleteDelay is the minimum time from the expiry of a row to its deletion,
	// and from the start of a Keeper or the end of a store outage to the first
	// deletion.
	deleteDelay = time.Minute
	// maxDeletesPerRenewal bounds the expired rows deleted after one renewal.
	maxDeletesPerRenewal = 16
	// callTimeoutIntervals is the timeout of a store call, in renewal intervals.
	callTimeoutIntervals = 2
)

// Options configure a Keeper.
type Options struct {
	Table tabler.Table
	// Member describes this entry; the Keeper sets Expires. If it has no
	// incarnation, nothing is registered and the Keeper only lists the members.
	Member Member
	// Every is the interval between renewals; 0 selects the default.
	Every time.Duration
	// Lifetime is the time from a renewal to the expiry of the row; 0 selects
	// the default. It must be several times Every.
	Lifetime time.Duration
	// Random is the source of jitter; nil selects one with a random seed.
	Random *rand.Rand
	// Changed is called with the live members each time the list was read, even
	// if it is unchanged. It runs on the Keeper's goroutine, so it must not call
	// Close; it may be nil.
	Changed func([]Member)
	// Log may be nil.
	Log *slog.Logger
}

// Keeper renews the registration of one entry and periodically reads the list
// of all members. It is safe for concurrent use.
type Keeper struct {
	options Options
	// revisionChanges wakes the goroutine for an early renewal when the revision
	// has changed. Its item isn't used; revision holds the newest value.
	revisionChanges *ring.Ring[uint64]
	stop            context.CancelFunc
	loop            sync.WaitGroup
	mu              sync.Mutex
	// revision is the configuration revision to register.
	revision uint64
	// members holds the members that were live when the list was last read.
	members []Member
	// listedAt is the time of the last successful read of the list; zero before
	// the first.
	listedAt time.Time
	// graceUntil ends the grace period after a store outage, in which members
	// that were live before the outage still count as live.
	graceUntil time.Time
	// deleteFrom is the time from which expired rows may be deleted. It is well
	// after the end of an outage, so that no row is deleted that its entry is
	// about to renew.
	deleteFrom time.Time
}

// New starts a Keeper, which registers its entry immediately.
func New(options Options) *Keeper {
	options = withDefaults(options)
	ctx, stop := context.WithCancel(context.Background())
	k := &Keeper{
		options:         options,
		revisionChanges: ring.New[uint64](1),
		stop:            stop,
		revision:        options.Member.Revision,
	}
	k.loop.Go(func() { k.run(ctx) })
	return k
}

// SetRevision sets the configuration revision to register and triggers an early
// renewal if it has changed. It doesn't wait for the renewal.
func (k *Keeper) SetRevision(revision uint64) {
	k.mu.Lock()
	changed := revision != k.revision
	k.revision = revision
	k.mu.Unlock()
	if changed {
		k.revisionChanges.Offer(revision) // If the ring is full, a renewal is already triggered.
	}
}

// Members returns the members that were live when the list was last read, and
// the time of that read. During a store outage it returns the last list read.
func (k *Keeper) Members() ([]Member, time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.members, k.listedAt
}

// Close deletes the registration, with a single attempt, and waits for the
// goroutine to end.
func (k *Keeper) Close() {
	k.stop()
	k.loop.Wait()
}

func (k *Keeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		k.renew(ctx)
		k.refreshMembers(ctx)
		k.waitForRenewal(ctx)
	}
	k.deregister()
}

// waitForRenewal waits until the next renewal is due or the revision has
// changed.
func (k *Keeper) waitForRenewal(ctx context.Context) {
	timer := time.NewTimer(k.renewalDelay())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.revisionChanges.Ready():
		k.revisionChanges.TakeAll(nil)
	}
}

// renewalDelay returns the time until the next renewal: the interval minus some
// jitter, so that entries that started together don't stay synchronised.
func (k *Keeper) renewalDelay() time.Duration {
	jitter := k.options.Random.Int64N(int64(k.options.Every)/jitterDivisor + 1)
	return k.options.Every - time.Duration(jitter)
}

// renew writes this entry's row with a new expiry time.
func (k *Keeper) renew(ctx context.Context) {
	if !k.registersEntry() {
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

// refreshMembers reads the list of members, passes it to the callback and
// deletes rows that expired long ago.
func (k *Keeper) refreshMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeoutIntervals*k.options.Every)
	defer cancel()
	members, err := List(ctx, k.options.Table)
	if err != nil {
		k.options.Log.Warn("registrar: Could not list the entries", "error", err)
		return
	}
	now := time.Now()
	live, mayDelete := k.updateMembers(members, now)
	if k.options.Changed != nil {
		k.options.Changed(live)
	}
	if mayDelete && k.registersEntry() {
		k.deleteExpired(ctx, members, now)
	}
}

// updateMembers stores the live members of a list that was read at the time
// now. It returns them, and whether expired rows may be deleted. After a store
// outage all rows have expired until their entries renew them, so members that
// were live before the outage stay live for a grace period.
func (k *Keeper) updateMembers(members []Member, now time.Time) (live []Member, mayDelete bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.listedAt) > k.options.Lifetime/2 {
		k.deleteFrom = now.Add(deleteDelay)
	}
	if !k.listedAt.IsZero() && now.Sub(k.listedAt) > k.options.Lifetime/2 {
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
	k.members, k.listedAt = live, now
	return live, now.After(k.deleteFrom)
}

// deleteExpired deletes the rows of entries that ended without deregistering.
func (k *Keeper) deleteExpired(ctx context.Context, members []Member, now time.Time) {
	var writes []tabler.Write
	for _, m := range members {
		if m.Expires.Add(deleteDelay).Before(now) && len(writes) < maxDeletesPerRenewal {
			writes = append(writes, tabler.Write{Key: KeyOf(m.Process), Any: true, Delete: true})
		}
	}
	if len(writes) > 0 {
		k.commit(ctx, writes, "could not delete expired registrations")
	}
}

// deregister deletes this entry's row.
func (k *Keeper) deregister() {
	if !k.registersEntry() {
		return
	}
	writes := []tabler.Write{{Key: KeyOf(k.options.Member.Process), Any: true, Delete: true}}
	k.commit(context.Background(), writes, "could not remove the registration")
}

// commit writes to the table. If that fails, it logs failure and the error. It
// doesn't retry; the next renewal or deletion does.
func (k *Keeper) commit(ctx context.Context, writes []tabler.Write, failure string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeoutIntervals*k.options.Every)
	defer cancel()
	if _, err := k.options.Table.Commit(ctx, writes); err != nil {
		k.options.Log.Warn("registrar: Store call failed: "+failure, "error", err)
	}
}

// registersEntry reports whether this Keeper registers an entry, rather than
// only listing the members.
func (k *Keeper) registersEntry() bool { return k.options.Member.Process.Incarnation != 0 }

func withDefaults(options Options) Options {
	if options.Every == 0 {
		options.Every = defaultRenewInterval
	}
	if options.Lifetime == 0 {
		options.Lifetime = defaultTTL
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	return options
}
