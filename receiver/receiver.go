// Package receiver is the callers' side of an entry. It turns HTTP requests
// and jobs into submissions, and gives each caller exactly one whole answer or
// one refusal that says what is known about the effects.
package receiver

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/loader"
	"agatevalve/router"
	"agatevalve/waiter"
)

const (
	// longestReplyMargin is how long before a caller's deadline the core must
	// reply at the latest, so that the answer arrives in time.
	longestReplyMargin = 20 * time.Millisecond
	// replyMarginPart is the part of a short deadline that the margin takes.
	replyMarginPart = 10
	// longestRead bounds the transfer of a request's body.
	longestRead = 30 * time.Second
	// longestWrite bounds the transfer of an answer.
	longestWrite = time.Minute
	// DefaultHeldBytes caps the bodies of all submissions in flight.
	DefaultHeldBytes = 512 << 20
	// unknownRetry is the Retry-After of a refusal that passes soon.
	unknownRetry = time.Second
)

// Events takes what callers did towards the core.
type Events interface {
	// Offer reports false when there is no space now.
	Offer(ev dispatcher.Event) bool
	// Put waits for space and reports false when ctx ends first.
	Put(ctx context.Context, ev dispatcher.Event) bool
}

// Options are the dependencies and limits of a Receiver.
type Options struct {
	Limits  loader.Limits
	Events  Events
	Waiters *waiter.Registry
	// Table returns the configuration in force, or nil before there is one.
	Table func() *router.Table
	// Stopping reports whether callers should connect elsewhere.
	Stopping func() bool
	// HeldBytes caps the bodies of all submissions in flight; 0 takes the
	// default.
	HeldBytes int
	Log       *slog.Logger
	Metrics   metrics.Registry
}

// Receiver is the handler of the callers' listener.
type Receiver struct {
	o Options
	// held sums the bodies of the submissions in flight.
	held     atomic.Int64
	requests metrics.Counter
	jobs     metrics.Counter
	refused  metrics.Counter
	overdue  metrics.Counter
	left     metrics.Counter
	answers  metrics.Timer
}

// New returns a receiver.
func New(o Options) *Receiver {
	if o.Stopping == nil {
		o.Stopping = func() bool { return false }
	}
	if o.HeldBytes == 0 {
		o.HeldBytes = DefaultHeldBytes
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return &Receiver{
		o:        o,
		requests: metrics.GetOrRegisterCounter("caller-requests", o.Metrics),
		jobs:     metrics.GetOrRegisterCounter("caller-jobs", o.Metrics),
		refused:  metrics.GetOrRegisterCounter("caller-refusals", o.Metrics),
		overdue:  metrics.GetOrRegisterCounter("caller-replies-overdue", o.Metrics),
		left:     metrics.GetOrRegisterCounter("callers-left", o.Metrics),
		answers:  metrics.GetOrRegisterTimer("caller-answers", o.Metrics),
	}
}

// ServeHTTP handles one request or job of a caller.
func (c *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	c.requests.Inc(1)
	if c.o.Stopping() {
		w.Header().Set("Connection", "close")
	}
	sub := submission{Submission: dispatcher.Submission{Job: task.RandomJobID()}}
	w.Header().Set(headerJob, sub.Job.String())
	release, ok := c.hold(r)
	defer release()
	if !ok {
		c.refuse(w, refusalOf(overloaded(began)).unlessRun(r))
		return
	}
	refusal := c.read(w, r, &sub, began)
	w.Header().Set(headerJob, sub.Job.String())
	if refusal != nil {
		c.refuse(w, refusal)
		return
	}
	if sub.job {
		c.jobs.Inc(1)
	}
	reply, ok := c.wait(r, sub)
	if !ok {
		c.left.Inc(1)
		return
	}
	c.note(sub, reply.Answer)
	c.write(w, r, sub, reply.Answer)
	c.answers.UpdateSince(began)
}

// hold reserves memory for a request's body. It reports false when the
// submissions in flight hold too much; release may be called in any case.
func (c *Receiver) hold(r *http.Request) (release func(), ok bool) {
	size := r.ContentLength
	if size < 0 || size > int64(c.o.Limits.BodyBytes) {
		size = int64(c.o.Limits.BodyBytes)
	}
	release = func() { c.held.Add(-size) }
	return release, c.held.Add(size) <= int64(c.o.HeldBytes)
}

// boundWrite bounds the transfer of an answer. The bound outlives the answer, so
// each one sets it anew.
func boundWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(longestWrite)) // Without support a slow caller waits longer.
}

// note logs the end of a submission under the id that agents and other entries
// log too.
func (c *Receiver) note(sub submission, answer dispatcher.Answer) {
	level := slog.LevelDebug
	if answer.Outcome == task.Failed || answer.Outcome == task.MayHaveRun {
		level = slog.LevelWarn
	}
	c.o.Log.Log(context.Background(), level, "receiver: Answered", "job", sub.Job, "team", sub.Team, "route", sub.Plan.Route.Name,
		"tasks", len(sub.Tasks), "outcome", answer.Outcome, "reason", answer.Reason)
}

