// Package announcer announces an agent to entries. It lists the entries from
// the platform's table, and keeps using the last list during an outage of the
// table service.
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
	// Interval is the mean time between two announcements to an entry. Load and
	// liveness are reported more often, in the frames of the entry's link.
	Interval = time.Minute
	// Lifetime is the time from an announcement to its expiry.
	Lifetime = 150 * time.Second
	// RetryInterval is the mean time between two announcements to an entry that
	// doesn't answer.
	RetryInterval = 2 * time.Second
	// ListInterval is the mean time between two reads of the list of entries.
	ListInterval = 10 * time.Second
	// SubsetSize is the number of entries to which an agent announces itself.
	SubsetSize = 4
	// announceTimeout bounds one round of announcements. It is below
	// RetryInterval, so that an unresponsive entry doesn't delay announcements
	// to others.
	announceTimeout = time.Second
	// listTimeout bounds one read of the list of entries.
	listTimeout = 10 * time.Second
	// maxListDelay bounds the random delay before the read that follows the
	// loss of an entry, so that its agents don't all read at the same time.
	maxListDelay = time.Second
)

// Options are the dependencies and intervals of an Announcer.
type Options struct {
	// Self is the announcement without Load and Expires, which are set each
	// time.
	Self dispatcher.Announcement
	// Load returns the current load.
	Load func() dispatcher.Load
	// OnRevision is called with the configuration revision in force at an entry
	// that answered.
	OnRevision func(revision uint64)
	// Table holds the list of entries. When reading it fails, the last list
	// stays in use.
	Table   tabler.Table
	Logger  *slog.Logger
	Metrics metrics.Registry
	// The intervals default to the constants of the same names.
	Interval      time.Duration
	RetryInterval time.Duration
	ListInterval  time.Duration
}

// Announcer announces one agent until it is closed.
type Announcer struct {
	o          Options
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// announceAll holds a token when announcements to all entries are due at
	// once.
	announceAll chan struct{}
	// entryAdded holds a token when the list has an entry that hasn't answered
	// yet.
	entryAdded chan struct{}
	// entryLost holds a token when an entry that answered before no longer
	// does.
	entryLost chan struct{}
	// clients is used only by the goroutine of announceLoop.
	clients map[task.Process]*client

	sent, failed, listFailed metrics.Counter

	mu sync.Mutex
	// entries are the entries to which the agent announces itself.
	entries []registrar.Member
	// lastAnswer holds the time of the last answer of each of entries. It is
	// zero for one that hasn't answered yet or whose last call failed.
	lastAnswer map[task.Process]time.Time
}

// New starts to announce an agent.
func New(o Options) *Announcer {
	o = o.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	a := &Announcer{
		o:           o,
		cancel:      cancel,
		announceAll: make(chan struct{}, 1),
		entryAdded:  make(chan struct{}, 1),
		entryLost:   make(chan struct{}, 1),
		clients:     make(map[task.Process]*client),
		lastAnswer:  make(map[task.Process]time.Time),
		sent:        metrics.GetOrRegisterCounter("announcements-sent", o.Metrics),
		failed:      metrics.GetOrRegisterCounter("announcements-failed", o.Metrics),
		listFailed:  metrics.GetOrRegisterCounter("entry-lists-failed", o.Metrics),
	}
	a.goroutines.Go(func() { a.listLoop(ctx) })
	a.goroutines.Go(func() { a.announceLoop(ctx) })
	return a
}

// AnnounceNow makes announcements to all entries due at once.
func (a *Announcer) AnnounceNow() { signal(a.announceAll) }

// Close stops the announcements. Entries drop the agent when its last
// announcement expires.
func (a *Announcer) Close() {
	a.cancel()
	a.goroutines.Wait()
}

// listLoop reads the list of entries periodically, and shortly after the loss
// of an entry. It has its own goroutine, so that a slow table service doesn't
// delay announcements.
func (a *Announcer) listLoop(ctx context.Context) {
	for {
		a.readList(ctx)
		if !a.awaitNextList(ctx) {
			return
		}
	}
}

// awaitNextList waits until the next read is due, which is sooner while no
// entry is known. It reports false if ctx ends first.
func (a *Announcer) awaitNextList(ctx context.Context) bool {
	interval := a.o.ListInterval
	if len(a.selected(true)) == 0 {
		interval = min(interval, a.o.RetryInterval)
	}
	timer := time.NewTimer(jittered(interval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-a.entryLost:
		return sleep(ctx, rand.N(min(maxListDelay, a.o.ListInterval)))
	}
}

// readList reads the list once and signals the announcing goroutine if it must
// act on it.
func (a *Announcer) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listed, err := registrar.List(ctx, a.o.Table)
	if err != nil {
		a.listFailed.Inc(1)
		a.o.Logger.Warn("announcer: Could not list the entries", "reason", err)
		return
	}
	added, expired := a.setEntries(listed, time.Now())
	if added {
		signal(a.entryAdded)
	}
	if expired {
		a.AnnounceNow()
	}
}

// setEntries selects entries from a new list. It reports whether one was added,
// and whether the row of a selected one has expired, so that an announcement
// must find out whether that entry still runs.
func (a *Announcer) setEntries(listed []registrar.Member, now time.Time) (added, expired bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = Subset(a.o.Self.Peer.Process.Name, a.o.Self.Zone, liveEntries(listed, a.lastAnswer, now), SubsetSize)
	lastAnswer := make(map[task.Process]time.Time, len(a.entries))
	for _, e := range a.entries {
		answeredAt, known := a.lastAnswer[e.Process]
		lastAnswer[e.Process] = answeredAt
		added = added || !known
		expired = expired || !now.Before(e.Expires)
	}
	a.lastAnswer = lastAnswer
	return added, expired
}

