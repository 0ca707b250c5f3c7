// Package entry wires the duties of one entry: the callers', operators' and
// internal listeners, the links to agents, the claims, the configuration, and
// the goroutine that owns the deciding core.
package entry

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/claimer"
	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/connector"
	"agatevalve/dispatcher"
	"agatevalve/follower"
	"agatevalve/greeter"
	"agatevalve/historian"
	"agatevalve/linker"
	"agatevalve/listener"
	"agatevalve/loader"
	"agatevalve/receiver"
	"agatevalve/registrar"
	"agatevalve/router"
	"agatevalve/tabler"
	"agatevalve/waiter"
)

const (
	// keepBytes caps the answers kept for resubmissions.
	keepBytes = 64 << 20
	// memberPeriod is the time between renewals of the entry's row, each with a
	// look at the list; memberLifetime is how long the row outlives one.
	memberPeriod   = 5 * time.Second
	memberLifetime = 25 * time.Second
	// headerSlack is how far a header may exceed its limit and still get a
	// problem document in place of the server's bare refusal.
	headerSlack = 64 << 10
	// otherHeaderBytes caps headers on the listeners that callers can't reach.
	otherHeaderBytes = 64 << 10
)

// Options are the settings and shared dependencies of an Entry.
type Options struct {
	Settings loader.Entry
	// Table is the platform's table service; nil connects to Settings.Store.
	Table tabler.Table
	// Log may be nil.
	Log *slog.Logger
	// SweepRandom spreads the sweeps of old claims; nil takes a random seed.
	SweepRandom *rand.Rand
}

// Entry is one running entry.
type Entry struct {
	o        Options
	self     task.Process
	registry metrics.Registry
	waiters  *waiter.Registry
	// stopping is true from the start of a planned stop.
	stopping atomic.Bool
	// registered is closed once registrar is set.
	registered chan struct{}

	// connector is nil when the table came with the options.
	connector *connector.Client
	table     *watchedTable
	follower  *follower.Follower
	registrar *registrar.Registrar
	claimer   *claimer.Claimer
	sweeper   *claimer.Sweeper
	linker    *linker.Linker
	asker     *greeter.OwnerClient
	greeter   *greeter.Greeter
	loop      *loop

	callers  *listener.Listener
	ops      *listener.Listener
	internal *listener.Listener
}

// New starts an entry. It returns once all listeners are open; the entry is
// ready a little later, see Ready.
func New(o Options) (*Entry, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	self := task.Process{Name: o.Settings.Name, Incarnation: task.Incarnation(max(1, rand.Uint64()))}
	o.Log = o.Log.With("entry", self.Name)
	e := &Entry{o: o, self: self, registry: metrics.NewRegistry(), waiters: waiter.New(), registered: make(chan struct{})}
	if err := e.open(); err != nil {
		return nil, err
	}
	e.wire()
	e.serve()
	o.Log.Info("entry: Started", "incarnation", self.Incarnation, "callers", e.Callers(), "operators", e.Operators(), "internal", e.Internal())
	return e, nil
}

// Self returns the name and incarnation of the entry.
func (e *Entry) Self() task.Process { return e.self }

// Callers returns the address of the callers' listener.
func (e *Entry) Callers() netip.AddrPort { return e.callers.Address() }

// Operators returns the address of the operators' listener.
func (e *Entry) Operators() netip.AddrPort { return e.ops.Address() }

// Internal returns the address of the listener for agents and other entries.
func (e *Entry) Internal() netip.AddrPort { return e.internal.Address() }

// Ready reports whether the newest known configuration is in force here and
// the entry is not stopping.
func (e *Entry) Ready() bool { return e.notReady() == "" }

// Close stops the entry gracefully: it turns unready, serves on while its
// balancer notices, answers what is in flight, deregisters and ends. What is
// left when ctx ends is cut and reported.
func (e *Entry) Close(ctx context.Context) error {
	e.stopping.Store(true)
	e.o.Log.Info("entry: Stops", "notice", e.o.Settings.Limits.StopNotice)
	pause(ctx, e.o.Settings.Limits.StopNotice)
	e.loop.events.Put(ctx, dispatcher.DrainRequested{})
	err := e.callers.Stop(ctx)
	select {
	case <-e.loop.idle:
	case <-ctx.Done():
		err = errors.Join(err, fault.Wrap(ctx.Err(), fault.Expired, "raise stop-within", "tasks still ran"))
	}
	e.registrar.Close()
	err = errors.Join(err, e.internal.Stop(ctx))
	e.unwire()
	err = errors.Join(err, e.ops.Stop(ctx))
	e.o.Log.Info("entry: Stopped", "error", err)
	return err
}

// open opens all listeners or none.
func (e *Entry) open() error {
	var err error
	listeners := []struct {
		name   string
		at     netip.AddrPort
		opened **listener.Listener
	}{
		{"callers", e.o.Settings.Callers, &e.callers},
		{"operators", e.o.Settings.Operators, &e.ops},
		{"internal calls", e.o.Settings.Internal, &e.internal},
	}
	for i, l := range listeners {
		if *l.opened, err = listener.Open(l.name, l.at); err == nil {
			continue
		}
		for _, other := range listeners[:i] {
			err = errors.Join(err, (*other.opened).Close())
		}
		return err
	}
	return nil
}

