package supervisor

import (
	"slices"
	"time"

	"agatevalve/common/work"
)

// Event is an input of the core: a message, an answer to a command, or a
// change of a connection.
type Event interface{ apply(c *Core, now time.Time) }

// LinkOpened means that a link to an entry was opened. The core answers with
// the first frame for it.
type LinkOpened struct {
	// Entry names one incarnation of an entry.
	Entry string
	// Link is the number of the link; later links have higher numbers.
	Link uint64
}

// LinkClosed means that a link was closed. Gone is true when nothing listens
// at the entry's address any more.
type LinkClosed struct {
	Entry string
	Link  uint64
	Gone  bool
}

// LinkRetiring means that a link is not needed any more, or is needed after all.
// The core tells the entry to send no more orders, and closes the link once all
// runs of the entry have ended.
type LinkRetiring struct {
	Entry    string
	Link     uint64
	Retiring bool
}

// FrameReceived is a frame received from an entry.
type FrameReceived struct {
	Entry string
	Link  uint64
	// Acked is the number of the newest end that the entry has processed.
	Acked  uint64
	Orders []work.Order
	Stops  []work.Run
	// Zones is the newest decision on evacuated zones that the entry knows; its
	// version is 0 if the frame has none.
	Zones work.Zones
}

// MinionDescribed carries the minion's description of itself.
type MinionDescribed struct{ Minion work.Minion }

// MinionDescriptionRestored carries the description of the minion that an
// earlier agent process stored. It is used until the minion describes itself.
type MinionDescriptionRestored struct{ Minion work.Minion }

// MinionDeparted means that the minion announced its shutdown.
type MinionDeparted struct{ Name string }

// StartAnswered carries the result of a start order.
type StartAnswered struct {
	Run         work.Run
	Incarnation uint64
	Answer      StartAnswer
	// FencingToken is copied from the order.
	FencingToken int64
	// Clock is the time on the minion's clock; 0 if the answer has none.
	Clock time.Duration
}

// StopAnswered carries the result of a stop order. Answered is false if no
// answer came, or Fenced is true.
type StopAnswered struct {
	Run work.Run
	// Incarnation and FencingToken are copied from the order.
	Incarnation  uint64
	FencingToken int64
	Answered     bool
	// Fenced means that the minion did nothing, since it has seen a higher fencing
	// token.
	Fenced bool
	Clock  time.Duration
}

// ListedRun is a run that the minion lists as running.
type ListedRun struct {
	Run work.Run
	// Percent is the progress of the run in whole percents.
	Percent int
}

// ListedEnd is an ended run, which the minion lists until the agent
// acknowledges its number.
type ListedEnd struct {
	Number uint64
	Run    work.Run
	State  work.State
}

// RunsListed carries the answer to a renewal or to a request for lists.
type RunsListed struct {
	// ListOnly and FencingToken are copied from the command that was answered.
	ListOnly     bool
	FencingToken int64
	// Incarnation is the incarnation of the minion that answered.
	Incarnation uint64
	// RequestedAt is the time at which the request was sent.
	RequestedAt time.Time
	Clock       time.Duration
	Running     []ListedRun
	Ended       []ListedEnd
}

// contains reports whether a run is listed as running.
func (ev RunsListed) contains(run work.Run) bool {
	return slices.ContainsFunc(ev.Running, func(l ListedRun) bool { return l.Run == run })
}

// RenewalFailed means that a renewal or a request for lists went unanswered.
type RenewalFailed struct{ ListOnly bool }

// MinionDown means that nothing listens at the minion's address. Runs may go on there.
type MinionDown struct{ ListOnly bool }

// OtherIncarnationAnswered means that another incarnation of the minion
// answered a renewal.
type OtherIncarnationAnswered struct {
	Name     string
	ListOnly bool
}

func (ev LinkOpened) apply(c *Core, now time.Time) {
	e := c.entry(ev.Entry)
	if ev.Link < e.link {
		return
	}
	e.link, e.lastFrameAt, e.retiringSince = ev.Link, now, time.Time{}
	e.ordersReceived, e.reportedOrders = 0, 0
	e.reportedLoad, e.reportedAt, e.zonesVersion = c.load(now), now, c.zones.Version
	c.emit(ReportSnapshot{
		Entry: ev.Entry, Link: ev.Link, Reports: c.reportsFor(ev.Entry),
		Minion: c.minion.Minion, Usable: c.minion.usable(), Leaving: c.leaving, Load: e.reportedLoad, Crashes: slices.Clone(c.crashes),
		Zones: c.zones,
	})
}

