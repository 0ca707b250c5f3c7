package dispatcher_test

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

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
	violations []string
	outcomes   map[task.Outcome]int
}

type caller struct {
	submission dispatcher.Submission
	entry      task.Process
	replied    bool
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
	}
}

func (o *oracle) violate(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

func (o *oracle) submitted(_ time.Time, entry task.Process, s dispatcher.Submission) {
	o.calls[s.Ticket] = &caller{submission: s, entry: entry}
	delete(o.refused, contentOf(s.Tasks[0]))
}

// started records that a minion got a task.
func (o *oracle) started(now time.Time, agent task.Process, s task.Start) {
	task, _ := subjectOf(s.Request)
	if len(o.starts[task]) > 0 && !strings.HasPrefix(task.job, "idempotent") {
		o.violate("task %v started twice: %v then %v", task, o.starts[task], agent)
	}
	if at, refused := o.refused[contentOf(s.Request)]; refused {
		o.violate("task %v started after it was refused as not run at %s", task, at)
	}
	if !now.Before(s.Deadline) {
		o.violate("task %v started after its deadline", task)
	}
	o.starts[task] = append(o.starts[task], start{agent: agent, body: string(s.Request.Body)})
}

// replied checks one reply to a caller.
func (o *oracle) replied(now time.Time, r dispatcher.Reply) {
	c := o.calls[r.Ticket]
	switch {
	case c == nil:
		o.violate("ticket %d was never submitted", r.Ticket)
		return
	case c.replied:
		o.violate("ticket %d got two replies", r.Ticket)
		return
	}
	c.replied = true
	c.answer = r.Answer
	o.outcomes[r.Answer.Outcome]++
	if now.After(c.submission.Deadline) && !c.frozen {
		o.violate("ticket %d was answered after its deadline", r.Ticket)
	}
	switch r.Answer.Outcome {
	case task.Complete:
		o.completed(c)
	case task.NotRun:
		o.notRun(now, c)
	case task.Failed, task.MayHaveRun:
		if len(r.Answer.Responses) > 0 {
			o.violate("ticket %d got a partial answer", r.Ticket)
		}
	default:
		o.violate("ticket %d got no outcome", r.Ticket)
	}
}

// completed checks that the answer is whole, the caller's own, and the same
// for every caller of the job.
func (o *oracle) completed(c *caller) {
	s := c.submission
	if len(c.answer.Responses) != len(s.Tasks) {
		o.violate("ticket %d got %d of %d responses", s.Ticket, len(c.answer.Responses), len(s.Tasks))
		return
	}
	var bodies [][]byte
	for i, r := range c.answer.Responses {
		if !bytes.Equal(r.Body, answerTo(s.Tasks[i])) {
			o.violate("ticket %d got %q for task %d", s.Ticket, r.Body, i)
		}
		if task, _ := subjectOf(s.Tasks[i]); len(o.starts[task]) == 0 {
			o.violate("ticket %d got an answer of task %d, which never ran", s.Ticket, i)
		}
		bodies = append(bodies, r.Body)
	}
	content := contentOf(s.Tasks[0])
	if first := o.whole[content]; first != nil && fmt.Sprint(first) != fmt.Sprint(bodies) {
		o.violate("ticket %d got another answer than an earlier caller", s.Ticket)
	}
	o.whole[content] = bodies
}

// notRun checks that no task of this very content has started.
func (o *oracle) notRun(now time.Time, c *caller) {
	s := c.submission
	for i := range s.Tasks {
		task, _ := subjectOf(s.Tasks[i])
		for _, st := range o.starts[task] {
			if st.body == string(s.Tasks[i].Body) {
				o.violate("ticket %d was told not-run, but task %d ran at %v", s.Ticket, i, st.agent)
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
		if c.entry == entry && !c.submission.Deadline.After(now) {
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
		if alive && !c.replied && w.now.After(c.submission.Deadline) {
			late = append(late, ticket)
		}
	}
	return late
}
