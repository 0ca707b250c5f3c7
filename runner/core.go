// Package runner is the deciding core of an agent: a deterministic state
// machine that is given events and the current time, and returns commands. It
// performs no input or output, reads no clock, and is not safe for concurrent
// use.
//
// The core starts each task at most once in the life of its process. It
// remembers a started task until the task's deadline plus ClockAllowance; later
// starts of the task are recognised by their deadline, and not run. When one of
// its memory limits is reached, it refuses new starts rather than forget a task
// early.
package runner

import (
	"container/list"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// ClockAllowance is the time after its deadline for which a task is still
// remembered. It tolerates backward steps of the agent's own clock, by which
// deadlines are checked: as long as the clock is set back by less, no start of
// a forgotten task is accepted.
const ClockAllowance = 5 * time.Second

// CancelWindow is the time for which the cancellation of an attempt that has
// not arrived is remembered. It only saves work: no report relies on it.
const CancelWindow = time.Minute

// maxRecipients caps the entries that get the report of one task.
const maxRecipients = 4

// Reasons in the reports of broken tasks.
const (
	reasonDeadline  = "stopped at its deadline"
	reasonCancelled = "stopped because it was cancelled"
	reasonTooLarge  = "the minion's answer is larger than this agent keeps"
)

// Options configure a Core. All limits are at least 1, except QueueLength.
type Options struct {
	// Slots caps the tasks that run at the minion at the same time.
	Slots int
	// QueueLength caps the accepted tasks that wait for a slot; it may be 0.
	QueueLength int
	// Remember limits separately the number of tasks, of refused attempts and of
	// fences that are kept.
	Remember int
	// ResponseBytes caps the size of one response, header included.
	ResponseBytes int
	// ResultBytes caps the retained responses together with the space reserved for
	// the responses to queued and running tasks. It is at least ResponseBytes.
	ResultBytes int
}

// Core decides which starts an agent runs, and keeps the results until entries
// acknowledge them.
type Core struct {
	options Options
	// now is the time of the current step; latest is the highest now so far.
	now, latest time.Time
	// commands collects the commands that the current step returns.
	commands []Command
	// jobs holds the jobs that have a remembered task or a fence.
	jobs map[task.JobID]*job
	// tasks counts the records in jobs; tasks <= options.Remember.
	tasks int
	// fences counts the jobs with a fence; fences <= options.Remember.
	fences int
	// queue holds the records in phase queued, in FIFO order.
	queue []*record
	// running holds the records in phase running; len(running) <= options.Slots.
	running []*record
	// retained holds the records in phase ended whose report is kept: it is not
	// acknowledged yet, or the job is claimed and another entry may take it over.
	retained map[task.ID]*record
	// acknowledged lists the records in retained that were acknowledged, the
	// oldest first. They are kept for an entry that takes the job over, until they
	// expire or their space is needed.
	acknowledged *list.List
	// resultBytes is the total size of the responses in retained.
	resultBytes int
	// taskExpiries holds one item for each record in phase ended.
	taskExpiries expiryQueue[*record]
	// fenceExpiries holds one item for each fence.
	fenceExpiries expiryQueue[task.JobID]
	refusals      *refusals
	// links is the set of the entries that are connected.
	links map[task.Process]bool
	// leaving is set while the agent drains.
	leaving bool
	// revision is the highest configuration revision that an entry has reported.
	revision uint64
}

// New returns a Core without tasks, fences and links.
func New(options Options) *Core {
	return &Core{
		options:       options,
		jobs:          make(map[task.JobID]*job),
		retained:      make(map[task.ID]*record),
		acknowledged:  list.New(),
		taskExpiries:  newExpiryQueue[*record](),
		fenceExpiries: newExpiryQueue[task.JobID](),
		refusals:      newRefusals(options.Remember),
		links:         make(map[task.Process]bool),
	}
}

// Step applies one event at the given time and returns the resulting commands,
// in the order in which they have to be carried out.
func (c *Core) Step(now time.Time, ev Event) []Command {
	c.now = now
	if now.After(c.latest) {
		c.latest = now
	}
	c.commands = nil
	c.expire()
	c.handle(ev)
	c.startQueued()
	return c.commands
}

// NextWake returns the time at which the next deadline or expiry is due, or
// zero when there is none. The adapter sends a Tick then.
func (c *Core) NextWake() time.Time {
	wake := earlier(c.taskExpiries.next(), c.fenceExpiries.next())
	wake = earlier(wake, c.refusals.expiries.next())
	for _, r := range c.queue {
		wake = earlier(wake, r.work.start.Deadline)
	}
	for _, r := range c.running {
		if r.work.stopReason == "" {
			wake = earlier(wake, r.work.start.Deadline)
		}
	}
	return wake
}

// Load returns the load that is sent with frames and announcements.
func (c *Core) Load() dispatcher.Load {
	return dispatcher.Load{
		Slots:    c.options.Slots,
		Running:  len(c.running),
		Queued:   len(c.queue),
		Leaving:  c.leaving,
		Revision: c.revision,
	}
}

// Idle reports whether the core holds no queued or running task and no
// unacknowledged result. Acknowledged results that are kept for a takeover do
// not count.
func (c *Core) Idle() bool {
	return len(c.running) == 0 && len(c.queue) == 0 && len(c.retained) == c.acknowledged.Len()
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case StartReceived:
		c.handleStart(e)
	case StartUnreadable:
		c.refuseUnreadable(e)
	case Cancelled:
		c.cancel(e)
	case Acknowledged:
		c.acknowledge(e)
	case SettleRequested:
		c.settle(e)
	case FenceRequested:
		c.fence(e)
	case DrainRequested:
		c.drain(e)
	case LinkOpened:
		c.openLink(e)
	case LinkClosed:
		delete(c.links, e.Entry)
	case RevisionReported:
		c.raiseRevision(e)
	case MinionAnswered:
		c.minionAnswered(e)
	case MinionFailed:
		c.minionFailed(e)
	case MinionUnreached:
		c.minionUnreached(e)
	case Tick:
	}
}

