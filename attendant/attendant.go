// Package attendant wires an agent: the listener for entries, the HTTP client
// of the minion, the announcements to entries, and the goroutine that owns the
// decision core.
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
	// DefaultQueueLength caps the accepted tasks that wait for a slot. The
	// queue gives the minion its next task without a round trip to an entry,
	// and avoids refusals when several entries see the same free slot.
	DefaultQueueLength = 8
	// DefaultQuietPeriod is the time without new starts after which a closing
	// agent without work ends. Until then it refuses starts, so that none in
	// flight is cut off unanswered.
	DefaultQuietPeriod = time.Second
	// inputQueueLength caps the inputs that wait for the core loop.
	inputQueueLength = 1024
	// resultBytesDivisor leaves one half of the result memory to the open
	// tasks, and the other half to results that wait to be fetched.
	resultBytesDivisor = 2
)

// Options are the settings and dependencies of an Attendant.
type Options struct {
	Settings loader.Agent
	// Table is the platform's table service, which lists the entries.
	Table   tabler.Table
	Logger  *slog.Logger
	Metrics metrics.Registry
	// QueueLength caps the accepted tasks that wait for a slot; 0 means
	// DefaultQueueLength and a negative value means no queue.
	QueueLength int
	// QuietPeriod is the time without new starts after which a closing agent
	// without work ends; 0 means DefaultQuietPeriod.
	QuietPeriod time.Duration
}

// Attendant is a running agent.
type Attendant struct {
	options  Options
	self     task.Process
	address  netip.AddrPort
	counters counters
	minion   *MinionClient
	server   *http.Server
	// operators is the operators' listener, or nil.
	operators  *listener.Listener
	announcer  *announcer.Announcer
	goroutines sync.WaitGroup
	// ctx is cancelled when the attendant closes, which cancels the calls to
	// the minion.
	ctx    context.Context
	cancel context.CancelFunc
	inputs *ring.Ring[loopInput]
	calls  *ring.Ring[minionCall]
	// load is the core's load after its last batch of inputs.
	load    atomic.Pointer[dispatcher.Load]
	pending pendingRequests
	// drained is closed once a closing agent has no unfinished work.
	drained chan struct{}
	// stopping is set by Close. A drain alone does not close drained.
	stopping atomic.Bool
}

// loopInput is an item of the core loop's input queue: an event or a ping.
type loopInput struct {
	event runner.Event
	// link is set for LinkOpened, LinkClosed and pings.
	link *link
	// ping is the sequence number of a ping received on link, or 0.
	ping uint64
}

// New starts an agent. It opens its listener before it announces itself.
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

// Address returns the address of the listener for entries.
func (a *Attendant) Address() netip.AddrPort { return a.address }

// Load returns the current load.
func (a *Attendant) Load() dispatcher.Load { return *a.load.Load() }

// Close shuts the agent down gracefully: it refuses new starts, finishes the
// accepted tasks and keeps their results until they are acknowledged. Work that
// is unfinished when ctx ends or the setting stop-within has passed is
// cancelled, and Close returns an error.
func (a *Attendant) Close(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, a.options.Settings.StopWithin)
	defer cancel()
	a.stopping.Store(true)
	_, unfinished := a.drain(ctx, true)
	if unfinished == nil {
		unfinished = a.waitDrained(ctx)
	}
	a.announcer.Close()
	a.inputs.Close()
	a.shutdown(ctx)
	a.cancel()
	unfinished = errors.Join(unfinished, a.closeOperators(ctx))
	a.goroutines.Wait()
	return unfinished
}

// newAttendant returns an agent whose goroutines don't run yet.
func newAttendant(o Options, address netip.AddrPort) *Attendant {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Attendant{
		options:  o,
		self:     task.Process{Name: o.Settings.Name, Incarnation: newIncarnation()},
		address:  address,
		counters: newCounters(o.Metrics),
		minion:   NewMinionClient(o.Settings.Minion, o.responseBytes()),
		ctx:      ctx,
		cancel:   cancel,
		inputs:   ring.New[loopInput](inputQueueLength),
		calls:    ring.New[minionCall](o.Settings.Slots),
		drained:  make(chan struct{}),
	}
	a.load.Store(&dispatcher.Load{Slots: o.Settings.Slots})
	return a
}

// start runs the goroutines: one owns the core, one serves entries, two
// announce, and one per slot calls the minion.
func (a *Attendant) start(socket net.Listener) {
	a.server = a.newServer()
	a.announcer = announcer.New(announcer.Options{
		Self:       a.announcement(),
		Load:       a.Load,
		OnRevision: a.observeRevision,
		Table:      a.options.Table,
		Logger:     a.options.Logger,
		Metrics:    a.options.Metrics,
	})
	loop := newCoreLoop(a)
	a.goroutines.Go(loop.run)
	for range a.options.Settings.Slots {
		a.goroutines.Go(a.runSlot)
	}
	a.goroutines.Go(func() {
		if err := a.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			a.options.Logger.Error("attendant: Listener for entries failed", "reason", err)
		}
	})
	a.serveOperators()
	a.options.Logger.Info("attendant: Agent started", "agent", a.self.Name, "incarnation", a.self.Incarnation,
		"address", a.address, "minion", a.options.Settings.Minion)
}

// announcement returns what the agent announces about itself, without its load.
func (a *Attendant) announcement() dispatcher.Announcement {
	s := a.options.Settings
	return dispatcher.Announcement{
		Peer:   dispatcher.Peer{Process: a.self, Address: a.address},
		Zone:   s.Zone,
		Worker: s.Worker,
		Rack:   s.Rack,
		Pools:  s.Pools,
	}
}

// observeRevision reports a newer configuration revision to the core.
func (a *Attendant) observeRevision(revision uint64) {
	if revision > a.Load().Revision {
		// If the queue is full, a later message reports the revision again.
		a.inputs.Offer(loopInput{event: runner.RevisionReported{Revision: revision}})
	}
}

// waitDrained waits until no work is unfinished. It returns an error when ctx
// ends first.
func (a *Attendant) waitDrained(ctx context.Context) error {
	select {
	case <-a.drained:
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
	if o.QuietPeriod == 0 {
		o.QuietPeriod = DefaultQuietPeriod
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return o
}

// responseBytes caps the body of one response. Even with all slots and the
// queue in use, half of the result memory is left for results that wait to be
// fetched.
func (o Options) responseBytes() int {
	return o.Settings.ResultBytes / (resultBytesDivisor * (o.Settings.Slots + o.QueueLength))
}

// newIncarnation returns a random incarnation, which is never 0.
func newIncarnation() task.Incarnation {
	for {
		if n := rand.Uint64(); n != 0 {
			return task.Incarnation(n)
		}
	}
}
