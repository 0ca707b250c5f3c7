package balancer

import (
	"math/rand/v2"
	"time"
)

// Work describes the task to place.
type Work struct {
	// Mean is the expected time at an average minion.
	Mean time.Duration
	// Typical is the harmonic mean of that time: a wait weighs the most on
	// short tasks.
	Typical time.Duration
	// Waited is how long the task has waited.
	Waited time.Duration
	// Zone is the entry's own availability zone.
	Zone string
}

// Candidate is a minion that may take work now, or may soon.
type Candidate struct {
	Minion *Minion
	// Slots is the number of tasks that it runs at once for this pool.
	Slots int
	// Busy is the expected number of its tasks, those of other entries included.
	Busy float64
	// Room is how many more tasks it may run; below 1 it is full.
	Room float64
	// Queue is how many tasks may wait there for a slot.
	Queue int
	// Speed is its expected time over the pool's mean.
	Speed float64
}

// Policy picks a candidate. It returns its index, or -1 to wait.
type Policy interface {
	Pick(now time.Time, work Work, candidates []Candidate, random *rand.Rand) int
}

// Random picks any minion: a baseline.
type Random struct{}

// Pick returns a random candidate, free or not.
func (Random) Pick(_ time.Time, _ Work, candidates []Candidate, random *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	return random.IntN(len(candidates))
}

// RoundRobin picks minions in turn: a baseline.
type RoundRobin struct{ next *int }

// NewRoundRobin returns a policy that starts with the first minion.
func NewRoundRobin() RoundRobin { return RoundRobin{next: new(int)} }

// Pick returns the next candidate, free or not.
func (r RoundRobin) Pick(_ time.Time, _ Work, candidates []Candidate, _ *rand.Rand) int {
	if len(candidates) == 0 {
		return -1
	}
	*r.next++
	return *r.next % len(candidates)
}

// LeastOutstanding picks the minion to which this entry has sent the fewest
// unanswered tasks: a baseline.
type LeastOutstanding struct{}

// Pick returns the candidate with the fewest own tasks, free or not.
func (LeastOutstanding) Pick(_ time.Time, _ Work, candidates []Candidate, random *rand.Rand) int {
	best := -1
	ties := 0
	for i, c := range candidates {
		if best >= 0 && c.Minion.Own > candidates[best].Minion.Own {
			continue
		}
		if best < 0 || c.Minion.Own < candidates[best].Minion.Own {
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

// Expected picks the minion with the least expected ratio of answer time to
// service time. It is shortest expected delay (Winston, 1977), with the delay
// taken relative to a typical task. Work waits at the entry while every minion
// seems full; since other entries' tasks are known late, work that has waited
// may queue at a minion after all.
type Expected struct{}

const (
	// patience is the part of a typical service time for which work waits
	// before one more task may queue at a minion.
	patience = 0.5
	// zoneCost is the expected extra time in another availability zone.
	zoneCost = 3 * time.Millisecond
	// evenness is the difference in ratio that is left to chance, so that
	// several entries don't all pick the same minion.
	evenness = 0.02
)

// Pick returns the best candidate that has room, or -1 to wait.
func (Expected) Pick(_ time.Time, work Work, candidates []Candidate, random *rand.Rand) int {
	best, least := -1, 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.Room+queueFor(work, c) < 1 {
			continue
		}
		ratio := expectedRatio(work, c) + random.Float64()*evenness
		if best < 0 || ratio < least {
			best, least = i, ratio
		}
	}
	return best
}

// queueFor returns how many tasks may wait at the minion by now.
func queueFor(work Work, c *Candidate) float64 {
	if work.Typical <= 0 {
		return 0
	}
	waited := float64(work.Waited) / float64(work.Typical)
	return min(waited/patience, float64(c.Queue))
}

// expectedRatio estimates the answer time over that of an average minion.
func expectedRatio(work Work, c *Candidate) float64 {
	if work.Typical <= 0 {
		return c.Speed
	}
	ahead := max(1-c.Room, 0)
	wait := ahead / float64(max(c.Slots, 1)) * c.Speed * float64(work.Mean)
	if c.Minion.Zone != work.Zone {
		wait += float64(zoneCost)
	}
	return c.Speed + wait/float64(work.Typical)
}

// compile-time checks that each policy fits the port.
var (
	_ Policy = Random{}
	_ Policy = RoundRobin{}
	_ Policy = LeastOutstanding{}
	_ Policy = Expected{}
)
