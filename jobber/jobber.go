// Package jobber runs the scheduling core of an entry for jobs of leased tasks.
// One goroutine owns the core, takes events from a ring buffer, and passes
// commands to the links of agents and answers to the callers that wait.
package jobber

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
	"agatevalve/scheduler"
)

const (
	// eventQueueSize caps the events that wait for the core.
	eventQueueSize = 16384
	// idleStepInterval is the interval between steps without events and without
	// unanswered jobs.
	idleStepInterval = 200 * time.Millisecond
	// pauseThreshold is the interval between two steps above which the process counts
	// as paused in between.
	pauseThreshold = 350 * time.Millisecond
	// refreshInterval is the interval at which unstartedJobs and usableAgents are
	// updated.
	refreshInterval = 200 * time.Millisecond
)

// Options configure a Jobber.
type Options struct {
	Core scheduler.Options
	// Send passes a command to a link without blocking.
	Send func(link uint64, command scheduler.Command)
	// TaskName returns the name of a task that the platform uses, for the log; nil for
	// none.
	TaskName func(t work.Task) string
	Log      *slog.Logger
	Metrics  metrics.Registry
}

// Result is the answer to a caller of a job.
type Result struct {
	Outcome work.Outcome
	Reason  string
	// RetryAfter is the time after which a refused caller may try again; zero for
	// no advice.
	RetryAfter time.Duration
}

// Jobber runs one core. It is safe for concurrent use.
type Jobber struct {
	options    Options
	core       *scheduler.Core
	events     *ring.Ring[scheduler.Event]
	stop       context.CancelFunc
	loop       sync.WaitGroup
	lastTicket atomic.Uint64

	mu sync.Mutex
	// callers holds the result channels of the callers that wait, by ticket.
	callers map[uint64]chan Result
	// callersByJob counts the callers of each unanswered job.
	callersByJob map[string]int
	// unstartedJobs counts, by route, the jobs of which no task can have started.
	unstartedJobs map[string]int
	// usableAgents counts the agents that accept work.
	usableAgents int

	metrics jobMetrics
	// doneLines bounds the lines on runs that were done. Only run uses it.
	doneLines *recorder.Limiter
}

// jobMetrics are the metrics of a Jobber. endedRuns counts the runs by the
// state that they ended in, and answerTime measures from the arrival of a job
// to its answer.
type jobMetrics struct {
	submitted, placed, stopped metrics.Counter
	// crashes counts crashes of minions, and condemned the tasks that were given up
	// because of them. confined and released count the routes that were confined
	// and released.
	crashes, condemned, confined, released metrics.Counter
	// dataWaits counts waits for room near the data of a task, and dataWaitsPaid
	// those that paid.
	dataWaits, dataWaitsPaid metrics.Counter
	dataWait                 metrics.Timer
	outcomes                 map[work.Outcome]metrics.Counter
	endedRuns                map[work.State]metrics.Counter
	answerTime               metrics.Timer
}

// New starts a Jobber.
func New(o Options) *Jobber {
	ctx, stop := context.WithCancel(context.Background())
	j := &Jobber{
		options: o, core: scheduler.New(o.Core), events: ring.New[scheduler.Event](eventQueueSize), stop: stop,
		callers: make(map[uint64]chan Result), callersByJob: make(map[string]int), unstartedJobs: make(map[string]int),
		metrics: newJobMetrics(o.Metrics), doneLines: recorder.NewLimiter(doneLinesPerSecond, doneLinesBurst),
	}
	j.loop.Go(func() { j.run(ctx) })
	return j
}

