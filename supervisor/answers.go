package supervisor

import (
	"time"

	"agatevalve/common/work"
)

func (ev StartAnswered) apply(c *Core, now time.Time) {
	if ev.Incarnation != c.minion.Incarnation {
		return
	}
	c.minion.saw(now, ev.Clock)
	r := c.runs[ev.Run]
	if r != nil && ev.Answer != StartUnknown && ev.Answer != StartUnreachable {
		c.answers.add(now.Sub(r.began))
	}
	if r == nil || (r.phase != starting && r.phase != doubtful) {
		return
	}
	switch ev.Answer {
	case StartTaken:
		c.started(r)
	case StartUnknown:
		if r.phase == starting {
			r.phase, r.stopAt = doubtful, now
		}
	default:
		c.startRefused(now, r, ev.Answer)
	}
}

// started notes that a run is at work.
func (c *Core) started(r *run) {
	if r.withdrawn || r.stopSent || !r.stopTaken.IsZero() {
		r.phase = stopping
		return
	}
	r.phase = running
}

// startRefused takes an answer that proves that the run has not started.
func (c *Core) startRefused(now time.Time, r *run, answer StartAnswer) {
	r.refusals++
	switch {
	case r.phase == doubtful:
		c.end(now, r, work.Report{State: work.Stopped, Reason: work.ReasonUnstarted})
	case answer == StartOld:
		c.end(now, r, work.Report{State: work.Refused, Reason: work.ReasonOld})
	case answer == StartMalformed:
		c.end(now, r, work.Report{State: work.Refused, Reason: work.ReasonMalformed})
	case answer == StartUnhealthy:
		c.end(now, r, work.Report{State: work.Refused, Reason: work.ReasonUnhealthy})
	case answer == StartUnreachable || answer == StartElsewhere || r.refusals >= mostRoomRefusals:
		c.end(now, r, work.Report{State: work.Refused, Reason: work.ReasonUnreachable})
	default:
		c.used = c.used.Minus(r.order.Room)
		r.phase, r.notBefore = queued, now.Add(roomAgainAfter)
	}
}

func (ev StopAnswered) apply(c *Core, now time.Time) {
	c.minion.saw(now, ev.Clock)
	if _, stray := c.minion.strays[ev.Run]; stray {
		return // Forgotten once it is listed no more.
	}
	r := c.runs[ev.Run]
	if r == nil {
		return
	}
	if ev.Taken && r.stopTaken.IsZero() {
		// The end of a run that was at work is listed; until then its room is taken.
		r.stopTaken = now
	}
}

func (ev Listed) apply(c *Core, now time.Time) {
	m := &c.minion
	if ev.Look {
		m.looking = false
	} else {
		m.holding = false
	}
	if ev.Incarnation != 0 && ev.Incarnation != m.Incarnation {
		next := m.Minion
		next.Incarnation, next.Draining = ev.Incarnation, false
		c.replaceMinion(now, next)
		return
	}
	m.saw(now, ev.Clock)
	m.answered, m.failedHolds = now, 0
	for _, e := range ev.Ended {
		c.takeEnd(now, e)
	}
	c.compare(now, ev)
	if m.listed || len(m.strays) > 0 {
		return
	}
	m.listed = true
	c.tellMinion()
}

// takeEnd uses an end that the minion lists.
func (c *Core) takeEnd(now time.Time, end ListedEnd) {
	if end.Number > c.minion.acked {
		c.minion.acked = end.Number
	}
	r := c.runs[end.Run]
	if r == nil || r.phase == queued {
		return
	}
	report := work.Report{State: end.State, Took: now.Sub(r.began)}
	if end.State == work.Done {
		c.pace.measured(now, report.Took, r.order.Work)
	}
	c.end(now, r, report)
}

// compare sets what the minion runs against what the agent believes.
func (c *Core) compare(now time.Time, ev Listed) {
	listed := make(map[work.Run]bool, len(ev.Running))
	for _, l := range ev.Running {
		listed[l.Run] = true
		c.takeListed(now, l, ev.Asked)
	}
	for stray := range c.minion.strays {
		if !listed[stray] {
			delete(c.minion.strays, stray)
		}
	}
	for _, r := range c.ordered() {
		if !listed[r.order.Run] {
			c.takeUnlisted(now, r, ev.Asked)
		}
	}
}

// takeListed uses that a run is at work.
func (c *Core) takeListed(now time.Time, l ListedRun, asked time.Time) {
	r := c.runs[l.Run]
	switch {
	case r == nil || r.phase == queued:
		if !c.endedSince(l.Run, asked) {
			c.addStray(now, l.Run)
		}
	case r.phase == starting || r.phase == doubtful && r.stopTaken.IsZero():
		c.started(r)
	case r.phase == running:
		c.observe(now, r, l.Percent)
	}
}

// takeUnlisted uses that a run was not at work when a list was asked for.
func (c *Core) takeUnlisted(now time.Time, r *run, asked time.Time) {
	stopped := !r.stopTaken.IsZero() && r.stopTaken.Before(asked)
	switch {
	case r.phase == doubtful && stopped:
		c.end(now, r, work.Report{State: work.Stopped, Reason: work.ReasonUnstarted})
	case r.phase == stopping && stopped:
		c.end(now, r, work.Report{State: work.Stopped})
	case r.phase == running && r.began.Add(c.o.Lease).Before(asked):
		c.end(now, r, work.Report{State: work.Lost, Reason: "the minion lists it no more"})
	}
}

// endedSince reports whether a run has ended after a list was asked for. Lists
// may overtake each other, so an older one still names it.
func (c *Core) endedSince(run work.Run, asked time.Time) bool {
	at, known := c.gone[run]
	return known && !at.Before(asked)
}

// addStray notes a run that nobody waits for, as of an earlier agent.
func (c *Core) addStray(now time.Time, run work.Run) {
	if c.minion.strays == nil {
		c.minion.strays = make(map[work.Run]time.Time)
	}
	if _, known := c.minion.strays[run]; !known {
		c.minion.strays[run] = now
	}
}

func (ev HoldFailed) apply(c *Core, now time.Time) {
	if ev.Look {
		c.minion.looking = false
		return
	}
	m := &c.minion
	m.holding = false
	c.doubted = now
	m.holdAfter = now.Add(min(holdAgainAfter<<min(m.failedHolds, mostDoublings), lastHoldAgain))
	m.failedHolds++
}

func (ev Down) apply(c *Core, now time.Time) {
	HoldFailed(ev).apply(c, now)
	wasListed := c.minion.listed
	c.loseAll(now, "the minion is down")
	c.minion.listed = false
	if wasListed {
		c.refuseQueued(now, work.ReasonUnreachable)
		c.tellMinion()
	}
}

func (ev MetAnother) apply(c *Core, now time.Time) {
	HoldFailed{Look: ev.Look}.apply(c, now)
	Departed{Name: ev.Name}.apply(c, now)
}
