// Package verifier checks the promises to callers against the events of an
// experiment. It is independent of how entries and agents decide: it observes
// only what callers, minions and the network observe.
package verifier

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// DrainAllowance is the time for which a draining minion may still get new
// tasks.
const DrainAllowance = 3 * time.Second

// Violation is a broken promise to a caller.
type Violation struct {
	// Promise is the name of the check, in kebab-case.
	Promise string
	Job     task.JobID
	// At is the virtual time since the experiment began.
	At time.Duration
	// Detail describes the violation in a sentence.
	Detail string
	// Trace lists the events of the job, one per line.
	Trace []string
}

// Job is a request or job of a caller, with all its submissions.
type Job struct {
	ID         task.JobID
	Idempotent bool
	// Keyed is true if the job has an idempotency key, so that all submissions
	// must get the same answer.
	Keyed bool
	// Bodies holds the request body of each task. Minions must echo it at the
	// beginning of their response, which shows crossed answers.
	Bodies [][]byte

	// starts counts the starts of each task at minions.
	starts []int
	// pending counts the submissions without a reply.
	pending int
	// withdrawn counts the submissions that the caller cancelled.
	withdrawn int
	// repliedNotRun is true from a reply that nothing ran until the next
	// submission.
	repliedNotRun bool
	// answer is the first complete answer.
	answer []task.Response
	trace  []traceStep
}

// traceStep is one event of a job's trace.
type traceStep struct {
	at          time.Time
	event       string
	participant string
	index       int
	attempt     task.Attempt
}

// Verifier checks the events of an experiment and collects violations.
type Verifier struct {
	epoch time.Time
	jobs  map[task.JobID]*Job
	// drains holds the time at which each draining minion began to drain.
	drains map[string]time.Time
	// Violations holds the violations in the order in which they were found.
	Violations []Violation
}

// New returns a verifier of an experiment that begins at epoch.
func New(epoch time.Time) *Verifier {
	return &Verifier{epoch: epoch, jobs: make(map[task.JobID]*Job), drains: make(map[string]time.Time)}
}

// Add registers a job before its first submission.
func (v *Verifier) Add(j *Job) {
	j.starts = make([]int, len(j.Bodies))
	v.jobs[j.ID] = j
}

// Submitted records a submission.
func (v *Verifier) Submitted(now time.Time, j *Job, entry string) {
	j.pending++
	j.repliedNotRun = false
	j.record(now, "submitted", entry, -1, 0)
}

// ConnectionLost records that a caller lost its connection without a reply.
func (v *Verifier) ConnectionLost(now time.Time, j *Job, entry string) {
	j.pending--
	j.record(now, "connection broken", entry, -1, 0)
}

// Withdrawn records that an entry was notified that a caller cancelled.
func (v *Verifier) Withdrawn(now time.Time, j *Job, entry string) {
	j.pending--
	j.withdrawn++
	j.record(now, "withdrawn", entry, -1, 0)
}

// Sent checks a start that an entry sends.
func (v *Verifier) Sent(now time.Time, s task.Start, entry, agent string) {
	j := v.jobs[s.Task.Job]
	if j == nil {
		return
	}
	j.record(now, "sent", entry+" to "+agent, s.Task.Index, s.Attempt)
	if j.withdrawn > 0 && j.pending <= 0 && !j.Keyed {
		v.violate(now, j, "cancelled-not-sent", "task %d was sent after its caller had gone", s.Task.Index)
	}
}

// Refused records that an agent refused a start.
func (v *Verifier) Refused(now time.Time, r task.Report, agent string) {
	if j := v.jobs[r.Task.Job]; j != nil {
		j.record(now, "refused as "+r.Refusal.String(), agent, r.Task.Index, r.Attempt)
	}
}

