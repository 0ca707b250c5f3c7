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
	// QueueLimit caps the tasks beyond its slots that a minion may hold when tasks
	// have waited for long.
	QueueLimit int
	// Random is the source of random numbers by which policies break ties.
	Random *rand.Rand
}

// Balancer tracks the minions known to one entry, and places tasks on them by a
// policy. It is not safe for concurrent use.
type Balancer[P Policy] struct {
	policy  P
	options Options
	minions map[task.Process]*Minion
	// pools lists the minions of each pool, ordered by name and incarnation.
	pools map[string][]*Minion
	// candidates is a buffer that is reused between calls of Choose.
	candidates []Candidate
}

// New returns a Balancer without minions.
func New[P Policy](policy P, options Options) *Balancer[P] {
	return &Balancer[P]{
		policy:  policy,
		options: options,
		minions: make(map[task.Process]*Minion),
		pools:   make(map[string][]*Minion),
	}
}

// Announce adds a minion, or updates it from a new announcement of its agent.
func (b *Balancer[P]) Announce(now time.Time, info Info, load Load) {
	m := b.minions[info.ID]
	if m == nil {
		m = &Minion{Slowdown: 1}
		b.minions[info.ID] = m
	}
	if !slices.Equal(m.Pools, info.Pools) {
		b.removeFromPools(m)
		m.Info = info
		b.addToPools(m)
	}
	m.Info = info
	m.updateLoad(now, load)
}

// Remove removes a minion. Its running tasks are unaffected.
func (b *Balancer[P]) Remove(id task.Process) {
	m := b.minions[id]
	if m == nil {
		return
	}
	b.removeFromPools(m)
	delete(b.minions, id)
}

// UpdateLoad updates the load of a minion from a frame of its agent.
func (b *Balancer[P]) UpdateLoad(now time.Time, id task.Process, load Load) {
	if m := b.minions[id]; m != nil {
		m.updateLoad(now, load)
	}
}

// ExtendExpiry postpones the expiry of a minion to the given time, and never
// brings it forward.
func (b *Balancer[P]) ExtendExpiry(id task.Process, until time.Time) {
	m := b.minions[id]
	if m != nil && until.After(m.Expires) {
		m.Expires = until
	}
}

// Get returns the state of a minion, or nil.
func (b *Balancer[P]) Get(id task.Process) *Minion { return b.minions[id] }

// Pool returns the minions of a pool. The caller must not change the slice.
func (b *Balancer[P]) Pool(name string) []*Minion { return b.pools[name] }

// Expired returns the minions whose expiry has passed without a message from
// their agent.
func (b *Balancer[P]) Expired(now time.Time) []task.Process {
	var expired []task.Process
	for id, m := range b.minions {
		if !now.Before(m.Expires) {
			expired = append(expired, id)
		}
	}
	return expired
}

// Ejected reports whether a minion gets no tasks because of its failures.
func (b *Balancer[P]) Ejected(now time.Time, id task.Process) bool {
	m := b.minions[id]
	return m != nil && m.health.isEjected(now)
}

// RecordSent records that a task was sent to a minion. expected is its mean
// service time.
func (b *Balancer[P]) RecordSent(now time.Time, id task.Process, expected time.Duration) {
	m := b.minions[id]
	if m == nil {
		return
	}
	m.OwnTasks++
	due := now.Add(max(stallFactor*expected, stallFloor))
	if m.OwnTasks == 1 || due.After(m.answerDue) {
		m.answerDue = due
	}
}

// RecordAccepted records that the minion's agent has confirmed a task.
func (b *Balancer[P]) RecordAccepted(id task.Process) {
	if m := b.minions[id]; m != nil && m.accepted < m.OwnTasks {
		m.accepted++
	}
}

// Outcome describes how a task ended at a minion, for the estimates of its
// speed and health.
type Outcome struct {
	// Accepted is true when the agent had confirmed the task.
	Accepted bool
	// Answered is true when the minion returned a complete response.
	Answered bool
	// Failed is true when the minion is to blame for the response or for its
	// absence.
	Failed bool
	// Refused is true when the task did not start. It counts as a failure of the
	// minion only together with Failed, when the agent couldn't reach the minion.
	Refused bool
	// Elapsed is the time from send to answer.
	Elapsed time.Duration
	// Mean is the expected service time of the task at an average minion.
	Mean time.Duration
}

// RecordEnd records the end of a task at a minion.
func (b *Balancer[P]) RecordEnd(now time.Time, id task.Process, o Outcome) {
	m := b.minions[id]
	if m == nil {
		return
	}
	m.OwnTasks = max(m.OwnTasks-1, 0)
	if o.Accepted {
		m.accepted = max(m.accepted-1, 0)
	}
	m.accepted = min(m.accepted, m.OwnTasks)
	switch {
	case o.Refused:
		m.blockedUntil = now.Add(refusalBackoff)
		if o.Failed {
			m.health.observe(now, true, b.peerFailureRate(m))
		}
		return
	case !o.Answered && !o.Failed:
		return
	}
	m.answerDue = now.Add(max(stallFactor*o.Mean, stallFloor))
	m.health.observe(now, o.Failed, b.peerFailureRate(m))
	if o.Answered && !o.Failed && o.Mean > 0 {
		m.meanServiceTime += time.Duration(float64(o.Elapsed-m.meanServiceTime) * meanGain)
		m.updateSlowdown(now, float64(o.Elapsed)/float64(o.Mean))
	}
}

