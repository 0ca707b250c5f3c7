package scheduler

import (
	"math"
	"slices"
	"time"

	"agatevalve/common/work"
)

const (
	// reasonEvacuated is the reason for refusing jobs that only minions of
	// evacuated zones could run.
	reasonEvacuated = "all zones of its service are evacuated"
	// reasonRoomLeft is the reason for giving up jobs after the loss of a zone.
	reasonRoomLeft = "a zone was evacuated, and what is left can't end its tasks in time"
	// backoffEvacuated is the backoff after an agent refused a run because of a
	// decision that this entry has not received.
	backoffEvacuated = 50 * time.Millisecond
)

// ZonesChanged is a newer decision on evacuated zones, as read from the store or
// received from another entry.
type ZonesChanged struct{ Zones work.Zones }

// AnnounceZones sends an agent a newer decision on evacuated zones.
type AnnounceZones struct {
	Agent AgentID
	Link  uint64
	Zones work.Zones
}

func (AnnounceZones) command() {}

func (ev ZonesChanged) apply(c *Core, now time.Time) { c.adoptZones(now, ev.Zones) }

// evacuation is what an entry knows of evacuated zones.
type evacuation struct {
	// decision is the newest one known; its version never decreases.
	decision work.Zones
	// returned counts the runs that agents gave back in the current step, and
	// returnedTotal those of all steps.
	returned, returnedTotal int
	// reviewDue is true if waiting jobs may not fit into the room that is left.
	reviewDue bool
}

// adoptZones adopts a decision if it is newer than the one in force, and tells the
// agents that may not know it.
func (c *Core) adoptZones(now time.Time, decision work.Zones) {
	previous := c.evacuation.decision
	if !decision.NewerThan(previous) {
		return
	}
	decision.Evacuated = slices.Clone(decision.Evacuated)
	c.evacuation.decision = decision
	if slices.Equal(decision.Evacuated, previous.Evacuated) && previous.Version > 0 {
		return // A newer read of the same; each entry has its own.
	}
	agents := make(map[string]int)
	for _, a := range c.sortedAgents {
		c.applyZones(a)
		c.announceZones(a)
		agents[a.minion.Zone]++
	}
	// Bulkheads divide the minions that accept work, and the rest of this step
	// already goes by the new decision.
	c.bulkheads.partitionedAt = time.Time{}
	c.partition(now)
	c.placementDue = true
	// Nobody has to wait for agents to connect because of it.
	c.hasUsableAgent = slices.ContainsFunc(c.sortedAgents, (*agent).acceptsWork)
	c.logZones("A zone was evacuated", decision, previous, agents)
	c.logZones("A zone was taken back", previous, decision, agents)
}

// logZones writes a message for each zone that is evacuated by one decision and
// not by another.
func (c *Core) logZones(text string, by, not work.Zones, agents map[string]int) {
	for _, zone := range by.Evacuated {
		if !not.Evacuates(zone) {
			c.emit(LogMessage{Text: text, Attributes: []any{"zone", zone, "version", c.evacuation.decision.Version, "agents", agents[zone]}})
		}
	}
}

// applyZones updates whether the agent's minion is in an evacuated zone.
func (c *Core) applyZones(a *agent) {
	evacuated := c.evacuation.decision.Evacuates(a.minion.Zone)
	if evacuated && !a.evacuated {
		c.evacuation.reviewDue = true
	}
	a.evacuated = evacuated
}

// announceZones sends the decision in force to a linked agent that may not know
// it, once over each link.
func (c *Core) announceZones(a *agent) {
	if a.link == 0 || a.zonesVersion >= c.evacuation.decision.Version {
		return
	}
	a.zonesVersion = c.evacuation.decision.Version
	c.emit(AnnounceZones{Agent: a.id, Link: a.link, Zones: c.evacuation.decision})
}

// observeZones adopts the decision that an agent knows, or sends it the newer one.
func (c *Core) observeZones(now time.Time, a *agent, decision work.Zones) {
	a.zonesVersion = max(a.zonesVersion, decision.Version)
	c.adoptZones(now, decision)
	c.announceZones(a)
}

// observeEvacuated counts a run that an agent gave back because its zone is
// evacuated. Its task competes for the room that is left.
func (c *Core) observeEvacuated(now time.Time, a *agent) {
	a.backoffUntil = laterOf(a.backoffUntil, now.Add(backoffEvacuated))
	c.evacuation.returned++
	c.evacuation.reviewDue = true
}

