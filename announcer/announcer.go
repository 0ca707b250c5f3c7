// Package announcer tells entries that an agent is there. It finds the entries
// in the platform's table, and keeps the last list while the table service has
// an outage.
package announcer

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/encoder"
	"agatevalve/registrar"
	"agatevalve/tabler"
	v1 "agatevalve/wire/agatevalvev1"
)

const (
	// Period is the mean time between two announcements. Load and liveness don't
	// wait for it: they ride on the frames of the entry's link.
	Period = time.Minute
	// Lifetime is how long an announcement holds.
	Lifetime = 150 * time.Second
	// RetryPeriod is the mean time between two announcements to an entry that
	// doesn't answer.
	RetryPeriod = 2 * time.Second
	// ListPeriod is the mean time between two reads of the entries.
	ListPeriod = 10 * time.Second
	// SubsetSize is how many entries an agent announces itself to.
	SubsetSize = 4
	// answerWithin bounds one announcement. It is below RetryPeriod, so that a
	// silent entry delays no announcement to another.
	answerWithin = time.Second
	// listWithin bounds one read of the entries.
	listWithin = 10 * time.Second
	// listSpread bounds the pause before the read that a lost entry causes, so
	// that the agents of a lost entry don't read at once.
	listSpread = time.Second
)

// Options are the dependencies of an Announcer.
type Options struct {
	// Self is announced with its place and pools; Load and Expires are set for
	// each announcement.
	Self dispatcher.Announcement
	// Load returns the present load.
	Load func() dispatcher.Load
	// Hear takes the revision that an entry has in force.
	Hear func(revision uint64)
	// Table holds the entries. An error of it leaves the last list in use.
	Table   tabler.Table
	Logger  *slog.Logger
	Metrics metrics.Registry
	// Every, RetryEvery and ListEvery take the place of Period, RetryPeriod and
	// ListPeriod unless 0.
	Every      time.Duration
	RetryEvery time.Duration
	ListEvery  time.Duration
}

// Announcer announces one agent until it is closed.
type Announcer struct {
	o      Options
	cancel context.CancelFunc
	duties sync.WaitGroup
	// urgent holds a token when announcements to all entries are due at once.
	urgent chan struct{}
	// fresh holds a token when there is an entry that hasn't answered yet.
	fresh chan struct{}
	// lost holds a token when an entry that had answered no longer does.
	lost chan struct{}
	// clients belongs to the announcing goroutine.
	clients map[task.Process]*client

	sent, failed, listFailed metrics.Counter

	mu sync.Mutex
	// entries are those that the agent announces itself to.
	entries []registrar.Member
	// answered tells when each of entries last answered; zero when it hasn't,
	// or has failed since.
	answered map[task.Process]time.Time
}

// New starts to announce an agent.
func New(o Options) *Announcer {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	a := &Announcer{
		o:          o,
		cancel:     cancel,
		urgent:     make(chan struct{}, 1),
		fresh:      make(chan struct{}, 1),
		lost:       make(chan struct{}, 1),
		clients:    make(map[task.Process]*client),
		answered:   make(map[task.Process]time.Time),
		sent:       metrics.GetOrRegisterCounter("announcements-sent", o.Metrics),
		failed:     metrics.GetOrRegisterCounter("announcements-failed", o.Metrics),
		listFailed: metrics.GetOrRegisterCounter("entry-lists-failed", o.Metrics),
	}
	a.duties.Go(func() { a.keepList(ctx) })
	a.duties.Go(func() { a.keepAnnounced(ctx) })
	return a
}

// Nudge makes announcements to all entries due at once.
func (a *Announcer) Nudge() { signal(a.urgent) }

// Close ends the announcements. Entries forget the agent when the last one
// expires.
func (a *Announcer) Close() {
	a.cancel()
	a.duties.Wait()
}

// keepList reads the entries again and again, and soon after one of them was
// lost. It is a duty of its own, so that a slow table service delays no
// announcement.
func (a *Announcer) keepList(ctx context.Context) {
	for {
		a.list(ctx)
		if !a.awaitList(ctx) {
			return
		}
	}
}

// awaitList waits for the next read, which comes sooner while there is no entry
// to announce to. It reports false when ctx ends first.
func (a *Announcer) awaitList(ctx context.Context) bool {
	every := a.o.ListEvery
	if len(a.chosen(true)) == 0 {
		every = min(every, a.o.RetryEvery)
	}
	timer := time.NewTimer(jittered(every))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-a.lost:
		return sleep(ctx, rand.N(min(listSpread, a.o.ListEvery)))
	}
}

func (a *Announcer) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listWithin)
	defer cancel()
	listed, err := registrar.List(ctx, a.o.Table)
	if err != nil {
		a.listFailed.Inc(1)
		a.o.Logger.Warn("announcer: Could not list the entries", "reason", err)
		return
	}
	changed, doubtful := a.replace(listed, time.Now())
	if changed {
		signal(a.fresh)
	}
	if doubtful {
		a.Nudge()
	}
}

