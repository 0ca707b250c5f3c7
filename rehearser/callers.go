package rehearser

import (
	"fmt"
	"math"
	"time"

	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/scheduler"
)

const (
	service = "desk"
	// timeLimit is how long callers wait.
	timeLimit = 1500 * time.Millisecond
	// stretch and allowance give the latency objective.
	stretch   = 1.6
	allowance = 60 * time.Millisecond
	// callerDelay is the one-way time between caller and entry.
	callerDelay = 3 * time.Millisecond
	// spread is the deviation of a job's work and of its hint, and uneven that
	// of the tasks of one job, in logarithms.
	spread = 0.4
	uneven = 0.15
	// attempts is how often a task may fail.
	attempts = 3
	// mostSubmissions caps how often a caller submits its job.
	mostSubmissions = 3
	// lateShare is what a late answer earns.
	lateShare = 0.2
)

// caller submits one job and waits for its answer.
type caller struct {
	w       *world
	id      string
	route   Route
	truths  []emulator.Truth
	hint    time.Duration
	arrived time.Time
	// objective and deadline bound the answer.
	objective, deadline time.Time
	// at is the entry that has the job now; its life tells a restart.
	at     *entryNode
	atLife uint64
	ticket uint64
	over   bool
	// refusals counts the submissions that were refused as not run.
	refusals, submissions int
	left                  bool
	poison                bool
}

// traffic submits jobs for the length of the day.
func (w *world) traffic() {
	for i, route := range w.day.Routes {
		w.nextArrival(i, route)
	}
}

func (w *world) nextArrival(i int, route Route) {
	rate := route.PerSecond
	if b, at := w.day.Burst, w.now.Sub(w.start); b.Times > 0 && at >= b.At && at < b.At+b.For {
		rate *= b.Times
	}
	gap := time.Duration(w.arrivals.ExpFloat64() / rate * float64(time.Second))
	w.after(gap, func() {
		if w.now.Sub(w.start) > w.day.Length {
			return
		}
		w.submit(route)
		w.nextArrival(i, route)
	})
}

func (w *world) submit(route Route) {
	c := &caller{w: w, id: fmt.Sprintf("%016x", w.arrivals.Uint64()), route: route, arrived: w.now}
	mean := float64(route.Work) * math.Exp(w.arrivals.NormFloat64()*spread-spread*spread/2)
	c.hint = time.Duration(mean * math.Exp(w.arrivals.NormFloat64()*spread))
	count := max(1, int(float64(route.Tasks)*math.Exp(w.arrivals.NormFloat64()*spread-spread*spread/2)+0.5))
	c.poison = w.arrivals.Float64() < w.day.Poison
	longest := time.Duration(0)
	for range count {
		t := emulator.Truth{Room: work.Room{CPU: route.CPU, Memory: 64}, Work: time.Duration(mean * math.Exp(w.arrivals.NormFloat64()*uneven)), Fails: c.poison}
		longest = max(longest, t.Work)
		c.truths = append(c.truths, t)
	}
	if c.poison {
		longest *= attempts
	}
	c.objective = w.now.Add(time.Duration(stretch*float64(longest)) + allowance)
	c.deadline = w.now.Add(timeLimit)
	w.callers[c.id] = c
	w.judge.submitted(c)
	c.send()
	if w.arrivals.Float64() < w.day.Leave {
		w.after(time.Duration(w.arrivals.Int64N(int64(timeLimit/2))), c.leave)
	}
}

// send submits the job at any entry that is up.
func (c *caller) send() {
	w := c.w
	c.submissions++
	e := w.entries[w.random.IntN(len(w.entries))]
	for range w.entries {
		if !e.down {
			break
		}
		e = w.entries[(e.index+1)%len(w.entries)]
	}
	if e.down {
		w.after(resubmitAfter, c.again)
		return
	}
	w.judge.resubmitted(c)
	w.ordered++
	c.at, c.atLife, c.ticket = e, e.incarnation, uint64(w.ordered)
	job := work.Job{
		ID: c.id, Route: c.route.Name, Service: service, Spec: "spec", Count: len(c.truths), Room: c.truths[0].Room, Hint: c.hint,
		Label: c.route.Label, MaxPerMinion: c.route.MostBeside,
		Attempts: attempts + c.w.day.ExtraAttempts, Priority: c.route.Priority, Stretch: stretch, Allowance: allowance,
	}
	ticket := c.ticket
	w.after(callerDelay, func() {
		job.Arrived, job.Deadline = w.now, w.now.Add(timeLimit-2*callerDelay)
		if e.incarnation == c.atLife {
			e.tell(scheduler.Submitted{Job: job, Ticket: ticket})
		}
	})
}

func (c *caller) again() {
	if !c.over && c.submissions < mostSubmissions {
		c.send()
	}
}

// cut tells the caller that its connection to an entry has ended.
func (c *caller) cut() {
	c.at = nil
	c.w.after(resubmitAfter, c.again)
}

// leave ends the caller's wait.
func (c *caller) leave() {
	if c.over {
		return
	}
	c.over, c.left = true, true
	c.w.judge.left(c)
	if c.at != nil && c.at.incarnation == c.atLife {
		c.at.tell(scheduler.Withdrawn{Job: c.id, Ticket: c.ticket})
	}
}

// answered brings the answer of an entry.
func (c *caller) answered(e *entryNode, outcome work.Outcome) {
	life := e.incarnation
	c.w.after(callerDelay, func() {
		if c.over || c.at != e || c.atLife != life {
			return
		}
		c.w.judge.answered(c, outcome)
		switch outcome {
		case work.NotRun:
			c.refusals++
			c.over = true
		case work.Unfinished:
			c.cut()
		default:
			c.over = true
		}
	})
}
