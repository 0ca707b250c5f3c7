package supervisor

import (
	"slices"
	"strings"
	"time"

	"agatevalve/common/work"
)

const (
	// leastTellPause and tellPause, for each entry, bound how often an entry is
	// told of a load without another report. Rehearsed days are the same with none
	// and with twice as much (docs/decisions.md), and processor time at entries
	// goes with the frames.
	leastTellPause = 40 * time.Millisecond
	tellPause      = 20 * time.Millisecond
)

// entry is what the agent knows of one run of an entry. Its key names the
// entry's incarnation too.
type entry struct {
	name string
	// holds counts the runs that are held for the entry.
	holds int
	// link is the open link; 0 for none.
	link uint64
	// heard is when the entry last sent a frame over an open link.
	heard time.Time
	// lastEnd numbers the ends that were reported to the entry.
	lastEnd uint64
	// ends are those that the entry has not acknowledged.
	ends []keptEnd
	// taken counts the orders that came over the open link.
	taken uint64
	// told and toldTaken are what the entry was told last, at toldAt.
	told      work.Load
	toldTaken uint64
	toldAt    time.Time
	// reported is true when the step has a report for the entry, in whose frame
	// the load goes along.
	reported bool
}

type keptEnd struct {
	report work.Report
	at     time.Time
}

// forget drops the ends that have waited too long.
func (e *entry) forget(now time.Time) {
	for len(e.ends) > 0 && now.Sub(e.ends[0].at) > keepEnds {
		e.ends = e.ends[1:]
	}
}

// entry returns the record of an entry.
func (c *Core) entry(name string) *entry {
	e := c.entries[name]
	if e == nil {
		e = &entry{name: name}
		c.entries[name] = e
		at, _ := slices.BinarySearchFunc(c.byName, name, func(o *entry, key string) int { return strings.Compare(o.name, key) })
		c.byName = slices.Insert(c.byName, at, e)
	}
	return e
}

// resume returns the reports of all runs that the agent knows for an entry.
func (c *Core) resume(name string) []work.Report {
	var reports []work.Report
	for _, kept := range c.entry(name).ends {
		reports = append(reports, kept.report)
	}
	for _, r := range c.ordered() {
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

// load adds up what the minion's room is used for.
func (c *Core) load() work.Load {
	l := work.Load{Running: c.used, Slowness: c.pace.told()}
	for _, r := range c.byRun {
		if r.phase == queued {
			l.Queued = l.Queued.Plus(r.order.Room)
			l.QueuedWork += c.expected(r.order)
		}
	}
	return l
}

// reportLoad tells entries of a load that has changed since they were told: at
// once with another report, and otherwise after a pause that grows with their
// number, so that an entry hears no more of each agent the more entries there are.
func (c *Core) reportLoad(now time.Time) {
	load := c.load()
	pause := max(leastTellPause, time.Duration(c.linked())*tellPause)
	for _, e := range c.byName {
		reported := e.reported
		e.reported = false
		if e.link == 0 || e.told == load && e.toldTaken == e.taken || !reported && now.Sub(e.toldAt) < pause {
			continue
		}
		e.told, e.toldTaken, e.toldAt = load, e.taken, now
		c.emit(ReportLoad{Entry: e.name, Load: load, Taken: e.taken})
	}
}

// linked counts the entries with an open link.
func (c *Core) linked() int {
	linked := 0
	for _, e := range c.byName {
		if e.link != 0 {
			linked++
		}
	}
	return linked
}
