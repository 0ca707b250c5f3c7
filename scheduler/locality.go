package scheduler

import (
	"slices"
	"time"

	"agatevalve/colocator"
	"agatevalve/common/work"
)

const (
	// wantedFor is the time for which a rack counts as wanted after a task found no
	// room there.
	wantedFor = 600 * time.Millisecond
	// wantedPenalty is the cost of a minion on a wanted rack to tasks without data
	// there, in utilization. They go there if others are fuller by as much.
	wantedPenalty = 0.3
	// otherShare is the share of a minion on a wanted rack that tasks without data
	// there may fill up to.
	otherShare = 0.5
	// maxWantedRacks caps the racks that are known to be wanted.
	maxWantedRacks = 256
	// handoverTime is the least time until a minion has room for the next task.
	handoverTime = time.Millisecond
)

// scope is the part of the minions that is considered for a task.
type scope int

const (
	anywhere scope = iota
	// nearData is the rack with the data of the job, awayFromData all others.
	nearData
	awayFromData
)

// includes reports whether a minion is in the scope.
func (s scope) includes(a *agent, j *job) bool {
	return s == anywhere || a.hasData(j) == (s == nearData)
}

// rackOfService is the part of a service's minions that is on one rack.
type rackOfService struct{ service, rack string }

// locality is what an entry knows about tasks with data on one rack.
type locality struct {
	learner *colocator.Learner
	// wantedUntil has the racks on which tasks with data there found no room.
	wantedUntil map[rackOfService]time.Time
}

func newLocality(factor float64) locality {
	return locality{learner: colocator.NewLearner(factor), wantedUntil: make(map[rackOfService]time.Time)}
}

// dataWait is a wait for room near the data of a task.
type dataWait struct {
	since time.Time
	// until is the time after which the task goes elsewhere; zero without a wait.
	until time.Time
	// limit is the first end of the task's waits, past which none of them goes; zero
	// before the first.
	limit time.Time
	// computed is the wait that followed from the load of the rack at its begin.
	computed time.Duration
	// elsewhere is the agent that the task would have been sent to at the begin,
	// and elsewhereWait and elsewhereEnd are the wait and the end expected there.
	elsewhere     AgentID
	elsewhereWait time.Duration
	elsewhereEnd  time.Time
}

// DataWaitEnded is the end of a wait for room near the data of a task.
type DataWaitEnded struct {
	Run   work.Run
	Route string
	// Length is the duration of the wait, and Expected what was expected at its
	// begin.
	Length, Expected time.Duration
	// Elsewhere is the agent that the task would have been sent to at the begin,
	// and ElsewhereWait the wait that was expected there.
	Elsewhere     AgentID
	ElsewhereWait time.Duration
	// Near is true if the task was placed near its data, and Paid if it is expected
	// to end earlier than it would have elsewhere.
	Near, Paid bool
	// Reason is why the wait ended.
	Reason string
}

func (DataWaitEnded) command() {}

// hasData reports whether the data of the job is on the rack of this minion.
func (a *agent) hasData(j *job) bool { return slices.Contains(a.minion.Labels, j.Rack) }

// remoteFactorAt returns the factor by which tasks of the job take longer at this
// minion because their data is elsewhere.
func (j *job) remoteFactorAt(a *agent) float64 {
	if j.Rack == "" || a.hasData(j) {
		return 1
	}
	return j.remoteFactor
}

// workAt returns the expected runtime of a task at a minion of mean speed at the
// place of this one.
func (j *job) workAt(a *agent) time.Duration {
	return time.Duration(float64(j.expectedWork) * j.remoteFactorAt(a))
}

// awaitsData reports whether the task waits for room near its data though it
// could run elsewhere.
func (t *task) awaitsData() bool { return !t.dataWait.until.IsZero() }

// penalty returns the cost of a minion on a rack that is wanted by tasks with
// data there, to a task without.
func (l *locality) penalty(now time.Time, a *agent, j *job) float64 {
	if len(l.wantedUntil) == 0 || j.Rack != "" && a.hasData(j) {
		return 0
	}
	for _, label := range a.minion.Labels {
		if now.Before(l.wantedUntil[rackOfService{a.minion.Service, label}]) {
			return wantedPenalty
		}
	}
	return 0
}

// reserves reports whether the room of a minion is kept for tasks with data on
// its rack. A task that may run nowhere else, or has no time left, isn't kept
// off.
func (l *locality) reserves(now time.Time, a *agent, t *task) bool {
	if len(l.wantedUntil) == 0 || t.job.Label != "" || l.penalty(now, a, t.job) == 0 || now.After(t.latestStart()) {
		return false
	}
	return a.committed().CPU+t.job.Room.CPU > int64(otherShare*float64(a.minion.Room.CPU))
}

// want records that a rack has no room for a task with data there.
func (l *locality) want(now time.Time, service, rack string) {
	if len(l.wantedUntil) >= maxWantedRacks {
		clear(l.wantedUntil)
	}
	l.wantedUntil[rackOfService{service, rack}] = now.Add(wantedFor)
}

// observeLocality learns from a run that was done.
func (c *Core) observeLocality(a *agent, t *task, took time.Duration) {
	if j := t.job; j.Rack != "" {
		nearby := time.Duration(float64(t.expectedRuntime) / j.remoteFactorAt(a))
		c.locality.learner.ObserveRun(j.Route, !a.hasData(j), took, nearby)
	}
}

