package runner_test

import (
	"bytes"
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
)

// TestMain sets a fixed seed and longer runs for rapid, unless the command line
// sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "150", "rapid.checks": "300"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// overheadBytes is the accounted size of a response without header, in addition
// to its body.
const overheadBytes = 64

// deadlineInterval is the time between the deadlines of consecutive jobs.
const deadlineInterval = 2 * time.Second

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// attemptID identifies one attempt of one task.
type attemptID struct {
	task    task.ID
	attempt task.Attempt
}

// model records what happened at the minion and what the core reported, and
// checks one against the other. It is independent of how the core decides.
type model struct {
	t       *rapid.T
	core    *runner.Core
	options runner.Options
	// now is always less than ClockAllowance before latest.
	now, latest time.Time
	// sent holds the starts that were sent, in order.
	sent []task.Start
	// started holds the starts that the minion received, by task.
	started map[task.ID]task.Start
	// reportedUnstarted holds the attempts that must not start any more.
	reportedUnstarted map[attemptID]bool
	// fences holds the highest fenced generation of each job.
	fences map[task.JobID]task.Generation
	// atMinion holds the calls that are open at the minion.
	atMinion map[attemptID]task.Start
	// stopped holds the attempts for which a Stop command was issued.
	stopped map[attemptID]bool
	// accepted holds the attempts for which an Accept command was issued.
	accepted map[attemptID]bool
	// ended holds the final report of each attempt.
	ended map[attemptID]task.Report
	// acked holds the ended attempts that were acknowledged.
	acked map[attemptID]bool
}

func newModel(t *rapid.T) *model {
	options := runner.Options{
		Slots:         rapid.SampledFrom([]int{2, 1, 3}).Draw(t, "slots"),
		QueueLength:   rapid.SampledFrom([]int{2, 0, 4}).Draw(t, "queue"),
		Remember:      rapid.SampledFrom([]int{20, 6, 100}).Draw(t, "remember"),
		ResponseBytes: 100,
		ResultBytes:   rapid.SampledFrom([]int{600, 2000, 200}).Draw(t, "result bytes"),
	}
	return &model{
		t: t, core: runner.New(options), options: options, now: epoch, latest: epoch,
		started: map[task.ID]task.Start{}, reportedUnstarted: map[attemptID]bool{}, fences: map[task.JobID]task.Generation{},
		atMinion: map[attemptID]task.Start{}, stopped: map[attemptID]bool{}, accepted: map[attemptID]bool{},
		ended: map[attemptID]task.Report{}, acked: map[attemptID]bool{},
	}
}

// step applies an event to the core and checks the resulting commands.
func (m *model) step(ev runner.Event) {
	for _, command := range m.core.Step(m.now, ev) {
		switch c := command.(type) {
		case runner.Run:
			m.checkRun(c.Start)
		case runner.Stop:
			k := attemptID{c.Task, c.Attempt}
			_, runs := m.atMinion[k]
			m.require(runs && !m.stopped[k], "a running task is stopped at most once", k)
			m.stopped[k] = true
		case runner.Accept:
			m.accepted[attemptID{c.Task, c.Attempt}] = true
		case runner.Refuse:
			m.require(c.Report.State == task.Unstarted && c.Report.Refusal != 0, "a refusal reports unstarted and its cause", c)
			m.checkReport(c.Report)
		case runner.SendReport:
			m.checkReport(c.Report)
		case runner.AnswerSettle:
			for _, r := range c.Reports {
				m.checkReport(r)
			}
		case runner.AnswerFence:
			m.checkFence(ev.(runner.FenceRequested).Fence, c.Reports)
		}
	}
}

// checkRun checks that a task may start, and records the start.
func (m *model) checkRun(s task.Start) {
	k := attemptID{s.Task, s.Attempt}
	_, again := m.started[s.Task]
	m.require(!again, "a task starts at most once", k)
	m.require(!m.reportedUnstarted[k], "an attempt reported as unstarted never starts", k)
	m.require(s.Generation >= m.fences[s.Task.Job], "a start below the fence never runs", k)
	m.require(m.now.Before(s.Deadline), "a task never starts after its deadline", k)
	m.started[s.Task] = s
	m.atMinion[k] = s
	m.require(len(m.atMinion) <= m.options.Slots, "at most as many tasks run as there are slots", k)
}

