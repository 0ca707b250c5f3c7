// Package supervisor is the decision core of an agent that runs leased tasks
// at the minion beside it. It accepts orders from entries, allocates the
// minion's capacity to runs, renews the lease, and tracks for each run whether
// it may be running. It opens no connection and reads no clock: the caller
// passes events and the time to Step, and executes the commands that Step
// returns.
package supervisor

import (
	"math"
	"slices"
	"time"

	"agatevalve/common/work"
)

const (
	// DefaultLease is the time for which runs continue at the minion without a
	// renewal. It is short enough that the timeouts of entry and agent plus the
	// lease end a run before a caller may submit the job again.
	DefaultLease = 700 * time.Millisecond
	// DefaultEntryTimeout is the time without a frame from an entry after
	// which the entry's runs are stopped.
	DefaultEntryTimeout = 800 * time.Millisecond
	// DefaultRenewalWait is the long-poll time of a renewal: how long the minion
	// may delay its answer while no run ends.
	DefaultRenewalWait = 100 * time.Millisecond
	// shortRenewalWait replaces DefaultRenewalWait for shortRenewalPeriod
	// after an order went unanswered, since a lost answer hides all ended runs
	// for this long.
	shortRenewalWait   = 25 * time.Millisecond
	shortRenewalPeriod = 5 * time.Second
	// idleRenewalWait replaces DefaultRenewalWait while the agent holds no
	// runs.
	idleRenewalWait = 200 * time.Millisecond
	// pauseThreshold is the interval between two steps above which the process
	// counts as paused in between. An agent steps at least every 50 ms.
	pauseThreshold = 350 * time.Millisecond
	// unackedEndRetention is the time for which an end is kept for an entry
	// that does not acknowledge it. By then the entry has given the run up as
	// lost.
	unackedEndRetention = 5 * time.Second
	// endedRunRetention is the time for which the ends of runs are remembered.
	// It exceeds the time that a list of the minion may be in transit.
	endedRunRetention = 2 * time.Second
	// minWorkFraction is the lower bound of a run's actual duration, as a
	// fraction of its expected duration.
	minWorkFraction = 0.6
	// startRetryDelay is the delay before a start that the minion refused, for
	// lack of capacity or an expired lease, is tried again.
	startRetryDelay = 25 * time.Millisecond
)

// Options configure a Core. Zero fields select the defaults.
type Options struct {
	Lease        time.Duration
	EntryTimeout time.Duration
	RenewalWait  time.Duration
	// QueuedShare is the fraction of the minion's CPU that queued runs may
	// require together; 0 for work.QueuedShare.
	QueuedShare float64
	// FencingToken is the first fencing token. It should be higher than those of
	// earlier agent processes; if the minion refuses it, it is raised.
	FencingToken int64
}

// phase is the state of a run that has not ended.
type phase uint8

const (
	// queued runs wait for capacity.
	queued phase = iota + 1
	// starting runs have a start order in flight.
	starting
	// running runs are known to run at the minion.
	running
	// uncertain runs have a start order that may still take effect, and are
	// being stopped.
	uncertain
	// stopping runs are known to have started, and are being stopped.
	stopping
)

// run is a run that the agent is responsible for.
type run struct {
	order work.Order
	entry string
	phase phase
	// startSentAt is the time of the last start order.
	startSentAt time.Time
	// firstStartAt is the time of the first of repeated start orders.
	firstStartAt time.Time
	// startRepeats counts the repeated start orders; an earlier one may be under way.
	startRepeats int
	// confirmedAt is the time at which the minion's answer confirmed the start.
	confirmedAt time.Time
	// stops are the stop orders, in phases uncertain and stopping.
	stops stopOrders
	// stopSent is true once a stop order has been sent.
	stopSent bool
	// stopAckedAt is the time at which the minion first answered a stop order.
	stopAckedAt time.Time
	// stopRequested is true once the run must stop because of its deadline, an
	// order of its entry, or the entry's silence.
	stopRequested bool
	// notBefore is the earliest time of the next start order after the minion
	// refused one.
	notBefore time.Time
	// startRefusals counts the start orders that the minion refused.
	startRefusals int
	// survived is true once a run on probation has survived it.
	survived bool
	// moved is true if the minion restarted under its name while the start order may
	// have been under way. Either incarnation may have started the run.
	moved bool
	progress
	record
}

