// Package receiver handles the HTTP requests and jobs of callers. It turns them
// into submissions to the dispatcher and answers each with exactly one complete
// answer or one problem document, which states what is known about the effects.
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
	// maxReplyMargin caps the time between the core's deadline for a reply and
	// the caller's deadline, which is left for sending the answer.
	maxReplyMargin = 20 * time.Millisecond
	// replyMarginDivisor limits the margin to a tenth of the time until a short
	// deadline.
	replyMarginDivisor = 10
	// bodyReadTimeout bounds the transfer of a request body.
	bodyReadTimeout = 30 * time.Second
	// answerWriteTimeout bounds the transfer of an answer.
	answerWriteTimeout = time.Minute
	// DefaultMaxInFlightBytes caps the total size of the request bodies of all
	// submissions in flight.
	DefaultMaxInFlightBytes = 512 << 20
	// defaultRetryDelay is the Retry-After of a refusal for a temporary
	// condition whose end is unknown.
	defaultRetryDelay = time.Second
)

// EventQueue passes events to the dispatcher core.
type EventQueue interface {
	// Offer queues an event without blocking and reports false when the queue
	// is full.
	Offer(ev dispatcher.Event) bool
	// Put queues an event, waiting for space, and reports false when ctx ends
	// first.
	Put(ctx context.Context, ev dispatcher.Event) bool
}

// Options are the dependencies and limits of a Receiver.
type Options struct {
	Limits  loader.Limits
	Events  EventQueue
	Waiters *waiter.Registry
	// Table returns the routing table in force, or nil when no configuration
	// has been loaded yet.
	Table func() *router.Table
	// Stopping reports whether the entry is shutting down, so that callers
	// should connect to another one.
	Stopping func() bool
	// MaxInFlightBytes caps the total size of the request bodies of all
	// submissions in flight; 0 means DefaultMaxInFlightBytes.
	MaxInFlightBytes int
	Log              *slog.Logger
	Metrics          metrics.Registry
}

// Receiver is the HTTP handler of the callers' listener.
type Receiver struct {
	options Options
	// bytesInFlight is the memory reserved for the bodies of the submissions in
	// flight.
	bytesInFlight  atomic.Int64
	requests       metrics.Counter
	jobs           metrics.Counter
	refusals       metrics.Counter
	repliesOverdue metrics.Counter
	callersLeft    metrics.Counter
	answerTimes    metrics.Timer
}