// Choose returns the minion for a task, among the minions of a pool that allow
// permits, or false when the task has to wait. slotCap caps the tasks at one
// minion; 0 means no cap.
func (b *Balancer[P]) Choose(now time.Time, pool string, slotCap int, work Work, allow func(task.Process) bool) (task.Process, bool) {
	b.collectCandidates(now, pool, slotCap, allow, false)
	if len(b.candidates) == 0 {
		// When all minions are ejected or stalled, the pool still has to work.
		b.collectCandidates(now, pool, slotCap, allow, true)
	}
	work.Zone = b.options.Zone
	i := b.policy.Pick(now, work, b.candidates, b.options.Random)
	if i < 0 {
		return task.Process{}, false
	}
	return b.candidates[i].Minion.ID, true
}

// Capacity is the number of slots of a pool and their estimated use.
type Capacity struct {
	// Slots is the sum of the slots of the minions that can get tasks.
	Slots int
	// Others estimates the slots in use by other entries' tasks.
	Others float64
	// Busy estimates the tasks at the minions, including those that are queued
	// there.
	Busy float64
}

// Capacity returns the capacity of the minions of a pool that are neither
// leaving, expired nor ejected.
func (b *Balancer[P]) Capacity(now time.Time, pool string) Capacity {
	var total Capacity
	for _, m := range b.pools[pool] {
		if m.Leaving || !now.Before(m.Expires) || m.health.isEjected(now) {
			continue
		}
		busy := m.expectedTasksAt(now)
		total.Slots += m.Slots
		total.Busy += busy
		total.Others += min(busy-float64(m.OwnTasks), float64(m.Slots))
	}
	return total
}

// collectCandidates fills b.candidates with the usable minions of a pool.
// Ejected and stalled minions are left out unless includeSuspect is set.
func (b *Balancer[P]) collectCandidates(now time.Time, pool string, slotCap int, allow func(task.Process) bool, includeSuspect bool) {
	b.candidates = b.candidates[:0]
	for _, m := range b.pools[pool] {
		if m.Leaving || !now.Before(m.Expires) || !allow(m.ID) {
			continue
		}
		if !includeSuspect && (m.health.isEjected(now) || m.stalled(now)) {
			continue
		}
		b.candidates = append(b.candidates, b.newCandidate(now, m, slotCap))
	}
}

// newCandidate returns the estimates for a minion. A minion that has just
// refused a task has no room; one on probation, or with an outdated slowdown,
// has room for a single task.
func (b *Balancer[P]) newCandidate(now time.Time, m *Minion, slotCap int) Candidate {
	slots := m.Slots
	if slotCap > 0 {
		slots = min(slots, slotCap)
	}
	c := Candidate{Minion: m, Slots: slots, Busy: m.expectedTasksAt(now), Slowdown: m.slowdownAt(now)}
	switch {
	case now.Before(m.blockedUntil):
	case m.health.probation || m.needsTrial(now):
		if m.OwnTasks == 0 {
			c.Room = 1
		}
	default:
		c.Room = float64(slots) - c.Busy
		if c.Slowdown < trialSlowdown {
			c.QueueLimit = b.options.QueueLimit
		}
	}
	return c
}

// peerFailureRate returns the mean failure rate of the other minions that share
// a pool with m and have answered.
func (b *Balancer[P]) peerFailureRate(m *Minion) float64 {
	sum, count := 0.0, 0
	for _, pool := range m.Pools {
		for _, other := range b.pools[pool] {
			if other != m && other.health.answerCount > 0 {
				sum += other.health.failureRate
				count++
			}
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// addToPools adds a minion to its pools and keeps their order.
func (b *Balancer[P]) addToPools(m *Minion) {
	for _, pool := range m.Pools {
		list := b.pools[pool]
		list = append(list, m)
		slices.SortFunc(list, func(a, c *Minion) int { return compareIDs(a.ID, c.ID) })
		b.pools[pool] = list
	}
}

func (b *Balancer[P]) removeFromPools(m *Minion) {
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

// updateLoad updates the minion's load. The tasks that the agent counts include
// those of this entry that it has confirmed; the rest belong to other entries.
func (m *Minion) updateLoad(now time.Time, load Load) {
	m.Slots = load.Slots
	m.Leaving = load.Leaving
	m.OtherTasks = max(load.Running+load.Queued-m.accepted, 0)
	m.loadReportedAt = now
	m.meanOthers += (float64(m.OtherTasks) - m.meanOthers) * meanGain
}

// updateSlowdown adds to the moving average the ratio of one answer, that is,
// its time divided by the mean of the pool.
func (m *Minion) updateSlowdown(now time.Time, ratio float64) {
	if m.needsTrial(now) {
		// The average is outdated: the new answer replaces it.
		m.Slowdown = ratio
	}
	m.Slowdown += (ratio - m.Slowdown) * slowdownGain
	m.slowdownUpdatedAt = now
}
