// Package minder runs the decision core of an agent (package supervisor): one
// goroutine steps the core, others send its orders to the minion and return
// the answers as events.
package minder

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/common/clock"
	"agatevalve/common/ring"
	"agatevalve/common/work"
	"agatevalve/recorder"
	"agatevalve/supervisor"
)

const (
	// queueSize limits the events that wait for the core, and the start and
	// stop orders that wait to be sent.
	queueSize = 8192
	// stepInterval is the maximum time between two steps while the core waits for
	// answers of the minion; idleStepInterval is the maximum otherwise.
	stepInterval     = 10 * time.Millisecond
	idleStepInterval = 50 * time.Millisecond
	// maxConcurrentStarts and maxConcurrentStops limit the orders in flight.
	// An order takes about a millisecond; an unanswered one occupies its
	// goroutine until the timeout. They are low because each order in flight
	// may open a connection, which is costly.
	maxConcurrentStarts = 8
	maxConcurrentStops  = 3
	// startTimeout bounds the wait for a connection to the minion on the same machine,
	// and for its answer to a start, by 120 ms each.
	startTimeout = 240 * time.Millisecond
)

// Listing is a minion's answer to a renewal or to a request for lists.
type Listing struct {
	Incarnation uint64
	Clock       time.Duration
	Running     []supervisor.ListedRun
	Ended       []supervisor.ListedEnd
	// Down means that nothing listens at the minion's address.
	Down bool
	// OtherIncarnation means that another incarnation of the minion answered.
	OtherIncarnation bool
	// Fenced means that the minion did nothing, since it has seen a higher fencing
	// token.
	Fenced bool
}

// StartResult is the result of a start order.
type StartResult struct {
	Answer supervisor.StartAnswer
	// Clock is the time on the minion's clock; 0 if the answer has none.
	Clock time.Duration
}

// StopResult is the result of an answered stop order.
type StopResult struct {
	// Fenced means that the minion did nothing, since it has seen a higher fencing
	// token.
	Fenced bool
	// Clock is the time on the minion's clock; 0 if the answer has none.
	Clock time.Duration
}

// Minion starts and stops runs under a lease. Its methods must be safe for
// concurrent use.
type Minion interface {
	// Start sends a start order. Errors are returned as part of the result.
	Start(ctx context.Context, order supervisor.StartRun) StartResult
	// Stop sends a stop order.
	Stop(ctx context.Context, order supervisor.StopRun) (StopResult, error)
	// Renew renews the lease, and returns the minion's lists of running and
	// ended runs.
	Renew(ctx context.Context, order supervisor.RenewLease) (Listing, error)
}

// Options configure a Minder.
type Options struct {
	Core   supervisor.Options
	Minion Minion
	// Send queues a command for the link to an entry without blocking.
	Send func(entry string, command supervisor.Command)
	// Cut closes a link.
	Cut func(link uint64)
	// Store stores the minion's description without blocking.
	Store func(m work.Minion)
	// TaskName returns the name of a task that the platform uses, for the log; nil for
	// none.
	TaskName func(t work.Task) string
	Log      *slog.Logger
	Metrics  metrics.Registry
}

// Minder runs one core. It is safe for concurrent use.
type Minder struct {
	options Options
	core    *supervisor.Core
	events  *ring.Ring[supervisor.Event]
	starts  *ring.Ring[supervisor.StartRun]
	// stops holds the first stop orders of runs, and repeatedStops the others.
	stops, repeatedStops *ring.Ring[supervisor.StopRun]
	cancel               context.CancelFunc
	goroutines           sync.WaitGroup
	idle                 atomic.Bool
	metrics              counts
	// doneLines bounds the lines on runs that were done. Only runCore uses it.
	doneLines *recorder.Limiter
}

// counts holds the metrics of a Minder.
type counts struct {
	starts, unanswered, refused, stops, renewals, renewalsFailed, reportsIgnored metrics.Counter
	ends                                                                         map[work.State]metrics.Counter
	startTime, runTime                                                           metrics.Timer
	// idle is 1 while no runs are held for any entry.
	idle metrics.Gauge
}

// New starts a Minder.
func New(o Options) *Minder {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Minder{
		options: o, core: supervisor.New(o.Core), cancel: cancel,
		events: ring.New[supervisor.Event](queueSize),
		starts: ring.New[supervisor.StartRun](queueSize),
		stops:  ring.New[supervisor.StopRun](queueSize), repeatedStops: ring.New[supervisor.StopRun](queueSize),
		metrics: newCounts(o.Metrics), doneLines: recorder.NewLimiter(doneLinesPerSecond, doneLinesBurst),
	}
	m.goroutines.Go(func() { m.runCore(ctx) })
	for range maxConcurrentStarts {
		m.goroutines.Go(func() { consume(ctx, m.starts, m.startRun) })
	}
	for range maxConcurrentStops {
		m.goroutines.Go(func() { consume(ctx, m.stops, m.stopRun) })
		m.goroutines.Go(func() { consume(ctx, m.repeatedStops, m.stopRun) })
	}
	return m
}