// New returns a receiver with defaults for the options that are unset.
func New(o Options) *Receiver {
	if o.Stopping == nil {
		o.Stopping = func() bool { return false }
	}
	if o.MaxInFlightBytes == 0 {
		o.MaxInFlightBytes = DefaultMaxInFlightBytes
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return &Receiver{
		options:        o,
		requests:       metrics.GetOrRegisterCounter("caller-requests", o.Metrics),
		jobs:           metrics.GetOrRegisterCounter("caller-jobs", o.Metrics),
		refusals:       metrics.GetOrRegisterCounter("caller-refusals", o.Metrics),
		repliesOverdue: metrics.GetOrRegisterCounter("caller-replies-overdue", o.Metrics),
		callersLeft:    metrics.GetOrRegisterCounter("callers-left", o.Metrics),
		answerTimes:    metrics.GetOrRegisterTimer("caller-answers", o.Metrics),
	}
}

// ServeHTTP handles one request or job of a caller.
func (c *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	c.requests.Inc(1)
	if c.options.Stopping() {
		w.Header().Set("Connection", "close")
	}
	sub := submission{Submission: dispatcher.Submission{Job: task.RandomJobID()}}
	w.Header().Set(headerJob, sub.Job.String())
	release, ok := c.reserveBody(r)
	defer release()
	if !ok {
		c.refuse(w, problemFromAnswer(overloadedAnswer(began)).mayHaveRunIfKeyed(r))
		return
	}
	refusal := c.readSubmission(w, r, &sub, began)
	w.Header().Set(headerJob, sub.Job.String())
	if refusal != nil {
		c.refuse(w, refusal)
		return
	}
	if sub.isJob {
		c.jobs.Inc(1)
	}
	reply, ok := c.submitAndWait(r, sub)
	if !ok {
		c.callersLeft.Inc(1)
		return
	}
	c.logOutcome(sub, reply.Answer)
	c.writeAnswer(w, r, sub, reply.Answer)
	c.answerTimes.UpdateSince(began)
}

// reserveBody reserves memory for a request body. It reports false when the
// submissions in flight exceed MaxInFlightBytes; the caller must call release
// in either case.
func (c *Receiver) reserveBody(r *http.Request) (release func(), ok bool) {
	size := r.ContentLength
	if size < 0 || size > int64(c.options.Limits.BodyBytes) {
		size = int64(c.options.Limits.BodyBytes)
	}
	release = func() { c.bytesInFlight.Add(-size) }
	return release, c.bytesInFlight.Add(size) <= int64(c.options.MaxInFlightBytes)
}

// setWriteDeadline bounds the transfer of an answer. The deadline stays in
// force for later answers on the connection, so each answer sets it anew.
func setWriteDeadline(w http.ResponseWriter) {
	// If deadlines are not supported, a slow caller can hold the connection longer.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
}

// logOutcome logs how a submission ended, under the job ID that the logs of
// agents and other entries use too.
func (c *Receiver) logOutcome(sub submission, answer dispatcher.Answer) {
	level := slog.LevelDebug
	if answer.Outcome == task.Failed || answer.Outcome == task.MayHaveRun {
		level = slog.LevelWarn
	}
	c.options.Log.Log(context.Background(), level, "receiver: Answered", "job", sub.Job, "team", sub.Team, "route", sub.Plan.Route.Name,
		"tasks", len(sub.Tasks), "outcome", answer.Outcome, "reason", answer.Reason)
}

// submission extends a dispatcher submission by what its answer depends on.
type submission struct {
	dispatcher.Submission
	// isJob is true for a job of several tasks and false for a single request.
	isJob bool
	// callerDeadline is the deadline that the caller was given. The core's
	// deadline is earlier by the reply margin.
	callerDeadline time.Time
}

// readSubmission validates a request and fills in the submission, or returns a
// refusal.
func (c *Receiver) readSubmission(w http.ResponseWriter, r *http.Request, sub *submission, now time.Time) *problem {
	if refusal := c.readHeader(r, sub); refusal != nil {
		return refusal
	}
	table := c.options.Table()
	if table == nil {
		p := notRun(http.StatusServiceUnavailable, "no-configuration", "the entry has no configuration yet", "try again soon or at another entry")
		p.retryAt = now.Add(defaultRetryDelay)
		return p.mayHaveRunIfKeyed(r)
	}
	plan, refusal := matchRoute(table, r)
	if refusal != nil {
		return refusal.mayHaveRunIfKeyed(r)
	}
	sub.Plan = plan
	if refusal := c.readDeadline(r, sub, now); refusal != nil {
		return refusal.mayHaveRunIfKeyed(r)
	}
	return c.readContent(w, r, sub)
}

// matchRoute finds the route of a request, or returns a refusal.
func matchRoute(table *router.Table, r *http.Request) (router.Plan, *problem) {
	plan, err := table.Match(router.Request{Host: r.Host, Path: r.URL.Path, Method: r.Method})
	if err == nil {
		return plan, nil
	}
	if fault.KindOf(err) == fault.Invalid {
		return plan, notRun(http.StatusBadRequest, "bad-request", errorText(err), errorRemedy(err, "correct the request"))
	}
	if isOperatorsPath(r.URL.Path) {
		return plan, notRun(http.StatusNotFound, "callers-only",
			"this listener serves callers only; health, metrics and commands have a listener of their own",
			"ask the operators' listener")
	}
	return plan, notRun(http.StatusNotFound, "no-route", errorText(err), errorRemedy(err, "ask the operators for a route, or correct the path"))
}

// isOperatorsPath reports whether the operators' listener serves the path.
func isOperatorsPath(path string) bool {
	return path == "/healthz" || path == "/readyz" || path == "/metrics"
}

// isInternalPath reports whether the path is that of a call between
// agatevalve's own processes.
func isInternalPath(path string) bool { return strings.HasPrefix(path, "/agatevalve.v1.") }

// submitAndWait submits to the core and returns its only reply. It reports
// false when the caller has disconnected.
func (c *Receiver) submitAndWait(r *http.Request, sub submission) (dispatcher.Reply, bool) {
	ticket, replies := c.options.Waiters.Open()
	defer c.options.Waiters.Close(ticket)
	sub.Ticket = ticket
	if !c.options.Events.Offer(dispatcher.Submitted{Submission: sub.Submission}) {
		return dispatcher.Reply{Ticket: ticket, Answer: overloadedAnswer(time.Now())}, true
	}
	c.options.Log.Debug("receiver: Submitted", "job", sub.Job, "team", sub.Team, "tasks", len(sub.Tasks), "route", sub.Plan.Route.Name)
	extraWait := sub.callerDeadline.Sub(sub.Deadline) / 2
	timer := time.NewTimer(time.Until(sub.Deadline.Add(extraWait)))
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply, true
	case <-r.Context().Done():
		c.options.Events.Put(context.WithoutCancel(r.Context()), dispatcher.WaitCancelled{Ticket: ticket})
		return dispatcher.Reply{}, false
	case <-timer.C:
	}
	select {
	case reply := <-replies:
		return reply, true
	default:
	}
	c.repliesOverdue.Inc(1)
	c.options.Events.Offer(dispatcher.WaitCancelled{Ticket: ticket})
	return dispatcher.Reply{Ticket: ticket, Answer: overdueAnswer()}, true
}

// overloadedAnswer is the answer to a submission that was not passed to the
// core.
func overloadedAnswer(now time.Time) dispatcher.Answer {
	return dispatcher.Answer{
		Outcome: task.NotRun,
		Status:  http.StatusServiceUnavailable,
		Reason:  "the entry is overloaded",
		Remedy:  "try again later or at another entry",
		RetryAt: now.Add(defaultRetryDelay),
	}
}

// overdueAnswer is the answer to a submission for which the core sent no reply
// in time.
func overdueAnswer() dispatcher.Answer {
	return dispatcher.Answer{
		Outcome: task.MayHaveRun,
		Status:  http.StatusGatewayTimeout,
		Reason:  "no answer was known at the deadline",
		Remedy:  "ask again under the same Idempotency-Key, or check at the target before you repeat it",
	}
}

// errorText returns the text of a fault without its remedy, or that of any
// other error.
func errorText(err error) string {
	var e *fault.Error
	if errors.As(err, &e) {
		return e.Text
	}
	return err.Error()
}

// errorRemedy returns the remedy of a fault, or the fallback when it has none.
func errorRemedy(err error, fallback string) string {
	if remedy := fault.RemedyOf(err); remedy != "" {
		return remedy
	}
	return fallback
}
