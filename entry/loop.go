package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/linker"
	"agatevalve/waiter"
)

const (
	// eventRing caps the events that wait for the core.
	eventRing = 16 << 10
	// batchEvents caps the events that are taken at once.
	batchEvents = 512
	// unsentPause is how long a start that could not be sent waits before the
	// core hears of it, so that it can't try the same agent in a tight loop.
	unsentPause = 5 * time.Millisecond
)

// sender carries out commands towards agents; see linker.Linker.
type sender interface {
	Send(peer dispatcher.Peer, start task.Start) bool
	Cancel(peer dispatcher.Peer, sent dispatcher.AttemptRef)
	Acknowledge(peer dispatcher.Peer, sent dispatcher.AttemptRef)
	Settle(peer dispatcher.Peer, tasks []dispatcher.AttemptRef)
	Fence(fence dispatcher.Fence)
}

// storer carries out commands towards the platform; see claimer.Claimer.
type storer interface {
	Insert(command dispatcher.WriteClaim) bool
	Replace(command dispatcher.ReplaceClaim) bool
}

// asker carries out commands towards other entries; see greeter.OwnerClient.
type asker interface {
	FetchAnswer(question dispatcher.AskOwner)
}

var _ sender = (*linker.Linker)(nil)

// loop is the goroutine that owns the core. Everything else reaches the core
// through its ring of events.
type loop struct {
	core    *dispatcher.Core
	events  *ring.Ring[dispatcher.Event]
	calls   chan func(*dispatcher.Core)
	waiters *waiter.Registry
	links   sender
	claims  storer
	owners  asker
	// own holds events that came from carrying out commands.
	own []dispatcher.Event
	// unsent holds refusals that the core hears of at unsentAt.
	unsent   []dispatcher.Event
	unsentAt time.Time
	// draining is true from the DrainRequested event on.
	draining bool
	// idle is closed once the core is idle after DrainRequested.
	idle chan struct{}

	steps   metrics.Timer
	waiting metrics.Gauge
	dropped metrics.Counter

	stop  context.CancelFunc
	group sync.WaitGroup
}

func newLoop(core *dispatcher.Core, waiters *waiter.Registry, r metrics.Registry) *loop {
	return &loop{
		core:    core,
		events:  ring.New[dispatcher.Event](eventRing),
		calls:   make(chan func(*dispatcher.Core)),
		waiters: waiters,
		idle:    make(chan struct{}),
		steps:   metrics.GetOrRegisterTimer("core-batches", r),
		waiting: metrics.GetOrRegisterGauge("core-events-waiting", r),
		dropped: metrics.GetOrRegisterCounter("core-replies-dropped", r),
	}
}

// start runs the loop until close. The adapters must be set before.
func (l *loop) start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	l.group.Go(func() { l.run(ctx) })
}

func (l *loop) close() {
	l.events.Close()
	l.stop()
	l.group.Wait()
}

// call runs f in the loop's goroutine and waits for it.
func (l *loop) call(ctx context.Context, f func(*dispatcher.Core)) error {
	done := make(chan struct{})
	run := func(c *dispatcher.Core) {
		defer close(done)
		f(c)
	}
	select {
	case l.calls <- run:
		<-done
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *loop) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var events []dispatcher.Event
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.events.Ready():
		case f := <-l.calls:
			f(l.core)
		}
		now := time.Now()
		events, _ = l.events.TakeUpTo(events[:0], batchEvents)
		l.waiting.Update(int64(len(events) + l.events.Len()))
		l.handle(now, events)
		clear(events)
		l.steps.UpdateSince(now)
		resetTo(timer, l.wake())
	}
}

// handle steps the core through events, and through those that their commands
// bring about.
func (l *loop) handle(now time.Time, events []dispatcher.Event) {
	for _, ev := range events {
		l.step(now, ev)
	}
	if len(l.unsent) > 0 && !now.Before(l.unsentAt) {
		l.own = append(l.own, l.unsent...)
		l.unsent = l.unsent[:0]
	}
	for len(l.own) > 0 {
		own := l.own
		l.own = nil
		for _, ev := range own {
			l.step(now, ev)
		}
	}
	if next := l.core.NextWake(); !next.IsZero() && !next.After(now) {
		l.step(now, dispatcher.Tick{})
	}
	l.noteIdle()
}

func (l *loop) step(now time.Time, ev dispatcher.Event) {
	if _, ok := ev.(dispatcher.DrainRequested); ok {
		l.draining = true
	}
	for _, command := range l.core.Step(now, ev) {
		l.do(now, command)
	}
}

func (l *loop) noteIdle() {
	if !l.draining || !l.core.Idle() {
		return
	}
	select {
	case <-l.idle:
	default:
		close(l.idle)
	}
}

// wake returns when the loop has to run without an event; zero means never.
func (l *loop) wake() time.Time {
	next := l.core.NextWake()
	if len(l.unsent) > 0 && (next.IsZero() || l.unsentAt.Before(next)) {
		return l.unsentAt
	}
	return next
}

// do carries out a command. It never blocks.
func (l *loop) do(now time.Time, command dispatcher.Command) {
	switch c := command.(type) {
	case dispatcher.Reply:
		if !l.waiters.Deliver(c) {
			l.dropped.Inc(1)
		}
	case dispatcher.Send:
		if !l.links.Send(c.Agent, c.Start) {
			l.keepUnsent(now, c)
		}
	case dispatcher.Cancel:
		l.links.Cancel(c.Agent, c.Ref)
	case dispatcher.Acknowledge:
		l.links.Acknowledge(c.Agent, c.Ref)
	case dispatcher.Settle:
		l.links.Settle(c.Agent, c.Attempts)
	case dispatcher.Fence:
		l.links.Fence(c)
	case dispatcher.AskOwner:
		l.owners.FetchAnswer(c)
	default:
		l.store(command)
	}
}

func (l *loop) store(command dispatcher.Command) {
	switch c := command.(type) {
	case dispatcher.WriteClaim:
		if !l.claims.Insert(c) {
			l.own = append(l.own, claimRefused(c.Claim))
		}
	case dispatcher.ReplaceClaim:
		if !l.claims.Replace(c) {
			l.own = append(l.own, claimRefused(c.Claim))
		}
	}
}

func (l *loop) keepUnsent(now time.Time, c dispatcher.Send) {
	if len(l.unsent) == 0 {
		l.unsentAt = now.Add(unsentPause)
	}
	l.unsent = append(l.unsent, dispatcher.Refused{Agent: c.Agent.Process, Report: linker.UnsentReport(c.Start)})
}

func claimRefused(claim dispatcher.Claim) dispatcher.Event {
	return dispatcher.ClaimFailed{Job: claim.Job, Reason: "too many claims wait for the platform's table service"}
}

// resetTo sets a timer to an instant; zero stops it.
func resetTo(timer *time.Timer, at time.Time) {
	if at.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(at))
}
