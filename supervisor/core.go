// Package supervisor is the deciding core of an agent that runs leased tasks at
// the minion beside it. It hands out the minion's room, keeps the lease, and
// knows of each run whether it may be at work. It opens no connection and reads
// no clock.
package supervisor

import (
	"maps"
	"math"
	"slices"
	"time"

	"agatevalve/common/work"
)

const (
	// DefaultLease is how long runs live at the minion without renewal. An
	// entry, its agent and the lease together end a run before a caller may
	// submit the job again.
	DefaultLease = 700 * time.Millisecond
	// DefaultEntrySilence is how long an entry may be silent before its runs
	// are stopped.
	DefaultEntrySilence = 800 * time.Millisecond
	// DefaultHoldWait is how long the minion may hold back its answer to a
	// renewal when no run ends.
	DefaultHoldWait = 100 * time.Millisecond
	// doubtfulHoldWait takes its place for doubtFor after an order had no answer,
	// since an answer that is lost hides all ends for this long.
	doubtfulHoldWait = 25 * time.Millisecond
	doubtFor         = 5 * time.Second
	// idleHoldWait takes its place while nothing runs.
	idleHoldWait = 200 * time.Millisecond
	// pausedAfter is a gap between two steps that shows that the process stood
	// still; an agent steps at least every 50 ms.
	pausedAfter = 350 * time.Millisecond
	// keepEnds is how long an end is kept for an entry that does not
	// acknowledge it; by then the entry has taken the run for lost.
	keepEnds = 5 * time.Second
	// keepGone is longer than a list of the minion may be on its way.
	keepGone = 2 * time.Second
	// leastPart is the part of its expected time that a run may turn out to take.
	leastPart = 0.6
	// roomAgainAfter is the pause before a start that the minion had no room for is tried again.
	roomAgainAfter = 25 * time.Millisecond
	// mostRoomRefusals is how often a minion may lack room for one run before
	// the run goes elsewhere.
	mostRoomRefusals = 4
)

// Options are the limits of a Core. Zero fields take the defaults.
type Options struct {
	Lease        time.Duration
	EntrySilence time.Duration
	HoldWait     time.Duration
	// QueuedShare is the part of the minion's room that runs may wait for; 0 for
	// work.QueuedShare.
	QueuedShare float64
}

// phase is how far a run has come.
type phase uint8

const (
	queued phase = iota + 1
	// starting has a start order on its way.
	starting
	running
	// doubtful has a start order without an answer and is being stopped.
	doubtful
	// stopping is known to the minion and is being stopped.
	stopping
)

// run is one run that the agent is responsible for.
type run struct {
	order work.Order
	entry string
	phase phase
	// began is when the start order went out.
	began time.Time
	// stopAt is when the next order to stop goes out, in phases doubtful and stopping.
	stopAt time.Time
	// stopSent is true once an order to stop has gone out.
	stopSent bool
	// stopTaken is set once the minion has answered an order to stop.
	stopTaken time.Time
	// withdrawn is true once the run is to end by an order of the entry.
	withdrawn bool
	// notBefore delays a queued run that the minion had no room for.
	notBefore time.Time
	// refusals counts the starts that the minion had no room for.
	refusals int
	progress
}

// Core holds the state of one agent. It is not safe for concurrent use.
type Core struct {
	o       Options
	entries map[string]*entry
	// byName are the entries in the order of their names.
	byName []*entry
	runs   map[work.Run]*run
	// byRun are the runs in the order of work.Compare.
	byRun []*run
	// gone holds when runs ended that were at the minion, for keepGone, and
	// ended names them in the order of their ends.
	gone  map[work.Run]time.Time
	ended []work.Run
	// used is the room of all runs that may be at work.
	used work.Room

	minion minionState
	pace   pace
	// answers tells how long the minion takes to answer orders.
	answers answerTime
	// doubted is when an order last had no answer.
	doubted time.Time
	// leaving is true once the agent takes no new work.
	leaving bool
	// stepped is when the core last stepped.
	stepped  time.Time
	commands []Command
}

// New returns the core of an agent that knows of no minion yet.
func New(o Options) *Core {
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	if o.EntrySilence == 0 {
		o.EntrySilence = DefaultEntrySilence
	}
	if o.HoldWait == 0 {
		o.HoldWait = DefaultHoldWait
	}
	if o.QueuedShare == 0 {
		o.QueuedShare = work.QueuedShare
	}
	return &Core{o: o, entries: make(map[string]*entry), runs: make(map[work.Run]*run), gone: make(map[work.Run]time.Time)}
}

// Step lets time pass and takes events in their order. The commands that it
// returns are to be carried out in order too.
func (c *Core) Step(now time.Time, events []Event) []Command {
	c.commands = nil
	if !c.stepped.IsZero() && now.Sub(c.stepped) > pausedAfter {
		c.resumeFromPause()
	}
	c.stepped = now
	for _, ev := range events {
		ev.apply(c, now)
	}
	c.expire(now)
	c.stopDue(now)
	c.startWaiting(now)
	c.returnCrowded(now)
	c.hold(now)
	c.pace.rest(now)
	c.reportLoad(now)
	return c.commands
}

// Idle reports whether nothing may be at work and nothing waits.
func (c *Core) Idle() bool { return len(c.runs) == 0 }

func (c *Core) emit(command Command) { c.commands = append(c.commands, command) }

// expire drops what its deadline, a silent entry or a lapsed lease has ended.
func (c *Core) expire(now time.Time) {
	c.expireEntries(now)
	for len(c.ended) > 0 && now.Sub(c.gone[c.ended[0]]) > keepGone {
		delete(c.gone, c.ended[0])
		c.ended = c.ended[1:]
	}
	if c.minion.lapsed(now) {
		c.loseAll(now, "the lease has lapsed")
	}
	for _, r := range c.ordered() {
		c.expireRun(now, r)
	}
}

