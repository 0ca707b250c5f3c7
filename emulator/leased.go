package emulator

import (
	"math"
	"slices"
	"time"

	"agatevalve/common/work"
	"agatevalve/supervisor"
)

// TaskProfile holds the actual requirements and duration of a task, which only
// the minion knows.
type TaskProfile struct {
	Room work.Room
	// Work is the duration of the task at a minion of speed 1.
	Work time.Duration
	// Rack is the label of the minions near the data of the task, and RemoteFactor
	// multiplies the duration elsewhere; empty for a task without data.
	Rack         string
	RemoteFactor float64
	// Fails is true for a task that never succeeds.
	Fails bool
	// CrashesAfter is the time from the start of the task until it crashes the
	// minion; 0 for never.
	CrashesAfter time.Duration
}

// LeasedOptions configure a LeasedMinion.
type LeasedOptions struct {
	Minion work.Minion
	// DurationFactor is the ratio of a task's duration here to its duration at
	// a minion of speed 1.
	DurationFactor float64
	// MaxLease limits the duration of a lease.
	MaxLease time.Duration
	// AllowOvercommit makes the minion accept starts that exceed its capacity.
	AllowOvercommit bool
	// IgnoreLeaseExpiry injects a fault: runs continue after their lease has
	// expired.
	IgnoreLeaseExpiry bool
	// KillDelay returns how long after its lease has expired (work.Lost), or after
	// the order to stop it (work.Stopped), a run is killed. It may be nil for at once.
	KillDelay func(state work.State) time.Duration
	// OnLease is called when the lease is extended, with its new expiry. It may be nil.
	OnLease func(expiry time.Time)
	// Profile returns the profile of a task.
	Profile func(work.Task) TaskProfile
	// OnStart and OnEnd are called when a run starts and ends.
	OnStart func(run work.Run, at time.Time)
	OnEnd   func(run work.Run, state work.State, at time.Time)
	// OnEndAcknowledged is called for each end that the agent has acknowledged.
	// It may be nil.
	OnEndAcknowledged func(run work.Run, state work.State)
	// OnCrash is called after a run has crashed the minion, which then has no runs.
	// It may be nil if no task does.
	OnCrash func(run work.Run, at time.Time)
}

// LeasedMinion simulates a minion that runs leased tasks. Each method gets the
// current time, which must not go backwards. It is not safe for concurrent use.
type LeasedMinion struct {
	o         LeasedOptions
	startedAt time.Time
	// current is the time up to which the runs have been simulated.
	current       time.Time
	leaseExpiry   time.Time
	runs          map[work.Run]*leasedRun
	unackedEnds   []supervisor.ListedEnd
	lastEndNumber uint64
	// highestNumber maps each task to the highest number of a run that was
	// stopped or has ended.
	highestNumber map[work.Task]int
	// highestToken is the highest fencing token of a request.
	highestToken int64
	// slowdown multiplies the duration of all runs; 1 is normal, 0 suspends
	// them.
	slowdown float64
	// failing makes all runs end as work.Failed.
	failing bool
}

// leasedRun is an active run.
type leasedRun struct {
	profile   TaskProfile
	startedAt time.Time
	// progress is the completed fraction, from 0 to 1.
	progress float64
	// killAt is the time at which the run ends as killState, whatever renews the
	// lease until then; zero if it is not being killed.
	killAt    time.Time
	killState work.State
}

// NewLeasedMinion returns a minion that starts now.
func NewLeasedMinion(o LeasedOptions, now time.Time) *LeasedMinion {
	return &LeasedMinion{o: o, startedAt: now, current: now, runs: make(map[work.Run]*leasedRun), highestNumber: make(map[work.Task]int), slowdown: 1}
}

// Describe returns the minion's description of itself.
func (m *LeasedMinion) Describe() work.Minion { return m.o.Minion }

// Clock returns the time on the minion's own clock, which is 1 ms at its start.
func (m *LeasedMinion) Clock(now time.Time) time.Duration {
	return now.Sub(m.startedAt) + time.Millisecond
}

// SetSlowdown multiplies the duration of all runs from now on; 1 is normal, 0
// suspends them.
func (m *LeasedMinion) SetSlowdown(now time.Time, slowdown float64) {
	m.Advance(now)
	m.slowdown = slowdown
}

