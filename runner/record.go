package runner

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"

	"agatevalve/common/task"
)

// overheadBytes is added to the size of a retained response, and of each of its
// header fields, for the memory that they take beside their text.
const overheadBytes = 64

// phase is the state of a record in the core; it only advances.
type phase uint8

const (
	queued phase = iota + 1
	running
	ended
)

// job holds the remembered tasks and the fence of one job.
type job struct {
	// minGeneration is the lowest generation whose starts are accepted, set by a
	// fence; 0 means that there is no fence.
	minGeneration task.Generation
	// fenceExpires is the time at which the fence expires, and before which the
	// job's ended tasks do not.
	fenceExpires time.Time
	// tasks is sorted by index.
	tasks []*record
}

// record is one accepted task. It outlives its work, until the deadline, so it
// is kept small.
type record struct {
	id      task.ID
	attempt task.Attempt
	phase   phase
	// state is Finished, Broken or Forgotten in phase ended.
	state task.State
	// reason is set when state is Broken.
	reason string
	// expires is the time at which a record in phase ended is removed.
	expires time.Time
	// work is nil once it is released.
	work *work
}

// work holds the data of a task that is released when its report is no longer
// needed.
type work struct {
	// start's Request is cleared when the task ends.
	start task.Start
	// recipients are the entries that get the report; at least 1, at most
	// maxRecipients.
	recipients []task.Process
	// stopReason is set when a Stop command was issued, and empty before.
	stopReason string
	// response is set when the record's state is Finished.
	response task.Response
	// size is the part of Core.resultBytes that the response takes.
	size int
	// acknowledged is the element in Core.acknowledged, or nil while the report
	// isn't acknowledged. Only records of claimed jobs have one.
	acknowledged *list.Element
}

// unstartedReport returns the report of an attempt that was refused and has not
// run.
func (r *record) unstartedReport(refusal task.Refusal) task.Report {
	return unstartedReport(r.id, r.attempt, refusal)
}

// startedReport returns the report of a running or ended task.
func (r *record) startedReport() task.Report {
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

// addRecipient adds an entry to recipients, and drops the oldest one when there
// are too many.
func (w *work) addRecipient(entry task.Process) {
	if slices.Contains(w.recipients, entry) {
		return
	}
	if len(w.recipients) == maxRecipients {
		w.recipients = slices.Delete(w.recipients, 0, 1)
	}
	w.recipients = append(w.recipients, entry)
}

// search returns the position of the task with the given index, or where it
// would be inserted, and whether it was found.
func (j *job) search(index int) (int, bool) {
	return slices.BinarySearchFunc(j.tasks, index, func(r *record, index int) int {
		return cmp.Compare(r.id.Index, index)
	})
}

func unstartedReport(id task.ID, attempt task.Attempt, refusal task.Refusal) task.Report {
	return task.Report{Task: id, Attempt: attempt, State: task.Unstarted, Refusal: refusal}
}

func forgottenReport(id task.ID, attempt task.Attempt) task.Report {
	return task.Report{Task: id, Attempt: attempt, State: task.Forgotten}
}

// find returns the record of a task, or nil.
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

// ensureJob returns the job with the given id, and creates it when there is
// none.
func (c *Core) ensureJob(id task.JobID) *job {
	j := c.jobs[id]
	if j == nil {
		j = &job{}
		c.jobs[id] = j
	}
	return j
}

func (c *Core) add(r *record) {
	j := c.ensureJob(r.id.Job)
	i, _ := j.search(r.id.Index)
	j.tasks = slices.Insert(j.tasks, i, r)
	c.tasks++
}

func (c *Core) remove(r *record) {
	j := c.jobs[r.id.Job]
	i, _ := j.search(r.id.Index)
	j.tasks = slices.Delete(j.tasks, i, i+1)
	c.tasks--
	c.removeIfEmpty(r.id.Job)
}

// removeIfEmpty removes a job that has neither a fence nor tasks.
func (c *Core) removeIfEmpty(id task.JobID) {
	j := c.jobs[id]
	if j.minGeneration == 0 && len(j.tasks) == 0 {
		delete(c.jobs, id)
	}
}

// releaseWork frees the work of an ended task, the response included. A task
// whose response is lost in this way is reported as Forgotten from then on.
func (c *Core) releaseWork(r *record) {
	if r.work == nil {
		return
	}
	delete(c.retained, r.id)
	if r.work.acknowledged != nil {
		c.acknowledged.Remove(r.work.acknowledged)
	}
	c.resultBytes -= r.work.size
	r.work = nil
	if r.state == task.Finished {
		r.state = task.Forgotten
	}
}

// evictAcknowledged releases acknowledged results, the oldest first, until the
// largest response to one more task fits.
func (c *Core) evictAcknowledged() {
	for c.acknowledged.Len() > 0 && !c.fitsAnotherResult() {
		c.releaseWork(c.acknowledged.Front().Value.(*record))
	}
}

// unacknowledgedRecords returns the records whose report an entry has not
// acknowledged, ordered by job and index.
func (c *Core) unacknowledgedRecords(entry task.Process) []*record {
	var records []*record
	for _, r := range c.retained {
		if r.work.acknowledged == nil && slices.Contains(r.work.recipients, entry) {
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

// sizeOf returns the bytes of memory that a retained response is accounted for.
func sizeOf(r task.Response) int {
	n := overheadBytes + len(r.Body)
	for name, values := range r.Header {
		n += overheadBytes + len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}
