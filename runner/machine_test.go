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

// TestMain fixes the seed of rapid, and lengthens its runs, unless the command
// line says otherwise.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "150", "rapid.checks": "300"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// overheadBytes is what a response counts beside its body.
const overheadBytes = 64

// jobEvery is the time between the deadlines of two jobs.
const jobEvery = 2 * time.Second

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type try struct {
	task    task.ID
	attempt task.Attempt
}

// oracle knows what happened at the minion, what the agent said, and nothing
// of how the agent decides.
type oracle struct {
	t       *rapid.T
	core    *runner.Core
	options runner.Options
	// now never lies ClockAllowance or more before latest.
	now, latest time.Time
	// sent holds every start that an entry ever sent.
	sent     []task.Start
	started  map[task.ID]task.Start
	denied   map[try]bool
	fences   map[task.JobID]task.Generation
	atMinion map[try]task.Start
	stopped  map[try]bool
	accepted map[try]bool
	// ended holds the final report of each attempt.
	ended map[try]task.Report
	acked map[try]bool
}

func newOracle(t *rapid.T) *oracle {
	options := runner.Options{
		Slots:         rapid.SampledFrom([]int{2, 1, 3}).Draw(t, "slots"),
		QueueLength:   rapid.SampledFrom([]int{2, 0, 4}).Draw(t, "queue"),
		Remember:      rapid.SampledFrom([]int{20, 6, 100}).Draw(t, "remember"),
		ResponseBytes: 100,
		ResultBytes:   rapid.SampledFrom([]int{600, 2000, 200}).Draw(t, "result bytes"),
	}
	return &oracle{
		t: t, core: runner.New(options), options: options, now: epoch, latest: epoch,
		started: map[task.ID]task.Start{}, denied: map[try]bool{}, fences: map[task.JobID]task.Generation{},
		atMinion: map[try]task.Start{}, stopped: map[try]bool{}, accepted: map[try]bool{},
		ended: map[try]task.Report{}, acked: map[try]bool{},
	}
}

func (o *oracle) step(ev runner.Event) {
	for _, command := range o.core.Step(o.now, ev) {
		switch c := command.(type) {
		case runner.Run:
			o.run(c.Start)
		case runner.Stop:
			k := try{c.Task, c.Attempt}
			_, runs := o.atMinion[k]
			o.require(runs && !o.stopped[k], "one stop of a running task", k)
			o.stopped[k] = true
		case runner.Accept:
			o.accepted[try{c.Task, c.Attempt}] = true
		case runner.Refuse:
			o.require(c.Report.State == task.Unstarted && c.Report.Refusal != 0, "a refusal with its cause", c)
			o.hear(c.Report)
		case runner.Send:
			o.hear(c.Report)
		case runner.AnswerSettle:
			for _, r := range c.Reports {
				o.hear(r)
			}
		case runner.AnswerFence:
			o.fenced(ev.(runner.Fenced).Fence, c.Reports)
		}
	}
}

func (o *oracle) run(s task.Start) {
	k := try{s.Task, s.Attempt}
	_, again := o.started[s.Task]
	o.require(!again, "one start of a task", k)
	o.require(!o.denied[k], "no start after a report of unstarted", k)
	o.require(s.Generation >= o.fences[s.Task.Job], "no start below the fence", k)
	o.require(o.now.Before(s.Deadline), "no start after the deadline", k)
	o.started[s.Task] = s
	o.atMinion[k] = s
	o.require(len(o.atMinion) <= o.options.Slots, "no more tasks than slots", k)
}

// hear checks one report against what happened.
func (o *oracle) hear(r task.Report) {
	k := try{r.Task, r.Attempt}
	s, started := o.started[r.Task]
	started = started && s.Attempt == r.Attempt
	switch r.State {
	case task.Unstarted:
		o.require(!started, "unstarted is true", k)
		o.denied[k] = true
	case task.Running:
		_, runs := o.atMinion[k]
		o.require(runs, "running is true", k)
	case task.Finished:
		o.require(bytes.Equal(o.ended[k].Response.Body, r.Response.Body), "a task's own response", k)
		o.require(o.ended[k].State == task.Finished, "finished is true", k)
	case task.Broken:
		o.require(started && o.ended[k].State == task.Broken, "broken is true", k)
	case task.Forgotten:
		o.require(o.acked[k] || !o.latest.Before(o.deadline(r.Task).Add(runner.ClockAllowance)), "forgotten too early", k)
	}
}