func newJobMetrics(r metrics.Registry) jobMetrics {
	m := jobMetrics{
		submitted:     metrics.GetOrRegisterCounter("jobs-submitted", r),
		placed:        metrics.GetOrRegisterCounter("runs-placed", r),
		stopped:       metrics.GetOrRegisterCounter("runs-stopped", r),
		crashes:       metrics.GetOrRegisterCounter("minion-crashes", r),
		condemned:     metrics.GetOrRegisterCounter("tasks-condemned", r),
		confined:      metrics.GetOrRegisterCounter("routes-confined", r),
		released:      metrics.GetOrRegisterCounter("routes-released", r),
		dataWaits:     metrics.GetOrRegisterCounter("data-waits", r),
		dataWaitsPaid: metrics.GetOrRegisterCounter("data-waits-paid", r),
		dataWait:      metrics.GetOrRegisterTimer("data-wait", r),
		outcomes:      make(map[work.Outcome]metrics.Counter),
		endedRuns:     make(map[work.State]metrics.Counter),
		answerTime:    metrics.GetOrRegisterTimer("job-answer", r),
	}
	for outcome := work.Succeeded; outcome <= work.Cancelled; outcome++ {
		m.outcomes[outcome] = metrics.GetOrRegisterCounter("jobs-"+outcome.String(), r)
	}
	for state := work.Done; state <= work.Lost; state++ {
		m.endedRuns[state] = metrics.GetOrRegisterCounter("runs-"+state.String(), r)
	}
	return m
}

// Enqueue adds an event to the queue of the core. It reports false once the
// jobber is closed.
func (j *Jobber) Enqueue(ev scheduler.Event) bool { return j.events.Put(context.Background(), ev) }

// Submit submits a job and waits for its answer. If ctx ends first, the caller
// has left, and the job is stopped unless other callers wait for it.
func (j *Jobber) Submit(ctx context.Context, job work.Job) Result {
	ticket := j.lastTicket.Add(1)
	results := make(chan Result, 1)
	j.mu.Lock()
	j.callers[ticket] = results
	j.callersByJob[job.ID]++
	j.mu.Unlock()
	defer j.removeCaller(ticket, job.ID)
	j.metrics.submitted.Inc(1)
	if !j.Enqueue(scheduler.Submitted{Job: job, Ticket: ticket}) {
		return Result{Outcome: work.NotRun, Reason: "this entry is stopping"}
	}
	select {
	case result := <-results:
		j.metrics.answerTime.Update(clock.Since(job.Arrived))
		return result
	case <-ctx.Done():
		j.Enqueue(scheduler.Withdrawn{Job: job.ID, Ticket: ticket})
		return Result{Outcome: work.Unfinished, Reason: "the caller has left"}
	}
}

// StopAt gives up the jobs that can't be answered before a time, at which this
// entry stops.
func (j *Jobber) StopAt(at time.Time) { j.Enqueue(scheduler.EntryStopping{At: at}) }

// Cancel stops a job, and reports whether it was known.
func (j *Jobber) Cancel(id string) bool {
	j.mu.Lock()
	known := j.callersByJob[id] > 0
	j.mu.Unlock()
	return known && j.Enqueue(scheduler.Cancelled{Job: id})
}

// Known reports whether a job has not been answered yet.
func (j *Jobber) Known(id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.callersByJob[id] > 0
}

// UnstartedJobs returns the number of jobs of a route of which no task can have
// started. It may be out of date by refreshInterval.
func (j *Jobber) UnstartedJobs(route string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.unstartedJobs[route]
}

// UsableAgents returns the number of agents that accept work. It may be out of
// date by refreshInterval.
func (j *Jobber) UsableAgents() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.usableAgents
}

// Close stops the core. Callers that still wait return when their contexts end.
func (j *Jobber) Close() {
	j.stop()
	j.loop.Wait()
	j.events.Close()
}

func (j *Jobber) removeCaller(ticket uint64, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.callers, ticket)
	if j.callersByJob[id]--; j.callersByJob[id] <= 0 {
		delete(j.callersByJob, id)
	}
}

func (j *Jobber) run(ctx context.Context) {
	timer := time.NewTimer(idleStepInterval)
	defer timer.Stop()
	var events []scheduler.Event
	var lastRefresh, lastStep time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-j.events.Ready():
		}
		now := clock.Now()
		events = events[:0]
		if !lastStep.IsZero() && now.Sub(lastStep) > pauseThreshold {
			events = append(events, scheduler.ProcessPaused{})
		}
		lastStep = now
		events, _ = j.events.TakeAll(events)
		for _, command := range j.core.Step(now, events) {
			j.execute(command)
		}
		j.logOmitted(now)
		clear(events)
		if now.Sub(lastRefresh) > refreshInterval {
			lastRefresh = now
			j.refreshCounts()
		}
		interval := idleStepInterval
		if next, due := j.core.NextStep(now); due {
			interval = next.Sub(now)
		}
		timer.Reset(interval)
	}
}

