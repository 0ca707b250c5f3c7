// Package entry wires an entry: the listeners for callers, operators and
// internal calls, the links to agents, the claims of jobs, the configuration,
// and the goroutine that owns the decision core.
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
	// maxKeptAnswerBytes caps the total size of the answers kept for
	// resubmissions.
	maxKeptAnswerBytes = 64 << 20
	// memberRenewInterval is the time between renewals of the entry's row in
	// the table of entries; each renewal also reads the list. memberTTL is the
	// lifetime of the row after a renewal.
	memberRenewInterval = 5 * time.Second
	memberTTL           = 25 * time.Second
	// headerSlackBytes is added to the header limit of the HTTP server, so that
	// a header slightly above the limit is refused with a problem document and
	// not with the server's plain-text error.
	headerSlackBytes = 64 << 10
	// otherMaxHeaderBytes caps headers on the operators' and the internal
	// listener, which callers can't reach.
	otherMaxHeaderBytes = 64 << 10
)

// Options are the settings and shared dependencies of an Entry.
type Options struct {
	Settings loader.Entry
	// Table is the platform's table service; if nil, New connects to
	// Settings.Store.
	Table tabler.Table
	// Log may be nil.
	Log *slog.Logger
	// SweepRandom determines the delays between sweeps of old claims; nil uses
	// a random seed.
	SweepRandom *rand.Rand
}

// Entry is a running entry.
type Entry struct {
	options  Options
	self     task.Process
	registry metrics.Registry
	waiters  *waiter.Registry
	// stopping is set when a graceful shutdown begins.
	stopping atomic.Bool
	// registrarSet is closed once the field registrar is set.
	registrarSet chan struct{}

	// connector is nil when Options.Table is set.
	connector   *connector.Client
	table       *instrumentedTable
	follower    *follower.Follower
	registrar   *registrar.Registrar
	claimer     *claimer.Claimer
	sweeper     *claimer.Sweeper
	linker      *linker.Linker
	ownerClient *greeter.OwnerClient
	greeter     *greeter.Greeter
	loop        *loop

	callers   *listener.Listener
	operators *listener.Listener
	internal  *listener.Listener
}

// New starts an entry and returns once all listeners are open. The entry
// becomes ready later, when it has loaded the configuration; see Ready.
func New(o Options) (*Entry, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	self := task.Process{Name: o.Settings.Name, Incarnation: task.Incarnation(max(1, rand.Uint64()))}
	o.Log = o.Log.With("entry", self.Name)
	e := &Entry{options: o, self: self, registry: metrics.NewRegistry(), waiters: waiter.New(), registrarSet: make(chan struct{})}
	if err := e.openListeners(); err != nil {
		return nil, err
	}
	e.startComponents()
	e.serveListeners()
	o.Log.Info("entry: Started", "incarnation", self.Incarnation, "callers", e.Callers(), "operators", e.Operators(), "internal", e.Internal())
	return e, nil
}

// Self returns the name and incarnation of the entry.
func (e *Entry) Self() task.Process { return e.self }

// Callers returns the address of the callers' listener.
func (e *Entry) Callers() netip.AddrPort { return e.callers.Address() }

// Operators returns the address of the operators' listener.
func (e *Entry) Operators() netip.AddrPort { return e.operators.Address() }

// Internal returns the address of the listener for agents and other entries.
func (e *Entry) Internal() netip.AddrPort { return e.internal.Address() }

// Ready reports whether the newest known configuration is in force and the
// entry is not shutting down.
func (e *Entry) Ready() bool { return e.notReady() == "" }

// Close shuts the entry down gracefully: it reports itself as not ready, goes
// on serving for the setting stop-notice so that the load balancer notices,
// answers the requests in flight, deregisters and ends. Work that is unfinished
// when ctx ends is cut off and reported as an error.
func (e *Entry) Close(ctx context.Context) error {
	e.stopping.Store(true)
	e.options.Log.Info("entry: Stopping", "notice", e.options.Settings.Limits.StopNotice)
	sleep(ctx, e.options.Settings.Limits.StopNotice)
	e.loop.events.Put(ctx, dispatcher.DrainRequested{})
	err := e.callers.Stop(ctx)
	select {
	case <-e.loop.idle:
	case <-ctx.Done():
		err = errors.Join(err, fault.Wrap(ctx.Err(), fault.Expired, "raise stop-within", "tasks still ran"))
	}
	e.registrar.Close()
	err = errors.Join(err, e.internal.Stop(ctx))
	e.closeComponents()
	err = errors.Join(err, e.operators.Stop(ctx))
	e.options.Log.Info("entry: Stopped", "error", err)
	return err
}

