// Package queuer implements a weighted fair queue between teams.
package queuer

import (
	"math"
	"time"

	"agatevalve/common/heap"
	"agatevalve/common/task"
)

// FairQueue divides the use of a pool between teams by weight, and orders the
// items of one team by rank. It uses stride scheduling (Waldspurger and Weihl,
// 1995): the team with the lowest pass, that is, the least use for its weight,
// is served next.
type FairQueue[T any] struct {
	teams map[task.Team]*teamQueue[T]
	// pass is the virtual time: the highest pass at which a team was served. It
	// never decreases.
	pass float64
	// recentUse is the sum of the recent use of all teams, in seconds of cost,
	// decayed up to useDecayedAt.
	recentUse    float64
	useDecayedAt time.Time
	// sequence numbers the pushed items, so that items of equal rank stay in FIFO
	// order.
	sequence uint64
}

// minRecentUse is the recent use, in seconds, below which a team counts as
// idle.
const minRecentUse = 0.05

// teamQueue holds the queued items and the use of one team.
type teamQueue[T any] struct {
	team   task.Team
	weight int
	// pass is the team's virtual time: the sum of its costs, each divided by its
	// weight.
	pass float64
	// recentUse is the team's part of FairQueue.recentUse.
	recentUse float64
	items     *heap.Heap[queuedItem[T]]
}

// useTimeConstant is the time constant of the exponential decay of recent use.
const useTimeConstant = 5 * time.Second

// queuedItem is an item with the rank and the sequence number that order it
// within its team.
type queuedItem[T any] struct {
	rank     time.Time
	sequence uint64
	item     T
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any]() *FairQueue[T] {
	return &FairQueue[T]{teams: make(map[task.Team]*teamQueue[T])}
}

// Push adds an item to the queue of a team and sets the team's weight. Items
// with an earlier rank are served first. A weight below 1 counts as 1. A team
// that was idle joins at the current virtual time, so that it gains no credit
// for its absence.
func (f *FairQueue[T]) Push(team task.Team, weight int, rank time.Time, item T) {
	q := f.ensureTeam(team)
	q.weight = max(weight, 1)
	if q.items.Len() == 0 {
		q.pass = max(q.pass, f.pass)
	}
	f.sequence++
	q.items.Push(queuedItem[T]{rank: rank, sequence: f.sequence, item: item})
}

// Peek returns the first item of the team to be served next, among the teams
// that skip does not exclude.
func (f *FairQueue[T]) Peek(skip func(task.Team) bool) (task.Team, T, bool) {
	var next *teamQueue[T]
	for team, q := range f.teams {
		if q.items.Len() == 0 || skip(team) {
			continue
		}
		if next == nil || goesBefore(q, next) {
			next = q
		}
	}
	if next == nil {
		var zero T
		return "", zero, false
	}
	return next.team, next.items.Top().item, true
}

// PeekTeam returns the first item of a team.
func (f *FairQueue[T]) PeekTeam(team task.Team) (T, bool) {
	q := f.teams[team]
	if q == nil || q.items.Len() == 0 {
		var zero T
		return zero, false
	}
	return q.items.Top().item, true
}

// Pop removes the first item of a team.
func (f *FairQueue[T]) Pop(team task.Team) {
	q := f.teams[team]
	if q == nil || q.items.Len() == 0 {
		return
	}
	q.items.Pop()
}

// Charge adds the cost of a served item to the use of its team.
func (f *FairQueue[T]) Charge(now time.Time, team task.Team, cost time.Duration) {
	q := f.ensureTeam(team)
	f.decayUse(now)
	f.recentUse += cost.Seconds()
	q.recentUse += cost.Seconds()
	f.pass = max(f.pass, q.pass)
	q.pass += cost.Seconds() / float64(max(q.weight, 1))
}

// ShareRatio returns the recent use of a team divided by its fair share, where
// all teams with recent use share by weight. It is 1 for a team that is alone,
// and above 1 for a team that uses more than its share.
func (f *FairQueue[T]) ShareRatio(now time.Time, team task.Team) float64 {
	f.decayUse(now)
	weights := 0
	for _, q := range f.teams {
		if q.recentUse > 0 {
			weights += q.weight
		}
	}
	q := f.teams[team]
	if q == nil || f.recentUse == 0 || weights == 0 {
		return 0
	}
	return q.recentUse / f.recentUse * float64(weights) / float64(max(q.weight, 1))
}

// decayUse applies the exponential decay of recent use up to now.
func (f *FairQueue[T]) decayUse(now time.Time) {
	if !now.After(f.useDecayedAt) {
		return
	}
	factor := math.Exp(-float64(now.Sub(f.useDecayedAt)) / float64(useTimeConstant))
	f.useDecayedAt = now
	f.recentUse = 0
	for _, q := range f.teams {
		q.recentUse *= factor
		if q.recentUse < minRecentUse {
			q.recentUse = 0
		}
		f.recentUse += q.recentUse
	}
}

// TeamCount returns the number of teams that the queue keeps state for.
func (f *FairQueue[T]) TeamCount() int { return len(f.teams) }

// RemoveIdle removes the teams that have no queued items and no recent use.
func (f *FairQueue[T]) RemoveIdle(now time.Time) {
	f.decayUse(now)
	for team, q := range f.teams {
		if q.items.Len() == 0 && q.recentUse == 0 {
			delete(f.teams, team)
		}
	}
}

// ensureTeam returns the queue of a team, and creates it when there is none.
func (f *FairQueue[T]) ensureTeam(team task.Team) *teamQueue[T] {
	q := f.teams[team]
	if q == nil {
		q = &teamQueue[T]{team: team, weight: 1, pass: f.pass, items: heap.New(rankedBefore[T])}
		f.teams[team] = q
	}
	return q
}

// goesBefore orders teams by pass. Ties are broken by name, so that the order
// does not depend on map iteration.
func goesBefore[T any](a, b *teamQueue[T]) bool {
	if a.pass != b.pass {
		return a.pass < b.pass
	}
	return a.team < b.team
}

// rankedBefore orders the items of one team by rank, then by sequence number.
func rankedBefore[T any](a, b queuedItem[T]) bool {
	if !a.rank.Equal(b.rank) {
		return a.rank.Before(b.rank)
	}
	return a.sequence < b.sequence
}