// submission is a submission beside what its answer depends on.
type submission struct {
	dispatcher.Submission
	// job is true for a submission of many tasks.
	job bool
	// callerDeadline is the deadline that the caller knows; the core's lies a
	// margin before it.
	callerDeadline time.Time
}

// read checks a request and fills in what to submit, or returns a refusal.
func (c *Receiver) read(w http.ResponseWriter, r *http.Request, sub *submission, now time.Time) *problem {
	if refusal := c.readHeader(r, sub); refusal != nil {
		return refusal
	}
	table := c.o.Table()
	if table == nil {
		p := notRun(http.StatusServiceUnavailable, "no-configuration", "the entry has no configuration yet", "try again soon or at another entry")
		p.retryAt = now.Add(unknownRetry)
		return p.unlessRun(r)
	}
	plan, refusal := match(table, r)
	if refusal != nil {
		return refusal.unlessRun(r)
	}
	sub.Plan = plan
	if refusal := c.readDeadline(r, sub, now); refusal != nil {
		return refusal.unlessRun(r)
	}
	return c.readContent(w, r, sub)
}

func match(table *router.Table, r *http.Request) (router.Plan, *problem) {
	plan, err := table.Match(router.Request{Host: r.Host, Path: r.URL.Path, Method: r.Method})
	if err == nil {
		return plan, nil
	}
	if fault.KindOf(err) == fault.Invalid {
		return plan, notRun(http.StatusBadRequest, "bad-request", textOf(err), remedyOf(err, "correct the request"))
	}
	if isOwnPath(r.URL.Path) {
		return plan, notRun(http.StatusNotFound, "callers-only",
			"this listener serves callers only; health, metrics and commands have a listener of their own",
			"ask the operators' listener")
	}
	return plan, notRun(http.StatusNotFound, "no-route", textOf(err), remedyOf(err, "ask the operators for a route, or correct the path"))
}

// isOwnPath reports whether a path is one of the operators' listener.
func isOwnPath(path string) bool {
	return path == "/healthz" || path == "/readyz" || path == "/metrics"
}

// isInternalPath reports whether a path is a call between our own processes.
func isInternalPath(path string) bool { return strings.HasPrefix(path, "/agatevalve.v1.") }

// wait submits and returns the only reply. It reports false when the caller
// has left.
func (c *Receiver) wait(r *http.Request, sub submission) (dispatcher.Reply, bool) {
	ticket, replies := c.o.Waiters.Open()
	defer c.o.Waiters.Close(ticket)
	sub.Ticket = ticket
	if !c.o.Events.Offer(dispatcher.Submitted{Submission: sub.Submission}) {
		return dispatcher.Reply{Ticket: ticket, Answer: overloaded(time.Now())}, true
	}
	c.o.Log.Debug("receiver: Submitted", "job", sub.Job, "team", sub.Team, "tasks", len(sub.Tasks), "route", sub.Plan.Route.Name)
	grace := sub.callerDeadline.Sub(sub.Deadline) / 2
	timer := time.NewTimer(time.Until(sub.Deadline.Add(grace)))
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply, true
	case <-r.Context().Done():
		c.o.Events.Put(context.WithoutCancel(r.Context()), dispatcher.WaitCancelled{Ticket: ticket})
		return dispatcher.Reply{}, false
	case <-timer.C:
	}
	select {
	case reply := <-replies:
		return reply, true
	default:
	}
	c.overdue.Inc(1)
	c.o.Events.Offer(dispatcher.WaitCancelled{Ticket: ticket})
	return dispatcher.Reply{Ticket: ticket, Answer: overdue()}, true
}

// overloaded is the answer to a submission that never reached the core.
func overloaded(now time.Time) dispatcher.Answer {
	return dispatcher.Answer{
		Outcome: task.NotRun,
		Status:  http.StatusServiceUnavailable,
		Reason:  "the entry is overloaded",
		Remedy:  "try again later or at another entry",
		RetryAt: now.Add(unknownRetry),
	}
}

// overdue is the answer to a submission without a reply in time.
func overdue() dispatcher.Answer {
	return dispatcher.Answer{
		Outcome: task.MayHaveRun,
		Status:  http.StatusGatewayTimeout,
		Reason:  "no answer was known at the deadline",
		Remedy:  "ask again under the same Idempotency-Key, or check at the target before you repeat it",
	}
}

func textOf(err error) string {
	var e *fault.Error
	if errors.As(err, &e) {
		return e.Text
	}
	return err.Error()
}

func remedyOf(err error, otherwise string) string {
	if remedy := fault.RemedyOf(err); remedy != "" {
		return remedy
	}
	return otherwise
}
