package supervisor

import (
	"slices"
	"strings"
	"time"

	"agatevalve/common/work"
)

const (
	// minLoadInterval is the minimum interval between two load reports to one
	// entry that are not sent together with another report. The more entries share
	// a minion, the less each of them needs to know about it: with several linked
	// entries, the interval is the square of their number times
	// loadIntervalPerEntry. The CPU use of entries grows with the number of frames
	// (docs/decisions.md).
	minLoadInterval      = 20 * time.Millisecond
	loadIntervalPerEntry = 3500 * time.Microsecond
	// retirementPeriod is the time from the notice to an entry that its link is
	// to be closed until the link is closed. Orders that were sent before the
	// notice was read arrive within it, and are refused.
	retirementPeriod = time.Second
)

// entry is the state of one incarnation of an entry, as known to the agent; the
// name includes the incarnation.
type entry struct {
	name string
	// runCount is the number of runs held for the entry.
	runCount int
	// link is the number of the open link; 0 for none.
	link uint64
	// retiringSince is the time at which the entry was told to send no more
	// orders, because its link is to be closed; zero if it was not.
	retiringSince time.Time
	// lastFrameAt is the time at which the entry last opened a link or sent a
	// frame over it.
	lastFrameAt time.Time
	// unackedEnds are the reported ends that the entry has not acknowledged.
	unackedEnds []unackedEnd
	// ordersReceived counts the orders received over the open link.
	ordersReceived uint64
	// reportedLoad and reportedOrders are the load and the number of orders
	// last sent to the entry, at reportedAt.
	reportedLoad   work.Load
	reportedOrders uint64
	reportedAt     time.Time
	// zonesVersion is the newest decision on evacuated zones that the entry knows,
	// as far as the open link has shown.
	zonesVersion uint64
	// reportPending is true when the current step reports a run to the entry;
	// the load is then sent in the same frame.
	reportPending bool
}

// unackedEnd is a reported end that its entry has not acknowledged.
type unackedEnd struct {
	report  work.Report
	endedAt time.Time
}

// retired reports whether the link may be closed: the entry has been told, all
// its runs have ended, and it knows how.
func (e *entry) retired(now time.Time) bool {
	return e.link != 0 && !e.retiringSince.IsZero() && now.Sub(e.retiringSince) > retirementPeriod && e.runCount == 0 && len(e.unackedEnds) == 0
}

// dropExpiredEnds drops ends that have gone unacknowledged for
// unackedEndRetention.
func (e *entry) dropExpiredEnds(now time.Time) {
	for len(e.unackedEnds) > 0 && now.Sub(e.unackedEnds[0].endedAt) > unackedEndRetention {
		e.unackedEnds = e.unackedEnds[1:]
	}
}

// entry returns the record of an entry, and creates it if there is none.
func (c *Core) entry(name string) *entry {
	e := c.entries[name]
	if e == nil {
		e = &entry{name: name}
		c.entries[name] = e
		at, _ := slices.BinarySearchFunc(c.sortedEntries, name, func(o *entry, key string) int { return strings.Compare(o.name, key) })
		c.sortedEntries = slices.Insert(c.sortedEntries, at, e)
	}
	return e
}

// reportsFor returns reports of all runs held for an entry, and of its
// unacknowledged ends.
func (c *Core) reportsFor(name string) []work.Report {
	var reports []work.Report
	for _, end := range c.entry(name).unackedEnds {
		reports = append(reports, end.report)
	}
	for _, r := range c.copyRuns() {
		if r.entry != name {
			continue
		}
		state := work.Started
		if r.phase == queued {
			state = work.Queued
		}
		reports = append(reports, work.Report{Run: r.order.Run, State: state})
	}
	return reports
}

// load returns the capacity that running and queued runs take. What is withheld
// from a cold minion counts as taken, so that all entries go by it.
func (c *Core) load(now time.Time) work.Load {
	l := work.Load{Running: c.allocated, Slowness: c.slowness.rounded()}
	l.Running.CPU += c.withheldCPU(now)
	for _, r := range c.sortedRuns {
		if r.phase == queued {
			l.Queued = l.Queued.Plus(r.order.Room)
			l.QueuedWork += c.expectedDuration(r.order)
			l.LeastUrgent = max(l.LeastUrgent, r.order.Priority)
		}
	}
	return l
}

// reportLoad sends the load to entries for which it has changed: at once
// together with another report, and otherwise after an interval that grows
// with the number of linked entries. This bounds the load reports that an
// entry receives from each agent, however many entries there are.
func (c *Core) reportLoad(now time.Time) {
	load := c.load(now)
	links := time.Duration(c.linkCount())
	interval := max(minLoadInterval, links*links*loadIntervalPerEntry)
	for _, e := range c.sortedEntries {
		hasReport := e.reportPending
		e.reportPending = false
		if e.link == 0 || e.reportedLoad == load && e.reportedOrders == e.ordersReceived || !hasReport && now.Sub(e.reportedAt) < interval {
			continue
		}
		e.reportedLoad, e.reportedOrders, e.reportedAt = load, e.ordersReceived, now
		c.emit(ReportLoad{Entry: e.name, Load: load, OrdersReceived: e.ordersReceived})
	}
}

// linkCount returns the number of entries with an open link.
func (c *Core) linkCount() int {
	count := 0
	for _, e := range c.sortedEntries {
		if e.link != 0 {
			count++
		}
	}
	return count
}

// closeLinksAfterPause closes all links, since frames that queued up in them
// during the pause may be outdated.
func (c *Core) closeLinksAfterPause() {
	for _, e := range c.sortedEntries {
		if e.link != 0 {
			c.emit(CutLink{Entry: e.name, Link: e.link})
			e.link = 0
		}
	}
	c.emit(LogMessage{Text: "Closed all links after a pause of the process"})
}