// wire starts all duties but the listeners.
func (e *Entry) wire() {
	table := e.o.Table
	if table == nil {
		e.connector = connector.New(connector.Options{Store: e.o.Settings.Store})
		table = e.connector
	}
	e.table = newWatchedTable(table, e.registry)
	limits := e.o.Settings.Limits
	core := dispatcher.New(dispatcher.Options{
		Self:        e.self,
		Address:     e.Internal(),
		Zone:        e.o.Settings.Zone,
		QueueTasks:  limits.QueueTasks,
		KeepAnswers: limits.KeepAnswers,
		KeepBytes:   keepBytes,
		AnswerBytes: limits.AnswerBytes,
		Random:      newRandom(),
	})
	e.loop = newLoop(core, e.waiters, e.registry)
	e.follower = follower.New(follower.Options{
		Source: historian.New(e.table),
		Peers:  greeter.NewPeers(greeter.PeersOptions{Entries: e.entries, Self: e.self, Log: e.o.Log, Metrics: e.registry}),
		Log:    e.o.Log,
	})
	e.linker = linker.New(linker.Options{
		Self:            e.self,
		Events:          e.loop.events,
		Revision:        e.follower.Revision,
		OnNewerRevision: e.follower.NotifyRevision,
		Log:             e.o.Log,
		Metrics:         e.registry,
	})
	e.asker = greeter.NewOwnerClient(greeter.OwnerClientOptions{Events: e.loop.events, Log: e.o.Log, Metrics: e.registry})
	e.claimer = claimer.New(claimer.Options{
		Table:    e.table,
		Limits:   claimLimits(limits),
		Deliver:  func(ev dispatcher.Event) { e.loop.events.Put(context.Background(), ev) },
		Registry: e.registry,
		Log:      e.o.Log,
	})
	e.sweeper = claimer.NewSweeper(e.table, e.o.SweepRandom, e.o.Log)
	e.loop.links, e.loop.owners, e.loop.claims = e.linker, e.asker, e.claimer
	e.loop.start()
}

// serve opens the entry to callers, operators and its own kind.
func (e *Entry) serve() {
	limits := e.o.Settings.Limits
	e.greeter = greeter.New(greeter.Options{
		Self:            e.self,
		Events:          e.loop.events,
		Waiters:         e.waiters,
		Revision:        e.follower.Revision,
		OnNewerRevision: e.follower.NotifyRevision,
		Snapshot:        e.follower.Snapshot,
		OnAnnouncement:  e.linker.HandleAnnouncement,
		Status:          e.status,
		Log:             e.o.Log,
		Metrics:         e.registry,
	})
	callers := receiver.New(receiver.Options{
		Limits:   limits,
		Events:   e.loop.events,
		Waiters:  e.waiters,
		Table:    e.routes,
		Stopping: e.stopping.Load,
		Log:      e.o.Log,
		Metrics:  e.registry,
	})
	e.internal.Serve(e.greeter.Handler(), otherHeaderBytes, e.o.Log)
	e.callers.Serve(callers, limits.HeaderBytes+headerSlack, e.o.Log)
	e.ops.Serve(e.operators(), otherHeaderBytes, e.o.Log)
	e.registrar = registrar.New(registrar.Options{
		Table:         e.table,
		Member:        registrar.Member{Process: e.self, Address: e.Internal(), Zone: e.o.Settings.Zone},
		RenewInterval: memberPeriod,
		TTL:           memberLifetime,
		OnList:        e.hearMembers,
		Log:           e.o.Log,
	})
	close(e.registered)
}

// unwire ends all duties but the listeners.
func (e *Entry) unwire() {
	e.loop.close()
	e.asker.Close()
	e.sweeper.Close()
	e.claimer.Close()
	e.linker.Close()
	e.follower.Close()
	if e.connector != nil {
		e.connector.Close()
	}
}

// routes returns the table in force, or nil before there is one.
func (e *Entry) routes() *router.Table {
	table := e.follower.Current()
	if table.Revision() == 0 {
		return nil
	}
	return table
}

// hearMembers passes on the revisions that other entries have in force, and
// registers the one in force here. The members share the writes for claims.
func (e *Entry) hearMembers(members []registrar.Member) {
	e.claimer.SetEntries(len(members))
	for _, m := range members {
		e.follower.NotifyRevision(m.Revision)
	}
	<-e.registered
	e.registrar.SetRevision(e.follower.Revision())
}

// entries returns the entries of the list that was read last, or none before.
func (e *Entry) entries() []dispatcher.Peer {
	select {
	case <-e.registered:
	default:
		return nil
	}
	members, _ := e.registrar.Members()
	peers := make([]dispatcher.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, dispatcher.Peer{Process: m.Process, Address: m.Address})
	}
	return peers
}

func claimLimits(settings loader.Limits) claimer.Limits {
	limits := claimer.DefaultLimits()
	limits.FleetCommitsPerSecond = settings.ClaimWritesPerSecond
	return limits
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
