package runner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"agatevalve/common/task"
)

// overheadBytes is what a kept response and each of its header fields count
// beside their text.
const overheadBytes = 64

type phase uint8

const (
	queued phase = iota + 1
	running
	ended
)

// job holds what is known about one job.
type job struct {
	// generation is the fence; 0 means that there is none.
	generation task.Generation
	// fencedUntil is when the fence and the job's ended tasks may be forgotten.
	fencedUntil time.Time
	tasks       map[int]*record
}

// record is one accepted task.
type record struct {
	// start loses its request when the task ends.
	start task.Start
	// askers get the result; at least 1, at most maxAskers.
	askers []task.Process
	phase  phase
	// stopped is the reason of a Stop command, or empty.
	stopped string
	// report is set when phase is ended.
	report task.Report
	// cost is what the response counts in resultBytes.
	cost int
	// until is when an ended record may be forgotten.
	until time.Time
}

// unstarted returns the report of a refused start.
func (r *record) unstarted(refusal task.Refusal) task.Report {
	return unstarted(r.start.Task, r.start.Attempt, refusal)
}

// known returns the report of a started task.
func (r *record) known() task.Report {
	if r.phase == ended {
		return r.report
	}
	return task.Report{Task: r.start.Task, Attempt: r.start.Attempt, State: task.Running}
}

// addAsker makes an entry get the result, instead of the oldest of too many.
func (r *record) addAsker(entry task.Process) {
	if slices.Contains(r.askers, entry) {
		return
	}
	if len(r.askers) == maxAskers {
		r.askers = slices.Delete(r.askers, 0, 1)
	}
	r.askers = append(r.askers, entry)
}

func unstarted(id task.ID, attempt task.Attempt, refusal task.Refusal) task.Report {
	return task.Report{Task: id, Attempt: attempt, State: task.Unstarted, Refusal: refusal}
}

func forgotten(id task.ID, attempt task.Attempt) task.Report {
	return task.Report{Task: id, Attempt: attempt, State: task.Forgotten}
}

func (c *Core) find(id task.ID) *record {
	j := c.jobs[id.Job]
	if j == nil {
		return nil
	}
	return j.tasks[id.Index]
}

// jobOf returns the job, which it adds when it is new.
func (c *Core) jobOf(id task.JobID) *job {
	j := c.jobs[id]
	if j == nil {
		j = &job{tasks: make(map[int]*record, 1)}
		c.jobs[id] = j
	}
	return j
}

func (c *Core) add(r *record) {
	c.jobOf(r.start.Task.Job).tasks[r.start.Task.Index] = r
	c.tasks++
}

func (c *Core) remove(r *record) {
	delete(c.jobs[r.start.Task.Job].tasks, r.start.Task.Index)
	c.tasks--
	c.tidy(r.start.Task.Job)
}

// tidy forgets a job without fence and tasks.
func (c *Core) tidy(id task.JobID) {
	j := c.jobs[id]
	if j.generation == 0 && len(j.tasks) == 0 {
		delete(c.jobs, id)
	}
}

// release gives up the kept response of a record, if there is one.
func (c *Core) release(r *record) {
	delete(c.unacked, r.start.Task)
	c.resultBytes -= r.cost
	r.cost = 0
	if r.report.State == task.Finished {
		r.report.State = task.Forgotten
		r.report.Response = task.Response{}
	}
}

// unackedOf returns the unacknowledged results that an entry asked for, by job
// and index.
func (c *Core) unackedOf(entry task.Process) []*record {
	var records []*record
	for _, r := range c.unacked {
		if slices.Contains(r.askers, entry) {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *record) int { return compareIDs(a.start.Task, b.start.Task) })
	return records
}

func compareIDs(a, b task.ID) int {
	if n := slices.Compare(a.Job[:], b.Job[:]); n != 0 {
		return n
	}
	return cmp.Compare(a.Index, b.Index)
}

func sortedProcesses(set map[task.Process]bool) []task.Process {
	return slices.SortedFunc(maps.Keys(set), func(a, b task.Process) int {
		if n := cmp.Compare(a.Name, b.Name); n != 0 {
			return n
		}
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
}

// costOf returns the bytes that a kept response counts.
func costOf(r task.Response) int {
	n := overheadBytes + len(r.Body)
	for name, values := range r.Header {
		n += overheadBytes + len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}