func newCounts(r metrics.Registry) counts {
	c := counts{
		starts:         metrics.GetOrRegisterCounter("starts-ordered", r),
		unanswered:     metrics.GetOrRegisterCounter("starts-unanswered", r),
		refused:        metrics.GetOrRegisterCounter("starts-refused", r),
		stops:          metrics.GetOrRegisterCounter("stops-ordered", r),
		renewals:       metrics.GetOrRegisterCounter("lease-renewals", r),
		renewalsFailed: metrics.GetOrRegisterCounter("lease-renewals-failed", r),
		reportsIgnored: metrics.GetOrRegisterCounter("status-reports-ignored", r),
		ends:           make(map[work.State]metrics.Counter),
		startTime:      metrics.GetOrRegisterTimer("start-order", r),
		runTime:        metrics.GetOrRegisterTimer("run", r),
		idle:           metrics.GetOrRegisterGauge("idle", r),
	}
	for state := work.Done; state <= work.Lost; state++ {
		c.ends[state] = metrics.GetOrRegisterCounter("runs-"+state.String(), r)
	}
	return c
}

// Enqueue queues an event for the core, and blocks while the queue is full. It
// returns false once the Minder is closed.
func (m *Minder) Enqueue(ev supervisor.Event) bool { return m.events.Put(context.Background(), ev) }

// Leave makes the core refuse queued and new runs; running ones continue until
// they end.
func (m *Minder) Leave() { m.Enqueue(supervisor.AgentLeaving{}) }

// Idle reports whether no runs are held for any entry.
func (m *Minder) Idle() bool { return m.idle.Load() }

// Close stops the core and waits for its goroutines. Leases that it renewed
// expire at the minion.
func (m *Minder) Close() {
	m.cancel()
	m.events.Close()
	m.goroutines.Wait()
}

// consume executes the orders of a queue one by one until ctx ends.
func consume[T any](ctx context.Context, orders *ring.Ring[T], execute func(context.Context, T)) {
	var batch []T
	for {
		select {
		case <-ctx.Done():
			return
		case <-orders.Ready():
		}
		batch, _ = orders.TakeUpTo(batch[:0], 1)
		for _, order := range batch {
			execute(ctx, order)
		}
	}
}

// runCore steps the core on events and at intervals until ctx ends.
func (m *Minder) runCore(ctx context.Context) {
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
		now := clock.Now()
		for _, command := range m.core.Step(now, events) {
			m.execute(ctx, command)
		}
		m.logOmitted(now)
		clear(events)
		m.setIdle(m.core.Idle())
		if m.core.HasTimers() {
			timer.Reset(stepInterval)
		} else {
			timer.Reset(idleStepInterval)
		}
	}
}

// queueStop queues a stop order. The core awaits a result also if the queue is full.
func (m *Minder) queueStop(c supervisor.StopRun) {
	stops := m.stops
	if c.Repeated {
		stops = m.repeatedStops
	}
	if !stops.Offer(c) {
		m.goroutines.Go(func() {
			m.Enqueue(supervisor.StopAnswered{Run: c.Run, Incarnation: c.Incarnation, FencingToken: c.FencingToken})
		})
	}
}

func (m *Minder) setIdle(idle bool) {
	m.idle.Store(idle)
	if idle {
		m.metrics.idle.Update(1)
		return
	}
	m.metrics.idle.Update(0)
}

// execute carries out one command of the core. Orders to the minion are only
// queued, or sent from a goroutine of their own, so that they don't delay the
// core.
func (m *Minder) execute(ctx context.Context, command supervisor.Command) {
	switch c := command.(type) {
	case supervisor.StartRun:
		m.starts.Offer(c) // Dropped if the queue is full; the core takes it for unanswered.
	case supervisor.StopRun:
		m.queueStop(c)
	case supervisor.RenewLease:
		m.goroutines.Go(func() { m.renewLease(ctx, c) })
	case supervisor.CutLink:
		m.options.Cut(c.Link)
	case supervisor.StoreMinion:
		m.options.Store(c.Minion)
	case supervisor.IgnoreDescription:
		m.metrics.reportsIgnored.Inc(1)
		m.options.Log.Info("supervisor: Ignored a status report", "minion", c.Ignored.Name, "reason", c.Reason, "draining", c.Ignored.Draining,
			"incarnation", c.Ignored.Incarnation, "sequence", c.Ignored.Sequence,
			"current-incarnation", c.Current.Incarnation, "current-sequence", c.Current.Sequence)
	case supervisor.LogMessage:
		m.logMessage(c)
	case supervisor.ReportSnapshot:
		m.options.Send(c.Entry, c)
	case supervisor.ReportLoad:
		m.options.Send(c.Entry, c)
	case supervisor.ReportZones:
		m.options.Send(c.Entry, c)
	case supervisor.ReportCrash:
		m.options.Send(c.Entry, c)
	case supervisor.ReportMinion:
		m.options.Log.Info("supervisor: The minion changed", "entry", c.Entry, "minion", c.Minion.Name, "usable", c.Usable,
			"draining", c.Minion.Draining, "leaving", c.Leaving)
		m.options.Send(c.Entry, c)
	case supervisor.ReportRun:
		m.report(c)
	}
}