func (ev LinkClosed) apply(c *Core, now time.Time) {
	e := c.entry(ev.Entry)
	if e.link != ev.Link && ev.Link != 0 {
		return
	}
	e.link = 0
	if ev.Gone {
		c.stopEntryRuns(now, ev.Entry, stopEntryGone)
	}
}

func (ev LinkRetiring) apply(c *Core, now time.Time) {
	e := c.entry(ev.Entry)
	if e.link != ev.Link || e.retiringSince.IsZero() != ev.Retiring {
		return
	}
	e.retiringSince = time.Time{}
	text := "Keeps a link that was to be closed"
	if ev.Retiring {
		e.retiringSince = now
		text = "Will close a link that is not needed"
	}
	c.emit(LogMessage{Text: text, Entry: e.name, Count: e.runCount})
	c.reportMinionTo(e)
}

func (ev FrameReceived) apply(c *Core, now time.Time) {
	e := c.entry(ev.Entry)
	if e.link != ev.Link {
		return // Received over a replaced link; the first frame of the new one has the current state.
	}
	e.lastFrameAt = now
	e.zonesVersion = max(e.zonesVersion, ev.Zones.Version)
	c.adoptZones(now, ev.Zones)
	for len(e.unackedEnds) > 0 && e.unackedEnds[0].report.Number <= ev.Acked {
		e.unackedEnds = e.unackedEnds[1:]
	}
	e.ordersReceived += uint64(len(ev.Orders))
	for _, o := range ev.Orders {
		c.acceptOrder(now, ev.Entry, o)
	}
	for _, s := range ev.Stops {
		if r := c.runs[s]; r != nil && r.entry == ev.Entry {
			c.stop(now, r, stopOrdered)
		}
	}
}

// acceptOrder queues the run of an order, or refuses it.
func (c *Core) acceptOrder(now time.Time, entry string, o work.Order) {
	if c.runs[o.Run] != nil && c.runs[o.Run].entry == entry {
		return
	}
	if reason := c.refusalReason(entry, o); reason != work.ReasonNone {
		c.reportEnd(now, entry, work.Report{Run: o.Run, State: work.Refused, Reason: reason}, History{})
		return
	}
	c.add(&run{order: o, entry: entry, phase: queued})
}

// refusalReason returns why an order can't be accepted, or ReasonNone.
func (c *Core) refusalReason(entry string, o work.Order) work.Reason {
	switch {
	case c.leaving || !c.entry(entry).retiringSince.IsZero() || c.minion.Draining || c.minion.departed:
		return work.ReasonLeaving
	case c.evacuated():
		return work.ReasonEvacuated
	case !c.minion.usable():
		return work.ReasonUnreachable
	case !c.minion.Room.Holds(o.Room):
		return work.ReasonUnfit
	}
	for _, r := range c.sortedRuns {
		if r.order.Run.Task == o.Run.Task {
			return work.ReasonBusy
		}
	}
	return work.ReasonNone
}

func (ev MinionDescribed) apply(c *Core, now time.Time) {
	m := &c.minion
	if c.describesEarlier(ev.Minion) {
		c.ignoreDescription(ev.Minion, "it is of an earlier incarnation")
		return
	}
	if ev.Minion.Name != m.Name && c.holdsRunsAtMinion() {
		c.awaitPredecessor(now, ev.Minion)
		return
	}
	if ev.Minion.Name != m.Name || ev.Minion.Incarnation > m.Incarnation {
		c.replaceMinion(now, ev.Minion, nil)
		c.emit(StoreMinion(ev))
		return
	}
	if m.departed {
		c.ignoreDescription(ev.Minion, "the minion has left")
		return
	}
	if ev.Minion.Sequence < m.Sequence {
		c.ignoreDescription(ev.Minion, "a later one has arrived")
		return
	}
	c.observeCold(now, ev.Minion.ColdUntil)
	startsDraining := ev.Minion.Draining && !m.Draining
	changed := !m.described || startsDraining || ev.Minion.Room != m.Room || ev.Minion.Zone != m.Zone || !slices.Equal(ev.Minion.Labels, m.Labels)
	m.Minion, m.described = ev.Minion, true
	c.emit(StoreMinion(ev))
	if startsDraining {
		c.refuseQueued(now, work.ReasonLeaving)
	}
	if changed {
		c.refuseUnfit(now)
		c.reportMinion()
	}
}

