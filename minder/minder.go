// Package minder runs the core of an agent for leased tasks: one goroutine owns
// it, others carry its orders to the minion.
package minder

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/common/ring"
	"agatevalve/common/work"
	"agatevalve/supervisor"
)

const (
	// ringSize caps the events that wait for the core, and the orders that wait
	// for the minion.
	ringSize = 8192
	// tick is the pause between two steps without events while runs are held;
	// idleTick is the pause without.
	tick     = 10 * time.Millisecond
	idleTick = 50 * time.Millisecond
	// starters and stoppers are how many orders may be on their way at once.
	// Orders take a millisecond or so; one without an answer holds its
	// goroutine for startWithin. Each may open a connection, which has a price.
	starters = 8
	stoppers = 3
	// startWithin and stopWithin bound the wait for an answer from the minion
	// on the same machine.
	startWithin = 120 * time.Millisecond
	stopWithin  = 120 * time.Millisecond
)

// Listing is what a minion says of its runs.
type Listing struct {
	Incarnation uint64
	Clock       time.Duration
	Running     []supervisor.ListedRun
	Ended       []supervisor.ListedEnd
	// Down means that nothing listens at the minion's address.
	Down bool
	// Elsewhere means that another lifetime of the minion answered.
	Elsewhere bool
}

// Taken is a minion's answer to a start.
type Taken struct {
	Answer supervisor.StartAnswer
	// Clock is the minion's clock; 0 when it did not tell.
	Clock time.Duration
}

// Minion starts and stops runs under a lease. Its methods are called from
// several goroutines.
type Minion interface {
	// Start orders a run. An error is part of the answer.
	Start(ctx context.Context, order supervisor.StartRun) Taken
	// Stop orders the end of a run, and returns the minion's clock.
	Stop(ctx context.Context, order supervisor.StopRun) (time.Duration, error)
	// Hold renews the lease, and lists runs.
	Hold(ctx context.Context, order supervisor.HoldLease) (Listing, error)
}

// Options are the dependencies of a Minder.
type Options struct {
	Core   supervisor.Options
	Minion Minion
	// Send hands a command to the link of an entry without blocking, and Cut
	// ends a link.
	Send    func(entry string, command supervisor.Command)
	Cut     func(link uint64)
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Minder runs one core. It is safe for concurrent use.
type Minder struct {
	o      Options
	core   *supervisor.Core
	events *ring.Ring[supervisor.Event]
	starts *ring.Ring[supervisor.StartRun]
	stops  *ring.Ring[supervisor.StopRun]
	cancel context.CancelFunc
	duties sync.WaitGroup
	idle   atomic.Bool
	counts counts
}

type counts struct {
	starts, unanswered, refused, stops, holds, holdsFailed metrics.Counter
	ends                                                   map[work.State]metrics.Counter
	start, run                                             metrics.Timer
}

// New starts a minder.
func New(o Options) *Minder {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Minder{
		o: o, core: supervisor.New(o.Core), cancel: cancel,
		events: ring.New[supervisor.Event](ringSize),
		starts: ring.New[supervisor.StartRun](ringSize),
		stops:  ring.New[supervisor.StopRun](ringSize),
		counts: newCounts(o.Metrics),
	}
	m.duties.Go(func() { m.run(ctx) })
	for range starters {
		m.duties.Go(func() { serve(ctx, m.starts, m.start) })
	}
	for range stoppers {
		m.duties.Go(func() { serve(ctx, m.stops, m.stop) })
	}
	return m
}

func newCounts(r metrics.Registry) counts {
	c := counts{
		starts:      metrics.GetOrRegisterCounter("starts-ordered", r),
		unanswered:  metrics.GetOrRegisterCounter("starts-unanswered", r),
		refused:     metrics.GetOrRegisterCounter("starts-refused", r),
		stops:       metrics.GetOrRegisterCounter("stops-ordered", r),
		holds:       metrics.GetOrRegisterCounter("lease-renewals", r),
		holdsFailed: metrics.GetOrRegisterCounter("lease-renewals-failed", r),
		ends:        make(map[work.State]metrics.Counter),
		start:       metrics.GetOrRegisterTimer("start-order", r),
		run:         metrics.GetOrRegisterTimer("run", r),
	}
	for state := work.Done; state <= work.Lost; state++ {
		c.ends[state] = metrics.GetOrRegisterCounter("runs-"+state.String(), r)
	}
	return c
}

// Tell gives the core an event. It reports false once the minder is closed.
func (m *Minder) Tell(ev supervisor.Event) bool { return m.events.Put(context.Background(), ev) }

// Leave takes nothing new. What runs goes on to its end.
func (m *Minder) Leave() { m.Tell(supervisor.Leaving{}) }

// Idle reports whether nothing is held for any entry.
func (m *Minder) Idle() bool { return m.idle.Load() }

// Close ends the core. Leases that it held lapse at the minion.
func (m *Minder) Close() {
	m.cancel()
	m.events.Close()
	m.duties.Wait()
}

// serve takes orders from a ring until ctx ends.
func serve[T any](ctx context.Context, orders *ring.Ring[T], carryOut func(context.Context, T)) {
	var one []T
	for {
		select {
		case <-ctx.Done():
			return
		case <-orders.Ready():
		}
		one, _ = orders.TakeUpTo(one[:0], 1)
		for _, order := range one {
			carryOut(ctx, order)
		}
	}
}

func (m *Minder) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var events []supervisor.Event
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-m.events.Ready():
		}
		events, _ = m.events.TakeAll(events[:0])
		for _, command := range m.core.Step(time.Now(), events) {
			m.carryOut(ctx, command)
		}
		clear(events)
		m.idle.Store(m.core.Idle())
		if m.core.Idle() {
			timer.Reset(idleTick)
		} else {
			timer.Reset(tick)
		}
	}
}