// report sends the state of a run to its entry, and counts and logs ended
// runs.
func (m *Minder) report(c supervisor.ReportRun) {
	m.options.Send(c.Entry, c)
	if !c.Report.State.Ended() {
		return
	}
	m.metrics.ends[c.Report.State].Inc(1)
	if c.Report.State == work.Done {
		m.metrics.runTime.Update(c.Report.Took)
	}
	m.logEnd(clock.Now(), c)
}

func (m *Minder) startRun(ctx context.Context, order supervisor.StartRun) {
	sentAt := time.Now()
	call, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	m.metrics.starts.Inc(1)
	result := StartResult{Answer: supervisor.StartUnreachable} // For an order that waited too long.
	if order.SendBefore.IsZero() || clock.Now().Before(order.SendBefore) {
		result = m.options.Minion.Start(call, order)
	}
	m.metrics.startTime.UpdateSince(sentAt)
	if result.Answer != supervisor.StartAccepted {
		m.metrics.refused.Inc(1)
		m.options.Log.Info("supervisor: A start was not taken", "run", order.Run.String(), m.task(order.Run), "answer", result.Answer.String(),
			"took", time.Since(sentAt))
	}
	if result.Answer == supervisor.StartUnanswered {
		m.metrics.unanswered.Inc(1)
	}
	m.Enqueue(supervisor.StartAnswered{
		Run: order.Run, Incarnation: order.Incarnation, Answer: result.Answer, FencingToken: order.FencingToken, Clock: result.Clock,
	})
}

func (m *Minder) stopRun(ctx context.Context, order supervisor.StopRun) {
	call, cancel := context.WithTimeout(ctx, order.AnswerTimeout)
	defer cancel()
	m.metrics.stops.Inc(1)
	result, err := m.options.Minion.Stop(call, order)
	if err != nil {
		m.options.Log.Info("supervisor: A stop had no answer", "run", order.Run.String(), m.task(order.Run), "error", err)
	}
	m.Enqueue(supervisor.StopAnswered{
		Run: order.Run, Incarnation: order.Incarnation, FencingToken: order.FencingToken,
		Answered: err == nil && !result.Fenced, Fenced: result.Fenced, Clock: result.Clock,
	})
}

func (m *Minder) renewLease(ctx context.Context, order supervisor.RenewLease) {
	sentAt := clock.Now()
	call, cancel := context.WithTimeout(ctx, order.Wait+order.AnswerTimeout)
	defer cancel()
	m.metrics.renewals.Inc(1)
	listing, err := m.options.Minion.Renew(call, order)
	if err != nil {
		m.metrics.renewalsFailed.Inc(1)
		if ctx.Err() == nil {
			m.options.Log.Info("supervisor: A renewal of the lease failed", "minion", order.Minion, "took", clock.Since(sentAt), "error", err)
		}
		m.Enqueue(supervisor.RenewalFailed{ListOnly: order.ListOnly})
		return
	}
	if listing.Down {
		m.options.Log.Info("supervisor: The minion is down", "minion", order.Minion)
		m.Enqueue(supervisor.MinionDown{ListOnly: order.ListOnly})
		return
	}
	if listing.Fenced {
		m.Enqueue(supervisor.RenewalFenced{ListOnly: order.ListOnly, FencingToken: order.FencingToken})
		return
	}
	if listing.OtherIncarnation {
		m.Enqueue(supervisor.OtherIncarnationAnswered{Name: order.Minion, ListOnly: order.ListOnly})
		return
	}
	m.Enqueue(supervisor.RunsListed{
		ListOnly: order.ListOnly, FencingToken: order.FencingToken, Incarnation: listing.Incarnation,
		RequestedAt: sentAt, Clock: listing.Clock, Running: listing.Running, Ended: listing.Ended,
	})
}
