package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"agatevalve/common/work"
)

const (
	// ownQueue is how many of its own orders an entry lets wait at one agent before
	// it has heard of them. Other entries see the same room.
	ownQueue = 1
	// tieSpread is by how much the expected ends of two minions may differ to
	// count as equal, so that entries don't all choose the same one.
	tieSpread = 4 * time.Millisecond
	// tieShare is added to it as a part of the expected time, which is known to
	// about that.
	tieShare = 0.15
	// reserveAbove is the used part of the fastest minion from which slower ones
	// are given the tasks that they can end in time, so that room is left at fast
	// ones for tasks that need them. Below it each task gets the fastest.
	reserveAbove = 0.6
	// usedNoise spreads the choice between minions that are used alike.
	usedNoise = 0.1
	// objectivePart is the part of the time to the objective that a task may be
	// expected to take at a slower minion.
	objectivePart = 0.65
	// mostPart is how many times its expected work a task may turn out to be.
	mostPart = 1.7
	// returnFactor makes a minion look slower to a task that failed or was slow there.
	returnFactor = 4
	// planEvery is how often waiting tasks are tried without news of an agent,
	// whose pauses end without any; below the shortest of those.
	planEvery = 10 * time.Millisecond
	// otherRack is by how much longer a task takes away from its data.
	otherRack = 1.5
	// meanWait is the part of a queued run's work after which room is free,
	// since the runs before it are on average half done.
	meanWait = 0.5
)

// placeWaiting sends waiting tasks to agents, most urgent first.
func (c *Core) placeWaiting(now time.Time) {
	if len(c.waiting) == 0 || !c.changed && now.Sub(c.planned) < planEvery {
		return
	}
	c.changed, c.planned = false, now
	slices.SortStableFunc(c.waiting, func(a, b *task) int { return compareUrgency(now, a, b) })
	waiting := c.waiting
	c.waiting = nil
	for _, t := range waiting {
		if c.jobs[t.job.ID] != t.job {
			continue
		}
		if t.job.stuck.Equal(now) {
			c.waiting = append(c.waiting, t)
			continue
		}
		a, none := c.choose(now, t)
		if a != nil {
			c.place(now, t, a)
			continue
		}
		c.waiting = append(c.waiting, t)
		if none || !t.returned() {
			t.job.stuck = now // Tasks of one job are alike, so the next ones find none either.
		}
	}
}

// compareUrgency puts tasks that can still meet their objective first, by the
// priority of their route and then by the time that is left to start them.
func compareUrgency(now time.Time, a, b *task) int {
	startA, startB := a.startBefore(), b.startBefore()
	lateA, lateB := now.After(startA), now.After(startB)
	switch {
	case lateA != lateB && lateB:
		return -1
	case lateA != lateB:
		return 1
	case lateA:
		return a.job.Deadline.Compare(b.job.Deadline)
	case a.job.Priority != b.job.Priority:
		return cmp.Compare(a.job.Priority, b.job.Priority)
	}
	return startA.Compare(startB)
}

func (t *task) startBefore() time.Time { return t.job.objective.Add(-t.job.expected) }

// candidates are the agents that a task could go to, by what speaks for each.
type candidates struct {
	// soonest is where the task is expected to end first, at soonestEnd.
	soonest    *agent
	soonestEnd time.Duration
	// spare is the slowest and least used where it ends well in time.
	spare     *agent
	spareCost float64
	// queuedEnd is the first expected end at agents with a queue.
	queuedEnd time.Duration
}

// choose returns the agent that a task goes to, or nil while it waits, and
// whether none had room. Agents with a queue are given nothing more, so that
// tasks can still go elsewhere. A free agent that is too slow for the task is
// not taken either while a faster one with a queue would still end it in time.
func (c *Core) choose(now time.Time, t *task) (chosen *agent, none bool) {
	found := c.weigh(now, t)
	if found.soonest == nil {
		return nil, true
	}
	if found.spare != nil && found.soonest.usedShare() > reserveAbove {
		return found.spare, false
	}
	if found.soonestEnd <= found.queuedEnd {
		return found.soonest, false
	}
	if aim := t.job.aimedEnd(now); now.Add(found.soonestEnd).After(aim) && !now.Add(found.queuedEnd).After(aim) {
		return nil, false
	}
	return found.soonest, false
}

// weigh looks at all agents that may be given the task.
func (c *Core) weigh(now time.Time, t *task) candidates {
	found := candidates{soonestEnd: math.MaxInt64, spareCost: math.Inf(1), queuedEnd: math.MaxInt64}
	for _, a := range c.ordered {
		if a.minion.Service != t.job.Service || !a.open(now) || !a.fits(t.job) || a.crowded(t.job) {
			continue
		}
		end := a.expectedEnd(t.job)
		if a.wait(t.job.Room) > c.o.QueueAhead || a.queueFull(t.job.Room) {
			found.queuedEnd = min(found.queuedEnd, end)
			continue
		}
		if slices.Contains(t.failedAt, a.minion.Name) || slices.Contains(t.movedFrom, a.minion.Name) {
			end *= returnFactor // Goes back to a minion only for want of others.
		}
		end += time.Duration(c.o.Random.Int64N(int64(tieSpread) + int64(tieShare*float64(end))))
		if end < found.soonestEnd {
			found.soonest, found.soonestEnd = a, end
		}
		if !a.suffices(now, t.job, end) {
			continue
		}
		if cost := a.usedShare() - a.load.Slowness + usedNoise*c.o.Random.Float64(); cost < found.spareCost {
			found.spare, found.spareCost = a, cost
		}
	}
	return found
}