// onlyEvacuated reports whether all minions in reach that could run a job are in
// evacuated zones. A link that was lost a moment ago may be back.
func (c *Core) onlyEvacuated(now time.Time, j *job) bool {
	if len(c.evacuation.decision.Evacuated) == 0 {
		return false
	}
	evacuated := false
	for _, a := range c.sortedAgents {
		lost := a.link == 0 && now.Sub(a.disconnectedAt) > agentGracePeriod
		if lost || a.leaving || a.minion.Draining || a.minion.Service != j.Service || !a.fits(j) {
			continue
		}
		if !a.evacuated {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// EvacuatedAgents returns the number of linked agents in evacuated zones.
func (c *Core) EvacuatedAgents() int {
	count := 0
	for _, a := range c.sortedAgents {
		if a.link != 0 && a.evacuated {
			count++
		}
	}
	return count
}

// EvacuatedRuns returns the number of runs that agents in evacuated zones have
// given back without starting them.
func (c *Core) EvacuatedRuns() int { return c.evacuation.returnedTotal }

// reviewWaiting decides again on the jobs that wait after room was lost with a
// zone. They keep their order; those that would not be admitted behind the ones
// before them are given up at once.
func (c *Core) reviewWaiting(now time.Time) {
	e := &c.evacuation
	if e.returned > 0 {
		c.emit(LogMessage{Text: "Runs came back from an evacuated zone", Attributes: []any{"runs", e.returned, "version", e.decision.Version}})
		e.returnedTotal, e.returned = e.returnedTotal+e.returned, 0
	}
	if !e.reviewDue {
		return
	}
	e.reviewDue = false
	ahead := make(map[side]float64)
	dropped := 0
	for _, r := range c.waitingJobs(now) {
		competitors := side{service: r.job.Service, confined: c.holds(r.job)}
		if wait, kept := c.stillFits(now, r, ahead[competitors]); !kept {
			c.giveUpWithRetry(now, r.job, reasonRoomLeft, clampRetryAfter(wait))
			dropped++
			continue
		}
		ahead[competitors] += r.work
	}
	if dropped > 0 {
		c.emit(LogMessage{Text: "Gave up jobs for want of room", Attributes: []any{"jobs", dropped, "version", e.decision.Version}})
	}
}

// side identifies the jobs that compete for the same minions.
type side struct {
	service  string
	confined bool
}

// waitingJob is a job with waiting tasks, and the work of these, in thousandths of
// a core times nanoseconds.
type waitingJob struct {
	job  *job
	work float64
}

// waitingJobs returns the jobs with waiting tasks, the most urgent first.
func (c *Core) waitingJobs(now time.Time) []waitingJob {
	waiting := slices.Clone(c.waiting)
	slices.SortStableFunc(waiting, func(a, b *task) int { return compareUrgency(now, a, b) })
	position := make(map[*job]int)
	var jobs []waitingJob
	for _, t := range waiting {
		at, seen := position[t.job]
		if !seen {
			at = len(jobs)
			position[t.job] = at
			jobs = append(jobs, waitingJob{job: t.job})
		}
		jobs[at].work += float64(t.job.Room.CPU) * float64(t.job.expectedWork)
	}
	return jobs
}

// stillFits reports whether a job can end in time behind the work ahead of it, and
// how long the minions need for both. A job that has not started has to be on
// time, as at its admission; work done is only given up for the deadline, and if
// the tasks are as short as they may be.
func (c *Core) stillFits(now time.Time, r waitingJob, workAhead float64) (wait time.Duration, fits bool) {
	j := r.job
	f := c.assessFeasibility(now, j)
	if !f.available || c.inAgentGrace(now) {
		return 0, true // Its minions may be back at any time.
	}
	throughput := c.ownThroughput(j)
	left := math.Max(minLeftShare*throughput, throughput-c.arrivals.before(now, j.Priority))
	wait = time.Duration((workAhead + r.work) / throughput)
	if j.mayHaveStarted {
		shortest := time.Duration(minWorkFactor * (workAhead/throughput + float64(f.shortestRuntime)))
		return wait, !now.Add(shortest).After(j.Deadline)
	}
	limit := j.objective
	if now.After(j.objective.Add(-j.expectedWork)) {
		limit = j.Deadline // It was late before.
	}
	end := now.Add(time.Duration((workAhead+ownWorkFraction*r.work)/left) + f.shortestRuntime)
	return wait, workAhead == 0 || !end.After(limit) || c.fitsNow(now, j)
}
