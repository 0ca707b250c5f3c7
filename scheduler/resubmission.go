package scheduler

import (
	"maps"
	"slices"
	"time"

	"agatevalve/common/work"
)

// numberRetention is the time for which the run numbers of an ended job are
// remembered. It exceeds the time in which the end of one of its runs may still be
// reported: an entry's silence until the run is stopped, and the retention of the
// end at the agent.
const numberRetention = 10 * time.Second

// usedNumbers holds the highest run numbers of jobs that have ended, for
// numberRetention. A job that is submitted again continues them, so that a late
// report on a run is not taken for one on a run of the next submission.
type usedNumbers struct {
	highest map[string]usedNumber
	// order lists the ended jobs, oldest first.
	order []endedJob
}

// usedNumber is the highest run number of a job that ended last at a time.
type usedNumber struct {
	number  int
	endedAt time.Time
}

// endedJob is the end of a job at a time.
type endedJob struct {
	id      string
	endedAt time.Time
}

// record remembers the run numbers of a job that has ended.
func (u *usedNumbers) record(now time.Time, j *job) {
	highest := 0
	for _, t := range j.tasks {
		highest = max(highest, t.runNumber)
	}
	if highest == 0 {
		return
	}
	u.highest[j.ID] = usedNumber{number: highest, endedAt: now}
	u.order = append(u.order, endedJob{id: j.ID, endedAt: now})
}

// expire forgets the jobs that ended long ago.
func (u *usedNumbers) expire(now time.Time) {
	for len(u.order) > 0 && now.Sub(u.order[0].endedAt) > numberRetention {
		if oldest := u.order[0]; u.highest[oldest.id].endedAt.Equal(oldest.endedAt) {
			delete(u.highest, oldest.id)
		}
		u.order = u.order[1:]
	}
}

// addStopping records that a run was ordered to stop at an agent.
func (c *Core) addStopping(a *agent, run work.Run) {
	if !a.stopping[run] {
		a.stopping[run] = true
		c.stoppingTasks[run.Task]++
	}
}

// removeStopping records that a run has ended at an agent, as a report tells, or never
// arrived there. Its task may then be placed again.
func (c *Core) removeStopping(a *agent, report work.Report) {
	run := report.Run
	if !a.stopping[run] {
		return
	}
	delete(a.stopping, run)
	c.emit(StoppedRunEnded{Agent: a.id, Minion: a.minion.Name, Incarnation: a.minion.Incarnation, Report: report})
	if c.stoppingTasks[run.Task]--; c.stoppingTasks[run.Task] == 0 {
		delete(c.stoppingTasks, run.Task)
	}
	c.placementDue = true
}

// clearStopping forgets all runs that were ordered to stop at an agent, which count as
// lost for a reason.
func (c *Core) clearStopping(a *agent, reason work.Reason) {
	for _, run := range sortedRuns(a.stopping) {
		c.removeStopping(a, work.Report{Run: run, State: work.Lost, Reason: reason})
	}
}

// sortedRuns returns the runs of a set in the order of work.Compare.
func sortedRuns(runs map[work.Run]bool) []work.Run {
	return slices.SortedFunc(maps.Keys(runs), work.Compare)
}
