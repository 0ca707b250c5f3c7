// Package jobber runs the core of an entry for jobs of leased tasks: one
// goroutine owns it, takes events from a ring, and hands commands to the links
// and to the callers that wait.
package jobber

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/common/ring"
	"agatevalve/common/work"
	"agatevalve/scheduler"
)

const (
	// ringSize caps the events that wait for the core.
	ringSize = 16384
	// busyTick and idleTick are the pauses between two steps without events.
	// Deadlines are kept to within busyTick.
	busyTick = 10 * time.Millisecond
	idleTick = 200 * time.Millisecond
	// refreshEvery is how often the counts for operators are brought up to date.
	refreshEvery = 200 * time.Millisecond
)

// Options are the dependencies of a Jobber.
type Options struct {
	Core scheduler.Options
	// Send hands a command to a link without blocking.
	Send    func(link uint64, command scheduler.Command)
	Log     *slog.Logger
	Metrics metrics.Registry
}

// Result is how a job ended for its caller.
type Result struct {
	Outcome work.Outcome
	Reason  string
	// RetryAfter is when a refused caller may come back; zero for no advice.
	RetryAfter time.Duration
}

// Jobber runs one core. It is safe for concurrent use.
type Jobber struct {
	o      Options
	core   *scheduler.Core
	events *ring.Ring[scheduler.Event]
	stop   context.CancelFunc
	loop   sync.WaitGroup
	ticket atomic.Uint64

	mu sync.Mutex
	// callers holds the callers that wait, by ticket.
	callers map[uint64]chan Result
	// known holds the jobs that are not answered.
	known map[string]int
	// waiting counts the jobs that have not begun, by route.
	waiting map[string]int
	// usable counts the agents that may be given work.
	usable int

	counts counts
}

type counts struct {
	submitted, placed, stopped metrics.Counter
	outcomes                   map[work.Outcome]metrics.Counter
	ends                       map[work.State]metrics.Counter
	answer                     metrics.Timer
}

// New starts a jobber.
func New(o Options) *Jobber {
	ctx, stop := context.WithCancel(context.Background())
	j := &Jobber{
		o: o, core: scheduler.New(o.Core), events: ring.New[scheduler.Event](ringSize), stop: stop,
		callers: make(map[uint64]chan Result), known: make(map[string]int), waiting: make(map[string]int),
		counts: newCounts(o.Metrics),
	}
	j.loop.Go(func() { j.run(ctx) })
	return j
}

func newCounts(r metrics.Registry) counts {
	c := counts{
		submitted: metrics.GetOrRegisterCounter("jobs-submitted", r),
		placed:    metrics.GetOrRegisterCounter("runs-placed", r),
		stopped:   metrics.GetOrRegisterCounter("runs-stopped", r),
		outcomes:  make(map[work.Outcome]metrics.Counter),
		ends:      make(map[work.State]metrics.Counter),
		answer:    metrics.GetOrRegisterTimer("job-answer", r),
	}
	for outcome := work.Succeeded; outcome <= work.Cancelled; outcome++ {
		c.outcomes[outcome] = metrics.GetOrRegisterCounter("jobs-"+outcome.String(), r)
	}
	for state := work.Done; state <= work.Lost; state++ {
		c.ends[state] = metrics.GetOrRegisterCounter("runs-"+state.String(), r)
	}
	return c
}

// Tell gives the core an event. It reports false once the jobber is closed.
func (j *Jobber) Tell(ev scheduler.Event) bool { return j.events.Put(context.Background(), ev) }

// Submit runs a job and waits for its end. When ctx ends first, the caller has
// left and the job is stopped unless others wait for it.
func (j *Jobber) Submit(ctx context.Context, job work.Job) Result {
	ticket := j.ticket.Add(1)
	answer := make(chan Result, 1)
	j.mu.Lock()
	j.callers[ticket] = answer
	j.known[job.ID]++
	j.mu.Unlock()
	defer j.forget(ticket, job.ID)
	j.counts.submitted.Inc(1)
	if !j.Tell(scheduler.Submitted{Job: job, Ticket: ticket}) {
		return Result{Outcome: work.NotRun, Reason: "this entry is stopping"}
	}
	select {
	case result := <-answer:
		j.counts.answer.UpdateSince(job.Arrived)
		return result
	case <-ctx.Done():
		j.Tell(scheduler.Withdrawn{Job: job.ID, Ticket: ticket})
		return Result{Outcome: work.Unfinished, Reason: "the caller has left"}
	}
}