func (o *oracle) fenced(f dispatcher.Fence, reports []task.Report) {
	o.fences[f.Job] = max(o.fences[f.Job], f.Generation)
	known := map[task.ID]bool{}
	for _, r := range reports {
		o.require(r.State != task.Unstarted, "a fence reports what started", r)
		o.hear(r)
		known[r.Task] = true
	}
	for id := range o.started {
		o.require(id.Job != f.Job || known[id], "a fence reports all that started", id)
	}
}

// end lets the minion end a call, and checks that one final report follows.
func (o *oracle) end(k try, report task.Report, ev runner.Event) {
	delete(o.atMinion, k)
	o.ended[k] = report
	o.step(ev)
}

func (o *oracle) deadline(id task.ID) time.Time {
	return epoch.Add(time.Duration(id.Job[0]) * jobEvery)
}

func (o *oracle) require(ok bool, what string, about any) {
	o.t.Helper()
	if !ok {
		o.t.Fatalf("violated: %s: %+v", what, about)
	}
}

// check holds after every action.
func (o *oracle) check(*rapid.T) {
	load := o.core.Load()
	o.require(load.Running == len(o.atMinion), "the load counts what runs", load)
	o.require(load.Queued <= o.options.QueueLength, "a bounded queue", load)
	remembered, kept := 0, 0
	for id, s := range o.started {
		if !o.latest.Before(o.deadline(id).Add(runner.ClockAllowance)) {
			continue
		}
		remembered++
		if k := (try{id, s.Attempt}); o.ended[k].State == task.Finished && !o.acked[k] {
			kept += overheadBytes + len(o.ended[k].Response.Body)
		}
	}
	o.require(remembered <= o.options.Remember, "bounded ids", remembered)
	o.require(kept <= o.options.ResultBytes, "bounded results", kept)
	for k := range o.atMinion {
		o.require(o.now.Before(o.deadline(k.task)) || o.stopped[k], "no task outlives its lease", k)
	}
}

// settleAll lets everything end and asks about each accepted attempt.
func (o *oracle) settleAll() {
	for k := range o.atMinion {
		o.end(k, task.Report{State: task.Broken}, runner.MinionFailed{Task: k.task, Attempt: k.attempt, Reason: "end"})
	}
	for len(o.atMinion) > 0 {
		o.settleAll()
	}
	for k := range o.accepted {
		_, ended := o.ended[k]
		o.require(ended != o.denied[k], "one end of an accepted attempt", k)
	}
	o.require(o.core.Load().Running+o.core.Load().Queued == 0, "nothing left", o.core.Load())
}

func TestCoreKeepsItsWord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(o.actions())
		o.settleAll()
	})
}

func (o *oracle) drawTry(t *rapid.T) try {
	job := int(o.now.Sub(epoch)/jobEvery) + rapid.IntRange(0, 6).Draw(t, "job")
	id := task.ID{Job: task.JobID{byte(job)}, Index: rapid.IntRange(0, 5).Draw(t, "index")}
	return try{id, task.Attempt(rapid.IntRange(1, 3).Draw(t, "attempt"))}
}

// drawSent returns an attempt that was sent lately, and now and then any other.
func (o *oracle) drawSent(t *rapid.T) try {
	if len(o.sent) == 0 || rapid.IntRange(0, 9).Draw(t, "unsent") == 9 {
		return o.drawTry(t)
	}
	s := rapid.SampledFrom(o.sent[max(0, len(o.sent)-8):]).Draw(t, "sent")
	return try{s.Task, s.Attempt}
}

func (o *oracle) drawEntry(t *rapid.T) task.Process {
	return task.Process{Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "entry"), Incarnation: 1}
}

// drawRunning returns a call at the minion, the same for the same seed.
func (o *oracle) drawRunning(t *rapid.T) try {
	var running []try
	for _, s := range o.sent {
		k := try{s.Task, s.Attempt}
		if _, ok := o.atMinion[k]; ok {
			running = append(running, k)
		}
	}
	if len(running) == 0 {
		t.Skip("nothing runs")
	}
	return rapid.SampledFrom(running).Draw(t, "running")
}

