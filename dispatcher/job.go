package dispatcher

import (
	"time"

	"agatevalve/common/task"
)

// job is one submission and all its resubmissions through this entry.
type job struct {
	id         task.JobID
	submission Submission
	phase      phase
	// waiters are the callers and entries that get the answer.
	waiters []*waiter
	// claim is the claim under which tasks start; zero for unclaimed jobs.
	claim Claim
	// allowed holds the agents that may receive tasks; nil allows all.
	allowed map[task.Process]bool
	// widening is the claim under way that names more agents, or nil.
	widening *Claim
	// fencing holds the agents whose word is awaited during a takeover.
	fencing map[task.Process]bool
	// unfenced counts agents that couldn't be fenced: any task not found
	// elsewhere may have run there.
	unfenced int
	units    []unit
	// pending lists the units that wait to be sent, last first.
	pending []*unit
	// left counts the units that are not done.
	left int
	// queued is true while the job stands in its pool's queue.
	queued bool
	// asked is when its claim was asked for, if it needs one: on submission, or
	// on a takeover.
	asked time.Time
	// began is when its tasks might first be sent: for a claimed job, when the
	// claim was won.
	began time.Time
	// started is true once a task has been sent.
	started bool
	// rank orders the job within its team.
	rank time.Time
	// bytes sums the responses so far.
	bytes int
	// answer is set in phaseDone, and is the planned one in phaseClosing.
	answer Answer
	// expires is when a kept answer is dropped.
	expires time.Time
}

type phase uint8

const (
	// phaseClaiming waits for the claim; nothing has been sent.
	phaseClaiming phase = iota
	// phaseAsking waits for the answer of another owner.
	phaseAsking
	// phaseFencing waits for the agents of a former owner.
	phaseFencing
	// phaseRunning sends tasks and takes results.
	phaseRunning
	// phaseClosing waits for the store's word that no other entry has taken the
	// job, before its callers are told that it was not run.
	phaseClosing
	// phaseDone has an answer.
	phaseDone
)

// unit is one task of a job.
type unit struct {
	job   *job
	index int
	// attempts numbers the sends so far.
	attempts task.Attempt
	// sends are the attempts whose fate is open.
	sends []*send
	done  bool
	// ran is true once a minion is known to have started it.
	ran bool
	// uncertain is true when a start can't be excluded.
	uncertain bool
	// retries counts the starts after a failure.
	retries int
	// waiting is true while the unit is in line; entries of job.pending whose
	// unit isn't waiting are stale.
	waiting bool
	// ended is the attempt with the final report of a claimed task, which is
	// acknowledged when the job ends.
	ended *send
	// tried lists the agents that ran or may have run it; it is not sent there again.
	tried    []task.Process
	response task.Response
}

// send is one attempt at one agent whose fate is open.
type send struct {
	agent    task.Process
	attempt  task.Attempt
	at       time.Time
	accepted bool
	// unsure is true when no link is sure to bring its report: after the link
	// broke, and after a takeover.
	unsure bool
	// hedged is true for a second start beside a slow first one.
	hedged bool
}

type waiter struct {
	ticket   Ticket
	job      *job
	deadline time.Time
	// entry is true for another entry's question.
	entry bool
}

func (j *job) keyed() bool { return j.submission.Key != "" }

// claimed reports whether tasks may start only under a claim.
func (j *job) claimed() bool { return j.keyed() && !j.submission.Plan.Route.Idempotent }

func (j *job) single() bool { return len(j.units) == 1 }

func newJob(id task.JobID, s Submission) *job {
	j := &job{id: id, submission: s, left: len(s.Tasks)}
	j.units = make([]unit, len(s.Tasks))
	for i := range j.units {
		j.units[i].job = j
		j.units[i].index = i
	}
	return j
}

func (u *unit) id() task.ID { return task.ID{Job: u.job.id, Index: u.index} }

// find returns the open send of an attempt, or nil.
func (u *unit) find(agent task.Process, attempt task.Attempt) *send {
	for _, s := range u.sends {
		if s.agent == agent && s.attempt == attempt {
			return s
		}
	}
	return nil
}

// close removes a send whose fate is known.
func (u *unit) close(s *send) {
	for i, other := range u.sends {
		if other == s {
			u.sends = append(u.sends[:i], u.sends[i+1:]...)
			return
		}
	}
}

// next removes the unit that goes next, or returns nil.
func (j *job) next() *unit {
	for len(j.pending) > 0 {
		last := len(j.pending) - 1
		u := j.pending[last]
		j.pending[last] = nil
		j.pending = j.pending[:last]
		if u.waiting {
			return u
		}
	}
	return nil
}

// hasPending reports whether a unit waits to be sent.
func (j *job) hasPending() bool {
	for len(j.pending) > 0 {
		last := len(j.pending) - 1
		if j.pending[last].waiting {
			return true
		}
		j.pending = j.pending[:last]
	}
	return false
}

// verdict returns what is known of a job that ends without all responses. A
// keyed job without a claim may have run at another entry.
func (j *job) verdict() task.Outcome {
	outcome := task.NotRun
	if j.keyed() && !j.claimed() {
		outcome = task.MayHaveRun
	}
	for i := range j.units {
		u := &j.units[i]
		if u.uncertain || (!u.done && len(u.sends) > 0) {
			return task.MayHaveRun
		}
		if u.ran || u.done {
			outcome = task.Failed
		}
	}
	return outcome
}
