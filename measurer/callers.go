package measurer

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/measurer/verifier"
)

const (
	// requestDeadline and jobDeadline are the time limits that callers set.
	requestDeadline = 10 * time.Second
	jobDeadline     = 60 * time.Second
	// reconnectDelay is the time until a caller submits again after a lost
	// connection.
	reconnectDelay = 50 * time.Millisecond
	// smallJobTasks and largeJobTasks are the numbers of tasks of jobs.
	smallJobTasks = 10
	largeJobTasks = 1300
)

// work is one request or job of a caller with all its submissions.
type work struct {
	verifier.Job
	team     task.Team
	key      task.Key
	began    time.Time
	deadline time.Time
	// serviceTimes holds the service time of each task at an average minion,
	// servedTimes that at the minion that served it last.
	serviceTimes []time.Duration
	servedTimes  []time.Duration
	// answerTime is the time from the first submission to the answer; 0 before
	// it.
	answerTime time.Duration
	// ended is true once the caller has the answer or has given up.
	ended bool
	// pending holds the submissions without a reply.
	pending []*submission
}

// submission is one attempt to submit work through one entry.
type submission struct {
	work   *work
	entry  *entryNode
	ticket dispatcher.Ticket
}

// callers emulates the clients: open-loop Poisson arrivals.
type callers struct {
	world  *world
	random *rand.Rand
	// workByJob holds all work by job ID, and submitted in order of arrival.
	workByJob map[task.JobID]*work
	submitted []*work
	// retryRandom chooses the entries of resubmissions; it is separate from the
	// arrivals' streams so that resubmissions don't change the arrivals.
	retryRandom *rand.Rand
}

func newCallers(w *world) *callers {
	return &callers{
		world: w, workByJob: make(map[task.JobID]*work),
		random: w.randomStream(arrivalStream, 0), retryRandom: w.randomStream(callerStream, 0),
	}
}

// startArrivals schedules the first arrival of each flow of the trial.
func (c *callers) startArrivals() {
	for _, f := range c.world.trial.flows {
		c.scheduleArrival(f, c.world.randomStream(arrivalStream, 1+f.stream))
	}
}

// scheduleArrival schedules the next arrival of a flow.
func (c *callers) scheduleArrival(f flow, random *rand.Rand) {
	w := c.world
	rate := f.load(w.elapsed()) * w.deployment.capacity() / f.tasksPerArrival()
	if w.elapsed() >= w.trial.end() {
		return
	}
	if rate <= 0 {
		w.after(maxRateAge, func() { c.scheduleArrival(f, random) })
		return
	}
	interval := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	if interval > maxRateAge {
		// The rate may have changed by then. Drawing again is correct because a
		// Poisson process has no memory.
		w.after(maxRateAge, func() { c.scheduleArrival(f, random) })
		return
	}
	w.after(interval, func() {
		c.submitNew(f, random)
		c.scheduleArrival(f, random)
	})
}

// maxRateAge is the longest time for which an arrival rate is taken as
// constant.
const maxRateAge = 250 * time.Millisecond

// submitNew draws and submits one new request or job.
func (c *callers) submitNew(f flow, random *rand.Rand) {
	w := c.world
	tasks := f.drawTaskCount(random)
	kind := random.Float64()
	work := &work{team: f.team, began: w.now}
	work.Idempotent = kind >= f.keyedShare+f.keylessShare
	work.Keyed = kind < f.keyedShare
	work.ID = c.drawID(work, random)
	work.deadline = w.now.Add(requestDeadline)
	if tasks > 1 {
		work.deadline = w.now.Add(jobDeadline)
	}
	for i := range tasks {
		work.serviceTimes = append(work.serviceTimes, drawServiceTime(random))
		work.Bodies = append(work.Bodies, requestBody(work.ID, i))
	}
	work.servedTimes = make([]time.Duration, tasks)
	c.workByJob[work.ID] = work
	c.submitted = append(c.submitted, work)
	w.verifier.Add(&work.Job)
	w.meter.workOffered(work)
	c.submit(work, c.pickEntry(random))
	if w.trial.resubmissions > 0 && work.Keyed {
		c.resubmit(work)
	}
}

func (c *callers) drawID(work *work, random *rand.Rand) task.JobID {
	if work.Keyed {
		work.key = task.Key(fmt.Sprintf("%016x", random.Uint64()))
		return task.KeyedJobID(work.team, work.key)
	}
	var id task.JobID
	binary.BigEndian.PutUint64(id[:], random.Uint64())
	binary.BigEndian.PutUint64(id[8:], random.Uint64())
	return id
}

// pickEntry draws a ready entry, weighted by its share of the arrivals.
func (c *callers) pickEntry(random *rand.Rand) *entryNode {
	w := c.world
	shares := w.trial.shares(w.deployment)
	total := 0.0
	for i, e := range w.entries {
		if e.ready {
			total += shares[i]
		}
	}
	at := random.Float64() * total
	for i, e := range w.entries {
		if !e.ready {
			continue
		}
		at -= shares[i]
		if at < 0 {
			return e
		}
	}
	return w.entries[0]
}

