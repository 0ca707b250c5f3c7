package balancer

import (
	"math/rand/v2"
	"time"
)

// Work describes the task to place.
type Work struct {
	// Mean is the expected service time of the task at an average minion.
	Mean time.Duration
	// HarmonicMean is the harmonic mean of the service time, taken as that of a
	// typical task. Delays are weighed relative to it, since a delay matters most
	// to short tasks.
	HarmonicMean time.Duration
	// Waited is the time that the task has waited at the entry.
	Waited time.Duration
	// Zone is the entry's own availability zone.
	Zone string
}

// Candidate is a minion that can get the task, with its estimated load.
type Candidate struct {
	Minion *Minion
	// Slots is the number of tasks that the minion runs at the same time for this
	// pool.
	Slots int
	// Busy is the expected number of tasks at the minion, including other entries'
	// tasks.
	Busy float64
	// Room is the expected number of free slots; below 1 there is none for the
	// task.
	Room float64
	// QueueLimit caps the tasks that may wait for a slot at the minion.
	QueueLimit int
	// Slowdown is the minion's expected service time divided by the pool's mean;
	// above 1 is slower.
	Slowdown float64
}

// Policy chooses one of the candidates for a task. Pick returns the index of
// the candidate, or -1 when the task has to wait.
type Policy interface {
	Pick(now time.Time, work Work, candidates []Candidate, random *rand.Rand) int
}

// Random chooses a uniformly random minion. It is a baseline for comparison.
type Random struct{}

// Pick returns a random candidate, whether or not it has room.
func (Random) Pick(_ time.Time, _ Work, candidates []Candidate, random *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	return random.IntN(len(candidates))
}

// RoundRobin chooses the minions in turn. It is a baseline for comparison.
type RoundRobin struct{ next *int }

// NewRoundRobin returns a RoundRobin policy.
func NewRoundRobin() RoundRobin { return RoundRobin{next: new(int)} }

// Pick returns the next candidate, whether or not it has room.
func (r RoundRobin) Pick(_ time.Time, _ Work, candidates []Candidate, _ *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	*r.next++
	return *r.next % len(candidates)
}

// LeastOutstanding chooses the minion with the fewest unfinished tasks of this
// entry. It is a baseline for comparison.
type LeastOutstanding struct{}

// Pick returns the candidate with the fewest unfinished tasks of this entry,
// whether or not it has room. Ties are broken at random.
func (LeastOutstanding) Pick(_ time.Time, _ Work, candidates []Candidate, random *rand.Rand) int {
	best := -1
	ties := 0
	for i, c := range candidates {
		if best >= 0 && c.Minion.OwnTasks > candidates[best].Minion.OwnTasks {
			continue
		}
		if best < 0 || c.Minion.OwnTasks < candidates[best].Minion.OwnTasks {
			best, ties = i, 1
			continue
		}
		ties++
		if random.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}

// ShortestExpectedDelay chooses the minion with the lowest expected ratio of
// response time to service time (Winston, 1977), with the delay taken relative
// to the service time of a typical task. Tasks wait at the entry while every
// minion seems full. Since the load from other entries is known with a delay, a
// task that has waited for some time may be queued at a minion anyway.
type ShortestExpectedDelay struct{}

const (
	// waitPerQueuedTask is the wait at the entry, as a fraction of
	// Work.HarmonicMean, after which one more task may queue at a minion.
	waitPerQueuedTask = 0.5
	// zoneCost is the expected additional latency to another availability zone.
	zoneCost = 3 * time.Millisecond
	// tieMargin is the range of the random number that is added to each ratio, so
	// that several entries do not all choose the same one of several similar
	// minions.
	tieMargin = 0.02
)

// Pick returns the candidate with the lowest expected ratio among those with
// room, or -1 when none has.
func (ShortestExpectedDelay) Pick(_ time.Time, work Work, candidates []Candidate, random *rand.Rand) int {
	best, leastRatio := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Room+allowedQueue(work, c) < 1 {
			continue
		}
		ratio := expectedRatio(work, c) + random.Float64()*tieMargin
		if best < 0 || ratio < leastRatio {
			best, leastRatio = i, ratio
		}
	}
	return best
}

// allowedQueue returns the number of tasks that may queue at the minion, given
// how long the task has waited.
func allowedQueue(work Work, c *Candidate) float64 {
	if work.HarmonicMean <= 0 {
		return 0
	}
	waited := float64(work.Waited) / float64(work.HarmonicMean)
	return min(waited/waitPerQueuedTask, float64(c.QueueLimit))
}

// expectedRatio estimates the response time of the task at a minion, relative
// to the service time at an average one.
func expectedRatio(work Work, c *Candidate) float64 {
	if work.HarmonicMean <= 0 {
		return c.Slowdown
	}
	queuedAhead := max(1-c.Room, 0)
	wait := queuedAhead / float64(max(c.Slots, 1)) * c.Slowdown * float64(work.Mean)
	if c.Minion.Zone != work.Zone {
		wait += float64(zoneCost)
	}
	return c.Slowdown + wait/float64(work.HarmonicMean)
}

// Compile-time checks that each policy implements Policy.
var (
	_ Policy = Random{}
	_ Policy = RoundRobin{}
	_ Policy = LeastOutstanding{}
	_ Policy = ShortestExpectedDelay{}
)
