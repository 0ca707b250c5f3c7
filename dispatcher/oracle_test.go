package dispatcher_test

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
)

// promise is a guarantee that the oracle checks.
type promise string

const (
	startsOnce            promise = "each task of a submission starts at most once"
	completeOrFailed      promise = "an answer is complete or failed, never partial"
	ownAnswer             promise = "a caller gets the whole answer to its own request"
	notRunIsTrue          promise = "a refusal that says not-run is true"
	runsOnce              promise = "a non-idempotent request runs at most once"
	noWorkWhileLeaving    promise = "a leaving minion gets no new work"
	stopInterruptsNothing promise = "a planned stop cuts no request in flight"
	repliesInTime         promise = "each caller gets one reply by its deadline, and no start comes after it"
)

// maxLeaveDelay limits the time after an agent's drain in which an entry may
// still send to it, even if no frame of the agent arrives. It covers a frame in
// flight (maxFrameAge), the idle time before a ping (idlePingInterval), and the
// timeout of the ping.
const maxLeaveDelay = 6 * time.Second

// violation is a broken promise with its description.
type violation struct {
	promise promise
	text    string
}

// oracle checks the promises and collects their violations. Of a run it keeps
// only the starts of each task, the answers to callers, refusals, drains and
// deadlines.
type oracle struct {
	callers map[dispatcher.Ticket]*caller
	// starts lists the starts of each task at any minion.
	starts map[taskKey][]start
	// completeAnswers holds the first complete answer to each job and content.
	completeAnswers map[string][][]byte
	// lastNotRunReply holds, for each job and content, the time of the latest
	// not-run reply after which no other caller of it waited.
	lastNotRunReply map[string]time.Time
	violations      []violation
	// firstVariants holds the variant of the content that first ran under each
	// claimed key.
	firstVariants map[string]string
	// idempotent holds the jobs that were submitted while their route was
	// idempotent.
	idempotent map[string]bool
	// nonIdempotent holds the jobs that were submitted while their route was
	// not.
	nonIdempotent map[string]bool
	// drainedAt holds the time at which each leaving agent was drained.
	drainedAt map[task.Process]time.Time
	// acceptances holds the attempts that each agent accepted.
	acceptances map[acceptance]bool
	outcomes    map[task.Outcome]int
}

// caller is a submission and the reply to it.
type caller struct {
	submission dispatcher.Submission
	entry      task.Process
	// due is the time at which the deadline passes by the entry's clock, the only
	// one that the entry has. After a step of that clock, due is the later of the
	// times by the old and the new clock.
	due     time.Time
	replied bool
	// entryPaused is true if the entry was paused at the caller's deadline, in
	// which case it couldn't reply in time.
	entryPaused bool
	answer      dispatcher.Answer
}

// taskKey identifies a task by the job's name and the index within the job.
type taskKey struct {
	job   string
	index string
}

// parseBody parses a body that world.submit has built: job/variant/index.
func parseBody(r task.Request) (key taskKey, variant string) {
	parts := strings.Split(string(r.Body), "/")
	return taskKey{job: parts[0], index: parts[2]}, parts[1]
}

// contentOf returns the job's name and the variant of its content. A key may be
// submitted with different content.
func contentOf(r task.Request) string {
	key, variant := parseBody(r)
	return key.job + "/" + variant
}

// acceptance is an attempt that an agent accepted.
type acceptance struct {
	agent   task.Process
	attempt attemptKey
}

// start is one start of a task at a minion.
type start struct {
	agent task.Process
	body  string
}

// newOracle returns an oracle that has seen nothing yet.
func newOracle() *oracle {
	return &oracle{
		callers:         make(map[dispatcher.Ticket]*caller),
		starts:          make(map[taskKey][]start),
		completeAnswers: make(map[string][][]byte),
		lastNotRunReply: make(map[string]time.Time),
		outcomes:        make(map[task.Outcome]int),
		firstVariants:   make(map[string]string),
		idempotent:      make(map[string]bool),
		nonIdempotent:   make(map[string]bool),
		drainedAt:       make(map[task.Process]time.Time),
		acceptances:     make(map[acceptance]bool),
	}
}

// violate records a violation.
func (o *oracle) violate(p promise, format string, args ...any) {
	o.violations = append(o.violations, violation{p, fmt.Sprintf(format, args...)})
}

