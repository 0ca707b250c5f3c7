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
	// serviceName is the service of all jobs and minions.
	serviceName = "desk"
	// callerTimeout is the time for which callers wait, on days of patient callers
	// from patience times the time to their objective on.
	callerTimeout = 1500 * time.Millisecond
	patience      = 3
	// stretch and allowance define the latency objective; see work.Job.
	stretch   = 1.6
	allowance = 60 * time.Millisecond
	// callerDelay is the one-way latency between caller and entry.
	callerDelay = 3 * time.Millisecond
	// jobSigma is the standard deviation of the logarithm of a job's work and
	// of its hint, and taskSigma that of the tasks of one job.
	jobSigma  = 0.4
	taskSigma = 0.15
	// maxAttempts is the number of failures of one task that fail the job.
	maxAttempts = 3
	// maxSubmissions limits the submissions of one job.
	maxSubmissions = 3
	// lateWorthFactor is the fraction of its worth that a late answer earns.
	lateWorthFactor = 0.2
)

// caller submits one job and waits for its answer.
type caller struct {
	world     *world
	id        string
	route     Route
	profiles  []emulator.TaskProfile
	hint      time.Duration
	arrivedAt time.Time
	// objective and deadline are the times by which the answer should and must
	// arrive.
	objective, deadline time.Time
	// entry is the entry that the job was last sent to; nil while there is
	// none. entryIncarnation detects a restart of it.
	entry            *entryNode
	entryIncarnation uint64
	ticket           uint64
	finished         bool
	// refusals counts the submissions that were refused as not run.
	refusals, submissions int
	leftEarly             bool
	alwaysFails           bool
	// rack is the rack with the data of the job; empty for none.
	rack string
	// deadly is true if a task of the job crashes minions.
	deadly bool
	// served is true once the job was answered as done, in time or late.
	served bool
}

// startArrivals starts the arrivals of jobs, which last for the length of the
// day.
func (w *world) startArrivals() {
	for i, route := range w.day.Routes {
		w.scheduleArrival(i, route)
	}
}

// scheduleArrival schedules the next job of a route. Arrivals are a Poisson
// process.
func (w *world) scheduleArrival(routeIndex int, route Route) {
	rate := route.JobsPerSecond
	if b, elapsed := w.day.Burst, w.now.Sub(w.start); b.Factor > 0 && elapsed >= b.At && elapsed < b.At+b.For {
		rate *= b.Factor
	}
	interval := time.Duration(w.callerRandom.ExpFloat64() / rate * float64(time.Second))
	w.after(interval, func() {
		if w.now.Sub(w.start) > w.day.Length {
			return
		}
		w.submit(route)
		w.scheduleArrival(routeIndex, route)
	})
}

// submit creates a caller with a random job and submits the job.
func (w *world) submit(route Route) {
	c := &caller{world: w, id: fmt.Sprintf("%016x", w.callerRandom.Uint64()), route: route, arrivedAt: w.now}
	mean := float64(route.Work) * math.Exp(w.callerRandom.NormFloat64()*jobSigma-jobSigma*jobSigma/2)
	c.hint = time.Duration(mean * math.Exp(w.callerRandom.NormFloat64()*jobSigma))
	count := max(1, int(float64(route.Tasks)*math.Exp(w.callerRandom.NormFloat64()*jobSigma-jobSigma*jobSigma/2)+0.5))
	c.alwaysFails = w.callerRandom.Float64() < w.day.FailingJobShare
	c.deadly = w.drawDeadly(route)
	c.rack = w.drawRack(route)
	longest := time.Duration(0)
	for i := range count {
		profile := emulator.TaskProfile{Room: work.Room{CPU: route.CPU, Memory: 64}, Work: time.Duration(mean * math.Exp(w.callerRandom.NormFloat64()*taskSigma)), Fails: c.alwaysFails, Rack: c.rack, RemoteFactor: w.day.HotRack.Factor}
		if c.deadly && (i == 0 || w.day.DeadlyWork.Wide) {
			profile.CrashesAfter = crashDelay
			profile.Work = max(profile.Work, minDeadlyWork)
		}
		longest = max(longest, profile.Work)
		c.profiles = append(c.profiles, profile)
	}
	if c.alwaysFails {
		longest *= maxAttempts
	}
	c.objective = w.now.Add(time.Duration(stretch*float64(longest)) + allowance)
	c.deadline = w.now.Add(callerTimeout)
	if w.day.PatientCallers {
		c.deadline = c.deadline.Add(patience * c.objective.Sub(w.now))
	}
	w.callers[c.id] = c
	w.verifier.jobSubmitted(c)
	c.send()
	if w.callerRandom.Float64() < w.day.LeavingCallerShare {
		w.after(time.Duration(w.callerRandom.Int64N(int64(callerTimeout/2))), c.leave)
	}
}

