package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"agatevalve/common/task"
)

// Options configure a Balancer.
type Options struct {
	// Zone is the entry's own availability zone.
	Zone string
	// Queue is how many tasks beyond its slots a minion may hold when a task
	// has waited for long.
	Queue int
	// Random breaks ties.
	Random *rand.Rand
}

// Balancer knows the minions of one entry and places tasks by a policy. It is
// not safe for concurrent use.
type Balancer[P Policy] struct {
	policy  P
	options Options
	minions map[task.Process]*Minion
	// pools lists the minions of each pool, ordered by name and incarnation.
	pools map[string][]*Minion
	// candidates is reused between choices.
	candidates []Candidate
}

// New returns a balancer without minions.
func New[P Policy](policy P, options Options) *Balancer[P] {
	return &Balancer[P]{
		policy:  policy,
		options: options,
		minions: make(map[task.Process]*Minion),
		pools:   make(map[string][]*Minion),
	}
}

// Announce adds or refreshes a minion.
func (b *Balancer[P]) Announce(now time.Time, info Info, load Load) {
	m := b.minions[info.ID]
	if m == nil {
		m = &Minion{Speed: 1}
		b.minions[info.ID] = m
	}
	if !slices.Equal(m.Pools, info.Pools) {
		b.leavePools(m)
		m.Info = info
		b.joinPools(m)
	}
	m.Info = info
	m.take(now, load)
}

// Forget removes a minion; work already there is unaffected.
func (b *Balancer[P]) Forget(id task.Process) {
	m := b.minions[id]
	if m == nil {
		return
	}
	b.leavePools(m)
	delete(b.minions, id)
}

// Observe takes in the load that rode on a frame.
func (b *Balancer[P]) Observe(now time.Time, id task.Process, load Load) {
	if m := b.minions[id]; m != nil {
		m.take(now, load)
	}
}

// Heard keeps a minion from expiring before the given time.
func (b *Balancer[P]) Heard(id task.Process, until time.Time) {
	m := b.minions[id]
	if m != nil && until.After(m.Expires) {
		m.Expires = until
	}
}

// Get returns what is known of a minion, or nil.
func (b *Balancer[P]) Get(id task.Process) *Minion { return b.minions[id] }

// Pool returns the minions of a pool. The caller must not change the slice.
func (b *Balancer[P]) Pool(name string) []*Minion { return b.pools[name] }

// Expired returns the minions that were last heard from too long ago.
func (b *Balancer[P]) Expired(now time.Time) []task.Process {
	var gone []task.Process
	for id, m := range b.minions {
		if !now.Before(m.Expires) {
			gone = append(gone, id)
		}
	}
	return gone
}

// Ejected reports whether a minion is kept from work for its failures.
func (b *Balancer[P]) Ejected(now time.Time, id task.Process) bool {
	m := b.minions[id]
	return m != nil && m.health.ejected(now)
}

// Sent accounts a task that was sent to a minion.
func (b *Balancer[P]) Sent(now time.Time, id task.Process, expect time.Duration) {
	m := b.minions[id]
	if m == nil {
		return
	}
	m.Own++
	due := now.Add(max(stallFactor*expect, stallFloor))
	if m.Own == 1 || due.After(m.due) {
		m.due = due
	}
}

// Accepted accounts the agent's word that it has a task.
func (b *Balancer[P]) Accepted(id task.Process) {
	if m := b.minions[id]; m != nil && m.accepted < m.Own {
		m.accepted++
	}
}

// Outcome is the end of a task at a minion, as far as choosing is concerned.
type Outcome struct {
	// Accepted is true when the agent had confirmed the task.
	Accepted bool
	// Answered is true when the minion gave a whole response.
	Answered bool
	// Failed is true when the response or its absence is the minion's fault.
	Failed bool
	// Refused is true when the task didn't start. It counts against the minion
	// only with Failed, when the agent couldn't reach it.
	Refused bool
	// Elapsed is the time from send to answer; Mean is what an average minion takes.
	Elapsed time.Duration
	Mean    time.Duration
}

// Ended accounts the end of a task, however it ended.
func (b *Balancer[P]) Ended(now time.Time, id task.Process, o Outcome) {
	m := b.minions[id]
	if m == nil {
		return
	}
	m.Own = max(m.Own-1, 0)
	if o.Accepted {
		m.accepted = max(m.accepted-1, 0)
	}
	m.accepted = min(m.accepted, m.Own)
	switch {
	case o.Refused:
		m.blocked = now.Add(busyPause)
		if o.Failed {
			m.health.observe(now, true, b.failuresBeside(m))
		}
		return
	case !o.Answered && !o.Failed:
		return
	}
	m.due = now.Add(max(stallFactor*o.Mean, stallFloor))
	m.health.observe(now, o.Failed, b.failuresBeside(m))
	if o.Answered && !o.Failed && o.Mean > 0 {
		m.service += time.Duration(float64(o.Elapsed-m.service) * usualGain)
		m.learn(now, float64(o.Elapsed)/float64(o.Mean))
	}
}

