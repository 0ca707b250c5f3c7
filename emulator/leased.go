package emulator

import (
	"math"
	"slices"
	"time"

	"agatevalve/common/work"
	"agatevalve/supervisor"
)

// Truth is what a task really needs, which only its minion knows.
type Truth struct {
	Room work.Room
	// Work is the time that it takes at a minion of speed 1.
	Work time.Duration
	// Fails is true for a task that never succeeds.
	Fails bool
}

// LeasedOptions describe a minion that runs leased tasks.
type LeasedOptions struct {
	Minion work.Minion
	// Pace is how much longer tasks take here than at a minion of speed 1.
	Pace float64
	// LongestLease caps leases.
	LongestLease time.Duration
	// Unguarded minions start what they are told to, also beyond their room.
	Unguarded bool
	// EndlessLeases plants a fault: no lease lapses.
	EndlessLeases bool
	// Truth tells what a task needs.
	Truth func(work.Task) Truth
	// Started and Stopped tell a test when a run begins and ceases to be at work.
	Started func(run work.Run, at time.Time)
	Stopped func(run work.Run, state work.State, at time.Time)
	// Noted tells of an end that was acknowledged; nil for nobody.
	Noted func(run work.Run, state work.State)
}

// LeasedMinion is a stand-in of a minion that runs leased tasks. Time is passed
// to each method and must not go back. It is not safe for concurrent use.
type LeasedMinion struct {
	o       LeasedOptions
	born    time.Time
	at      time.Time
	until   time.Time
	runs    map[work.Run]*leasedRun
	ended   []supervisor.ListedEnd
	lastEnd uint64
	// highest is the highest run number that was stopped or has ended, by task.
	highest map[work.Task]int
	// Slow multiplies the time of all that runs; 1 is normal, 0 stands still.
	slow float64
	// Failing makes all that ends end as failed.
	failing bool
}

// leasedRun is one run at work.
type leasedRun struct {
	truth Truth
	began time.Time
	// done is the part that is done, from 0 to 1.
	done float64
}

// NewLeasedMinion returns a minion that has just started.
func NewLeasedMinion(o LeasedOptions, now time.Time) *LeasedMinion {
	return &LeasedMinion{o: o, born: now, at: now, runs: make(map[work.Run]*leasedRun), highest: make(map[work.Task]int), slow: 1}
}

// Describe returns what the minion says of itself.
func (m *LeasedMinion) Describe() work.Minion { return m.o.Minion }

// Clock returns the minion's own clock.
func (m *LeasedMinion) Clock(now time.Time) time.Duration { return now.Sub(m.born) + time.Millisecond }

// SetSlow multiplies the time of all that runs from now on; 0 stands still.
func (m *LeasedMinion) SetSlow(now time.Time, slow float64) {
	m.Advance(now)
	m.slow = slow
}

// SetFailing makes all that ends from now on end as failed, or not.
func (m *LeasedMinion) SetFailing(now time.Time, failing bool) {
	m.Advance(now)
	m.failing = failing
}

// Drain makes the minion say that it leaves.
func (m *LeasedMinion) Drain() { m.o.Minion.Draining = true }

// Crash ends all that runs, without a list of it.
func (m *LeasedMinion) Crash(now time.Time) {
	m.Advance(now)
	for _, run := range m.sorted() {
		delete(m.runs, run)
		m.o.Stopped(run, work.Lost, now)
	}
}

// Used returns the room of all that runs.
func (m *LeasedMinion) Used() work.Room {
	var used work.Room
	for _, r := range m.runs {
		used = used.Plus(r.truth.Room)
	}
	return used
}

// Start takes an order.
func (m *LeasedMinion) Start(now time.Time, order supervisor.StartRun) supervisor.StartAnswer {
	m.Advance(now)
	if m.runs[order.Run] != nil {
		return supervisor.StartAccepted
	}
	if order.LeaseExpiry <= m.Clock(now) {
		return supervisor.StartTooLate
	}
	m.extend(now, order.LeaseExpiry)
	if order.Run.Number <= m.highest[order.Run.Task] {
		return supervisor.StartOld
	}
	truth := m.o.Truth(order.Run.Task)
	if !m.o.Unguarded && !m.o.Minion.Room.Minus(m.Used()).Holds(truth.Room) {
		return supervisor.StartNoRoom
	}
	m.runs[order.Run] = &leasedRun{truth: truth, began: now}
	m.o.Started(order.Run, now)
	return supervisor.StartAccepted
}

