// Package admitter turns submissions into jobs: it validates what a caller asks
// for, and applies the limits of the route.
package admitter

import (
	"cmp"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/work"
	"agatevalve/router"
)

const (
	// answerMargin is the time before the caller's deadline at which the answer
	// is sent: about twice the longest one-way latency to a caller, 3 ms, plus a
	// late timer.
	answerMargin = 12 * time.Millisecond
	// defaultAnswerTime is the time limit of an answer on a route that sets none.
	defaultAnswerTime = time.Minute
)

// Admit returns the job of a submission on its route. A fault of kind Invalid
// is the caller's, and one of kind Unavailable names a feature that is not
// supported.
func Admit(s work.Submission, plan router.Plan) (work.Job, error) {
	if len(s.Steps) == 0 {
		return work.Job{}, fault.New(fault.Invalid, "send one step", "the job has no steps")
	}
	if feature := unsupported(s); feature != "" {
		return work.Job{}, fault.New(fault.Unavailable, "send jobs of one step that are answered at their end", "%s are not supported", feature)
	}
	step := s.Steps[0]
	if step.Count < 1 || step.Count > work.MaxTasks {
		return work.Job{}, fault.New(fault.Invalid, "send 1 to 100,000 tasks", "the step has %d tasks", step.Count)
	}
	if step.Room.CPU < 0 || step.Room.Memory < 0 || step.Room.Accelerators < 0 || step.Hint < 0 || step.MaxPerMinion < 0 {
		return work.Job{}, fault.New(fault.Invalid, "send no negative figures", "a size of the step is negative")
	}
	policy := plan.Route.Jobs
	return work.Job{
		ID: s.ID, Route: plan.Route.Name, Service: plan.Pool.Name, Spec: s.Spec,
		Count: step.Count, Room: step.Room, Label: step.Label, Rack: step.Rack, MaxPerMinion: step.MaxPerMinion, Hint: step.Hint,
		DataWait: policy.DataWait,
		Attempts: max(policy.Attempts, 1), Priority: policy.Priority, Stretch: policy.Stretch, Allowance: policy.Allowance,
		Arrived: s.Arrived, Deadline: deadline(s, plan.Route.AnswerWithin),
	}, nil
}

// deadline returns the time by which the answer has to be sent: before the
// caller stops waiting. The time limit of the route is for callers that don't
// say how long they wait.
func deadline(s work.Submission, answerWithin time.Duration) time.Time {
	end := s.Deadline
	if end.IsZero() {
		end = s.Arrived.Add(cmp.Or(answerWithin, defaultAnswerTime))
	}
	return end.Add(-min(answerMargin, end.Sub(s.Arrived)/2))
}

// unsupported names an unsupported feature that a submission asks for, or "".
func unsupported(s work.Submission) string {
	step := s.Steps[0]
	switch {
	case s.Stored:
		return "jobs that are stored"
	case len(s.Steps) > 1:
		return "jobs of several steps"
	case s.Timed:
		return "jobs with times"
	case step.Gang:
		return "gangs"
	case step.Lasting:
		return "tasks that last"
	}
	return ""
}