func (c *Core) expireEntries(now time.Time) {
	forgotten := false
	for _, e := range c.byName {
		if e.holds > 0 && now.Sub(e.heard) > c.o.EntrySilence {
			c.dropEntry(now, e.name, "the entry is silent")
		}
		e.forget(now)
		if e.link == 0 && e.holds == 0 && now.Sub(e.heard) > keepEnds {
			delete(c.entries, e.name)
			forgotten = true
		}
	}
	if forgotten {
		c.byName = slices.DeleteFunc(c.byName, func(e *entry) bool { return c.entries[e.name] != e })
	}
}

// expireRun ends a run that can't end in time, and doubts a start that should
// have been answered.
func (c *Core) expireRun(now time.Time, r *run) {
	least := time.Duration(leastPart * float64(c.expected(r.order)))
	switch {
	case r.phase == queued && now.Add(least).After(r.order.EndBefore):
		c.end(now, r, work.Report{State: work.Refused, Reason: work.ReasonLate})
	case r.phase == running && now.After(r.order.EndBefore):
		c.stop(now, r)
	case r.phase == starting && now.Sub(r.began) > c.answers.patience():
		r.phase, r.stopAt, c.doubted = doubtful, now, now
	}
}

// stop ends a run by an order. A queued run just goes.
func (c *Core) stop(now time.Time, r *run) {
	switch r.phase {
	case queued:
		c.end(now, r, work.Report{State: work.Stopped, Reason: work.ReasonUnstarted})
	case starting:
		r.phase, r.stopAt, r.withdrawn = doubtful, now, true
	case running:
		r.phase, r.stopAt, r.withdrawn = stopping, now, true
	case doubtful, stopping:
		r.withdrawn = true
	}
}

// stopDue sends the orders to stop that are due.
func (c *Core) stopDue(now time.Time) {
	for _, r := range c.ordered() {
		if r.phase != doubtful && r.phase != stopping {
			continue
		}
		if now.Before(r.stopAt) || !c.minion.known() {
			continue
		}
		r.stopSent, r.stopAt = true, now.Add(c.answers.patience())
		c.emit(StopRun{Run: r.order.Run})
	}
	for _, stray := range slices.SortedFunc(maps.Keys(c.minion.strays), work.Compare) {
		if !now.Before(c.minion.strays[stray]) {
			c.minion.strays[stray] = now.Add(c.answers.patience())
			c.emit(StopRun{Run: stray})
		}
	}
}

// expected is the time that a run takes at this minion.
func (c *Core) expected(o work.Order) time.Duration {
	return time.Duration(float64(o.Work) * math.Exp(c.pace.slowness))
}

// end removes a run and reports its end.
func (c *Core) end(now time.Time, r *run, report work.Report) {
	if r.phase != queued {
		c.used = c.used.Minus(r.order.Room)
		c.gone[r.order.Run] = now
		c.ended = append(c.ended, r.order.Run)
	}
	c.drop(r)
	report.Run = r.order.Run
	c.reportEnd(now, r.entry, report)
}

// reportEnd tells an entry of an end, and keeps it until it is acknowledged.
func (c *Core) reportEnd(now time.Time, name string, report work.Report) {
	e := c.entry(name)
	e.lastEnd++
	report.Number = e.lastEnd
	e.ends = append(e.ends, keptEnd{report: report, at: now})
	e.reported = true
	c.emit(Report{Entry: name, Report: report})
}

// loseAll ends all that may be at work, since the minion has lost it.
func (c *Core) loseAll(now time.Time, reason string) {
	for _, r := range c.ordered() {
		if r.phase != queued {
			c.end(now, r, work.Report{State: work.Lost, Reason: work.Reason(reason)})
		}
	}
	c.minion.strays = nil
}

// dropEntry stops all runs of an entry.
func (c *Core) dropEntry(now time.Time, name, reason string) {
	stopped := 0
	for _, r := range c.ordered() {
		if r.entry == name && (r.phase == queued || r.phase == starting || r.phase == running) {
			c.stop(now, r)
			stopped++
		}
	}
	if stopped > 0 {
		c.emit(Note{Text: "Stopped the runs of an entry", Entry: name, Reason: reason, Count: stopped})
	}
}

// resumeFromPause distrusts all links: what waits in them may be old.
func (c *Core) resumeFromPause() {
	for _, e := range c.byName {
		if e.link != 0 {
			c.emit(CutLink{Entry: e.name, Link: e.link})
			e.link = 0
		}
	}
	c.emit(Note{Text: "Distrusted all links after a pause of the process"})
}

// ordered returns the runs in a fixed order, also while some of them end.
func (c *Core) ordered() []*run { return slices.Clone(c.byRun) }

// add notes a new run.
func (c *Core) add(r *run) {
	c.runs[r.order.Run] = r
	c.entry(r.entry).holds++
	at, _ := c.find(r.order.Run)
	c.byRun = slices.Insert(c.byRun, at, r)
}

// drop forgets a run.
func (c *Core) drop(r *run) {
	delete(c.runs, r.order.Run)
	c.entry(r.entry).holds--
	if at, found := c.find(r.order.Run); found {
		c.byRun = slices.Delete(c.byRun, at, at+1)
	}
}

// find returns where a run stands in byRun, or would stand.
func (c *Core) find(key work.Run) (int, bool) {
	return slices.BinarySearchFunc(c.byRun, key, func(r *run, key work.Run) int { return work.Compare(r.order.Run, key) })
}
