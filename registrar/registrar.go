package registrar

import (
	"context"
	"errors"
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
	// and from the start of a Registrar or the end of a store outage to the
	// first deletion.
	deleteDelay = time.Minute
	// maxDeletesPerRenewal bounds the expired rows deleted after one renewal.
	maxDeletesPerRenewal = 16
	// maxLoggedFaults bounds the malformed rows whose faults are logged.
	maxLoggedFaults = 3
	// callTimeoutIntervals is the timeout of a store call, in renewal intervals.
	callTimeoutIntervals = 2
)

// Options configure a Registrar.
type Options struct {
	Table tabler.Table
	// Member describes this entry; the Registrar sets Expires. If it has no
	// incarnation, nothing is registered and the Registrar only lists the
	// members.
	Member Member
	// RenewInterval is the interval between renewals; 0 selects the default.
	RenewInterval time.Duration
	// TTL is the time from a renewal to the expiry of the row; 0 selects the
	// default. It must be several times RenewInterval.
	TTL time.Duration
	// Random is the source of jitter; nil selects one with a random seed.
	Random *rand.Rand
	// OnList is called with the live members each time the list was read, even
	// if it is unchanged. It runs on the Registrar's goroutine, so it must not
	// call Close; it may be nil.
	OnList func([]Member)
	// Log may be nil.
	Log *slog.Logger
}

// Registrar renews the registration of one entry and periodically reads the list
// of all members. It is safe for concurrent use.
type Registrar struct {
	options Options
	// revisionChanges wakes the goroutine for an early renewal when the revision
	// has changed. Its item isn't used; revision holds the newest value.
	revisionChanges *ring.Ring[uint64]
	stop            context.CancelFunc
	loop            sync.WaitGroup
	// malformed is the number of rows that the last read skipped. Only the goroutine
	// uses it.
	malformed int
	mu        sync.Mutex
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

// New starts a Registrar, which registers its entry immediately.
func New(options Options) *Registrar {
	options = withDefaults(options)
	ctx, stop := context.WithCancel(context.Background())
	r := &Registrar{
		options:         options,
		revisionChanges: ring.New[uint64](1),
		stop:            stop,
		revision:        options.Member.Revision,
	}
	r.loop.Go(func() { r.run(ctx) })
	return r
}

// SetRevision sets the configuration revision to register and triggers an early
// renewal if it has changed. It doesn't wait for the renewal.
func (r *Registrar) SetRevision(revision uint64) {
	r.mu.Lock()
	changed := revision != r.revision
	r.revision = revision
	r.mu.Unlock()
	if changed {
		r.revisionChanges.Offer(revision) // If the ring is full, a renewal is already triggered.
	}
}

// Members returns the members that were live when the list was last read, and
// the time of that read. During a store outage it returns the last list read.
func (r *Registrar) Members() ([]Member, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members, r.listedAt
}

// Close deletes the registration, with a single attempt, and waits for the
// goroutine to end.
func (r *Registrar) Close() {
	r.stop()
	r.loop.Wait()
}

func (r *Registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.renew(ctx)
		r.refreshMembers(ctx)
		r.waitForRenewal(ctx)
	}
	r.deregister()
}

// waitForRenewal waits until the next renewal is due or the revision has
// changed.
func (r *Registrar) waitForRenewal(ctx context.Context) {
	timer := time.NewTimer(r.renewalDelay())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.revisionChanges.Ready():
		r.revisionChanges.TakeAll(nil)
	}
}

// renewalDelay returns the time until the next renewal: the interval minus some
// jitter, so that entries that started together don't stay synchronised.
func (r *Registrar) renewalDelay() time.Duration {
	jitter := r.options.Random.Int64N(int64(r.options.RenewInterval)/jitterDivisor + 1)
	return r.options.RenewInterval - time.Duration(jitter)
}