// submit sends work through an entry.
func (c *callers) submit(work *work, e *entryNode) {
	w := c.world
	s := &submission{work: work, entry: e}
	work.pending = append(work.pending, s)
	w.verifier.Submitted(w.now, &work.Job, e.self.Name)
	w.after(w.deployment.ClientLatency, func() {
		if !e.alive {
			w.after(w.deployment.ClientLatency, func() { c.connectionLost(s) })
			return
		}
		e.admit(s)
	})
}

// toDispatcher returns the submission as the entry's dispatcher receives it.
func (s *submission) toDispatcher() dispatcher.Submission {
	k := s.work
	m := dispatcher.Submission{
		Ticket: s.ticket, Job: k.ID, Team: k.team, Key: k.key, Deadline: k.deadline,
		Plan: s.entry.world.routingPlan(k.Idempotent),
	}
	copy(m.Digest[:], k.ID[:])
	for _, body := range k.Bodies {
		m.Tasks = append(m.Tasks, task.Request{Method: "POST", Path: "/", Body: body})
	}
	return m
}

// resubmit schedules more submissions of keyed work through any entry.
func (c *callers) resubmit(work *work) {
	for range c.world.trial.resubmissions {
		pause := time.Duration(c.retryRandom.Float64() * float64(resubmitSpan))
		c.world.after(pause, func() {
			if c.world.now.Add(time.Second).Before(work.deadline) {
				c.submit(work, c.pickEntry(c.retryRandom))
			}
		})
	}
}

// resubmitSpan is the time over which the resubmissions of a work are spread.
const resubmitSpan = time.Second

// connectionLost handles a connection that ended without a reply. The caller
// submits again through another entry if the work is keyed or idempotent.
func (c *callers) connectionLost(s *submission) {
	w := c.world
	work := s.work
	w.verifier.ConnectionLost(w.now, &work.Job, s.entry.self.Name)
	work.removePending(s)
	if work.ended {
		return
	}
	again := w.now.Add(reconnectDelay)
	if (work.Keyed || work.Idempotent) && again.Before(work.deadline) {
		w.after(reconnectDelay, func() { c.submit(work, c.pickEntry(c.retryRandom)) })
		return
	}
	if len(work.pending) == 0 {
		work.ended = true
		w.meter.connectionLost(work)
	}
}

// replyReceived handles a reply to a submission.
func (c *callers) replyReceived(s *submission, answer dispatcher.Answer) {
	w := c.world
	work := s.work
	w.verifier.Replied(w.now, &work.Job, s.entry.self.Name, work.deadline, answer)
	work.removePending(s)
	if work.ended {
		return
	}
	if answer.Outcome == task.Complete {
		work.ended = true
		w.meter.workAnswered(work, answer)
		return
	}
	if len(work.pending) == 0 {
		work.ended = true
		w.meter.workRefused(work, answer)
	}
}

// cancelWork makes the callers of a random share of the unfinished work cancel.
func (c *callers) cancelWork(share float64) {
	for _, work := range c.submitted {
		if work.ended || c.retryRandom.Float64() >= share {
			continue
		}
		work.ended = true
		c.world.meter.workWithdrawn(work)
		for _, s := range work.pending {
			c.world.after(c.world.deployment.ClientLatency, func() {
				if s.entry.alive {
					s.entry.withdraw(s)
				}
			})
		}
	}
}

// serviceTime returns the service time of a task at an average minion.
func (c *callers) serviceTime(id task.ID) time.Duration {
	return c.workByJob[id.Job].serviceTimes[id.Index]
}

// recordServed records the service time of a task at the minion that served it.
func (c *callers) recordServed(id task.ID, a *agentNode) {
	work := c.workByJob[id.Job]
	work.servedTimes[id.Index] = time.Duration(float64(work.serviceTimes[id.Index]) * a.serviceFactor)
}

// checkReplies checks that every submission got a reply.
func (c *callers) checkReplies() {
	for _, work := range c.submitted {
		c.world.verifier.CheckReplied(c.world.now, &work.Job)
	}
}

func (k *work) removePending(s *submission) {
	for i, other := range k.pending {
		if other == s {
			k.pending = append(k.pending[:i], k.pending[i+1:]...)
			return
		}
	}
}

// idealTime returns the answer time of the work at idle average minions.
func (k *work) idealTime(d Deployment) time.Duration { return k.idealTimeOf(d, k.serviceTimes) }

// idealTimeServed returns the answer time of the work at the minions that
// served it, had they been idle.
func (k *work) idealTimeServed(d Deployment) time.Duration { return k.idealTimeOf(d, k.servedTimes) }

func (k *work) idealTimeOf(d Deployment, times []time.Duration) time.Duration {
	var longest, sum time.Duration
	for _, t := range times {
		longest = max(longest, t)
		sum += t
	}
	longest = max(longest, sum/time.Duration(d.slots()))
	return longest + 2*d.ClientLatency + 2*d.InZoneLatency
}
