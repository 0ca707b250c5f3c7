// Package attendant joins the parts of an agent: the listener for entries, the
// client of the minion, the announcements, and the core that decides.
package attendant

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/announcer"
	"agatevalve/common/fault"
	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/listener"
	"agatevalve/loader"
	"agatevalve/runner"
	"agatevalve/tabler"
)

const (
	// DefaultQueueLength is how many accepted tasks wait for a slot, so that the
	// minion gets the next one without a round trip to an entry, and several
	// entries that find the same slot free are not refused.
	DefaultQueueLength = 8
	// DefaultLinger is how long a leaving agent goes on refusing after the last
	// start came, so that no start in flight is cut.
	DefaultLinger = time.Second
	// inputs caps the events that wait for the core.
	inputs = 1024
	// resultParts is what part of the result memory one open task may use, in
	// addition to an equal part for results that wait to be fetched.
	resultParts = 2
)

// Options are the settings and dependencies of an Attendant.
type Options struct {
	Settings loader.Agent
	// Table is the platform's table service, which lists the entries.
	Table   tabler.Table
	Logger  *slog.Logger
	Metrics metrics.Registry
	// QueueLength caps the accepted tasks that wait; 0 takes the default and a
	// negative one means none.
	QueueLength int
	// Linger is how long a leaving agent waits for starts in flight; 0 takes
	// the default.
	Linger time.Duration
}

// Attendant is a running agent.
type Attendant struct {
	o        Options
	self     task.Process
	address  netip.AddrPort
	counters counters
	minion   *Minion
	server   *http.Server
	// ops is the operators' listener, or nil.
	ops       *listener.Listener
	announcer *announcer.Announcer
	duties    sync.WaitGroup
	// ctx ends when the attendant closes; it bounds the calls to the minion.
	ctx    context.Context
	cancel context.CancelFunc
	inputs *ring.Ring[input]
	calls  *ring.Ring[call]
	// load is the core's load after its last step.
	load    atomic.Pointer[dispatcher.Load]
	tickets tickets
	// idle is closed once a leaving agent has nothing left to do.
	idle chan struct{}
	// stopping is set by Close; only then idle is closed.
	stopping atomic.Bool
}

// input is what the owner of the core takes in turn.
type input struct {
	event runner.Event
	// link is set when a link opens or closes, and for pings.
	link *link
	// ping is the number of a ping that link brought, or 0.
	ping uint64
}

// New starts an agent. It listens before it announces itself.
func New(o Options) (*Attendant, error) {
	o = o.withDefaults()
	var config net.ListenConfig
	socket, err := config.Listen(context.Background(), "tcp", o.Settings.Listen.String())
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "choose a free address in the setting listen",
			"can't listen on %s", o.Settings.Listen)
	}
	a := newAttendant(o, socket.Addr().(*net.TCPAddr).AddrPort())
	if err := a.openOperators(); err != nil {
		return nil, errors.Join(err, socket.Close())
	}
	a.start(socket)
	return a, nil
}

// Process returns the name and incarnation of the agent.
func (a *Attendant) Process() task.Process { return a.self }

// Address returns where the agent listens.
func (a *Attendant) Address() netip.AddrPort { return a.address }

// Load returns the present load.
func (a *Attendant) Load() dispatcher.Load { return *a.load.Load() }

// Close makes the agent leave: it refuses new starts, finishes what it has
// accepted, keeps results until they are acknowledged, and then ends. What is
// left at the time of ctx or after the setting stop-within is cut, which Close
// returns as an error.
func (a *Attendant) Close(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.o.Settings.StopWithin)
	defer cancel()
	a.stopping.Store(true)
	_, left := a.drain(ctx, true)
	if left == nil {
		left = a.waitIdle(ctx)
	}
	a.announcer.Close()
	a.inputs.Close()
	a.shutdown(ctx)
	a.cancel()
	left = errors.Join(left, a.closeOperators(ctx))
	a.duties.Wait()
	return left
}

func newAttendant(o Options, address netip.AddrPort) *Attendant {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Attendant{
		o:        o,
		self:     task.Process{Name: o.Settings.Name, Incarnation: newIncarnation()},
		address:  address,
		counters: newCounters(o.Metrics),
		minion:   NewMinion(o.Settings.Minion, o.responseBytes()),
		ctx:      ctx,
		cancel:   cancel,
		inputs:   ring.New[input](inputs),
		calls:    ring.New[call](o.Settings.Slots),
		idle:     make(chan struct{}),
	}
	a.load.Store(&dispatcher.Load{Slots: o.Settings.Slots})
	return a
}

// start begins all duties: one owns the core, one serves entries, two announce,
// and one for each slot calls the minion.
func (a *Attendant) start(socket net.Listener) {
	a.server = a.newServer()
	a.announcer = announcer.New(announcer.Options{
		Self:       a.announcement(),
		Load:       a.Load,
		OnRevision: a.hear,
		Table:      a.o.Table,
		Logger:     a.o.Logger,
		Metrics:    a.o.Metrics,
	})
	owner := newOwner(a)
	a.duties.Go(owner.run)
	for range a.o.Settings.Slots {
		a.duties.Go(a.callMinion)
	}
	a.duties.Go(func() {
		if err := a.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			a.o.Logger.Error("attendant: Listener failed", "reason", err)
		}
	})
	a.serveOperators()
	a.o.Logger.Info("attendant: Agent is up", "agent", a.self.Name, "incarnation", a.self.Incarnation,
		"address", a.address, "minion", a.o.Settings.Minion)
}

func (a *Attendant) announcement() dispatcher.Announcement {
	s := a.o.Settings
	return dispatcher.Announcement{
		Peer:   dispatcher.Peer{Process: a.self, Address: a.address},
		Zone:   s.Zone,
		Worker: s.Worker,
		Rack:   s.Rack,
		Pools:  s.Pools,
	}
}

func (a *Attendant) hear(revision uint64) {
	if revision > a.Load().Revision {
		a.inputs.Offer(input{event: runner.RevisionReported{Revision: revision}}) // A full ring hears it with the next message.
	}
}

// waitIdle returns an error when the agent still had work at the end of ctx.
func (a *Attendant) waitIdle(ctx context.Context) error {
	select {
	case <-a.idle:
		return nil
	case <-ctx.Done():
	}
	load := a.Load()
	return fault.New(fault.Uncertain, "raise the setting stop-within",
		"the agent stopped with %d running and %d queued tasks, or results that no entry fetched", load.Running, load.Queued)
}

func (o Options) withDefaults() Options {
	if o.QueueLength == 0 {
		o.QueueLength = DefaultQueueLength
	}
	o.QueueLength = max(o.QueueLength, 0)
	if o.Linger == 0 {
		o.Linger = DefaultLinger
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return o
}

// responseBytes is the cap of one response: with all slots and the queue in
// use, half of the result memory stays for results that wait to be fetched.
func (o Options) responseBytes() int {
	return o.Settings.ResultBytes / (resultParts * (o.Settings.Slots + o.QueueLength))
}

func newIncarnation() task.Incarnation {
	for {
		if n := rand.Uint64(); n != 0 {
			return task.Incarnation(n)
		}
	}
}