// renew writes this entry's row with a new expiry time.
func (r *Registrar) renew(ctx context.Context) {
	if !r.registersEntry() {
		return
	}
	member := r.options.Member
	r.mu.Lock()
	member.Revision = r.revision
	r.mu.Unlock()
	member.Expires = time.Now().Add(r.options.TTL)
	writes := []tabler.Write{{Key: KeyOf(member.Process), Unconditional: true, Value: EncodeRow(member)}}
	r.commit(ctx, writes, "could not renew the registration")
}

// refreshMembers reads the list of members, passes it to the callback and
// deletes rows that expired long ago.
func (r *Registrar) refreshMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeoutIntervals*r.options.RenewInterval)
	defer cancel()
	members, malformed, err := list(ctx, r.options.Table)
	if err != nil {
		r.options.Log.Warn("registrar: Could not list the entries", "error", err)
		return
	}
	if len(malformed) != r.malformed {
		r.malformed = len(malformed)
		examples := malformed[:min(len(malformed), maxLoggedFaults)]
		r.options.Log.Warn("registrar: Skips malformed rows in the list of entries", "count", r.malformed, "error", errors.Join(examples...))
	}
	now := time.Now()
	live, mayDelete := r.updateMembers(members, now)
	if r.options.OnList != nil {
		r.options.OnList(live)
	}
	if mayDelete && r.registersEntry() {
		r.deleteExpired(ctx, members, now)
	}
}

// updateMembers stores the live members of a list that was read at the time
// now. It returns them, and whether expired rows may be deleted. After a store
// outage all rows have expired until their entries renew them, so members that
// were live before the outage stay live for a grace period.
func (r *Registrar) updateMembers(members []Member, now time.Time) (live []Member, mayDelete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.listedAt) > r.options.TTL/2 {
		r.deleteFrom = now.Add(deleteDelay)
	}
	if !r.listedAt.IsZero() && now.Sub(r.listedAt) > r.options.TTL/2 {
		r.graceUntil = now.Add(r.options.TTL)
	}
	wereLive := make(map[task.Process]bool, len(r.members))
	if now.Before(r.graceUntil) {
		for _, m := range r.members {
			wereLive[m.Process] = true
		}
	}
	live = make([]Member, 0, len(members))
	for _, m := range members {
		if m.isLive(now) || wereLive[m.Process] {
			live = append(live, m)
		}
	}
	r.members, r.listedAt = live, now
	return live, now.After(r.deleteFrom)
}

// deleteExpired deletes the rows of entries that ended without deregistering.
func (r *Registrar) deleteExpired(ctx context.Context, members []Member, now time.Time) {
	var writes []tabler.Write
	for _, m := range members {
		if m.Expires.Add(deleteDelay).Before(now) && len(writes) < maxDeletesPerRenewal {
			writes = append(writes, tabler.Write{Key: KeyOf(m.Process), Unconditional: true, Delete: true})
		}
	}
	if len(writes) > 0 {
		r.commit(ctx, writes, "could not delete expired registrations")
	}
}

// deregister deletes this entry's row.
func (r *Registrar) deregister() {
	if !r.registersEntry() {
		return
	}
	writes := []tabler.Write{{Key: KeyOf(r.options.Member.Process), Unconditional: true, Delete: true}}
	r.commit(context.Background(), writes, "could not remove the registration")
}

// commit writes to the table. If that fails, it logs failure and the error. It
// doesn't retry; the next renewal or deletion does.
func (r *Registrar) commit(ctx context.Context, writes []tabler.Write, failure string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeoutIntervals*r.options.RenewInterval)
	defer cancel()
	if _, err := r.options.Table.Commit(ctx, writes); err != nil {
		r.options.Log.Warn("registrar: Store call failed: "+failure, "error", err)
	}
}

// registersEntry reports whether this Registrar registers an entry, rather than
// only listing the members.
func (r *Registrar) registersEntry() bool { return r.options.Member.Process.Incarnation != 0 }

func withDefaults(options Options) Options {
	if options.RenewInterval == 0 {
		options.RenewInterval = defaultRenewInterval
	}
	if options.TTL == 0 {
		options.TTL = defaultTTL
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	return options
}