func (j *Jobber) refreshCounts() {
	unstarted, usable := j.core.UnstartedJobs(), j.core.UsableAgents()
	j.mu.Lock()
	j.unstartedJobs, j.usableAgents = unstarted, usable
	j.mu.Unlock()
}

func (j *Jobber) execute(command scheduler.Command) {
	switch c := command.(type) {
	case scheduler.Place:
		j.metrics.placed.Inc(1)
		j.logPlaced(c)
		j.options.Send(c.Link, c)
	case scheduler.Stop:
		j.metrics.stopped.Inc(1)
		j.options.Log.Info("scheduler: Stopped a run", "run", c.Run.String(), j.task(c.Run.Task), "agent", c.Agent.Name, "link", c.Link)
		j.options.Send(c.Link, c)
	case scheduler.StoppedRunEnded:
		j.logStoppedEnd(c)
	case scheduler.Acknowledge:
		j.options.Send(c.Link, c)
	case scheduler.AnnounceZones:
		j.options.Send(c.Link, c)
	case scheduler.Answer:
		j.answer(c)
	case scheduler.CrashRecorded:
		j.metrics.crashes.Inc(1)
		j.options.Log.Info("scheduler: A minion crashed", "agent", c.Agent.Name, "minion", c.Crash.Minion, "incarnation", c.Crash.Incarnation,
			"runs", len(c.Crash.Runs))
	case scheduler.TaskCondemned:
		j.metrics.condemned.Inc(1)
		j.options.Log.Warn("scheduler: A task crashes minions", "job", c.Verdict.Task.Job, "index", c.Verdict.Task.Index, j.task(c.Verdict.Task), "route", c.Verdict.Route,
			"crashes", c.Verdict.Crashes, "age", c.Verdict.Age, "verdict", string(c.Verdict.Kind))
	case scheduler.RouteConfined:
		j.metrics.confined.Inc(1)
		j.options.Log.Warn("scheduler: Confined a route whose work crashes minions", "route", c.Route, "share", c.Share)
	case scheduler.RouteReleased:
		j.metrics.released.Inc(1)
		j.options.Log.Info("scheduler: Released a route", "route", c.Route, "successes", c.Successes)
	case scheduler.DataWaitEnded:
		j.dataWaitEnded(c)
	case scheduler.LogMessage:
		j.logMessage(c)
	}
}

func (j *Jobber) dataWaitEnded(c scheduler.DataWaitEnded) {
	j.metrics.dataWaits.Inc(1)
	j.metrics.dataWait.Update(c.Length)
	if c.Paid {
		j.metrics.dataWaitsPaid.Inc(1)
	}
	j.options.Log.Info("scheduler: A task waited for room near its data", "run", c.Run.String(), j.task(c.Run.Task), "route", c.Route, "near", c.Near,
		"paid", c.Paid, "reason", c.Reason, "waited", c.Length, "expected", c.Expected, "elsewhere", c.Elsewhere.Name)
}

func (j *Jobber) answer(c scheduler.Answer) {
	j.metrics.outcomes[c.Outcome].Inc(1)
	j.options.Log.Info("scheduler: Answered a job", "job", c.Job, "outcome", c.Outcome.String(), "reason", c.Reason, "retry-after", c.RetryAfter,
		"tasks", c.Tasks, "expected", c.Expected, "age", c.Age, "until-deadline", c.UntilDeadline)
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, ticket := range c.Tickets {
		if results := j.callers[ticket]; results != nil {
			results <- Result{Outcome: c.Outcome, Reason: c.Reason, RetryAfter: c.RetryAfter}
			delete(j.callers, ticket)
		}
	}
}