// replace takes the new list. It reports whether it names another process, and
// whether a chosen one has let its row expire, which an announcement finds out
// about.
func (a *Announcer) replace(listed []registrar.Member, now time.Time) (changed, doubtful bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = Subset(a.o.Self.Peer.Process.Name, a.o.Self.Zone, present(listed, a.answered, now), SubsetSize)
	answered := make(map[task.Process]time.Time, len(a.entries))
	for _, e := range a.entries {
		at, known := a.answered[e.Process]
		answered[e.Process] = at
		changed = changed || !known
		doubtful = doubtful || !now.Before(e.Expires)
	}
	a.answered = answered
	return changed, doubtful
}

// present returns the listed entries that haven't expired, and those that have
// answered lately: after an outage of the table service an entry may be well
// whose row has expired. Of two runs of an entry the newer row counts.
func present(listed []registrar.Member, answered map[task.Process]time.Time, now time.Time) []registrar.Member {
	newest := make(map[string]registrar.Member, len(listed))
	for _, e := range listed {
		lately := now.Before(answered[e.Process].Add(Lifetime))
		if !lately && !now.Before(e.Expires) {
			continue
		}
		if other, ok := newest[e.Process.Name]; !ok || e.Expires.After(other.Expires) {
			newest[e.Process.Name] = e
		}
	}
	return slices.Collect(maps.Values(newest))
}

// chosen returns the entries, or those of them that haven't answered.
func (a *Announcer) chosen(all bool) []registrar.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	if all {
		return a.entries
	}
	return slices.DeleteFunc(slices.Clone(a.entries), func(e registrar.Member) bool {
		return !a.answered[e.Process].IsZero()
	})
}

func (a *Announcer) keepAnnounced(ctx context.Context) {
	defer a.closeClients(nil)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var allDue time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.urgent:
			allDue = time.Now()
		case <-a.fresh:
		case <-timer.C:
		}
		all := !time.Now().Before(allDue)
		if all {
			allDue = time.Now().Add(jittered(a.o.Every))
		}
		a.announceTo(ctx, a.chosen(all))
		next := time.Until(allDue)
		if len(a.chosen(false)) > 0 {
			next = min(next, jittered(a.o.RetryEvery))
		}
		timer.Reset(next)
	}
}

// announceTo tells entries at the same time.
func (a *Announcer) announceTo(ctx context.Context, entries []registrar.Member) {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	a.closeClients(a.chosen(true))
	announcement := a.o.Self
	announcement.Load = a.o.Load()
	announcement.Expires = time.Now().Add(Lifetime)
	message := encoder.AnnouncementToWire(announcement)
	var calls sync.WaitGroup
	for _, e := range entries {
		c := a.clientOf(e)
		calls.Go(func() { a.announce(ctx, c, message) })
	}
	calls.Wait()
}

func (a *Announcer) announce(ctx context.Context, c *client, message *v1.AnnounceRequest) {
	a.sent.Inc(1)
	response, err := c.service().Announce(ctx, connect.NewRequest(message))
	if err == nil {
		err = checkFrom(response.Msg, c.entry.Process)
	}
	if err != nil {
		c.drop()
		a.noteFailure(c.entry.Process)
		a.o.Logger.Warn("announcer: Could not announce the agent", "entry", c.entry.Process.Name, "address", c.entry.Address, "reason", err)
		return
	}
	a.noteAnswer(c.entry.Process)
	a.o.Hear(response.Msg.GetRevision())
}

// checkFrom returns an error when another process has taken the address.
func checkFrom(response *v1.AnnounceResponse, entry task.Process) error {
	from, err := encoder.ProcessFromWire(response.GetFrom())
	if err != nil {
		return err
	}
	if from != entry {
		return fault.New(fault.NotFound, "wait until the entries are listed again",
			"%s answered instead of %s", from.Name, entry.Name)
	}
	return nil
}

func (a *Announcer) noteAnswer(entry task.Process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.answered[entry]; ok {
		a.answered[entry] = time.Now()
	}
}

// noteFailure makes the list be read again when the entry had answered before.
// One that goes on failing causes no further reads.
func (a *Announcer) noteFailure(entry task.Process) {
	a.failed.Inc(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.answered[entry]
	if !ok || at.IsZero() {
		return
	}
	a.answered[entry] = time.Time{}
	signal(a.lost)
}

func (a *Announcer) clientOf(e registrar.Member) *client {
	c := a.clients[e.Process]
	if c == nil || c.entry.Address != e.Address {
		if c != nil {
			c.drop()
		}
		c = &client{entry: e}
		a.clients[e.Process] = c
	}
	return c
}

// closeClients closes the connections to processes that are not in entries.
func (a *Announcer) closeClients(entries []registrar.Member) {
	keep := make(map[task.Process]bool, len(entries))
	for _, e := range entries {
		keep[e.Process] = true
	}
	for process, c := range a.clients {
		if !keep[process] {
			c.drop()
			delete(a.clients, process)
		}
	}
}

func (o Options) withDefaults() Options {
	if o.Every == 0 {
		o.Every = Period
	}
	if o.RetryEvery == 0 {
		o.RetryEvery = RetryPeriod
	}
	if o.ListEvery == 0 {
		o.ListEvery = ListPeriod
	}
	return o
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// jittered returns a time between 3/4 and 5/4 of the mean.
func jittered(mean time.Duration) time.Duration {
	return mean*3/4 + rand.N(mean/2)
}

func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