// Stop ends a run, or keeps it from ever starting.
func (m *LeasedMinion) Stop(now time.Time, run work.Run) {
	m.Advance(now)
	if m.runs[run] != nil {
		m.end(now, run, work.Stopped)
		return
	}
	m.highest[run.Task] = max(m.highest[run.Task], run.Number)
}

// Hold renews the lease and lists runs.
func (m *LeasedMinion) Hold(now time.Time, order supervisor.RenewLease) (running []supervisor.ListedRun, ended []supervisor.ListedEnd) {
	m.Advance(now)
	if order.LeaseExpiry > 0 {
		m.extend(now, order.LeaseExpiry)
	}
	m.ended = slices.DeleteFunc(m.ended, func(e supervisor.ListedEnd) bool {
		if e.Number <= order.Acked && m.o.Noted != nil {
			m.o.Noted(e.Run, e.State)
		}
		return e.Number <= order.Acked
	})
	for _, run := range m.sorted() {
		running = append(running, supervisor.ListedRun{Run: run, Percent: int(m.runs[run].done * 100)})
	}
	return running, slices.Clone(m.ended)
}

// NextEnd returns when the next run ends if nothing changes, by itself or with
// its lease.
func (m *LeasedMinion) NextEnd() (time.Time, bool) {
	next := time.Duration(math.MaxInt64)
	for _, r := range m.runs {
		if m.slow > 0 {
			next = min(next, m.left(r))
		}
	}
	if len(m.runs) > 0 && !m.o.EndlessLeases && m.until.After(m.at) {
		next = min(next, m.until.Sub(m.at))
	}
	if next == math.MaxInt64 {
		return time.Time{}, false
	}
	return m.at.Add(next), true
}

// Advance lets time pass.
func (m *LeasedMinion) Advance(now time.Time) {
	for m.at.Before(now) {
		next := now
		if end, some := m.NextEnd(); some && end.Before(next) {
			next = end
		}
		if !next.After(m.at) {
			next = m.at.Add(time.Nanosecond)
		}
		m.pass(next)
	}
}

// pass lets time pass to the next change.
func (m *LeasedMinion) pass(next time.Time) {
	passed := next.Sub(m.at)
	m.at = next
	for _, run := range m.sorted() {
		r := m.runs[run]
		if m.slow > 0 {
			r.done += float64(passed) / (float64(r.truth.Work) * m.o.Pace * m.slow)
		}
		switch {
		case r.done >= 1-1e-9 && (r.truth.Fails || m.failing):
			m.end(next, run, work.Failed)
		case r.done >= 1-1e-9:
			m.end(next, run, work.Done)
		case !m.o.EndlessLeases && !m.until.After(next):
			m.end(next, run, work.Lost)
		}
	}
}

// left is the time until a run ends by itself.
func (m *LeasedMinion) left(r *leasedRun) time.Duration {
	return time.Duration((1-r.done)*float64(r.truth.Work)*m.o.Pace*m.slow) + time.Nanosecond
}

func (m *LeasedMinion) end(now time.Time, run work.Run, state work.State) {
	delete(m.runs, run)
	m.highest[run.Task] = max(m.highest[run.Task], run.Number)
	m.lastEnd++
	m.ended = append(m.ended, supervisor.ListedEnd{Number: m.lastEnd, Run: run, State: state})
	m.o.Stopped(run, state, now)
}

// extend sets the lease, which never shortens.
func (m *LeasedMinion) extend(now time.Time, until time.Duration) {
	until = min(until, m.Clock(now)+m.o.LongestLease)
	if end := m.born.Add(until - time.Millisecond); end.After(m.until) {
		m.until = end
	}
}

// sorted returns the runs in a fixed order.
func (m *LeasedMinion) sorted() []work.Run {
	runs := make([]work.Run, 0, len(m.runs))
	for run := range m.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, work.Compare)
	return runs
}
