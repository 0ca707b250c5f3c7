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
	// requestDeadline and jobDeadline are what callers allow.
	requestDeadline = 10 * time.Second
	jobDeadline     = 60 * time.Second
	// retryPause is how long a caller waits after a broken connection.
	retryPause = 50 * time.Millisecond
	// smallJob and largeJob are the numbers of tasks of jobs.
	smallJob = 10
	largeJob = 1300
)

// work is one request or job of a caller, with all its resubmissions.
type work struct {
	verifier.Job
	team     task.Team
	key      task.Key
	began    time.Time
	deadline time.Time
	// services holds the time of each task at an average minion, and alone the
	// time at the minion that served it last.
	services []time.Duration
	alone    []time.Duration
	// took is the time to the answer; 0 before.
	took time.Duration
	// ended is true once the caller has an answer or has given up.
	ended bool
	// live holds the submissions without a reply.
	live []*submission
}

// submission is one try of a work through one entry.
type submission struct {
	work   *work
	entry  *entryNode
	ticket dispatcher.Ticket
}

// callers are the clients of the experiment: an open loop of Poisson arrivals.
type callers struct {
	world  *world
	random *rand.Rand
	// works holds all work by job.
	works map[task.JobID]*work
	order []*work
	// retries draws the entries of resubmissions, so that they don't change
	// what arrives.
	retries *rand.Rand
}

func newCallers(w *world) *callers {
	return &callers{
		world: w, works: make(map[task.JobID]*work),
		random: w.stream(arrivalStream, 0), retries: w.stream(callerStream, 0),
	}
}

// begin starts the arrivals of each stream of the trial.
func (c *callers) begin() {
	for _, f := range c.world.trial.flows {
		c.arrive(f, c.world.stream(arrivalStream, 1+f.stream))
	}
}

// arrive plans the next arrival of a flow.
func (c *callers) arrive(f flow, random *rand.Rand) {
	w := c.world
	rate := f.load(w.elapsed()) * w.deployment.capacity() / f.tasksPerArrival()
	if w.elapsed() >= w.trial.end() {
		return
	}
	if rate <= 0 {
		w.after(rateStep, func() { c.arrive(f, random) })
		return
	}
	gap := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	if gap > rateStep {
		// The rate may change: draw again, which a Poisson process allows.
		w.after(rateStep, func() { c.arrive(f, random) })
		return
	}
	w.after(gap, func() {
		c.begun(f, random)
		c.arrive(f, random)
	})
}

// rateStep is the longest time for which an arrival rate is taken as constant.
const rateStep = 250 * time.Millisecond