// Core holds the state of one agent. It is not safe for concurrent use.
type Core struct {
	options Options
	entries map[string]*entry
	// sortedEntries holds the entries by name.
	sortedEntries []*entry
	runs          map[work.Run]*run
	// sortedRuns holds the runs in the order of work.Compare.
	sortedRuns []*run
	// endedAt holds the end times of runs for which a start order was sent,
	// for endedRunRetention. endOrder lists these runs in the order of their
	// ends.
	endedAt  map[work.Run]time.Time
	endOrder []work.Run
	// lastEndNumber is the sequence number of the last end that was reported to any
	// entry. It never restarts, since an entry may confirm a number that it got
	// before its record here was deleted.
	lastEndNumber uint64
	// allocated is the total capacity of all runs that may be running.
	allocated work.Room

	minion   minionState
	fencing  fencing
	slowness slownessEstimator
	// slowStart limits the minion's room while it may be cold.
	slowStart slowStart
	// zones is the newest decision on evacuated zones; its version never decreases.
	zones work.Zones
	// crashes are the recent crashes of the minion, oldest first.
	crashes []work.Crash
	// answerTime estimates how long the minion takes to answer orders.
	answerTime answerTimeEstimator
	// lastUnansweredAt is the time at which an order last went unanswered.
	lastUnansweredAt time.Time
	// leaving is true once the agent accepts no new runs.
	leaving bool
	// lastStepAt is the time of the last step.
	lastStepAt time.Time
	commands   []Command
}

// New returns the core of an agent without a minion.
func New(o Options) *Core {
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	if o.EntryTimeout == 0 {
		o.EntryTimeout = DefaultEntryTimeout
	}
	if o.RenewalWait == 0 {
		o.RenewalWait = DefaultRenewalWait
	}
	if o.QueuedShare == 0 {
		o.QueuedShare = work.QueuedShare
	}
	return &Core{
		options: o, entries: make(map[string]*entry), runs: make(map[work.Run]*run), endedAt: make(map[work.Run]time.Time),
		fencing: newFencing(o.FencingToken),
	}
}

// Step advances the core to now and applies the events in order. The caller
// must execute the returned commands in order.
func (c *Core) Step(now time.Time, events []Event) []Command {
	c.commands = nil
	if !c.lastStepAt.IsZero() && now.Sub(c.lastStepAt) > pauseThreshold {
		c.closeLinksAfterPause()
	}
	c.lastStepAt = now
	for _, ev := range events {
		ev.apply(c, now)
	}
	c.expire(now)
	c.sendDueStops(now)
	c.refuseEvacuated(now)
	c.startQueued(now)
	c.refuseExcessQueued(now)
	c.renewLease(now)
	c.slowness.decay(now)
	c.reportLoad(now)
	return c.commands
}

// HasTimers reports whether orders or renewals have to be repeated soon if no
// answer comes.
func (c *Core) HasTimers() bool {
	if len(c.runs) > 0 && !c.minion.renewalInFlight || len(c.minion.orphans) > 0 || c.fencing.raises > 0 {
		return true
	}
	return slices.ContainsFunc(c.sortedRuns, func(r *run) bool {
		return r.onProbation() || r.phase != running && (r.phase != queued || r.startRefusals > 0)
	})
}

// Idle reports whether the agent holds no runs.
func (c *Core) Idle() bool { return len(c.runs) == 0 }

// emit adds a command to those that the current step returns.
func (c *Core) emit(command Command) { c.commands = append(c.commands, command) }

// expire handles expired leases, silent entries and deadlines, and drops
// outdated records of ended runs.
func (c *Core) expire(now time.Time) {
	c.expireEntries(now)
	c.expireCrashes(now)
	for len(c.endOrder) > 0 && now.Sub(c.endedAt[c.endOrder[0]]) > endedRunRetention {
		delete(c.endedAt, c.endOrder[0])
		c.endOrder = c.endOrder[1:]
	}
	if c.minion.hasLapsed(now) {
		c.loseLapsedRuns(now)
	}
	if len(c.minion.orphans) > 0 && now.Sub(c.minion.lastContactAt()) > movedRunTimeout {
		c.forgetOrphans("the minion is silent") // Their leases have lapsed; a list shows any that is left.
	}
	for _, r := range c.copyRuns() {
		c.expireRun(now, r)
	}
	c.useSuccessor(now)
}