// liveEntries returns the listed entries whose row hasn't expired or that
// answered within Lifetime. An entry may be healthy although its row has
// expired, as after an outage of the table service. Of several incarnations of
// an entry, the one whose row expires last is returned.
func liveEntries(listed []registrar.Member, lastAnswer map[task.Process]time.Time, now time.Time) []registrar.Member {
	newest := make(map[string]registrar.Member, len(listed))
	for _, e := range listed {
		answeredRecently := now.Before(lastAnswer[e.Process].Add(Lifetime))
		if !answeredRecently && !now.Before(e.Expires) {
			continue
		}
		if other, ok := newest[e.Process.Name]; !ok || e.Expires.After(other.Expires) {
			newest[e.Process.Name] = e
		}
	}
	return slices.Collect(maps.Values(newest))
}

// selected returns all selected entries, or only those that have yet to answer.
func (a *Announcer) selected(all bool) []registrar.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	if all {
		return a.entries
	}
	return slices.DeleteFunc(slices.Clone(a.entries), func(e registrar.Member) bool {
		return !a.lastAnswer[e.Process].IsZero()
	})
}

// announceLoop announces the agent to all entries once per interval, and to
// those that haven't answered more often.
func (a *Announcer) announceLoop(ctx context.Context) {
	defer a.closeClientsExcept(nil)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var nextRound time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.announceAll:
			nextRound = time.Now()
		case <-a.entryAdded:
		case <-timer.C:
		}
		all := !time.Now().Before(nextRound)
		if all {
			nextRound = time.Now().Add(jittered(a.o.Interval))
		}
		a.announceTo(ctx, a.selected(all))
		next := time.Until(nextRound)
		if len(a.selected(false)) > 0 {
			next = min(next, jittered(a.o.RetryInterval))
		}
		timer.Reset(next)
	}
}

// announceTo announces the agent to the given entries concurrently.
func (a *Announcer) announceTo(ctx context.Context, entries []registrar.Member) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	a.closeClientsExcept(a.selected(true))
	announcement := a.o.Self
	announcement.Load = a.o.Load()
	announcement.Expires = time.Now().Add(Lifetime)
	message := encoder.AnnouncementToWire(announcement)
	var calls sync.WaitGroup
	for _, e := range entries {
		c := a.clientFor(e)
		calls.Go(func() { a.announce(ctx, c, message) })
	}
	calls.Wait()
}

// announce makes one call to an entry and records the outcome.
func (a *Announcer) announce(ctx context.Context, c *client, message *v1.AnnounceRequest) {
	a.sent.Inc(1)
	response, err := c.entryService().Announce(ctx, connect.NewRequest(message))
	if err == nil {
		err = checkSender(response.Msg, c.entry.Process)
	}
	if err != nil {
		c.closeConnection()
		a.recordFailure(c.entry.Process)
		a.o.Logger.Warn("announcer: Could not announce the agent", "entry", c.entry.Process.Name, "address", c.entry.Address, "reason", err)
		return
	}
	a.recordAnswer(c.entry.Process)
	a.o.OnRevision(response.Msg.GetRevision())
}

// checkSender returns an error if another process answered at the entry's
// address.
func checkSender(response *v1.AnnounceResponse, entry task.Process) error {
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

// recordAnswer records the time of an answer, unless the entry is no longer
// selected.
func (a *Announcer) recordAnswer(entry task.Process) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.lastAnswer[entry]; ok {
		a.lastAnswer[entry] = time.Now()
	}
}

// recordFailure causes a read of the list if the entry had answered before.
// Further failures of the same entry cause none.
func (a *Announcer) recordFailure(entry task.Process) {
	a.failed.Inc(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	answeredAt, ok := a.lastAnswer[entry]
	if !ok || answeredAt.IsZero() {
		return
	}
	a.lastAnswer[entry] = time.Time{}
	signal(a.entryLost)
}

// clientFor returns the client of an entry. It makes a new one if the address
// of the entry has changed.
func (a *Announcer) clientFor(e registrar.Member) *client {
	c := a.clients[e.Process]
	if c == nil || c.entry.Address != e.Address {
		if c != nil {
			c.closeConnection()
		}
		c = &client{entry: e}
		a.clients[e.Process] = c
	}
	return c
}

// closeClientsExcept closes the connections to processes that aren't in
// entries.
func (a *Announcer) closeClientsExcept(entries []registrar.Member) {
	keep := make(map[task.Process]bool, len(entries))
	for _, e := range entries {
		keep[e.Process] = true
	}
	for process, c := range a.clients {
		if !keep[process] {
			c.closeConnection()
			delete(a.clients, process)
		}
	}
}

func (o Options) withDefaults() Options {
	if o.Interval == 0 {
		o.Interval = Interval
	}
	if o.RetryInterval == 0 {
		o.RetryInterval = RetryInterval
	}
	if o.ListInterval == 0 {
		o.ListInterval = ListInterval
	}
	return o
}

// signal puts a token into a channel of capacity 1, unless it holds one
// already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// jittered returns a random duration between 3/4 and 5/4 of the mean.
func jittered(mean time.Duration) time.Duration {
	return mean*3/4 + rand.N(mean/2)
}

// sleep reports false if ctx ends before the pause is over.
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
