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
	// eventQueueLength caps the events that wait for the core.
	eventQueueLength = 16 << 10
	// maxBatchEvents caps the events that are handled in one batch.
	maxBatchEvents = 512
	// unsentDelay is the delay before the core is notified of a start that
	// could not be sent, so that it doesn't retry the same agent in a tight
	// loop.
	unsentDelay = 5 * time.Millisecond
)

// agentSender executes the commands that go to agents; see linker.Linker.
type agentSender interface {
	Send(peer dispatcher.Peer, start task.Start) bool
	Cancel(peer dispatcher.Peer, sent dispatcher.AttemptRef)
	Acknowledge(peer dispatcher.Peer, sent dispatcher.AttemptRef)
	Settle(peer dispatcher.Peer, tasks []dispatcher.AttemptRef)
	Fence(fence dispatcher.Fence)
}

// claimWriter executes the commands that write claims to the platform's table
// service; see claimer.Claimer. A method returns false when too many claims are
// waiting.
type claimWriter interface {
	Insert(command dispatcher.WriteClaim) bool
	Replace(command dispatcher.ReplaceClaim) bool
}

// answerFetcher fetches the answers to jobs from the entries that own them; see
// greeter.OwnerClient.
type answerFetcher interface {
	FetchAnswer(question dispatcher.AskOwner)
}

var _ agentSender = (*linker.Linker)(nil)

// loop is the goroutine that owns the core. Other goroutines reach the core
// through the queue of events, or through runOnCore.
type loop struct {
	core   *dispatcher.Core
	events *ring.Ring[dispatcher.Event]
	// calls takes the functions that runOnCore runs in this goroutine.
	calls   chan func(*dispatcher.Core)
	waiters *waiter.Registry
	links   agentSender
	claims  claimWriter
	owners  answerFetcher
	// followUps holds events that resulted from executing commands.
	followUps []dispatcher.Event
	// unsent holds refusals that are passed to the core at unsentDue.
	unsent    []dispatcher.Event
	unsentDue time.Time
	// draining is true once DrainRequested was handled.
	draining bool
	// idle is closed once the core is idle after DrainRequested.
	idle chan struct{}

	batchTimes     metrics.Timer
	eventsWaiting  metrics.Gauge
	repliesDropped metrics.Counter

	stop  context.CancelFunc
	group sync.WaitGroup
}

// newLoop returns a loop that does not run yet.
func newLoop(core *dispatcher.Core, waiters *waiter.Registry, r metrics.Registry) *loop {
	return &loop{
		core:           core,
		events:         ring.New[dispatcher.Event](eventQueueLength),
		calls:          make(chan func(*dispatcher.Core)),
		waiters:        waiters,
		idle:           make(chan struct{}),
		batchTimes:     metrics.GetOrRegisterTimer("core-batches", r),
		eventsWaiting:  metrics.GetOrRegisterGauge("core-events-waiting", r),
		repliesDropped: metrics.GetOrRegisterCounter("core-replies-dropped", r),
	}
}

// start runs the loop until close. The fields links, claims and owners must be
// set before.
func (l *loop) start() {
	ctx, cancel := context.WithCancel(context.Background())
	l.stop = cancel
	l.group.Go(func() { l.run(ctx) })
}

// close stops the loop and waits for its goroutine to end.
func (l *loop) close() {
	l.events.Close()
	l.stop()
	l.group.Wait()
}

// runOnCore runs f in the loop's goroutine and waits for it to return. It fails
// when ctx ends before f starts.
func (l *loop) runOnCore(ctx context.Context, f func(*dispatcher.Core)) error {
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

// run handles batches of events, due timers and calls until ctx ends.
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
		events, _ = l.events.TakeUpTo(events[:0], maxBatchEvents)
		l.eventsWaiting.Update(int64(len(events) + l.events.Len()))
		l.handleBatch(now, events)
		clear(events)
		l.batchTimes.UpdateSince(now)
		resetTimer(timer, l.nextWake())
	}
}

// handleBatch passes events to the core, followed by those that result from its
// commands.
func (l *loop) handleBatch(now time.Time, events []dispatcher.Event) {
	for _, ev := range events {
		l.step(now, ev)
	}
	if len(l.unsent) > 0 && !now.Before(l.unsentDue) {
		l.followUps = append(l.followUps, l.unsent...)
		l.unsent = l.unsent[:0]
	}
	for len(l.followUps) > 0 {
		batch := l.followUps
		l.followUps = nil
		for _, ev := range batch {
			l.step(now, ev)
		}
	}
	if next := l.core.NextWake(); !next.IsZero() && !next.After(now) {
		l.step(now, dispatcher.Tick{})
	}
	l.closeIdleIfDrained()
}

// step passes an event to the core and executes the resulting commands.
func (l *loop) step(now time.Time, ev dispatcher.Event) {
	if _, ok := ev.(dispatcher.DrainRequested); ok {
		l.draining = true
	}
	for _, command := range l.core.Step(now, ev) {
		l.execute(now, command)
	}
}

// closeIdleIfDrained closes idle when the core is draining and idle.
func (l *loop) closeIdleIfDrained() {
	if !l.draining || !l.core.Idle() {
		return
	}
	select {
	case <-l.idle:
	default:
		close(l.idle)
	}
}

// nextWake returns when the loop has to run without an event; zero means never.
func (l *loop) nextWake() time.Time {
	next := l.core.NextWake()
	if len(l.unsent) > 0 && (next.IsZero() || l.unsentDue.Before(next)) {
		return l.unsentDue
	}
	return next
}

// execute carries out a command. It never blocks.
func (l *loop) execute(now time.Time, command dispatcher.Command) {
	switch c := command.(type) {
	case dispatcher.Reply:
		if !l.waiters.Deliver(c) {
			l.repliesDropped.Inc(1)
		}
	case dispatcher.SendStart:
		if !l.links.Send(c.Agent, c.Start) {
			l.deferUnsent(now, c)
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
		l.executeClaimWrite(command)
	}
}

// executeClaimWrite queues the write of a claim, or reports to the core that it
// failed.
func (l *loop) executeClaimWrite(command dispatcher.Command) {
	switch c := command.(type) {
	case dispatcher.WriteClaim:
		if !l.claims.Insert(c) {
			l.followUps = append(l.followUps, claimFailed(c.Claim))
		}
	case dispatcher.ReplaceClaim:
		if !l.claims.Replace(c) {
			l.followUps = append(l.followUps, claimFailed(c.Claim))
		}
	}
}

// deferUnsent schedules the refusal of a start that could not be sent.
func (l *loop) deferUnsent(now time.Time, c dispatcher.SendStart) {
	if len(l.unsent) == 0 {
		l.unsentDue = now.Add(unsentDelay)
	}
	l.unsent = append(l.unsent, dispatcher.Refused{Agent: c.Agent.Process, Report: linker.NewUnsentStartReport(c.Start)})
}

// claimFailed returns the event of a claim that could not be queued.
func claimFailed(claim dispatcher.Claim) dispatcher.Event {
	return dispatcher.ClaimFailed{Job: claim.Job, Reason: "too many claims wait for the platform's table service"}
}

// resetTimer sets a timer to a point in time; zero stops it.
func resetTimer(timer *time.Timer, at time.Time) {
	if at.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(time.Until(at))
}