// recordSubmission records a new caller.
func (o *oracle) recordSubmission(entry *simEntry, s dispatcher.Submission) {
	o.callers[s.Ticket] = &caller{submission: s, entry: entry.self, due: entry.trueTime(s.Deadline)}
	delete(o.lastNotRunReply, contentOf(s.Tasks[0]))
	key, _ := parseBody(s.Tasks[0])
	if s.Plan.Route.Idempotent {
		o.idempotent[key.job] = true
	} else {
		o.nonIdempotent[key.job] = true
	}
}

// recordClockStep extends the due times of an entry's callers after its clock
// was set back.
func (o *oracle) recordClockStep(entry *simEntry) {
	for _, c := range o.callers {
		if due := entry.trueTime(c.submission.Deadline); c.entry == entry.self && due.After(c.due) {
			c.due = due
		}
	}
}

// checkStart checks the start of a task at a minion; now is the time by its
// agent's clock.
func (o *oracle) checkStart(now time.Time, agent task.Process, s task.Start) {
	key, variant := parseBody(s.Request)
	if len(o.starts[key]) > 0 && !o.idempotent[key.job] {
		o.violate(singleStartPromise(key), "task %v started twice: %v then %v", key, o.starts[key], agent)
	}
	if first, ok := o.firstVariants[key.job]; ok && first != variant && !o.idempotent[key.job] {
		o.violate(startsOnce, "task %v started with different content under its key", key)
	}
	o.firstVariants[key.job] = variant
	if at, answered := o.lastNotRunReply[contentOf(s.Request)]; answered && !o.routeChanged(key.job) {
		o.violate(notRunIsTrue, "task %v started after it was refused as not run at %s", key, at)
	}
	if !now.Before(s.Deadline) {
		o.violate(repliesInTime, "task %v started after its deadline", key)
	}
	o.starts[key] = append(o.starts[key], start{agent: agent, body: string(s.Request.Body)})
}

// routeChanged reports whether a job was submitted both while its route was
// idempotent and while it was not. A job that ran without a claim left no
// record of its key, so a later not-run reply covers its own submission only.
func (o *oracle) routeChanged(job string) bool { return o.idempotent[job] && o.nonIdempotent[job] }

// singleStartPromise returns the promise that a second start of a task breaks.
func singleStartPromise(key taskKey) promise {
	if strings.HasPrefix(key.job, "keyless") {
		return runsOnce
	}
	return startsOnce
}

// recordDrain records that an operator started or ended an agent's drain.
func (o *oracle) recordDrain(now time.Time, agent *simAgent, leave bool) {
	if _, already := o.drainedAt[agent.self]; !leave {
		delete(o.drainedAt, agent.self)
	} else if !already {
		o.drainedAt[agent.self] = now
	}
}

// checkAcceptance checks that a leaving agent accepts no new attempt.
func (o *oracle) checkAcceptance(agent *simAgent, c runner.Accept) {
	accepted := acceptance{agent.self, attemptKey{c.Task, c.Attempt}}
	if _, leaving := o.drainedAt[agent.self]; leaving && !o.acceptances[accepted] {
		o.violate(noWorkWhileLeaving, "%v accepted task %v after its drain", agent.self, c.Task)
	}
	o.acceptances[accepted] = true
}

// checkSend checks that an entry sends nothing to an agent more than
// maxLeaveDelay after the agent's drain or the end of the entry's last pause.
func (o *oracle) checkSend(now time.Time, entry *simEntry, s dispatcher.SendStart) {
	at, leaving := o.drainedAt[s.Agent.Process]
	if !leaving {
		return
	}
	if entry.resumedAt.After(at) {
		at = entry.resumedAt
	}
	if now.After(at.Add(maxLeaveDelay)) {
		o.violate(noWorkWhileLeaving, "%v sent task %v to %v %s after its drain", entry.self, s.Start.Task, s.Agent.Process, now.Sub(at))
	}
}

// checkAgentStop checks that a planned stop of an agent interrupts no call to
// its minion.
func (o *oracle) checkAgentStop(agent *simAgent) {
	for attempt := range agent.running {
		o.violate(stopInterruptsNothing, "%v stopped while its minion had task %v", agent.self, attempt.task)
	}
}