func (c *Core) emit(command Command) { c.commands = append(c.commands, command) }

// expire applies all deadlines and expiries that have passed.
func (c *Core) expire() {
	c.stopExpired()
	c.refuseExpired()
	c.refusals.expire(c.now)
	for _, r := range c.taskExpiries.due(c.now) {
		c.expireTask(r)
	}
	for _, id := range c.fenceExpiries.due(c.now) {
		c.expireFence(id)
	}
}

// expireTask removes an ended record, or requeues its expiry when a fence has
// postponed it.
func (c *Core) expireTask(r *record) {
	if r.expires.After(c.now) {
		c.taskExpiries.push(r.expires, r)
		return
	}
	c.releaseWork(r)
	c.remove(r)
}

// expireFence removes a fence, or requeues its expiry when a later fence of the
// job has postponed it.
func (c *Core) expireFence(id task.JobID) {
	j := c.jobs[id]
	if j.fenceExpires.After(c.now) {
		c.fenceExpiries.push(j.fenceExpires, id)
		return
	}
	j.minGeneration = 0
	c.fences--
	c.removeIfEmpty(id)
}

func (c *Core) drain(e DrainRequested) {
	changed := c.leaving != e.Leave
	c.leaving = e.Leave
	if changed {
		c.sendLoadToAll()
		c.emit(Announce{})
	}
	c.emit(AnswerDrain{Ticket: e.Ticket, Load: c.Load()})
}

// openLink sends an entry the load and the reports that it has not
// acknowledged.
func (c *Core) openLink(e LinkOpened) {
	c.links[e.Entry] = true
	c.emit(SendLoad{To: e.Entry})
	for _, r := range c.unacknowledgedRecords(e.Entry) {
		c.emit(SendReport{To: e.Entry, Report: r.startedReport()})
	}
}

// raiseRevision announces a higher configuration revision to all connected
// entries.
func (c *Core) raiseRevision(e RevisionReported) {
	if e.Revision <= c.revision {
		return
	}
	c.revision = e.Revision
	c.sendLoadToAll()
}

func (c *Core) sendLoadToAll() {
	for _, entry := range sortedProcesses(c.links) {
		c.emit(SendLoad{To: entry})
	}
}

// earlier returns the earlier of two times; zero means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