// suffices reports whether a task ends in time at this minion even if it is
// larger than expected. The objective grows with the work, the deadline doesn't.
func (a *agent) suffices(now time.Time, j *job, end time.Duration) bool {
	inTime := time.Duration(float64(end) / objectivePart)
	whole := time.Duration(float64(end) * mostPart)
	return !now.Add(inTime).After(j.objective) && !now.Add(whole).After(j.Deadline)
}

// usedShare is the part of the minion's processors that is taken.
func (a *agent) usedShare() float64 {
	return float64(a.committed().CPU) / float64(max(a.minion.Room.CPU, 1))
}

// aimedEnd is the end that still earns most: the objective, and after it the
// deadline.
func (j *job) aimedEnd(now time.Time) time.Time {
	if now.Before(j.objective) && j.objective.Before(j.Deadline) {
		return j.objective
	}
	return j.Deadline
}

// place sends a task to an agent.
func (c *Core) place(now time.Time, t *task, a *agent) {
	t.number++
	t.at, t.heard, t.placedAt = a, false, now
	t.job.doubts++
	t.job.begun = true
	if a.ejected() {
		a.trial = now.Add(max(a.pause, firstTrial))
	}
	t.takes = a.expectedWork(t.job)
	t.order = work.Order{
		Run: t.run(), Room: t.job.Room, Label: t.job.Label, Spec: t.job.Spec, MostBeside: t.job.MostBeside, Priority: t.job.Priority,
		StartBefore: t.job.objective.Add(-t.takes), EndBefore: t.job.Deadline, Work: t.job.expected,
	}
	a.add(t)
	c.emit(Place{Agent: a.key, Link: a.link, Order: t.order})
}

// open reports whether the agent may be given work now.
func (a *agent) open(now time.Time) bool {
	if a.link == 0 || !a.usable || a.leaving || a.minion.Draining || now.Before(a.avoid) {
		return false
	}
	return !a.ejected() || !now.Before(a.trial)
}

// fits reports whether the minion could ever hold a task of the job.
func (a *agent) fits(j *job) bool {
	return a.minion.Room.Holds(j.Room) && (j.Label == "" || slices.Contains(a.minion.Labels, j.Label))
}

// crowded reports whether the job has as many tasks at the minion as it allows.
func (a *agent) crowded(j *job) bool {
	if j.MostBeside == 0 {
		return false
	}
	beside := 0
	for _, t := range a.runs {
		if t.job == j {
			beside++
		}
	}
	return beside >= j.MostBeside
}

// committed is the room that all entries have taken, as far as is known.
func (a *agent) committed() work.Room {
	return a.load.Running.Plus(a.load.Queued).Plus(a.unheard)
}

// queueFull reports whether the agent would likely return a task of this size,
// since enough wait there.
func (a *agent) queueFull(need work.Room) bool {
	over := a.committed().Plus(need).CPU - a.minion.Room.CPU
	if over <= 0 {
		return false
	}
	return over > int64(work.QueuedShare*float64(a.minion.Room.CPU)) || len(a.pending) >= ownQueue
}

// wait is the expected time until a task of this size has room.
func (a *agent) wait(need work.Room) time.Duration {
	over := a.committed().Plus(need).Minus(a.minion.Room)
	if over.CPU <= 0 && over.Memory <= 0 && over.Accelerators <= 0 {
		return 0
	}
	ahead := a.load.QueuedWork + a.unheardTakes
	share := float64(need.CPU) / float64(max(a.minion.Room.CPU, 1))
	if share <= 0 {
		share = 1
	}
	// The room is shared by about 1/share runs, one of which ends after each
	// share of the mean work.
	mean := firstWork
	if n := len(a.runs); n > 0 {
		mean = a.takes / time.Duration(n)
	}
	return time.Duration(share * (meanWait*float64(mean) + float64(ahead)))
}

// expectedWork is the time that a task of the job takes at this minion.
func (a *agent) expectedWork(j *job) time.Duration {
	return a.timeOf(j, j.expected)
}

// timeOf is the time that a task of the given work takes at this minion.
func (a *agent) timeOf(j *job, sound time.Duration) time.Duration {
	expected := float64(sound) * math.Exp(a.load.Slowness)
	if j.Rack != "" && !slices.Contains(a.minion.Labels, j.Rack) {
		expected *= otherRack
	}
	return time.Duration(expected)
}

// expectedEnd is the time from now until a task of the job would end here.
func (a *agent) expectedEnd(j *job) time.Duration {
	return a.wait(j.Room) + time.Duration(float64(a.expectedWork(j))/(1-min(a.failing, ejectAbove)))
}

// sortedTasks returns the tasks of a map in a fixed order.
func sortedTasks(runs map[work.Run]*task) []*task {
	tasks := make([]*task, 0, len(runs))
	for _, t := range runs {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		return work.Compare(a.run(), b.run())
	})
	return tasks
}