// begun submits one new piece of work.
func (c *callers) begun(f flow, random *rand.Rand) {
	w := c.world
	tasks := f.draw(random)
	kind := random.Float64()
	work := &work{team: f.team, began: w.now}
	work.Idempotent = kind >= f.keyed+f.keyless
	work.Keyed = kind < f.keyed
	work.ID = c.drawID(work, random)
	work.deadline = w.now.Add(requestDeadline)
	if tasks > 1 {
		work.deadline = w.now.Add(jobDeadline)
	}
	for i := range tasks {
		work.services = append(work.services, drawService(random))
		work.Bodies = append(work.Bodies, bodyOf(work.ID, i))
	}
	work.alone = make([]time.Duration, tasks)
	c.works[work.ID] = work
	c.order = append(c.order, work)
	w.verifier.Add(&work.Job)
	w.meter.offered(work)
	c.submit(work, c.pick(random))
	if w.trial.resubmit > 0 && work.Keyed {
		c.storm(work)
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

// pick draws a ready entry by its share of the arrivals.
func (c *callers) pick(random *rand.Rand) *entryNode {
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

// submit sends a work through an entry.
func (c *callers) submit(work *work, e *entryNode) {
	w := c.world
	s := &submission{work: work, entry: e}
	work.live = append(work.live, s)
	w.verifier.Submitted(w.now, &work.Job, e.self.Name)
	w.after(w.deployment.ClientLatency, func() {
		if !e.alive {
			w.after(w.deployment.ClientLatency, func() { c.broken(s) })
			return
		}
		e.admit(s)
	})
}

// message is the submission as the entry's core gets it.
func (s *submission) message() dispatcher.Submission {
	k := s.work
	m := dispatcher.Submission{
		Ticket: s.ticket, Job: k.ID, Team: k.team, Key: k.key, Deadline: k.deadline,
		Plan: s.entry.world.plan(k.Idempotent),
	}
	copy(m.Digest[:], k.ID[:])
	for _, body := range k.Bodies {
		m.Tasks = append(m.Tasks, task.Request{Method: "POST", Path: "/", Body: body})
	}
	return m
}

// storm submits a keyed work again and again through any entry.
func (c *callers) storm(work *work) {
	for range c.world.trial.resubmit {
		pause := time.Duration(c.retries.Float64() * float64(stormSpan))
		c.world.after(pause, func() {
			if c.world.now.Add(time.Second).Before(work.deadline) {
				c.submit(work, c.pick(c.retries))
			}
		})
	}
}

// stormSpan is the time over which a storm's resubmissions are spread.
const stormSpan = time.Second

// broken is a connection that ended without a reply. A caller that may safely
// do so asks again through another entry.
func (c *callers) broken(s *submission) {
	w := c.world
	work := s.work
	w.verifier.Broken(w.now, &work.Job, s.entry.self.Name)
	work.drop(s)
	if work.ended {
		return
	}
	again := w.now.Add(retryPause)
	if (work.Keyed || work.Idempotent) && again.Before(work.deadline) {
		w.after(retryPause, func() { c.submit(work, c.pick(c.retries)) })
		return
	}
	if len(work.live) == 0 {
		work.ended = true
		w.meter.lost(work)
	}
}

// receive takes a reply.
func (c *callers) receive(s *submission, answer dispatcher.Answer) {
	w := c.world
	work := s.work
	w.verifier.Replied(w.now, &work.Job, s.entry.self.Name, work.deadline, answer)
	work.drop(s)
	if work.ended {
		return
	}
	if answer.Outcome == task.Complete {
		work.ended = true
		w.meter.answered(work, answer)
		return
	}
	if len(work.live) == 0 {
		work.ended = true
		w.meter.refused(work, answer)
	}
}

// cancel lets the callers of a share of the unfinished work go away.
func (c *callers) cancel(share float64) {
	for _, work := range c.order {
		if work.ended || c.retries.Float64() >= share {
			continue
		}
		work.ended = true
		c.world.meter.withdrawn(work)
		for _, s := range work.live {
			c.world.after(c.world.deployment.ClientLatency, func() {
				if s.entry.alive {
					s.entry.withdraw(s)
				}
			})
		}
	}
}

// service returns the time of a task at an average minion.
func (c *callers) service(id task.ID) time.Duration { return c.works[id.Job].services[id.Index] }

// served notes which minion served a task.
func (c *callers) served(id task.ID, a *agentNode) {
	work := c.works[id.Job]
	work.alone[id.Index] = time.Duration(float64(work.services[id.Index]) * a.factor)
}

// close checks that nobody waits any more.
func (c *callers) close() {
	for _, work := range c.order {
		c.world.verifier.Close(c.world.now, &work.Job)
	}
}

func (k *work) drop(s *submission) {
	for i, other := range k.live {
		if other == s {
			k.live = append(k.live[:i], k.live[i+1:]...)
			return
		}
	}
}

// ideal is what the work would take at idle average minions.
func (k *work) ideal(d Deployment) time.Duration { return k.limit(d, k.services) }

// idealThere is what the work would take alone at the minions that served it.
func (k *work) idealThere(d Deployment) time.Duration { return k.limit(d, k.alone) }

func (k *work) limit(d Deployment, times []time.Duration) time.Duration {
	var most, sum time.Duration
	for _, t := range times {
		most = max(most, t)
		sum += t
	}
	most = max(most, sum/time.Duration(d.slots()))
	return most + 2*d.ClientLatency + 2*d.NearLatency
}
