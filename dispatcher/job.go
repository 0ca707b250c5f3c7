package dispatcher

import (
	"time"

	"agatevalve/common/task"
)

// job is a submission and all resubmissions of it through this entry.
type job struct {
	id         task.JobID
	submission Submission
	phase      phase
	// waiters are the callers and entries that wait for the answer.
	waiters []*waiter
	// claim is the claim under which tasks start; zero for jobs without a claim.
	claim Claim
	// allowedAgents holds the agents that may receive tasks; nil allows all.
	allowedAgents map[task.Process]bool
	// wideningClaim is the claim being written that adds agents to claim; nil if
	// there is none.
	wideningClaim *Claim
	// pendingFences holds the agents that have not replied to a Fence command of
	// a takeover.
	pendingFences map[task.Process]bool
	// failedFences counts the agents that couldn't be fenced. Any task that the
	// other agents don't report may have run there.
	failedFences int
	tasks        []jobTask
	// pending is a stack of the tasks that wait to be sent, the next one last.
	// Entries whose task isn't waiting are stale.
	pending []*jobTask
	// remaining counts the tasks that are not done.
	remaining int
	// queued is true while the job is in the queue of its pool.
	queued bool
	// claimRequestedAt is the time of the submission or takeover, when the claim
	// was requested if the job needs one.
	claimRequestedAt time.Time
	// runnableAt is the time from which the job's tasks could be sent: for a
	// claimed job, the time at which the claim was won.
	runnableAt time.Time
	// started is true once a task has been sent.
	started bool
	// rank orders the jobs of a team in the queue, earliest first.
	rank time.Time
	// responseBytes is the total size of the responses so far.
	responseBytes int
	// answer is the final answer in phaseDone, and the one to be confirmed in
	// phaseConfirming.
	answer Answer
	// expires is the time at which the kept answer is dropped.
	expires time.Time
}

// phase is the state of a job.
type phase uint8

const (
	// phaseClaiming waits for the result of a claim write; no attempt is open.
	phaseClaiming phase = iota
	// phaseAsking waits for the answer of another owner.
	phaseAsking
	// phaseFencing waits for the agents of a former owner to be fenced.
	phaseFencing
	// phaseRunning sends tasks and collects their responses.
	phaseRunning
	// phaseConfirming waits for the store to confirm that no other entry has
	// taken the job over, before its callers get the answer that it was not run.
	phaseConfirming
	// phaseDone has an answer.
	phaseDone
)

// jobTask is the state of one task of a job.
type jobTask struct {
	job   *job
	index int
	// lastAttempt is the number of the latest attempt.
	lastAttempt task.Attempt
	// openAttempts are the attempts whose outcome isn't known.
	openAttempts []*attempt
	done         bool
	// ran is true once a minion is known to have started the task.
	ran bool
	// mayHaveRun is true if it can't be ruled out that the task ran.
	mayHaveRun bool
	// retries counts the retries after a failed or lost attempt.
	retries int
	// waiting is true while the task waits to be sent.
	waiting bool
	// finalAttempt is the attempt that ended the claimed task; its report is
	// acknowledged when the job ends.
	finalAttempt *attempt
	// triedAgents lists the agents that ran the task or may have; it is not sent
	// there again.
	triedAgents []task.Process
	response    task.Response
}

// attempt is the execution of a task at one agent while its outcome isn't
// known.
type attempt struct {
	agent  task.Process
	number task.Attempt
	sentAt time.Time
	// accepted is true once the agent has confirmed the attempt.
	accepted bool
	// needsSettling is true when the report of the attempt may be lost and the
	// agent has to be asked for it: after the link broke, and after a takeover.
	needsSettling bool
	// hedge is true for a second attempt in parallel with a slow first one.
	hedge bool
}

// waiter is a caller, or another entry, that waits for the answer of a job.
type waiter struct {
	ticket   Ticket
	job      *job
	deadline time.Time
	// fromEntry is true if another entry waits.
	fromEntry bool
}

// keyed reports whether the job has an idempotency key.
func (j *job) keyed() bool { return j.submission.Key != "" }

// claimed reports whether the job's tasks may start only under a claim.
func (j *job) claimed() bool { return j.keyed() && !j.submission.Plan.Route.Idempotent }

// singleTask reports whether the job has exactly one task.
func (j *job) singleTask() bool { return len(j.tasks) == 1 }

// newJob returns a job whose tasks have no attempts.
func newJob(id task.JobID, s Submission) *job {
	j := &job{id: id, submission: s, remaining: len(s.Tasks)}
	j.tasks = make([]jobTask, len(s.Tasks))
	for i := range j.tasks {
		j.tasks[i].job = j
		j.tasks[i].index = i
	}
	return j
}

func (jt *jobTask) id() task.ID { return task.ID{Job: jt.job.id, Index: jt.index} }

// findAttempt returns the open attempt with this number at an agent, or nil.
func (jt *jobTask) findAttempt(agent task.Process, number task.Attempt) *attempt {
	for _, a := range jt.openAttempts {
		if a.agent == agent && a.number == number {
			return a
		}
	}
	return nil
}

// removeAttempt removes an attempt from the open ones.
func (jt *jobTask) removeAttempt(a *attempt) {
	for i, other := range jt.openAttempts {
		if other == a {
			jt.openAttempts = append(jt.openAttempts[:i], jt.openAttempts[i+1:]...)
			return
		}
	}
}

// popPending removes and returns the next task that waits to be sent, or nil.
func (j *job) popPending() *jobTask {
	for len(j.pending) > 0 {
		last := len(j.pending) - 1
		jt := j.pending[last]
		j.pending[last] = nil
		j.pending = j.pending[:last]
		if jt.waiting {
			return jt
		}
	}
	return nil
}

// hasPending reports whether a task waits to be sent. It drops stale entries of
// pending.
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

// knownOutcome returns the outcome of a job that ends without all responses. A
// keyed job without a claim may have run at another entry.
func (j *job) knownOutcome() task.Outcome {
	outcome := task.NotRun
	if j.keyed() && !j.claimed() {
		outcome = task.MayHaveRun
	}
	for i := range j.tasks {
		jt := &j.tasks[i]
		if jt.mayHaveRun || (!jt.done && len(jt.openAttempts) > 0) {
			return task.MayHaveRun
		}
		if jt.ran || jt.done {
			outcome = task.Failed
		}
	}
	return outcome
}
