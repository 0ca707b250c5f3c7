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
	// Period is the mean time between two announcements.
	Period = 2 * time.Second
	// Lifetime is how long an announcement holds.
	Lifetime = 6 * time.Second
	// ListPeriod is the mean time between two reads of the entries.
	ListPeriod = 4 * time.Second
	// SubsetSize is how many entries an agent announces itself to.
	SubsetSize = 4
	// answerWithin bounds one announcement. It is below Period, so that a
	// silent entry delays no announcement to another.
	answerWithin = time.Second
	// listWithin bounds one read of the entries.
	listWithin = 10 * time.Second
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
	// ListEvery is the mean time between two reads of the entries; 0 takes
	// ListPeriod.
	ListEvery time.Duration
}

// Announcer announces one agent until it is closed.
type Announcer struct {
	o      Options
	cancel context.CancelFunc
	duties sync.WaitGroup
	// urgent holds a token when an announcement is due at once.
	urgent chan struct{}
	// clients belongs to the announcing goroutine.
	clients map[task.Process]*client

	sent, failed, listFailed metrics.Counter

	mu sync.Mutex
	// entries are those that the agent announces itself to.
	entries []registrar.Member
	// answered tells when each of entries last answered.
	answered map[task.Process]time.Time
}

// New starts to announce an agent.
func New(o Options) *Announcer {
	if o.ListEvery == 0 {
		o.ListEvery = ListPeriod
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &Announcer{
		o:          o,
		cancel:     cancel,
		urgent:     make(chan struct{}, 1),
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

// Nudge makes the next announcement due at once.
func (a *Announcer) Nudge() {
	select {
	case a.urgent <- struct{}{}:
	default:
	}
}

// Close ends the announcements. Entries forget the agent when the last one
// expires.
func (a *Announcer) Close() {
	a.cancel()
	a.duties.Wait()
}

// keepList reads the entries again and again. It is a duty of its own, so that
// a slow table service delays no announcement.
func (a *Announcer) keepList(ctx context.Context) {
	for {
		a.list(ctx)
		if !sleep(ctx, jittered(a.o.ListEvery)) {
			return
		}
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
	if a.replace(listed, time.Now()) {
		a.Nudge()
	}
}

// replace takes the new list and reports whether it names another process.
func (a *Announcer) replace(listed []registrar.Member, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = Subset(a.o.Self.Peer.Process.Name, present(listed, a.entries, a.answered, now), SubsetSize)
	answered := make(map[task.Process]time.Time, len(a.entries))
	changed := false
	for _, e := range a.entries {
		at, known := a.answered[e.Process]
		answered[e.Process] = at
		changed = changed || !known
	}
	a.answered = answered
	return changed
}

// present returns the listed entries that haven't expired, and those of known
// that have answered lately: after an outage of the table service an entry may
// be well whose row has expired. Of two runs of an entry the newer row counts.
func present(listed, known []registrar.Member, answered map[task.Process]time.Time, now time.Time) []registrar.Member {
	candidates := registrar.Live(listed, now)
	for _, e := range known {
		if now.Before(answered[e.Process].Add(Lifetime)) {
			candidates = append(candidates, e)
		}
	}
	newest := make(map[string]registrar.Member, len(candidates))
	for _, e := range candidates {
		if other, ok := newest[e.Process.Name]; !ok || e.Expires.After(other.Expires) {
			newest[e.Process.Name] = e
		}
	}
	return slices.Collect(maps.Values(newest))
}

func (a *Announcer) chosen() []registrar.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.entries
}

func (a *Announcer) keepAnnounced(ctx context.Context) {
	defer a.closeClients(nil)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.urgent:
		case <-timer.C:
		}
		a.announceAll(ctx)
		timer.Reset(jittered(Period))
	}
}

// announceAll tells all chosen entries at the same time.
func (a *Announcer) announceAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	entries := a.chosen()
	a.closeClients(entries)
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
		a.failed.Inc(1)
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