// SetFailing sets whether all runs that complete from now on end as
// work.Failed.
func (m *LeasedMinion) SetFailing(now time.Time, failing bool) {
	m.Advance(now)
	m.failing = failing
}

// Drain makes the minion report itself as draining.
func (m *LeasedMinion) Drain() { m.o.Minion.Draining = true }

// SetColdUntil makes the minion report that it is slow until a time.
func (m *LeasedMinion) SetColdUntil(until time.Time) { m.o.Minion.ColdUntil = until }

// SetRoom changes the capacity. Active runs go on.
func (m *LeasedMinion) SetRoom(now time.Time, room work.Room) {
	m.Advance(now)
	m.o.Minion.Room = room
}

// Crash ends all runs as work.Lost without listing their ends.
func (m *LeasedMinion) Crash(now time.Time) {
	m.Advance(now)
	for _, run := range m.sortedRuns() {
		delete(m.runs, run)
		m.o.OnEnd(run, work.Lost, now)
	}
}

// UsedRoom returns the capacity that the active runs use.
func (m *LeasedMinion) UsedRoom() work.Room {
	var used work.Room
	for _, r := range m.runs {
		used = used.Plus(r.profile.Room)
	}
	return used
}

// Admits reports whether a request with a fencing token is to be executed, and
// records the token. Nothing is executed after a request with a higher one.
func (m *LeasedMinion) Admits(token int64) bool {
	if token < m.highestToken {
		return false
	}
	m.highestToken = token
	return true
}

// Start executes a start order. A repeated order for an active run is accepted.
func (m *LeasedMinion) Start(now time.Time, order supervisor.StartRun) supervisor.StartAnswer {
	m.Advance(now)
	if !m.Admits(order.FencingToken) {
		return supervisor.StartFenced
	}
	if m.runs[order.Run] != nil {
		return supervisor.StartAccepted
	}
	if order.LeaseExpiry <= m.Clock(now) {
		return supervisor.StartTooLate
	}
	m.extendLease(now, order.LeaseExpiry)
	if order.Run.Number <= m.highestNumber[order.Run.Task] {
		return supervisor.StartOld
	}
	profile := m.o.Profile(order.Run.Task)
	if !m.o.AllowOvercommit && !m.o.Minion.Room.Minus(m.UsedRoom()).Holds(profile.Room) {
		return supervisor.StartNoRoom
	}
	if profile.Rack != "" && !slices.Contains(m.o.Minion.Labels, profile.Rack) {
		profile.Work = time.Duration(float64(profile.Work) * profile.RemoteFactor)
	}
	m.runs[order.Run] = &leasedRun{profile: profile, startedAt: now}
	m.o.OnStart(order.Run, now)
	return supervisor.StartAccepted
}

// Stop ends a run, or prevents its later start.
func (m *LeasedMinion) Stop(now time.Time, run work.Run) {
	m.Advance(now)
	if r := m.runs[run]; r != nil {
		if m.kill(r, now, work.Stopped) {
			m.endRun(now, run, work.Stopped)
		}
		return
	}
	m.highestNumber[run.Task] = max(m.highestNumber[run.Task], run.Number)
}

// RenewLease extends the lease, removes the acknowledged ends and lists the
// active runs and the remaining ends.
func (m *LeasedMinion) RenewLease(now time.Time, order supervisor.RenewLease) (running []supervisor.ListedRun, ended []supervisor.ListedEnd) {
	m.Advance(now)
	if order.LeaseExpiry > 0 {
		m.extendLease(now, order.LeaseExpiry)
	}
	m.unackedEnds = slices.DeleteFunc(m.unackedEnds, func(e supervisor.ListedEnd) bool {
		if e.Number <= order.Acked && m.o.OnEndAcknowledged != nil {
			m.o.OnEndAcknowledged(e.Run, e.State)
		}
		return e.Number <= order.Acked
	})
	for _, run := range m.sortedRuns() {
		running = append(running, supervisor.ListedRun{Run: run, Percent: int(m.runs[run].progress * 100)})
	}
	return running, slices.Clone(m.unackedEnds)
}