// chooseByLocality chooses the agent for a task as chooseAgent does, among those
// near its data or those elsewhere, or lets it wait for the former.
func (c *Core) chooseByLocality(now time.Time, t *task, suspected bool) (chosen *agent, noCandidate bool) {
	j := t.job
	if j.Rack == "" || j.DataWait.MaxWait <= 0 || suspected {
		c.endDataWait(now, t, nil, colocator.Disabled)
		return c.chooseAgent(now, t, suspected, anywhere)
	}
	near, computed := c.surveyNear(now, t)
	nearAgent, nearFull := c.chooseAgent(now, t, suspected, nearData)
	awayAgent, awayFull := c.chooseAgent(now, t, suspected, awayFromData)
	nearSpread, awaySpread := c.locality.learner.Spread(j.Route)
	q := colocator.Question{
		Policy: j.DataWait, Near: near, NearHasRoom: nearAgent != nil, Objective: j.objective, Deadline: j.Deadline,
		WaitingUntil: t.dataWait.limit, Random: c.options.Random.Float64(),
	}
	if nearAgent != nil {
		q.Near = nearAgent.offer(j)
	}
	q.Near.Spread = nearSpread
	if awayAgent != nil {
		q.Away, q.Load = awayAgent.offer(j), awayAgent.utilization()
		q.Away.Spread = awaySpread
	}
	if near.Exists && (nearAgent == nil || nearAgent.expectedWait(j.Room) > 0) {
		c.locality.want(now, j.Service, j.Rack)
	}
	d := colocator.Decide(now, q)
	switch d.Choice {
	case colocator.Wait:
		if !t.awaitsData() {
			t.dataWait = dataWait{
				since: now, limit: t.dataWait.limit, computed: computed, elsewhere: awayAgent.id,
				elsewhereWait: q.Away.Wait, elsewhereEnd: now.Add(q.Away.Wait + q.Away.Runtime),
			}
		}
		t.dataWait.until = d.Until
		if t.dataWait.limit.IsZero() {
			t.dataWait.limit = d.Until
		}
		return nil, false
	case colocator.Near:
		c.endDataWait(now, t, nearAgent, d.Reason)
		return nearAgent, false
	}
	c.endDataWait(now, t, nil, d.Reason)
	return awayAgent, nearFull && awayFull
}

// offer returns what this minion has for a task of the job.
func (a *agent) offer(j *job) colocator.Offer {
	return colocator.Offer{Exists: true, Wait: a.expectedWait(j.Room), Runtime: a.expectedRuntime(j)}
}

// surveyNear returns what the rack with the data of a task has for it if it waits
// for room behind the tasks of this entry that wait there already, and the wait
// that follows from the load. Other entries get their share of the room that
// becomes free.
func (c *Core) surveyNear(now time.Time, t *task) (offer colocator.Offer, computed time.Duration) {
	j := t.job
	perSecond, runtime, minions := 0.0, 0.0, 0
	ownCPU, takenCPU := int64(0), int64(0)
	for _, a := range c.sortedAgents {
		if !a.hasData(j) || a.minion.Service != j.Service || !a.acceptsWork() || a.ejected() || !a.fits(j) || !c.opensTo(a, j) {
			continue
		}
		minions++
		perSecond += 1 / max(a.expectedWait(j.Room), handoverTime).Seconds()
		runtime += a.expectedRuntime(j).Seconds()
		takenCPU += a.committed().CPU
		for _, o := range a.runs {
			ownCPU += o.order.Room.CPU
		}
	}
	if minions == 0 {
		return colocator.Offer{}, 0
	}
	ahead := 0
	for _, o := range c.waiting {
		if o != t && o.job.Rack == j.Rack && o.awaitsData() && !now.After(o.dataWait.until) {
			ahead++
		}
	}
	share := min(1, max(minOwnShare, float64(ownCPU)/float64(max(takenCPU, 1))))
	computed = time.Duration(float64(ahead+1) / (perSecond * share) * float64(time.Second))
	return colocator.Offer{
		Exists: true, Wait: c.locality.learner.ExpectedWait(j.Rack, computed),
		Runtime: time.Duration(runtime / float64(minions) * float64(time.Second)),
	}, computed
}

// endDataWait ends a wait of a task, which is placed at an agent near its data;
// nil for none.
func (c *Core) endDataWait(now time.Time, t *task, near *agent, reason colocator.Reason) {
	w := t.dataWait
	if !t.awaitsData() {
		return
	}
	t.dataWait = dataWait{limit: w.limit}
	waited := now.Sub(w.since)
	c.locality.learner.ObserveWait(t.job.Rack, waited, w.computed, near != nil)
	ended := DataWaitEnded{
		Run: t.run(), Route: t.job.Route, Length: waited, Expected: w.computed, Elsewhere: w.elsewhere, ElsewhereWait: w.elsewhereWait,
		Near: near != nil, Reason: string(reason),
	}
	if near != nil {
		ended.Paid = !now.Add(near.expectedWait(t.job.Room) + near.expectedRuntime(t.job)).After(w.elsewhereEnd)
	}
	c.emit(ended)
}
