package balancer

import (
	"math/rand/v2"
	"time"
)

// Work describes the task to place.
type Work struct {
	// Mean is the expected time at an average minion.
	Mean time.Duration
	// Waiting counts the tasks that wait behind this one.
	Waiting int
	// Zone is the entry's own availability zone.
	Zone string
}

// Candidate is a minion that may take work now, or may soon.
type Candidate struct {
	Minion *Minion
	// Limit is the number of tasks that it may hold.
	Limit int
	// Speed is its expected time over the pool's mean.
	Speed float64
	// Free is false when it holds as much as it may.
	Free bool
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

// Expected picks the free minion with the shortest expected completion, and
// waits when a faster one is expected to be free soon enough. The rule to wait
// is a threshold on the queue, after Lin and Kumar, "Optimal control of a
// queueing system with two heterogeneous servers" (1984).
type Expected struct{}

const (
	// speedBand is the difference in expected time that counts as none, so
	// that minions of like speed are loaded evenly.
	speedBand = 0.15
	// zoneCost is the expected extra time in another availability zone.
	zoneCost = 3 * time.Millisecond
)

// Pick returns the best free candidate, or -1 to wait for a faster one.
func (Expected) Pick(_ time.Time, work Work, candidates []Candidate, random *rand.Rand) int {
	best := bestFree(work, candidates, random)
	if best < 0 {
		return -1
	}
	if waitIsShorter(work, candidates, candidates[best].Speed) {
		return -1
	}
	return best
}

func bestFree(work Work, candidates []Candidate, random *rand.Rand) int {
	fastest := -1.0
	for i := range candidates {
		c := &candidates[i]
		if c.Free && (fastest < 0 || c.Speed < fastest) {
			fastest = c.Speed
		}
	}
	best, bestScore, ties := -1, 0.0, 0
	for i := range candidates {
		c := &candidates[i]
		if !c.Free || c.Speed > fastest*(1+speedBand) {
			continue
		}
		score := idleScore(work, c)
		if best >= 0 && score > bestScore {
			continue
		}
		if best < 0 || score < bestScore {
			best, bestScore, ties = i, score, 1
			continue
		}
		ties++
		if random.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}

// idleScore is the share of busy slots, with the cost of another zone added.
func idleScore(work Work, c *Candidate) float64 {
	score := float64(c.Minion.Busy()) / float64(c.Limit)
	if c.Minion.Zone != work.Zone && work.Mean > 0 {
		score += float64(zoneCost) / float64(work.Mean)
	}
	return score
}

// waitIsShorter compares the extra time at the best free minion with the wait
// for a slot at the clearly faster ones, all of which are busy.
func waitIsShorter(work Work, candidates []Candidate, speed float64) bool {
	rate := 0.0
	fast := 0.0
	slots := 0
	for i := range candidates {
		c := &candidates[i]
		if c.Free || c.Speed*(1+speedBand) >= speed {
			continue
		}
		rate += float64(c.Limit) / c.Speed
		fast += c.Speed * float64(c.Limit)
		slots += c.Limit
	}
	if slots == 0 {
		return false
	}
	wait := float64(work.Waiting+1) / rate
	return fast/float64(slots)+wait < speed
}

// compile-time checks that each policy fits the port.
var (
	_ Policy = Random{}
	_ Policy = RoundRobin{}
	_ Policy = LeastOutstanding{}
	_ Policy = Expected{}
)