// checkReport compares one report with what happened at the minion.
func (m *model) checkReport(r task.Report) {
	k := attemptID{r.Task, r.Attempt}
	s, started := m.started[r.Task]
	started = started && s.Attempt == r.Attempt
	switch r.State {
	case task.Unstarted:
		m.require(!started, "a task reported as unstarted has not started", k)
		m.reportedUnstarted[k] = true
	case task.Running:
		_, runs := m.atMinion[k]
		m.require(runs, "a task reported as running is at the minion", k)
	case task.Finished:
		m.require(bytes.Equal(m.ended[k].Response.Body, r.Response.Body), "a report carries the response to its own task", k)
		m.require(m.ended[k].State == task.Finished, "a task reported as finished was answered", k)
	case task.Broken:
		m.require(started && m.ended[k].State == task.Broken, "a task reported as broken has started and failed", k)
	case task.Forgotten:
		m.require(m.acked[k] || !m.latest.Before(m.deadline(r.Task).Add(runner.ClockAllowance)), "a result is forgotten only after its acknowledgement or expiry", k)
	}
}

// checkFence checks that a fence reports all tasks that have started, and no
// others.
func (m *model) checkFence(f dispatcher.Fence, reports []task.Report) {
	m.fences[f.Job] = max(m.fences[f.Job], f.Generation)
	known := map[task.ID]bool{}
	for _, r := range reports {
		m.require(r.State != task.Unstarted, "a fence reports only started tasks", r)
		m.checkReport(r)
		known[r.Task] = true
	}
	for id := range m.started {
		m.require(id.Job != f.Job || known[id], "a fence reports all started tasks", id)
	}
}

// endCall ends a call at the minion with the given event and records the
// expected report.
func (m *model) endCall(k attemptID, report task.Report, ev runner.Event) {
	delete(m.atMinion, k)
	m.ended[k] = report
	m.step(ev)
}

func (m *model) deadline(id task.ID) time.Time {
	return epoch.Add(time.Duration(id.Job[0]) * deadlineInterval)
}

func (m *model) require(ok bool, invariant string, subject any) {
	m.t.Helper()
	if !ok {
		m.t.Fatalf("violated: %s: %+v", invariant, subject)
	}
}

// checkInvariants runs after every action.
func (m *model) checkInvariants(*rapid.T) {
	load := m.core.Load()
	m.require(load.Running == len(m.atMinion), "the load counts the running tasks", load)
	m.require(load.Queued <= m.options.QueueLength, "the queue is within QueueLength", load)
	remembered, kept := 0, 0
	for id, s := range m.started {
		if !m.latest.Before(m.deadline(id).Add(runner.ClockAllowance)) {
			continue
		}
		remembered++
		if k := (attemptID{id, s.Attempt}); m.ended[k].State == task.Finished && !m.acked[k] {
			kept += overheadBytes + len(m.ended[k].Response.Body)
		}
	}
	m.require(remembered <= m.options.Remember, "the remembered tasks are within Remember", remembered)
	m.require(kept <= m.options.ResultBytes, "the retained results are within ResultBytes", kept)
	for k := range m.atMinion {
		m.require(m.now.Before(m.deadline(k.task)) || m.stopped[k], "a task is stopped at its deadline", k)
	}
}

// endAll ends all calls at the minion and checks that each accepted attempt has
// ended in exactly one way.
func (m *model) endAll() {
	for k := range m.atMinion {
		m.endCall(k, task.Report{State: task.Broken}, runner.MinionFailed{Task: k.task, Attempt: k.attempt, Reason: "end"})
	}
	for len(m.atMinion) > 0 {
		m.endAll()
	}
	for k := range m.accepted {
		_, ended := m.ended[k]
		m.require(ended != m.reportedUnstarted[k], "an accepted attempt is either ended or refused", k)
	}
	m.require(m.core.Load().Running+m.core.Load().Queued == 0, "no task is left", m.core.Load())
}

// TestCoreInvariants runs random sequences of events, clock steps included,
// against the model. It guards the promises that an agent gives: at most one
// start per task, none after a report of unstarted, below a fence or past the
// deadline, true reports, and bounded memory.
func TestCoreInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions())
		m.endAll()
	})
}

// drawAttempt returns an attempt of a job whose deadline is near.
func (m *model) drawAttempt(t *rapid.T) attemptID {
	job := int(m.now.Sub(epoch)/deadlineInterval) + rapid.IntRange(0, 6).Draw(t, "job")
	id := task.ID{Job: task.JobID{byte(job)}, Index: rapid.IntRange(0, 5).Draw(t, "index")}
	return attemptID{id, task.Attempt(rapid.IntRange(1, 3).Draw(t, "attempt"))}
}

// drawSent returns one of the last sent attempts, and occasionally an arbitrary
// one.
func (m *model) drawSent(t *rapid.T) attemptID {
	if len(m.sent) == 0 || rapid.IntRange(0, 9).Draw(t, "unsent") == 9 {
		return m.drawAttempt(t)
	}
	s := rapid.SampledFrom(m.sent[max(0, len(m.sent)-8):]).Draw(t, "sent")
	return attemptID{s.Task, s.Attempt}
}