func (o *oracle) start(t *rapid.T) {
	k := o.drawTry(t)
	s := task.Start{
		Task: k.task, Attempt: k.attempt, Deadline: o.deadline(k.task),
		Generation: task.Generation(rapid.IntRange(1, 3).Draw(t, "generation")),
	}
	o.sent = append(o.sent, s)
	o.step(runner.Arrived{From: o.drawEntry(t), Start: s})
}

func (o *oracle) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":      o.check,
		"start": o.start,
		"start many": func(t *rapid.T) {
			for range 4 {
				o.start(t)
			}
		},
		"start again": func(t *rapid.T) {
			if len(o.sent) == 0 {
				t.Skip("nothing sent")
			}
			o.step(runner.Arrived{From: o.drawEntry(t), Start: rapid.SampledFrom(o.sent).Draw(t, "sent")})
		},
		"unreadable or drain": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "drain") {
				o.step(runner.Drained{Leave: rapid.IntRange(0, 9).Draw(t, "leave") == 9})
				return
			}
			k := o.drawTry(t)
			k.attempt += 10 // No start that can be read has the same attempt.
			o.step(runner.Unreadable{From: o.drawEntry(t), Task: k.task, Attempt: k.attempt})
		},
		"settle": func(t *rapid.T) {
			k := o.drawSent(t)
			o.step(runner.Settled{Tasks: []dispatcher.AttemptRef{{Task: k.task, Attempt: k.attempt, Deadline: o.deadline(k.task)}}})
		},
		"fence": func(t *rapid.T) {
			k := o.drawSent(t)
			generation := task.Generation(rapid.IntRange(1, 3).Draw(t, "generation"))
			o.step(runner.Fenced{Fence: dispatcher.Fence{Job: k.task.Job, Generation: generation, Deadline: o.deadline(k.task)}})
		},
		"cancel": func(t *rapid.T) {
			k := o.drawSent(t)
			o.step(runner.Cancelled{Task: k.task, Attempt: k.attempt})
		},
		"acknowledge": func(t *rapid.T) {
			k := o.drawSent(t)
			if _, ok := o.ended[k]; ok {
				o.acked[k] = true
			}
			o.step(runner.Acknowledged{Task: k.task, Attempt: k.attempt})
		},
		"minion answers": func(t *rapid.T) {
			k := o.drawRunning(t)
			body := bytes.Repeat([]byte{byte(k.task.Index)}, rapid.IntRange(0, 60).Draw(t, "bytes"))
			response := task.Response{Status: 200, Body: body}
			report := task.Report{State: task.Finished, Response: response}
			if len(body) > o.options.ResponseBytes-overheadBytes {
				report = task.Report{State: task.Broken}
			}
			o.end(k, report, runner.MinionAnswered{Task: k.task, Attempt: k.attempt, Response: response})
		},
		"minion fails": func(t *rapid.T) {
			k := o.drawRunning(t)
			o.end(k, task.Report{State: task.Broken}, runner.MinionFailed{Task: k.task, Attempt: k.attempt, Reason: "cut"})
		},
		"minion is gone": func(t *rapid.T) {
			k := o.drawRunning(t)
			delete(o.atMinion, k)
			delete(o.started, k.task)
			o.step(runner.MinionUnreached{Task: k.task, Attempt: k.attempt})
			o.require(o.denied[k], "an unreached task is refused", k)
		},
		"link": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "open") {
				o.step(runner.LinkOpened{Entry: o.drawEntry(t)})
				return
			}
			o.step(runner.LinkClosed{Entry: o.drawEntry(t)})
		},
		"time passes": func(t *rapid.T) {
			o.now = o.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if o.now.After(o.latest) {
				o.latest = o.now
			}
			o.step(runner.Tick{})
		},
		"clock steps back": func(t *rapid.T) {
			o.now = o.latest.Add(-time.Duration(rapid.IntRange(0, 4999).Draw(t, "ms")) * time.Millisecond)
			o.step(runner.Tick{})
		},
	}
}
