package supervisor

import (
	"time"

	"agatevalve/common/work"
)

// Event is something that happened to an agent.
type Event interface{ apply(c *Core, now time.Time) }

// LinkOpened tells of a link to an entry. Greet must be sent first on it.
type LinkOpened struct {
	// Entry names one incarnation of an entry.
	Entry string
	// Link is higher for later links.
	Link uint64
}

// LinkClosed tells of the end of a link. Gone is true when nothing listens at
// the entry's address any more.
type LinkClosed struct {
	Entry string
	Link  uint64
	Gone  bool
}

// Heard tells of a frame from an entry.
type Heard struct {
	Entry string
	Link  uint64
	// Acked is the newest end that the entry has used.
	Acked  uint64
	Orders []work.Order
	Stops  []work.Run
}

// Described brings what the minion says of itself.
type Described struct{ Minion work.Minion }

// Recalled brings what an earlier agent knew of the minion. It counts until the
// minion speaks for itself.
type Recalled struct{ Minion work.Minion }

// Departed tells that the minion ends.
type Departed struct{ Name string }

// StartAnswer is how the minion took a start.
type StartAnswer uint8

const (
	// StartTaken means that the run is at work, or was already.
	StartTaken StartAnswer = iota + 1
	// StartUnknown means that no answer came; the run may start later.
	StartUnknown
	// StartNoRoom means that the minion had no room for the run.
	StartNoRoom
	// StartTooLate means that the lease in the order had passed on the minion's clock.
	StartTooLate
	// StartOld means that the minion has seen this run number or a higher one.
	StartOld
	// StartUnhealthy means that the minion refuses work.
	StartUnhealthy
	// StartUnreachable proves that the order did not reach the minion.
	StartUnreachable
	// StartMalformed means that the minion could not read the order.
	StartMalformed
	// StartElsewhere means that another incarnation of the minion answered.
	StartElsewhere
)

// StartAnswered brings the answer to a StartRun.
type StartAnswered struct {
	Run         work.Run
	Incarnation uint64
	Answer      StartAnswer
	// Clock is the minion's clock; 0 when it did not tell.
	Clock time.Duration
}

// StopAnswered brings the answer to a StopRun. Taken is false without one.
type StopAnswered struct {
	Run   work.Run
	Taken bool
	Clock time.Duration
}

// ListedRun is a run that the minion says is at work.
type ListedRun struct {
	Run work.Run
	// Percent is its progress.
	Percent int
}

// ListedEnd is an end that the minion lists until it is acknowledged.
type ListedEnd struct {
	Number uint64
	Run    work.Run
	State  work.State
}

// Listed brings the answer to a HoldLease.
type Listed struct {
	// Look is taken from the HoldLease that was answered.
	Look bool
	// Incarnation is the one that answered.
	Incarnation uint64
	// Asked is when the renewal was sent.
	Asked   time.Time
	Clock   time.Duration
	Running []ListedRun
	Ended   []ListedEnd
}

// HoldFailed tells that a renewal had no answer.
type HoldFailed struct{ Look bool }

// Down tells that nothing listens at the minion's address, so that nothing
// runs there.
type Down struct{ Look bool }

// MetAnother tells that another lifetime of the minion answered a renewal.
type MetAnother struct {
	Name string
	Look bool
}

func (ev LinkOpened) apply(c *Core, now time.Time) {
	e := c.entry(ev.Entry)
	if ev.Link < e.link {
		return
	}
	e.link, e.heard = ev.Link, now
	e.taken, e.toldTaken = 0, 0
	e.told, e.toldAt = c.load(), now
	c.emit(Greet{
		Entry: ev.Entry, Link: ev.Link, Reports: c.resume(ev.Entry),
		Minion: c.minion.Minion, Usable: c.minion.usable(), Leaving: c.leaving, Load: e.told,
	})
}

func (ev LinkClosed) apply(c *Core, now time.Time) {
	e := c.entry(ev.Entry)
	if e.link != ev.Link && ev.Link != 0 {
		return
	}
	e.link = 0
	if ev.Gone {
		c.dropEntry(now, ev.Entry, "the entry is gone")
	}
}

