package scheduler

import (
	"math"
	"slices"
	"time"

	"agatevalve/common/work"
)

const (
	// mostMoves caps the moves of one task, since each throws work away.
	mostMoves = 2
	// moveTime is what a move costs: the order to stop, its end, and the next
	// start, across availability zones.
	moveTime = 25 * time.Millisecond
	// worthMoving is by how much of a run's rest its move has to be shorter.
	worthMoving = 0.7
	// leastPart is the part of its expected work that a task may turn out to be.
	leastPart = 0.6
	// nearShare is the part of a run's projected time before the deadline from
	// which its end is too near to it.
	nearShare = 0.03
	// expireEvery is how often waiting tasks are looked through; deadlines are
	// kept to within it.
	expireEvery = 10 * time.Millisecond
	// awaitAgents is how long jobs wait at an entry that has just started, or has
	// just lost its last agent. Agents find an entry within this time.
	awaitAgents = 700 * time.Millisecond
)

// projected takes a run that takes longer than expected. It answers minions
// that have turned slow or stand still, and work that its caller took for
// smaller: the task moves where it ends in time, or the job ends at once.
func (c *Core) projected(now time.Time, a *agent, t *task, report work.Report) {
	j := t.job
	sound := a.soundWork(report.Took)
	if report.Sure {
		j.shown(sound)
	}
	end := now.Add(report.Left)
	// Callers of larger work allow more time, whether it was known or not.
	objective := j.aimOf(max(sound, j.longest))
	if !end.After(objective) {
		return
	}
	other := now.Add(moveTime + c.soonest(now, j, sound, a))
	near := time.Duration(nearShare * float64(report.Took))
	late, otherLate := end.Add(near).After(j.Deadline), other.Add(2*near).After(j.Deadline)
	shorter := float64(other.Sub(now)) < worthMoving*float64(report.Left)
	gains := shorter && (late && !otherLate || !other.After(objective))
	inputs := []any{"left", report.Left, "projected", report.Took, "elsewhere", other.Sub(now), "until-deadline", j.Deadline.Sub(now)}
	switch {
	case gains && len(t.movedFrom) < mostMoves:
		t.movedFrom = append(t.movedFrom, a.minion.Name)
		c.emit(Note{Text: "Moved a slow run", Job: j.ID, Run: report.Run, Agent: a.key, State: work.Started, Inputs: inputs})
		c.emit(Stop{Agent: a.key, Link: a.link, Run: report.Run})
	case report.Sure && end.Sub(j.Deadline) > oneStep(report):
		c.emit(Note{Text: "A run can't end in time", Job: j.ID, Run: report.Run, Agent: a.key, State: work.Started, Inputs: inputs})
		c.giveUp(now, j, "its tasks can't end before the deadline")
	}
}

// oneStep is the time of one whole step of the progress that a projection was
// made from, which is how much it may be off.
func oneStep(report work.Report) time.Duration {
	done := 1 - float64(report.Left)/float64(max(report.Took, 1))
	return time.Duration(float64(report.Took) / max(100*done, 1))
}

// soundWork is the work of a run at a minion of mean speed.
func (a *agent) soundWork(took time.Duration) time.Duration {
	return time.Duration(float64(took) / math.Exp(a.load.Slowness))
}

// soonest is the least time until a task of the given work would end at
// another agent than the one given, which may be nil.
func (c *Core) soonest(now time.Time, j *job, sound time.Duration, except *agent) time.Duration {
	best := time.Duration(math.MaxInt64 / 2)
	for _, a := range c.ordered {
		if a == except || a.minion.Service != j.Service || !a.open(now) || !a.fits(j) {
			continue
		}
		best = min(best, a.wait(j.Room)+a.timeOf(j, sound))
	}
	return best
}

// canEnd reports whether a task could still end before the deadline somewhere.
func (c *Core) canEnd(now time.Time, j *job, sound time.Duration) bool {
	return !now.Add(c.soonest(now, j, sound, nil)).After(j.Deadline)
}

// awaits reports whether agents are expected soon.
func (c *Core) awaits(now time.Time) bool { return now.Before(c.awaitUntil) }

// noteReach keeps the time until which agents are expected.
func (c *Core) noteReach(now time.Time) {
	reaches := slices.ContainsFunc(c.ordered, (*agent).serves)
	if c.awaitUntil.IsZero() || c.reached && !reaches {
		c.awaitUntil = now.Add(awaitAgents)
	}
	c.reached = reaches
}

// expireWaiting gives up jobs with a task that waits and can't end in time, or
// for which no agent has come.
func (c *Core) expireWaiting(now time.Time) {
	if len(c.waiting) == 0 || now.Sub(c.expired) < expireEvery {
		return
	}
	c.expired = now
	reached := c.reached || c.awaits(now)
	reasons := make(map[*job]string)
	var over []*job
	for _, t := range c.waiting {
		if _, seen := reasons[t.job]; seen {
			continue
		}
		if reasons[t.job] = c.hopeless(now, t, reached); reasons[t.job] != "" {
			over = append(over, t.job)
		}
	}
	for _, j := range over {
		if c.jobs[j.ID] == j {
			c.giveUp(now, j, reasons[j])
		}
	}
}

// hopeless returns why a waiting task can't end in time, or "". A job that has
// not begun is told once it would be late and what goes before it takes too
// long, since its caller may go elsewhere and nothing is lost.
func (c *Core) hopeless(now time.Time, t *task, reached bool) string {
	j := t.job
	switch {
	case !reached:
		return "no minion is in reach"
	case now.Add(time.Duration(leastPart / mostSpeedUp * float64(j.expected))).After(j.Deadline):
		return "its tasks can't end before the deadline"
	case j.begun || !now.After(t.startBefore()):
		return ""
	}
	p := c.prospectOf(now, j)
	if !p.open {
		return ""
	}
	ahead := c.backlogOnTime(now, j.Service)
	if now.Add(ahead + p.quickest).After(j.Deadline) {
		return tooMuchWaits
	}
	return ""
}