// describesEarlier reports whether a description is of an earlier incarnation. After a
// departure it may be of the minion that follows, since numbers go by the time of day.
func (c *Core) describesEarlier(m work.Minion) bool {
	inUse := c.minion.known() || c.minion.departed && len(c.runs) > 0
	return inUse && m.Incarnation < c.minion.Incarnation
}

// ignoreDescription notes that a description was not taken.
func (c *Core) ignoreDescription(m work.Minion, reason string) {
	c.emit(IgnoreDescription{Ignored: m, Current: c.minion.Minion, Reason: reason})
}

// refuseUnfit refuses the queued runs that need more than the minion's whole
// capacity, which may have shrunk.
func (c *Core) refuseUnfit(now time.Time) {
	for _, r := range c.copyRuns() {
		if r.phase == queued && !c.minion.Room.Holds(r.order.Room) {
			c.endRun(now, r, ProofNotOrdered, work.Report{State: work.Refused, Reason: work.ReasonUnfit})
		}
	}
}

func (ev MinionDescriptionRestored) apply(c *Core, now time.Time) {
	if c.minion.Name == "" {
		c.replaceMinion(now, ev.Minion, nil)
	}
}

// replaceMinion switches to another minion or incarnation, whose first list is given if
// it has been seen, or nil. One with the same name may run what was ordered from the last
// one: orders name the minion only.
func (c *Core) replaceMinion(now time.Time, m work.Minion, list *RunsListed) {
	renewalInFlight, listInFlight := c.minion.renewalInFlight, c.minion.listInFlight
	var moved []*run
	if m.Name == c.minion.Name {
		moved = c.moveRuns(now, list)
		c.fenceLastIncarnation()
	}
	c.loseRunsInCrash(now, ProofOtherIncarnation, moved...)
	c.refuseQueued(now, work.ReasonUnreachable)
	c.minion = minionState{Minion: m, described: true, since: now, renewalInFlight: renewalInFlight, listInFlight: listInFlight}
	c.slowness, c.slowStart = slownessEstimator{}, slowStart{}
	if m.ColdUntil.After(now) {
		c.beginSlowStart(now, m.ColdUntil)
	}
	c.emit(LogMessage{Text: "Began to use a minion", Minion: m})
}

// refuseQueued refuses all queued runs.
func (c *Core) refuseQueued(now time.Time, reason work.Reason) {
	for _, r := range c.copyRuns() {
		if r.phase == queued {
			c.endRun(now, r, ProofNotOrdered, work.Report{State: work.Refused, Reason: reason})
		}
	}
}

// reportMinion sends the minion's state to all linked entries.
func (c *Core) reportMinion() {
	for _, e := range c.sortedEntries {
		if e.link != 0 {
			c.reportMinionTo(e)
		}
	}
}

// reportMinionTo sends the minion's state to one entry. A link that is to be
// closed is reported like an agent that leaves.
func (c *Core) reportMinionTo(e *entry) {
	leaving := c.leaving || !e.retiringSince.IsZero()
	c.emit(ReportMinion{Entry: e.name, Minion: c.minion.Minion, Usable: c.minion.usable(), Leaving: leaving})
}

// apply refuses the queued runs. The others go on until the minion has ended: they are
// lost once their lease, which is renewed no more, has lapsed or another minion is known.
func (ev MinionDeparted) apply(c *Core, now time.Time) {
	if ev.Name != c.minion.Name || c.minion.departed {
		return
	}
	c.refuseQueued(now, work.ReasonLeaving)
	c.minion.departed = true
	c.reportMinion()
}

// AgentLeaving makes the core refuse queued and new runs; running ones continue
// until they end.
type AgentLeaving struct{}

func (AgentLeaving) apply(c *Core, now time.Time) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.refuseQueued(now, work.ReasonLeaving)
	c.reportMinion()
}