func (ev Heard) apply(c *Core, now time.Time) {
	e := c.entry(ev.Entry)
	if e.link != ev.Link {
		return // Sent over a link that was replaced; the greeting has settled it.
	}
	e.heard = now
	for len(e.ends) > 0 && e.ends[0].report.Number <= ev.Acked {
		e.ends = e.ends[1:]
	}
	e.taken += uint64(len(ev.Orders))
	for _, o := range ev.Orders {
		c.take(now, ev.Entry, o)
	}
	for _, s := range ev.Stops {
		if r := c.runs[s]; r != nil && r.entry == ev.Entry {
			c.stop(now, r)
		}
	}
}

// take queues an order or refuses it at once.
func (c *Core) take(now time.Time, entry string, o work.Order) {
	if c.runs[o.Run] != nil && c.runs[o.Run].entry == entry {
		return
	}
	if reason := c.refusal(o); reason != work.ReasonNone {
		c.reportEnd(now, entry, work.Report{Run: o.Run, State: work.Refused, Reason: reason})
		return
	}
	c.add(&run{order: o, entry: entry, phase: queued})
}

// refusal returns why an order can't be taken, or ReasonNone.
func (c *Core) refusal(o work.Order) work.Reason {
	switch {
	case c.leaving || c.minion.Draining || c.minion.gone:
		return work.ReasonLeaving
	case !c.minion.usable():
		return work.ReasonUnreachable
	case !c.minion.Room.Holds(o.Room):
		return work.ReasonUnfit
	}
	for _, r := range c.byRun {
		if r.order.Run.Task == o.Run.Task {
			return work.ReasonBusy
		}
	}
	return work.ReasonNone
}

func (ev Described) apply(c *Core, now time.Time) {
	m := &c.minion
	if m.known() && ev.Minion.Incarnation < m.Incarnation {
		return // A late description of an earlier incarnation.
	}
	if ev.Minion.Name != m.Name || ev.Minion.Incarnation > m.Incarnation {
		c.replaceMinion(now, ev.Minion)
		return
	}
	if m.gone {
		return
	}
	drains := ev.Minion.Draining && !m.Draining
	m.Minion = ev.Minion
	if drains {
		c.refuseQueued(now, work.ReasonLeaving)
		c.tellMinion()
	}
}

func (ev Recalled) apply(c *Core, now time.Time) {
	if c.minion.Name == "" {
		c.replaceMinion(now, ev.Minion)
	}
}

// replaceMinion begins with a new incarnation, which runs nothing of ours.
func (c *Core) replaceMinion(now time.Time, m work.Minion) {
	holding, looking := c.minion.holding, c.minion.looking
	c.loseAll(now, "the minion has started anew")
	c.refuseQueued(now, work.ReasonUnreachable)
	c.minion = minionState{Minion: m, holding: holding, looking: looking}
	c.pace = pace{}
	c.emit(Note{Text: "Met a minion", Minion: m})
}

func (c *Core) refuseQueued(now time.Time, reason work.Reason) {
	for _, r := range c.ordered() {
		if r.phase == queued {
			c.end(now, r, work.Report{State: work.Refused, Reason: reason})
		}
	}
}

// tellMinion tells all entries what the minion is now.
func (c *Core) tellMinion() {
	for _, e := range c.byName {
		if e.link != 0 {
			c.emit(ReportMinion{Entry: e.name, Minion: c.minion.Minion, Usable: c.minion.usable(), Leaving: c.leaving})
		}
	}
}

func (ev Departed) apply(c *Core, now time.Time) {
	if ev.Name != c.minion.Name || c.minion.gone {
		return
	}
	c.loseAll(now, "the minion has left")
	c.refuseQueued(now, work.ReasonLeaving)
	c.minion.gone = true
	c.tellMinion()
}

// Leaving tells the core to take nothing new.
type Leaving struct{}

func (Leaving) apply(c *Core, now time.Time) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.refuseQueued(now, work.ReasonLeaving)
	c.tellMinion()
}

// String returns the kebab-case name of the answer.
func (a StartAnswer) String() string {
	names := [...]string{
		"none", "taken", "unknown", "no-room", "too-late", "old", "unhealthy", "unreachable", "malformed", "elsewhere",
	}
	if int(a) < len(names) {
		return names[a]
	}
	return names[0]
}