// checkEntryStop checks that a planned stop of an entry leaves no caller
// without a reply.
func (o *oracle) checkEntryStop(entry *simEntry) {
	for ticket, c := range o.callers {
		if c.entry == entry.self && !c.replied {
			o.violate(stopInterruptsNothing, "%v stopped and left ticket %d without a reply", entry.self, ticket)
		}
	}
}

// checkReply checks a reply to a caller.
func (o *oracle) checkReply(now time.Time, r dispatcher.Reply) {
	c := o.callers[r.Ticket]
	switch {
	case c == nil:
		o.violate(ownAnswer, "ticket %d was never submitted", r.Ticket)
		return
	case c.replied:
		o.violate(repliesInTime, "ticket %d got two replies", r.Ticket)
		return
	}
	c.replied = true
	c.answer = r.Answer
	o.outcomes[r.Answer.Outcome]++
	if now.After(c.due) && !c.entryPaused {
		o.violate(repliesInTime, "ticket %d was answered after its deadline", r.Ticket)
	}
	switch r.Answer.Outcome {
	case task.Complete:
		o.checkComplete(c)
	case task.NotRun:
		o.checkNotRun(now, c)
	case task.Failed, task.MayHaveRun:
		if len(r.Answer.Responses) > 0 {
			o.violate(completeOrFailed, "ticket %d got a partial answer", r.Ticket)
		}
	default:
		o.violate(completeOrFailed, "ticket %d got no outcome", r.Ticket)
	}
}

// checkComplete checks that a complete answer has the responses to the caller's
// own tasks, and is the same for every caller of the job.
func (o *oracle) checkComplete(c *caller) {
	s := c.submission
	if len(c.answer.Responses) != len(s.Tasks) {
		o.violate(completeOrFailed, "ticket %d got %d of %d responses", s.Ticket, len(c.answer.Responses), len(s.Tasks))
		return
	}
	var bodies [][]byte
	for i, r := range c.answer.Responses {
		if !bytes.Equal(r.Body, responseBody(s.Tasks[i])) {
			o.violate(ownAnswer, "ticket %d got %q for task %d", s.Ticket, r.Body, i)
		}
		if key, _ := parseBody(s.Tasks[i]); len(o.starts[key]) == 0 {
			o.violate(ownAnswer, "ticket %d got an answer of task %d, which never ran", s.Ticket, i)
		}
		bodies = append(bodies, r.Body)
	}
	content := contentOf(s.Tasks[0])
	if first := o.completeAnswers[content]; first != nil && fmt.Sprint(first) != fmt.Sprint(bodies) {
		o.violate(ownAnswer, "ticket %d got a different answer from that of an earlier caller", s.Ticket)
	}
	o.completeAnswers[content] = bodies
}

// checkNotRun checks that no task with this content has started.
func (o *oracle) checkNotRun(now time.Time, c *caller) {
	s := c.submission
	for i := range s.Tasks {
		key, _ := parseBody(s.Tasks[i])
		if o.routeChanged(key.job) {
			return
		}
		for _, st := range o.starts[key] {
			if st.body == string(s.Tasks[i].Body) {
				o.violate(notRunIsTrue, "ticket %d got a not-run reply, but task %d ran at %v", s.Ticket, i, st.agent)
			}
		}
	}
	for _, other := range o.callers {
		if contentOf(other.submission.Tasks[0]) == contentOf(s.Tasks[0]) && !other.replied {
			return
		}
	}
	o.lastNotRunReply[contentOf(s.Tasks[0])] = now
}

// recordResume marks the callers whose deadline passed while their entry was
// paused.
func (o *oracle) recordResume(now time.Time, entry task.Process) {
	for _, c := range o.callers {
		if c.entry == entry && !c.due.After(now) {
			c.entryPaused = true
		}
	}
}

// unansweredCallers lists the callers of running entries whose reply is
// overdue.
func (o *oracle) unansweredCallers(w *world) []dispatcher.Ticket {
	var overdue []dispatcher.Ticket
	for ticket, c := range o.callers {
		entry := w.entryOf(c.entry)
		alive := entry.self == c.entry && !entry.paused
		if alive && !c.replied && w.now.After(c.due) {
			overdue = append(overdue, ticket)
		}
	}
	return overdue
}