func (m *model) drawEntry(t *rapid.T) task.Process {
	return task.Process{Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "entry"), Incarnation: 1}
}

// drawRunning returns a call that is open at the minion. It iterates over sent,
// not over a map, so that a seed is reproducible.
func (m *model) drawRunning(t *rapid.T) attemptID {
	var running []attemptID
	for _, s := range m.sent {
		k := attemptID{s.Task, s.Attempt}
		if _, ok := m.atMinion[k]; ok {
			running = append(running, k)
		}
	}
	if len(running) == 0 {
		t.Skip("nothing runs")
	}
	return rapid.SampledFrom(running).Draw(t, "running")
}

func (m *model) start(t *rapid.T) {
	k := m.drawAttempt(t)
	s := task.Start{
		Task: k.task, Attempt: k.attempt, Deadline: m.deadline(k.task),
		Generation: task.Generation(rapid.IntRange(1, 3).Draw(t, "generation")),
	}
	m.sent = append(m.sent, s)
	m.step(runner.StartReceived{From: m.drawEntry(t), Start: s})
}

// actions returns the actions that rapid chooses from. Its choice depends on
// the order of the names.
func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":      m.checkInvariants,
		"start": m.start,
		"start many": func(t *rapid.T) {
			for range 4 {
				m.start(t)
			}
		},
		"start again": func(t *rapid.T) {
			if len(m.sent) == 0 {
				t.Skip("nothing sent")
			}
			m.step(runner.StartReceived{From: m.drawEntry(t), Start: rapid.SampledFrom(m.sent).Draw(t, "sent")})
		},
		"unreadable or drain": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "drain") {
				m.step(runner.DrainRequested{Leave: rapid.IntRange(0, 9).Draw(t, "leave") == 9})
				return
			}
			k := m.drawAttempt(t)
			k.attempt += 10 // No decodable start has the same attempt.
			m.step(runner.StartUnreadable{From: m.drawEntry(t), Task: k.task, Attempt: k.attempt})
		},
		"settle": func(t *rapid.T) {
			k := m.drawSent(t)
			m.step(runner.SettleRequested{Attempts: []dispatcher.AttemptRef{{Task: k.task, Attempt: k.attempt, Deadline: m.deadline(k.task)}}})
		},
		"fence": func(t *rapid.T) {
			k := m.drawSent(t)
			generation := task.Generation(rapid.IntRange(1, 3).Draw(t, "generation"))
			m.step(runner.FenceRequested{Fence: dispatcher.Fence{Job: k.task.Job, Generation: generation, Deadline: m.deadline(k.task)}})
		},
		"cancel": func(t *rapid.T) {
			k := m.drawSent(t)
			m.step(runner.Cancelled{Task: k.task, Attempt: k.attempt})
		},
		"acknowledge": func(t *rapid.T) {
			k := m.drawSent(t)
			if _, ok := m.ended[k]; ok {
				m.acked[k] = true
			}
			m.step(runner.Acknowledged{Task: k.task, Attempt: k.attempt})
		},
		"minion answers": func(t *rapid.T) {
			k := m.drawRunning(t)
			body := bytes.Repeat([]byte{byte(k.task.Index)}, rapid.IntRange(0, 60).Draw(t, "bytes"))
			response := task.Response{Status: 200, Body: body}
			report := task.Report{State: task.Finished, Response: response}
			if len(body) > m.options.ResponseBytes-overheadBytes {
				report = task.Report{State: task.Broken}
			}
			m.endCall(k, report, runner.MinionAnswered{Task: k.task, Attempt: k.attempt, Response: response})
		},
		"minion fails": func(t *rapid.T) {
			k := m.drawRunning(t)
			m.endCall(k, task.Report{State: task.Broken}, runner.MinionFailed{Task: k.task, Attempt: k.attempt, Reason: "cut"})
		},
		"minion is gone": func(t *rapid.T) {
			k := m.drawRunning(t)
			delete(m.atMinion, k)
			delete(m.started, k.task)
			m.step(runner.MinionUnreached{Task: k.task, Attempt: k.attempt})
			m.require(m.reportedUnstarted[k], "a task that did not reach the minion is refused", k)
		},
		"link": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "open") {
				m.step(runner.LinkOpened{Entry: m.drawEntry(t)})
				return
			}
			m.step(runner.LinkClosed{Entry: m.drawEntry(t)})
		},
		"time passes": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if m.now.After(m.latest) {
				m.latest = m.now
			}
			m.step(runner.Tick{})
		},
		"clock steps back": func(t *rapid.T) {
			m.now = m.latest.Add(-time.Duration(rapid.IntRange(0, 4999).Draw(t, "ms")) * time.Millisecond)
			m.step(runner.Tick{})
		},
	}
}