// openListeners opens all listeners, or none if one fails.
func (e *Entry) openListeners() error {
	var err error
	listeners := []struct {
		name   string
		at     netip.AddrPort
		opened **listener.Listener
	}{
		{"callers", e.options.Settings.Callers, &e.callers},
		{"operators", e.options.Settings.Operators, &e.operators},
		{"internal calls", e.options.Settings.Internal, &e.internal},
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

// startComponents starts everything but the listeners, their handlers and the
// registrar.
func (e *Entry) startComponents() {
	table := e.options.Table
	if table == nil {
		e.connector = connector.New(connector.Options{Store: e.options.Settings.Store})
		table = e.connector
	}
	e.table = newInstrumentedTable(table, e.registry)
	limits := e.options.Settings.Limits
	core := dispatcher.New(dispatcher.Options{
		Self:        e.self,
		Address:     e.Internal(),
		Zone:        e.options.Settings.Zone,
		QueueTasks:  limits.QueueTasks,
		KeepAnswers: limits.KeepAnswers,
		KeepBytes:   maxKeptAnswerBytes,
		AnswerBytes: limits.AnswerBytes,
		Random:      newRandom(),
	})
	e.loop = newLoop(core, e.waiters, e.registry)
	e.follower = follower.New(follower.Options{
		Source: historian.New(e.table),
		Peers:  greeter.NewPeers(greeter.PeersOptions{Entries: e.memberPeers, Self: e.self, Log: e.options.Log, Metrics: e.registry}),
		Log:    e.options.Log,
	})
	e.linker = linker.New(linker.Options{
		Self:            e.self,
		Events:          e.loop.events,
		Revision:        e.follower.Revision,
		OnNewerRevision: e.follower.NotifyRevision,
		Log:             e.options.Log,
		Metrics:         e.registry,
	})
	e.ownerClient = greeter.NewOwnerClient(greeter.OwnerClientOptions{Events: e.loop.events, Log: e.options.Log, Metrics: e.registry})
	e.claimer = claimer.New(claimer.Options{
		Table:    e.table,
		Limits:   claimLimits(limits),
		Deliver:  func(ev dispatcher.Event) { e.loop.events.Put(context.Background(), ev) },
		Registry: e.registry,
		Log:      e.options.Log,
	})
	e.sweeper = claimer.NewSweeper(e.table, e.options.SweepRandom, e.options.Log)
	e.loop.links, e.loop.owners, e.loop.claims = e.linker, e.ownerClient, e.claimer
	e.loop.start()
}

// serveListeners starts serving callers, operators and internal calls, and then
// registers the entry.
func (e *Entry) serveListeners() {
	limits := e.options.Settings.Limits
	e.greeter = greeter.New(greeter.Options{
		Self:            e.self,
		Events:          e.loop.events,
		Waiters:         e.waiters,
		Revision:        e.follower.Revision,
		OnNewerRevision: e.follower.NotifyRevision,
		Snapshot:        e.follower.Snapshot,
		OnAnnouncement:  e.linker.HandleAnnouncement,
		Status:          e.status,
		Log:             e.options.Log,
		Metrics:         e.registry,
	})
	callers := receiver.New(receiver.Options{
		Limits:   limits,
		Events:   e.loop.events,
		Waiters:  e.waiters,
		Table:    e.routingTable,
		Stopping: e.stopping.Load,
		Log:      e.options.Log,
		Metrics:  e.registry,
	})
	e.internal.Serve(e.greeter.Handler(), otherMaxHeaderBytes, e.options.Log)
	e.callers.Serve(callers, limits.HeaderBytes+headerSlackBytes, e.options.Log)
	e.operators.Serve(e.operatorsHandler(), otherMaxHeaderBytes, e.options.Log)
	e.registrar = registrar.New(registrar.Options{
		Table:         e.table,
		Member:        registrar.Member{Process: e.self, Address: e.Internal(), Zone: e.options.Settings.Zone},
		RenewInterval: memberRenewInterval,
		TTL:           memberTTL,
		OnList:        e.observeMembers,
		Log:           e.options.Log,
	})
	close(e.registrarSet)
}

// closeComponents closes what startComponents started.
func (e *Entry) closeComponents() {
	e.loop.close()
	e.ownerClient.Close()
	e.sweeper.Close()
	e.claimer.Close()
	e.linker.Close()
	e.follower.Close()
	if e.connector != nil {
		e.connector.Close()
	}
}

// routingTable returns the routing table in force, or nil when no configuration
// has been loaded yet.
func (e *Entry) routingTable() *router.Table {
	table := e.follower.Current()
	if table.Revision() == 0 {
		return nil
	}
	return table
}

// observeMembers handles a new list of the registered entries. It passes their
// configuration revisions to the follower, registers this entry's own revision,
// and sets the number of entries that share the rate of claim writes.
func (e *Entry) observeMembers(members []registrar.Member) {
	e.claimer.SetEntries(len(members))
	for _, m := range members {
		e.follower.NotifyRevision(m.Revision)
	}
	<-e.registrarSet
	e.registrar.SetRevision(e.follower.Revision())
}

// memberPeers returns the entries in the list that was read last, or none
// before the first one.
func (e *Entry) memberPeers() []dispatcher.Peer {
	select {
	case <-e.registrarSet:
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

// claimLimits returns the claimer's limits with the write rate of the settings.
func claimLimits(settings loader.Limits) claimer.Limits {
	limits := claimer.DefaultLimits()
	limits.FleetCommitsPerSecond = settings.ClaimWritesPerSecond
	return limits
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