// expireEntries stops the runs of silent entries, drops ends that stayed
// unacknowledged, closes retired links, and deletes entries that have neither a
// link nor runs.
func (c *Core) expireEntries(now time.Time) {
	deleted := false
	for _, e := range c.sortedEntries {
		if e.runCount > 0 && now.Sub(e.lastFrameAt) > c.options.EntryTimeout {
			c.stopEntryRuns(now, e.name, stopEntrySilent)
		}
		e.dropExpiredEnds(now)
		if e.retired(now) {
			c.emit(CutLink{Entry: e.name, Link: e.link})
			e.link = 0
		}
		if e.link == 0 && e.runCount == 0 && now.Sub(e.lastFrameAt) > unackedEndRetention {
			delete(c.entries, e.name)
			deleted = true
		}
	}
	if deleted {
		c.sortedEntries = slices.DeleteFunc(c.sortedEntries, func(e *entry) bool { return c.entries[e.name] != e })
	}
}

// expireRun refuses or stops a run that can't end before its deadline, and
// handles a start order that has gone unanswered for too long. A moved run is lost once
// the next incarnation has been silent for too long.
func (c *Core) expireRun(now time.Time, r *run) {
	minDuration := time.Duration(minWorkFraction * float64(c.expectedDuration(r.order)))
	switch {
	case r.moved && now.Sub(c.minion.lastContactAt()) > movedRunTimeout:
		c.endRun(now, r, ProofSilence, work.Report{State: work.Lost, Reason: work.ReasonCrashed, Took: now.Sub(r.startSentAt)})
	case r.phase == queued && now.Add(minDuration).After(r.order.EndBefore):
		c.endRun(now, r, ProofNotOrdered, work.Report{State: work.Refused, Reason: work.ReasonLate})
	case r.phase == running && now.After(r.order.EndBefore):
		c.stop(now, r, stopLate)
	case r.phase == starting && now.Sub(r.startSentAt) > c.answerTime.timeout():
		c.handleUnansweredStart(now, r)
	}
}

// stop starts to stop a run for a cause. A queued run ends at once.
func (c *Core) stop(now time.Time, r *run, cause string) {
	r.recordStopCause(cause)
	switch r.phase {
	case queued:
		c.endRun(now, r, ProofNotOrdered, work.Report{State: work.Stopped, Reason: work.ReasonUnstarted})
	case starting:
		r.phase, r.stops, r.stopRequested = uncertain, newStopOrders(now), true
	case running:
		r.phase, r.stops, r.stopRequested = stopping, newStopOrders(now), true
	case uncertain, stopping:
		r.stopRequested = true
	}
}

// expectedDuration returns how long a run is expected to take at this minion.
func (c *Core) expectedDuration(o work.Order) time.Duration {
	return time.Duration(float64(o.Work) * math.Exp(c.slowness.current))
}

// copyRuns returns a copy of sortedRuns, so that runs can be removed during
// iteration.
func (c *Core) copyRuns() []*run { return slices.Clone(c.sortedRuns) }

// add stores a new run.
func (c *Core) add(r *run) {
	c.runs[r.order.Run] = r
	c.entry(r.entry).runCount++
	at, _ := c.search(r.order.Run)
	c.sortedRuns = slices.Insert(c.sortedRuns, at, r)
}

// remove deletes a run.
func (c *Core) remove(r *run) {
	delete(c.runs, r.order.Run)
	c.entry(r.entry).runCount--
	if at, found := c.search(r.order.Run); found {
		c.sortedRuns = slices.Delete(c.sortedRuns, at, at+1)
	}
}

// search returns the index of a run in sortedRuns, or where to insert it.
func (c *Core) search(key work.Run) (int, bool) {
	return slices.BinarySearchFunc(c.sortedRuns, key, func(r *run, key work.Run) int { return work.Compare(r.order.Run, key) })
}
