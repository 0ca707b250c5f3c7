// Package runner is the deciding core of an agent: a state machine that takes
// events and the time, and returns commands. It performs no input or output,
// reads no clock, and is not safe for concurrent use.
//
// The core starts each task at most once in the life of its process. It
// remembers a started task until the task's deadline plus ClockAllowance;
// later starts of the task are refused by their deadline. When a bound on its
// memory is met it refuses new starts and forgets nothing inside that window.
package runner

import (
	"container/list"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// ClockAllowance is how long ids are remembered past a deadline. It covers
// steps of the agent's own clock, which decides what is late: a clock that is
// set back by less never lets a start in that has been forgotten.
const ClockAllowance = 5 * time.Second

// CancelWindow is how long the cancellation of an attempt that never arrived
// is remembered. No report rests on it.
const CancelWindow = time.Minute

// maxAskers caps the processes that get the result of one task.
const maxAskers = 4

// Reasons of broken tasks.
const (
	reasonDeadline  = "stopped at its deadline"
	reasonCancelled = "stopped because it was cancelled"
	reasonTooLarge  = "the minion's answer is larger than this agent keeps"
)

// Options configure a core. All counts are at least 1, except QueueLength.
type Options struct {
	// Slots caps the tasks that run at the minion at once.
	Slots int
	// QueueLength caps the accepted tasks that wait for a slot.
	QueueLength int
	// Remember caps each of the tasks, the refusals and the fences that are
	// remembered.
	Remember int
	// ResponseBytes caps one response, with its header.
	ResponseBytes int
	// ResultBytes caps all kept responses together with the room reserved for
	// those of queued and running tasks. It is at least ResponseBytes.
	ResultBytes int
}

// Core decides which starts run.
type Core struct {
	options Options
	// now is the time of the present step; latest is the highest now so far.
	now, latest time.Time
	// out collects the commands of the present step.
	out  []Command
	jobs map[task.JobID]*job
	// tasks counts the records in jobs; tasks <= options.Remember.
	tasks int
	// fences counts the jobs with a fence; fences <= options.Remember.
	fences int
	// queue holds records of phase queued, first come first.
	queue []*record
	// running holds records of phase running; len(running) <= options.Slots.
	running []*record
	// unacked holds records of phase ended whose report is kept: nobody
	// acknowledged it, or the job is claimed.
	unacked map[task.ID]*record
	// delivered lists the records in unacked that were acknowledged, the oldest
	// first. They stay for an entry that takes the job over, until they expire
	// or their room is needed.
	delivered *list.List
	// resultBytes is the size of the responses in unacked.
	resultBytes int
	// expiries holds one item for each ended record.
	expiries timeline[*record]
	// fenceExpiries holds one item for each fence.
	fenceExpiries timeline[task.JobID]
	refusals      *refusals
	links         map[task.Process]bool
	leaving       bool
	revision      uint64
}

// New returns a core that remembers nothing.
func New(options Options) *Core {
	return &Core{
		options:       options,
		jobs:          make(map[task.JobID]*job),
		unacked:       make(map[task.ID]*record),
		delivered:     list.New(),
		expiries:      newTimeline[*record](),
		fenceExpiries: newTimeline[task.JobID](),
		refusals:      newRefusals(options.Remember),
		links:         make(map[task.Process]bool),
	}
}

// Step lets one event happen at a time and returns what has to be done for it,
// in order.
func (c *Core) Step(now time.Time, ev Event) []Command {
	c.now = now
	if now.After(c.latest) {
		c.latest = now
	}
	c.out = nil
	c.expire()
	c.handle(ev)
	c.begin()
	return c.out
}

// NextWake returns when a Tick is due, or zero when none is.
func (c *Core) NextWake() time.Time {
	wake := earlier(c.expiries.next(), c.fenceExpiries.next())
	wake = earlier(wake, c.refusals.expiries.next())
	for _, r := range c.queue {
		wake = earlier(wake, r.work.start.Deadline)
	}
	for _, r := range c.running {
		if r.work.stopped == "" {
			wake = earlier(wake, r.work.start.Deadline)
		}
	}
	return wake
}

// Load returns the load that rides on frames and announcements.
func (c *Core) Load() dispatcher.Load {
	return dispatcher.Load{
		Slots:    c.options.Slots,
		Running:  len(c.running),
		Queued:   len(c.queue),
		Leaving:  c.leaving,
		Revision: c.revision,
	}
}

// Quiet reports whether nothing runs or waits, neither a task nor a result.
// Results of claimed tasks that are kept for a takeover only don't wait.
func (c *Core) Quiet() bool {
	return len(c.running) == 0 && len(c.queue) == 0 && len(c.unacked) == c.delivered.Len()
}

func (c *Core) handle(ev Event) {
	switch e := ev.(type) {
	case Arrived:
		c.arrive(e)
	case Unreadable:
		c.refuseUnreadable(e)
	case Cancelled:
		c.cancel(e)
	case Acknowledged:
		c.acknowledge(e)
	case Settled:
		c.settle(e)
	case Fenced:
		c.fence(e)
	case Drained:
		c.drain(e)
	case LinkOpened:
		c.openLink(e)
	case LinkClosed:
		delete(c.links, e.Entry)
	case Heard:
		c.hear(e)
	case MinionAnswered:
		c.minionAnswered(e)
	case MinionFailed:
		c.minionFailed(e)
	case MinionUnreached:
		c.minionUnreached(e)
	case Tick:
	}
}

func (c *Core) emit(command Command) { c.out = append(c.out, command) }

// expire applies all deadlines that have passed.
func (c *Core) expire() {
	c.stopLate()
	c.dropLate()
	c.refusals.expire(c.now)
	for _, r := range c.expiries.due(c.now) {
		c.expireTask(r)
	}
	for _, id := range c.fenceExpiries.due(c.now) {
		c.expireFence(id)
	}
}

func (c *Core) expireTask(r *record) {
	if r.until.After(c.now) {
		c.expiries.push(r.until, r)
		return
	}
	c.release(r)
	c.remove(r)
}

func (c *Core) expireFence(id task.JobID) {
	j := c.jobs[id]
	if j.fencedUntil.After(c.now) {
		c.fenceExpiries.push(j.fencedUntil, id)
		return
	}
	j.generation = 0
	c.fences--
	c.tidy(id)
}

func (c *Core) drain(e Drained) {
	changed := c.leaving != e.Leave
	c.leaving = e.Leave
	if changed {
		c.tellAll()
		c.emit(Announce{})
	}
	c.emit(AnswerDrain{Ticket: e.Ticket, Load: c.Load()})
}

func (c *Core) openLink(e LinkOpened) {
	c.links[e.Entry] = true
	c.emit(Tell{To: e.Entry})
	for _, r := range c.unackedOf(e.Entry) {
		c.emit(Send{To: e.Entry, Report: r.known()})
	}
}

func (c *Core) hear(e Heard) {
	if e.Revision <= c.revision {
		return
	}
	c.revision = e.Revision
	c.tellAll()
}

func (c *Core) tellAll() {
	for _, entry := range sortedProcesses(c.links) {
		c.emit(Tell{To: entry})
	}
}

// earlier returns the earlier of two times, of which zero stands for never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