// Started checks the start of a task at a minion.
func (v *Verifier) Started(now time.Time, s task.Start, minion string) {
	j := v.jobs[s.Task.Job]
	if j == nil || s.Task.Index >= len(j.starts) {
		v.violate(now, &Job{ID: s.Task.Job}, "own-answer", "an unknown task was started at %s", minion)
		return
	}
	j.record(now, "started", minion, s.Task.Index, s.Attempt)
	j.starts[s.Task.Index]++
	if j.starts[s.Task.Index] > 1 && !j.Idempotent {
		v.violate(now, j, "at-most-once", "task %d started %d times", s.Task.Index, j.starts[s.Task.Index])
	}
	if j.repliedNotRun && j.pending <= 0 {
		v.violate(now, j, "not-run-is-true", "task %d started after a reply that nothing ran", s.Task.Index)
	}
	if since, leaving := v.drains[minion]; leaving && now.Sub(since) > DrainAllowance {
		v.violate(now, j, "leaving-gets-nothing", "%s got task %d %v after it began to leave", minion, s.Task.Index, now.Sub(since))
	}
}

// Ended records the end of a task at a minion.
func (v *Verifier) Ended(now time.Time, id task.ID, attempt task.Attempt, event, minion string) {
	if j := v.jobs[id.Job]; j != nil {
		j.record(now, event, minion, id.Index, attempt)
	}
}

// DrainStarted records that a minion began to drain.
func (v *Verifier) DrainStarted(now time.Time, minion string) { v.drains[minion] = now }

// Replied checks a reply when its caller receives it.
func (v *Verifier) Replied(now time.Time, j *Job, entry string, deadline time.Time, a dispatcher.Answer) {
	j.pending--
	j.record(now, "replied "+a.Outcome.String(), entry, -1, 0)
	if now.After(deadline) {
		v.violate(now, j, "in-time", "the reply came %v after the deadline", now.Sub(deadline))
	}
	switch a.Outcome {
	case task.Complete:
		v.checkAnswer(now, j, a.Responses)
	case task.NotRun:
		v.checkNotRun(now, j)
	case task.Failed, task.MayHaveRun:
	default:
		v.violate(now, j, "complete-or-failed", "the reply has the outcome %d", a.Outcome)
	}
}

// CheckReplied checks, at the end of the experiment, that no submission is
// without a reply.
func (v *Verifier) CheckReplied(now time.Time, j *Job) {
	if j.pending > 0 {
		v.violate(now, j, "always-a-reply", "%d submissions got no reply", j.pending)
	}
}

func (v *Verifier) checkNotRun(now time.Time, j *Job) {
	j.repliedNotRun = true
	for i, n := range j.starts {
		if n > 0 {
			v.violate(now, j, "not-run-is-true", "the reply says that nothing ran, but task %d had started", i)
			return
		}
	}
}

func (v *Verifier) checkAnswer(now time.Time, j *Job, responses []task.Response) {
	if len(responses) != len(j.Bodies) {
		v.violate(now, j, "complete-or-failed", "the answer has %d of %d parts", len(responses), len(j.Bodies))
		return
	}
	for i, r := range responses {
		if !bytes.HasPrefix(r.Body, j.Bodies[i]) {
			v.violate(now, j, "own-answer", "part %d is the answer to something else", i)
			return
		}
	}
	if j.answer == nil {
		j.answer = responses
	}
	if !j.Keyed || j.Idempotent {
		return
	}
	for i, r := range responses {
		if !bytes.Equal(r.Body, j.answer[i].Body) {
			v.violate(now, j, "same-answer", "part %d differs from the first answer", i)
			return
		}
	}
}

func (v *Verifier) violate(now time.Time, j *Job, promise, format string, args ...any) {
	v.Violations = append(v.Violations, Violation{
		Promise: promise, Job: j.ID, At: now.Sub(v.epoch),
		Detail: fmt.Sprintf(format, args...), Trace: j.traceLines(v.epoch),
	})
}

func (j *Job) record(now time.Time, event, participant string, index int, attempt task.Attempt) {
	j.trace = append(j.trace, traceStep{now, event, participant, index, attempt})
}

// Trace returns the events of a job, one per line.
func (v *Verifier) Trace(j *Job) []string { return j.traceLines(v.epoch) }

func (j *Job) traceLines(epoch time.Time) []string {
	lines := make([]string, 0, len(j.trace))
	for _, s := range j.trace {
		var b strings.Builder
		fmt.Fprintf(&b, "%v %s, %s", s.at.Sub(epoch), s.event, s.participant)
		if s.index >= 0 {
			fmt.Fprintf(&b, ", task %d attempt %d", s.index, s.attempt)
		}
		lines = append(lines, b.String())
	}
	return lines
}
