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

// promise names what a violation breaks.
type promise string

const (
	startsOnce   promise = "each task of a submission starts at most once"
	wholeOrNone  promise = "an answer is complete or failed, never partial"
	ownAnswer    promise = "a caller gets the whole answer to its own request"
	notRunIsTrue promise = "a refusal that says not-run is true"
	runsOnce     promise = "a non-idempotent request runs at most once"
	leavesAlone  promise = "a leaving minion gets no new work"
	cutsNothing  promise = "a planned stop cuts no request in flight"
	inTime       promise = "each caller gets one reply by its deadline, and no start comes after it"
)

// leaveWithin bounds the sends to an agent that has left, also when the entry
// hears nothing of it. It covers a frame on its way (frameAge), the pause before
// a ping (idlePing), and the wait for its answer.
const leaveWithin = 6 * time.Second

// violation is a broken promise.
type violation struct {
	promise promise
	text    string
}

// oracle keeps only starts per task, answers per caller, refusals and
// deadlines, and collects what breaks a promise.
type oracle struct {
	calls map[dispatcher.Ticket]*caller
	// starts lists the starts of each task at any minion.
	starts map[subject][]start
	// whole holds the first complete answer of each job and content.
	whole map[string][][]byte
	// refused holds, for each job and content, the time of the latest not-run reply that
	// left no other caller waiting.
	refused    map[string]time.Time
	violations []violation
	// contents holds the content that first ran under each claimed key.
	contents map[string]string
	// free holds the jobs whose route was idempotent at a submission.
	free map[string]bool
	// bound holds the jobs whose route was not.
	bound map[string]bool
	// left is when each leaving agent was drained.
	left map[task.Process]time.Time
	// taken holds the attempts that each agent accepted.
	taken    map[taking]bool
	outcomes map[task.Outcome]int
}

type caller struct {
	submission dispatcher.Submission
	entry      task.Process
	// due is when the deadline passes by the entry's clock, the only one that the
	// entry has; after a step of that clock it is the later such time.
	due     time.Time
	replied bool
	// frozen is true when the entry was paused at the caller's deadline, so
	// that no reply in time was possible.
	frozen bool
	answer dispatcher.Answer
}

// subject names a task as its caller knows it.
type subject struct {
	job   string
	index string
}

// subjectOf reads the body that world.submit writes: job/variant/index.
func subjectOf(r task.Request) (s subject, variant string) {
	parts := strings.Split(string(r.Body), "/")
	return subject{job: parts[0], index: parts[2]}, parts[1]
}

// contentOf names the job and its content: the same key may come with another.
func contentOf(r task.Request) string {
	subject, variant := subjectOf(r)
	return subject.job + "/" + variant
}

// taking is an attempt that an agent accepted.
type taking struct {
	agent task.Process
	work  work
}

type start struct {
	agent task.Process
	body  string
}

func newOracle() *oracle {
	return &oracle{
		calls:    make(map[dispatcher.Ticket]*caller),
		starts:   make(map[subject][]start),
		whole:    make(map[string][][]byte),
		refused:  make(map[string]time.Time),
		outcomes: make(map[task.Outcome]int),
		contents: make(map[string]string),
		free:     make(map[string]bool),
		bound:    make(map[string]bool),
		left:     make(map[task.Process]time.Time),
		taken:    make(map[taking]bool),
	}
}

func (o *oracle) violate(p promise, format string, args ...any) {
	o.violations = append(o.violations, violation{p, fmt.Sprintf(format, args...)})
}

func (o *oracle) submitted(n *node, s dispatcher.Submission) {
	o.calls[s.Ticket] = &caller{submission: s, entry: n.self, due: n.trueTime(s.Deadline)}
	delete(o.refused, contentOf(s.Tasks[0]))
	subject, _ := subjectOf(s.Tasks[0])
	if s.Plan.Route.Idempotent {
		o.free[subject.job] = true
	} else {
		o.bound[subject.job] = true
	}
}

// skewed notes that an entry's clock was stepped.
func (o *oracle) skewed(n *node) {
	for _, c := range o.calls {
		if due := n.trueTime(c.submission.Deadline); c.entry == n.self && due.After(c.due) {
			c.due = due
		}
	}
}

// started records that a minion got a task, at the time of its agent's clock.
func (o *oracle) started(now time.Time, agent task.Process, s task.Start) {
	task, variant := subjectOf(s.Request)
	if len(o.starts[task]) > 0 && !o.free[task.job] {
		o.violate(onceOf(task), "task %v started twice: %v then %v", task, o.starts[task], agent)
	}
	if first, ok := o.contents[task.job]; ok && first != variant && !o.free[task.job] {
		o.violate(startsOnce, "task %v started with another body under its key", task)
	}
	o.contents[task.job] = variant
	if at, refused := o.refused[contentOf(s.Request)]; refused && !o.mixed(task.job) {
		o.violate(notRunIsTrue, "task %v started after it was refused as not run at %s", task, at)
	}
	if !now.Before(s.Deadline) {
		o.violate(inTime, "task %v started after its deadline", task)
	}
	o.starts[task] = append(o.starts[task], start{agent: agent, body: string(s.Request.Body)})
}

// mixed reports whether an edit made a job's route idempotent, or not, between
// two submissions. What ran under the key without a claim left no record, so
// that a later not-run speaks of its own submission only.
func (o *oracle) mixed(job string) bool { return o.free[job] && o.bound[job] }

// onceOf returns the promise that a second start of a task breaks.
func onceOf(s subject) promise {
	if strings.HasPrefix(s.job, "keyless") {
		return runsOnce
	}
	return startsOnce
}