// NextEnd returns the time of the next end of a run, by completion or by lease
// expiry, provided that nothing changes before.
func (m *LeasedMinion) NextEnd() (time.Time, bool) {
	next := time.Duration(math.MaxInt64)
	for _, r := range m.runs {
		if m.slowdown > 0 {
			next = min(next, m.remaining(r))
		}
		if r.profile.CrashesAfter > 0 {
			next = min(next, r.startedAt.Add(r.profile.CrashesAfter).Sub(m.current))
		}
		if !r.killAt.IsZero() {
			next = min(next, r.killAt.Sub(m.current))
		}
	}
	if len(m.runs) > 0 && !m.o.IgnoreLeaseExpiry && m.leaseExpiry.After(m.current) {
		next = min(next, m.leaseExpiry.Sub(m.current))
	}
	if next == math.MaxInt64 {
		return time.Time{}, false
	}
	return m.current.Add(next), true
}

// Advance simulates the runs up to now.
func (m *LeasedMinion) Advance(now time.Time) {
	for m.current.Before(now) {
		next := now
		if end, exists := m.NextEnd(); exists && end.Before(next) {
			next = end
		}
		if !next.After(m.current) {
			next = m.current.Add(time.Nanosecond)
		}
		m.advanceTo(next)
	}
}

// advanceTo moves to a time before which no run ends, and ends the runs that
// are due then.
func (m *LeasedMinion) advanceTo(next time.Time) {
	elapsed := next.Sub(m.current)
	m.current = next
	for _, run := range m.sortedRuns() {
		r := m.runs[run]
		if r.profile.CrashesAfter > 0 && next.Sub(r.startedAt) >= r.profile.CrashesAfter {
			m.Crash(next)
			m.o.OnCrash(run, next)
			return
		}
		if m.slowdown > 0 {
			r.progress += float64(elapsed) / (float64(r.profile.Work) * m.o.DurationFactor * m.slowdown)
		}
		switch {
		case r.progress >= 1-1e-9 && (r.profile.Fails || m.failing):
			m.endRun(next, run, work.Failed)
		case r.progress >= 1-1e-9:
			m.endRun(next, run, work.Done)
		case !r.killAt.IsZero():
			if !r.killAt.After(next) {
				m.endRun(next, run, r.killState)
			}
		case !m.o.IgnoreLeaseExpiry && !m.leaseExpiry.After(next) && m.kill(r, next, work.Lost):
			m.endRun(next, run, work.Lost)
		}
	}
}

// kill starts to kill a run, and reports whether it ends at once. A later reason does
// not replace an earlier one.
func (m *LeasedMinion) kill(r *leasedRun, now time.Time, state work.State) bool {
	if m.o.KillDelay == nil || !r.killAt.IsZero() {
		return r.killAt.IsZero()
	}
	delay := m.o.KillDelay(state)
	if delay <= 0 {
		return true
	}
	r.killAt, r.killState = now.Add(delay), state
	return false
}

// remaining returns the duration until a run completes.
func (m *LeasedMinion) remaining(r *leasedRun) time.Duration {
	return time.Duration((1-r.progress)*float64(r.profile.Work)*m.o.DurationFactor*m.slowdown) + time.Nanosecond
}

func (m *LeasedMinion) endRun(now time.Time, run work.Run, state work.State) {
	delete(m.runs, run)
	m.highestNumber[run.Task] = max(m.highestNumber[run.Task], run.Number)
	m.lastEndNumber++
	m.unackedEnds = append(m.unackedEnds, supervisor.ListedEnd{Number: m.lastEndNumber, Run: run, State: state})
	m.o.OnEnd(run, state, now)
}

// extendLease moves the lease expiry to a time on the minion's clock, but never
// to an earlier time than before.
func (m *LeasedMinion) extendLease(now time.Time, expiry time.Duration) {
	expiry = min(expiry, m.Clock(now)+m.o.MaxLease)
	if end := m.startedAt.Add(expiry - time.Millisecond); end.After(m.leaseExpiry) {
		m.leaseExpiry = end
		if m.o.OnLease != nil {
			m.o.OnLease(end)
		}
	}
}

// sortedRuns returns the active runs in a deterministic order.
func (m *LeasedMinion) sortedRuns() []work.Run {
	runs := make([]work.Run, 0, len(m.runs))
	for run := range m.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, work.Compare)
	return runs
}