// Choose places one task of a pool, among the minions that allow admits, or
// reports that it has to wait. slotCap caps the tasks at one minion; 0 doesn't.
func (b *Balancer[P]) Choose(now time.Time, pool string, slotCap int, work Work, allow func(task.Process) bool) (task.Process, bool) {
	b.collect(now, pool, slotCap, allow, false)
	if len(b.candidates) == 0 {
		// Never eject all: a pool whose minions are all suspect keeps working.
		b.collect(now, pool, slotCap, allow, true)
	}
	work.Zone = b.options.Zone
	i := b.policy.Pick(now, work, b.candidates, b.options.Random)
	if i < 0 {
		return task.Process{}, false
	}
	return b.candidates[i].Minion.ID, true
}

// Capacity is the state of a pool.
type Capacity struct {
	// Slots sums the slots of the minions that take work.
	Slots int
	// Others estimates the slots that other entries' tasks hold.
	Others float64
	// Busy estimates the tasks at the minions, waiting ones included.
	Busy float64
}

// Capacity returns the state of a pool.
func (b *Balancer[P]) Capacity(now time.Time, pool string) Capacity {
	var total Capacity
	for _, m := range b.pools[pool] {
		if m.Leaving || !now.Before(m.Expires) || m.health.ejected(now) {
			continue
		}
		busy := m.busyAt(now)
		total.Slots += m.Slots
		total.Busy += busy
		total.Others += min(busy-float64(m.Own), float64(m.Slots))
	}
	return total
}

func (b *Balancer[P]) collect(now time.Time, pool string, slotCap int, allow func(task.Process) bool, suspects bool) {
	b.candidates = b.candidates[:0]
	for _, m := range b.pools[pool] {
		if m.Leaving || !now.Before(m.Expires) || !allow(m.ID) {
			continue
		}
		if !suspects && (m.health.ejected(now) || m.stalled(now)) {
			continue
		}
		b.candidates = append(b.candidates, b.candidate(now, m, slotCap))
	}
}

func (b *Balancer[P]) candidate(now time.Time, m *Minion, slotCap int) Candidate {
	slots := m.Slots
	if slotCap > 0 {
		slots = min(slots, slotCap)
	}
	c := Candidate{Minion: m, Slots: slots, Busy: m.busyAt(now), Speed: m.speedAt(now)}
	switch {
	case now.Before(m.blocked):
	case m.health.probation || m.trial(now):
		if m.Own == 0 {
			c.Room = 1
		}
	default:
		c.Room = float64(slots) - c.Busy
		if c.Speed < trialSpeed {
			c.Queue = b.options.Queue
		}
	}
	return c
}

// failuresBeside returns the mean failure share of the other minions that
// share a pool with m and have answered.
func (b *Balancer[P]) failuresBeside(m *Minion) float64 {
	sum, count := 0.0, 0
	for _, pool := range m.Pools {
		for _, other := range b.pools[pool] {
			if other != m && other.health.answers > 0 {
				sum += other.health.failures
				count++
			}
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

func (b *Balancer[P]) joinPools(m *Minion) {
	for _, pool := range m.Pools {
		list := b.pools[pool]
		list = append(list, m)
		slices.SortFunc(list, func(a, c *Minion) int { return compareIDs(a.ID, c.ID) })
		b.pools[pool] = list
	}
}

func (b *Balancer[P]) leavePools(m *Minion) {
	for _, pool := range m.Pools {
		list := slices.DeleteFunc(b.pools[pool], func(other *Minion) bool { return other == m })
		if len(list) == 0 {
			delete(b.pools, pool)
			continue
		}
		b.pools[pool] = list
	}
}

func compareIDs(a, b task.Process) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	case a.Incarnation < b.Incarnation:
		return -1
	case a.Incarnation > b.Incarnation:
		return 1
	}
	return 0
}

// take updates the load. The agent's count includes the own tasks that it has
// confirmed; the rest belongs to other entries.
func (m *Minion) take(now time.Time, load Load) {
	m.Slots = load.Slots
	m.Leaving = load.Leaving
	m.Others = max(load.Running+load.Queued-m.accepted, 0)
	m.seen = now
	m.usual += (float64(m.Others) - m.usual) * usualGain
}

func (m *Minion) learn(now time.Time, ratio float64) {
	if m.trial(now) {
		// After a long silence the new answer says more than the old mean.
		m.Speed = ratio
	}
	m.Speed += (ratio - m.Speed) * speedGain
	m.learned = now
}