// Cancel stops a job, and reports whether it was known.
func (j *Jobber) Cancel(id string) bool {
	j.mu.Lock()
	known := j.known[id] > 0
	j.mu.Unlock()
	return known && j.Tell(scheduler.Cancelled{Job: id})
}

// Known reports whether a job is not answered yet.
func (j *Jobber) Known(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.known[id] > 0
}

// Waiting returns how many jobs of a route have not begun, as of a moment ago.
func (j *Jobber) Waiting(route string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.waiting[route]
}

// Usable returns how many agents may be given work, as of a moment ago.
func (j *Jobber) Usable() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.usable
}

// Close ends the core. Callers that still wait are answered by their contexts.
func (j *Jobber) Close() {
	j.stop()
	j.loop.Wait()
	j.events.Close()
}

func (j *Jobber) forget(ticket uint64, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.callers, ticket)
	if j.known[id]--; j.known[id] <= 0 {
		delete(j.known, id)
	}
}

func (j *Jobber) run(ctx context.Context) {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	var events []scheduler.Event
	var refreshed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-j.events.Ready():
		}
		events, _ = j.events.TakeAll(events[:0])
		now := time.Now()
		for _, command := range j.core.Step(now, events) {
			j.carryOut(command)
		}
		clear(events)
		if now.Sub(refreshed) > refreshEvery {
			refreshed = now
			j.refresh()
		}
		tick := idleTick
		if j.core.Jobs() > 0 {
			tick = busyTick
		}
		timer.Reset(tick)
	}
}

func (j *Jobber) refresh() {
	waiting, usable := j.core.Waiting(), j.core.Usable()
	j.mu.Lock()
	j.waiting, j.usable = waiting, usable
	j.mu.Unlock()
}

func (j *Jobber) carryOut(command scheduler.Command) {
	switch c := command.(type) {
	case scheduler.Place:
		j.counts.placed.Inc(1)
		j.o.Log.Debug("scheduler: Placed a run", "run", c.Order.Run.String(), "agent", c.Agent.Name, "link", c.Link, "expected", c.Order.Work)
		j.o.Send(c.Link, c)
	case scheduler.Stop:
		j.counts.stopped.Inc(1)
		j.o.Log.Info("scheduler: Stopped a run", "run", c.Run.String(), "agent", c.Agent.Name, "link", c.Link)
		j.o.Send(c.Link, c)
	case scheduler.Acknowledge:
		j.o.Send(c.Link, c)
	case scheduler.Answer:
		j.answer(c)
	case scheduler.Note:
		j.note(c)
	}
}

func (j *Jobber) answer(c scheduler.Answer) {
	j.counts.outcomes[c.Outcome].Inc(1)
	j.o.Log.Info("scheduler: Answered a job", "job", c.Job, "outcome", c.Outcome.String(), "reason", c.Reason, "retry-after", c.RetryAfter,
		"tasks", c.Tasks, "expected", c.Expected, "age", c.Age)
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, ticket := range c.Tickets {
		if answer := j.callers[ticket]; answer != nil {
			answer <- Result{Outcome: c.Outcome, Reason: c.Reason, RetryAfter: c.RetryAfter}
			delete(j.callers, ticket)
		}
	}
}

func (j *Jobber) note(c scheduler.Note) {
	attributes := make([]any, 0, len(c.Inputs)+10)
	if c.Job != "" {
		attributes = append(attributes, "run", c.Run.String(), "state", c.State.String(), "reason", c.Reason)
	}
	if c.State.Ended() {
		j.counts.ends[c.State].Inc(1)
	}
	attributes = append(attributes, "agent", c.Agent.Name)
	attributes = append(attributes, c.Inputs...)
	if c.State == work.Done {
		j.o.Log.Debug("scheduler: "+c.Text, attributes...)
		return
	}
	j.o.Log.Info("scheduler: "+c.Text, attributes...)
}