func (m *Minder) carryOut(ctx context.Context, command supervisor.Command) {
	switch c := command.(type) {
	case supervisor.StartRun:
		m.starts.Offer(c) // A full ring leaves the run unanswered; it is stopped in time.
	case supervisor.StopRun:
		m.stops.Offer(c)
	case supervisor.HoldLease:
		m.duties.Go(func() { m.hold(ctx, c) })
	case supervisor.CutLink:
		m.o.Cut(c.Link)
	case supervisor.Note:
		m.o.Log.Info("supervisor: "+c.Text, "entry", c.Entry, "reason", c.Reason, "count", c.Count,
			"minion", c.Minion.Name, "incarnation", c.Minion.Incarnation)
	case supervisor.Greet:
		m.o.Send(c.Entry, c)
	case supervisor.ReportLoad:
		m.o.Send(c.Entry, c)
	case supervisor.ReportMinion:
		m.o.Log.Info("supervisor: The minion changed", "entry", c.Entry, "minion", c.Minion.Name, "usable", c.Usable,
			"draining", c.Minion.Draining, "leaving", c.Leaving)
		m.o.Send(c.Entry, c)
	case supervisor.Report:
		m.report(c)
	}
}

func (m *Minder) report(c supervisor.Report) {
	m.o.Send(c.Entry, c)
	if !c.Report.State.Ended() {
		return
	}
	m.counts.ends[c.Report.State].Inc(1)
	if c.Report.State == work.Done {
		m.counts.run.Update(c.Report.Took)
		return
	}
	m.o.Log.Info("supervisor: A run ended", "run", c.Report.Run.String(), "state", c.Report.State.String(),
		"reason", string(c.Report.Reason), "entry", c.Entry, "took", c.Report.Took)
}

func (m *Minder) start(ctx context.Context, order supervisor.StartRun) {
	began := time.Now()
	call, cancel := context.WithTimeout(ctx, startWithin)
	defer cancel()
	m.counts.starts.Inc(1)
	taken := m.o.Minion.Start(call, order)
	m.counts.start.UpdateSince(began)
	if taken.Answer != supervisor.StartTaken {
		m.counts.refused.Inc(1)
		m.o.Log.Info("supervisor: A start was not taken", "run", order.Run.String(), "answer", taken.Answer.String(),
			"took", time.Since(began))
	}
	if taken.Answer == supervisor.StartUnknown {
		m.counts.unanswered.Inc(1)
	}
	m.Tell(supervisor.StartAnswered{Run: order.Run, Incarnation: order.Incarnation, Answer: taken.Answer, Clock: taken.Clock})
}

func (m *Minder) stop(ctx context.Context, order supervisor.StopRun) {
	call, cancel := context.WithTimeout(ctx, stopWithin)
	defer cancel()
	m.counts.stops.Inc(1)
	clock, err := m.o.Minion.Stop(call, order)
	if err != nil {
		m.o.Log.Info("supervisor: A stop had no answer", "run", order.Run.String(), "error", err)
	}
	m.Tell(supervisor.StopAnswered{Run: order.Run, Taken: err == nil, Clock: clock})
}

func (m *Minder) hold(ctx context.Context, order supervisor.HoldLease) {
	asked := time.Now()
	call, cancel := context.WithTimeout(ctx, order.Wait+order.Patience)
	defer cancel()
	m.counts.holds.Inc(1)
	listing, err := m.o.Minion.Hold(call, order)
	if err != nil {
		m.counts.holdsFailed.Inc(1)
		if ctx.Err() == nil {
			m.o.Log.Info("supervisor: A renewal of the lease failed", "minion", order.Minion, "took", time.Since(asked), "error", err)
		}
		m.Tell(supervisor.HoldFailed{Look: order.Look})
		return
	}
	if listing.Down {
		m.o.Log.Info("supervisor: The minion is down", "minion", order.Minion)
		m.Tell(supervisor.Down{Look: order.Look})
		return
	}
	if listing.Elsewhere {
		m.Tell(supervisor.MetAnother{Name: order.Minion, Look: order.Look})
		return
	}
	m.Tell(supervisor.Listed{
		Look: order.Look, Incarnation: listing.Incarnation, Asked: asked, Clock: listing.Clock,
		Running: listing.Running, Ended: listing.Ended,
	})
}