// drawDeadly draws whether a new job of a route is deadly.
func (w *world) drawDeadly(route Route) bool {
	d, elapsed := w.day.DeadlyWork, w.now.Sub(w.start)
	return d.Share > 0 && d.Route == route.Name && elapsed >= d.At && elapsed < d.At+d.For && w.callerRandom.Float64() < d.Share
}

// settled reports whether the job arrived in the settled part of a period of
// deadly work.
func (c *caller) settled() bool {
	d, elapsed := c.world.day.DeadlyWork, c.arrivedAt.Sub(c.world.start)
	return elapsed >= d.At+settlingTime && elapsed < d.At+d.For
}

// send submits the job to a random entry that is up, or retries later if there
// is none.
func (c *caller) send() {
	w := c.world
	c.submissions++
	e := w.entries[w.random.IntN(len(w.entries))]
	for range w.entries {
		if !e.down {
			break
		}
		e = w.entries[(e.index+1)%len(w.entries)]
	}
	if e.down {
		w.after(resubmitDelay, c.resubmit)
		return
	}
	w.verifier.resetFailures(c)
	w.lastSequence++
	c.entry, c.entryIncarnation, c.ticket = e, e.incarnation, uint64(w.lastSequence)
	job := work.Job{
		ID: c.id, Route: c.route.Name, Service: serviceName, Spec: "spec", Count: len(c.profiles), Room: c.profiles[0].Room, Hint: c.hint,
		Rack: c.rack, DataWait: w.day.HotRack.DataWait, Label: c.route.Label, MaxPerMinion: c.route.MaxPerMinion,
		Attempts: maxAttempts + c.world.day.ExtraAttempts, Priority: c.route.Priority, Stretch: stretch, Allowance: allowance,
	}
	ticket := c.ticket
	w.after(callerDelay, func() {
		job.Arrived, job.Deadline = w.now, w.now.Add(c.deadline.Sub(c.arrivedAt)-2*callerDelay)
		if e.incarnation != c.entryIncarnation {
			return
		}
		if admitted, ok := e.admit(job, c.route.prefix()); ok {
			e.deliver(scheduler.Submitted{Job: admitted, Ticket: ticket})
			return
		}
		c.receiveAnswer(e, work.NotRun)
	})
}

// resubmit submits the job again if it has no final answer and submissions are
// left.
func (c *caller) resubmit() {
	if !c.finished && c.submissions < maxSubmissions {
		c.send()
	}
}

// connectionLost resubmits the job after the connection to its entry was lost.
func (c *caller) connectionLost() {
	c.entry = nil
	c.world.after(resubmitDelay, c.resubmit)
}

// leave cancels the job: the caller no longer waits for the answer.
func (c *caller) leave() {
	if c.finished {
		return
	}
	c.finished, c.leftEarly = true, true
	c.world.verifier.callerLeft(c)
	if c.entry != nil && c.entry.incarnation == c.entryIncarnation {
		c.entry.deliver(scheduler.Withdrawn{Job: c.id, Ticket: c.ticket})
	}
}

// receiveAnswer handles the answer of an entry after its transfer.
func (c *caller) receiveAnswer(e *entryNode, outcome work.Outcome) {
	incarnation := e.incarnation
	c.world.after(callerDelay, func() {
		if c.finished || c.entry != e || c.entryIncarnation != incarnation {
			return
		}
		c.world.verifier.answerReceived(c, outcome)
		switch outcome {
		case work.NotRun:
			c.refusals++
			c.finished = true
		case work.Unfinished:
			c.connectionLost()
		default:
			c.finished = true
		}
	})
}