// drained notes that an operator has an agent leave, or stay again.
func (o *oracle) drained(now time.Time, h *host, leave bool) {
	if _, already := o.left[h.self]; !leave {
		delete(o.left, h.self)
	} else if !already {
		o.left[h.self] = now
	}
}

// accepted checks that a leaving agent takes no attempt that it hadn't.
func (o *oracle) accepted(h *host, c runner.Accept) {
	t := taking{h.self, work{c.Task, c.Attempt}}
	if _, leaving := o.left[h.self]; leaving && !o.taken[t] {
		o.violate(leavesAlone, "%v accepted task %v after its drain", h.self, c.Task)
	}
	o.taken[t] = true
}

// sent checks that an entry sends nothing to an agent that left a while ago.
func (o *oracle) sent(now time.Time, n *node, s dispatcher.Send) {
	at, leaving := o.left[s.Agent.Process]
	if !leaving {
		return
	}
	if n.resumed.After(at) {
		at = n.resumed
	}
	if now.After(at.Add(leaveWithin)) {
		o.violate(leavesAlone, "%v sent task %v to %v %s after its drain", n.self, s.Start.Task, s.Agent.Process, now.Sub(at))
	}
}

// stoppedAgent checks that a planned stop cuts no call to the minion.
func (o *oracle) stoppedAgent(h *host) {
	for call := range h.calls {
		o.violate(cutsNothing, "%v stopped while its minion had task %v", h.self, call.task)
	}
}

// stoppedEntry checks that a planned stop leaves no caller without a reply.
func (o *oracle) stoppedEntry(n *node) {
	for ticket, c := range o.calls {
		if c.entry == n.self && !c.replied {
			o.violate(cutsNothing, "%v stopped and left ticket %d without a reply", n.self, ticket)
		}
	}
}

// replied checks one reply to a caller.
func (o *oracle) replied(now time.Time, r dispatcher.Reply) {
	c := o.calls[r.Ticket]
	switch {
	case c == nil:
		o.violate(ownAnswer, "ticket %d was never submitted", r.Ticket)
		return
	case c.replied:
		o.violate(inTime, "ticket %d got two replies", r.Ticket)
		return
	}
	c.replied = true
	c.answer = r.Answer
	o.outcomes[r.Answer.Outcome]++
	if now.After(c.due) && !c.frozen {
		o.violate(inTime, "ticket %d was answered after its deadline", r.Ticket)
	}
	switch r.Answer.Outcome {
	case task.Complete:
		o.completed(c)
	case task.NotRun:
		o.notRun(now, c)
	case task.Failed, task.MayHaveRun:
		if len(r.Answer.Responses) > 0 {
			o.violate(wholeOrNone, "ticket %d got a partial answer", r.Ticket)
		}
	default:
		o.violate(wholeOrNone, "ticket %d got no outcome", r.Ticket)
	}
}

// completed checks that the answer is whole, the caller's own, and the same
// for every caller of the job.
func (o *oracle) completed(c *caller) {
	s := c.submission
	if len(c.answer.Responses) != len(s.Tasks) {
		o.violate(wholeOrNone, "ticket %d got %d of %d responses", s.Ticket, len(c.answer.Responses), len(s.Tasks))
		return
	}
	var bodies [][]byte
	for i, r := range c.answer.Responses {
		if !bytes.Equal(r.Body, answerTo(s.Tasks[i])) {
			o.violate(ownAnswer, "ticket %d got %q for task %d", s.Ticket, r.Body, i)
		}
		if task, _ := subjectOf(s.Tasks[i]); len(o.starts[task]) == 0 {
			o.violate(ownAnswer, "ticket %d got an answer of task %d, which never ran", s.Ticket, i)
		}
		bodies = append(bodies, r.Body)
	}
	content := contentOf(s.Tasks[0])
	if first := o.whole[content]; first != nil && fmt.Sprint(first) != fmt.Sprint(bodies) {
		o.violate(ownAnswer, "ticket %d got another answer than an earlier caller", s.Ticket)
	}
	o.whole[content] = bodies
}

// notRun checks that no task of this very content has started.
func (o *oracle) notRun(now time.Time, c *caller) {
	s := c.submission
	for i := range s.Tasks {
		task, _ := subjectOf(s.Tasks[i])
		if o.mixed(task.job) {
			return
		}
		for _, st := range o.starts[task] {
			if st.body == string(s.Tasks[i].Body) {
				o.violate(notRunIsTrue, "ticket %d was told not-run, but task %d ran at %v", s.Ticket, i, st.agent)
			}
		}
	}
	for _, other := range o.calls {
		if contentOf(other.submission.Tasks[0]) == contentOf(s.Tasks[0]) && !other.replied {
			return
		}
	}
	o.refused[contentOf(s.Tasks[0])] = now
}

// resumed notes the callers whose deadline passed while their entry was paused.
func (o *oracle) resumed(now time.Time, entry task.Process) {
	for _, c := range o.calls {
		if c.entry == entry && !c.due.After(now) {
			c.frozen = true
		}
	}
}

// unanswered lists the callers of live entries whose deadline has passed.
func (o *oracle) unanswered(w *world) []dispatcher.Ticket {
	var late []dispatcher.Ticket
	for ticket, c := range o.calls {
		n := w.node(c.entry)
		alive := n.self == c.entry && !n.paused
		if alive && !c.replied && w.now.After(c.due) {
			late = append(late, ticket)
		}
	}
	return late
}
