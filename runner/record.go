package runner

import (
	"cmp"
	"container/list"
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
	// tasks are in the order of their index.
	tasks []*record
}

// record is one accepted task. It is small, because it outlives the task's work
// until the deadline.
type record struct {
	id      task.ID
	attempt task.Attempt
	phase   phase
	// state is Finished, Broken or Forgotten when phase is ended.
	state task.State
	// reason is set when state is Broken.
	reason string
	// until is when an ended record may be forgotten.
	until time.Time
	// work is nil once the report was acknowledged.
	work *work
}

// work is what a task needs until its report is acknowledged.
type work struct {
	// start loses its request when the task ends.
	start task.Start
	// askers get the result; at least 1, at most maxAskers.
	askers []task.Process
	// stopped is the reason of a Stop command, or empty.
	stopped string
	// response is set when the record's state is Finished.
	response task.Response
	// cost is what the response counts in resultBytes.
	cost int
	// delivered is the place in Core.delivered once the report of a claimed
	// task was acknowledged, or nil.
	delivered *list.Element
}

// unstarted returns the report of a refused start.
func (r *record) unstarted(refusal task.Refusal) task.Report {
	return unstarted(r.id, r.attempt, refusal)
}

// known returns the report of a started task.
func (r *record) known() task.Report {
	report := task.Report{Task: r.id, Attempt: r.attempt, State: task.Running}
	if r.phase != ended {
		return report
	}
	report.State = r.state
	report.Reason = r.reason
	if r.work != nil {
		report.Response = r.work.response
	}
	return report
}

// addAsker makes an entry get the result, instead of the oldest of too many.
func (w *work) addAsker(entry task.Process) {
	if slices.Contains(w.askers, entry) {
		return
	}
	if len(w.askers) == maxAskers {
		w.askers = slices.Delete(w.askers, 0, 1)
	}
	w.askers = append(w.askers, entry)
}

// search returns where the task with an index is, or belongs.
func (j *job) search(index int) (int, bool) {
	return slices.BinarySearchFunc(j.tasks, index, func(r *record, index int) int {
		return cmp.Compare(r.id.Index, index)
	})
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
	if i, ok := j.search(id.Index); ok {
		return j.tasks[i]
	}
	return nil
}

// jobOf returns the job, which it adds when it is new.
func (c *Core) jobOf(id task.JobID) *job {
	j := c.jobs[id]
	if j == nil {
		j = &job{}
		c.jobs[id] = j
	}
	return j
}

func (c *Core) add(r *record) {
	j := c.jobOf(r.id.Job)
	i, _ := j.search(r.id.Index)
	j.tasks = slices.Insert(j.tasks, i, r)
	c.tasks++
}

func (c *Core) remove(r *record) {
	j := c.jobs[r.id.Job]
	i, _ := j.search(r.id.Index)
	j.tasks = slices.Delete(j.tasks, i, i+1)
	c.tasks--
	c.tidy(r.id.Job)
}

// tidy forgets a job without fence and tasks.
func (c *Core) tidy(id task.JobID) {
	j := c.jobs[id]
	if j.generation == 0 && len(j.tasks) == 0 {
		delete(c.jobs, id)
	}
}

// release gives up the work of an ended task, with the response.
func (c *Core) release(r *record) {
	if r.work == nil {
		return
	}
	delete(c.unacked, r.id)
	if r.work.delivered != nil {
		c.delivered.Remove(r.work.delivered)
	}
	c.resultBytes -= r.work.cost
	r.work = nil
	if r.state == task.Finished {
		r.state = task.Forgotten
	}
}

// makeRoom releases the oldest delivered results until another response fits.
func (c *Core) makeRoom() {
	for c.delivered.Len() > 0 && !c.fitsAnother() {
		c.release(c.delivered.Front().Value.(*record))
	}
}

// unackedOf returns the undelivered results that an entry asked for, by job and
// index.
func (c *Core) unackedOf(entry task.Process) []*record {
	var records []*record
	for _, r := range c.unacked {
		if r.work.delivered == nil && slices.Contains(r.work.askers, entry) {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *record) int { return compareIDs(a.id, b.id) })
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
