// Package queuer orders work between teams and within a team.
package queuer

import (
	"math"
	"time"

	"agatevalve/common/heap"
	"agatevalve/common/task"
)

// Fair is a queue that shares a pool between teams by weight, and orders the
// work of one team by rank. Sharing follows stride scheduling (Waldspurger and
// Weihl, 1995): the team that has used the least for its weight goes next.
type Fair[T any] struct {
	teams map[task.Team]*line[T]
	// pass is the virtual time of the last team served; it never falls.
	pass float64
	// used is the recent use of all teams, faded to the time usedAt.
	used   float64
	usedAt time.Time
	// order numbers pushes, so that equal ranks stay first-in first-out.
	order uint64
}

// leastUse is the use, in seconds, below which a team counts as idle.
const leastUse = 0.05

// line is the waiting work of one team.
type line[T any] struct {
	team   task.Team
	weight int
	// pass is the virtual time that the team has used, in cost per weight.
	pass float64
	// used is the team's part of Fair.used.
	used  float64
	items *heap.Heap[entry[T]]
}

// usageFades is the time in which use loses all but 1/e of its weight.
const usageFades = 5 * time.Second

type entry[T any] struct {
	rank  time.Time
	order uint64
	item  T
}

// NewFair returns an empty queue.
func NewFair[T any]() *Fair[T] {
	return &Fair[T]{teams: make(map[task.Team]*line[T])}
}

// Push adds an item to its team's line. Items with an earlier rank go first.
// A weight below 1 counts as 1.
func (f *Fair[T]) Push(team task.Team, weight int, rank time.Time, item T) {
	l := f.line(team)
	l.weight = max(weight, 1)
	if l.items.Len() == 0 {
		l.pass = max(l.pass, f.pass)
	}
	f.order++
	l.items.Push(entry[T]{rank: rank, order: f.order, item: item})
}

// Peek returns the first item of the team that goes next among those that
// skip doesn't exclude.
func (f *Fair[T]) Peek(skip func(task.Team) bool) (task.Team, T, bool) {
	var next *line[T]
	for team, l := range f.teams {
		if l.items.Len() == 0 || skip(team) {
			continue
		}
		if next == nil || before(l, next) {
			next = l
		}
	}
	if next == nil {
		var zero T
		return "", zero, false
	}
	return next.team, next.items.Top().item, true
}

// First returns the first item of a team.
func (f *Fair[T]) First(team task.Team) (T, bool) {
	l := f.teams[team]
	if l == nil || l.items.Len() == 0 {
		var zero T
		return zero, false
	}
	return l.items.Top().item, true
}

// Drop removes the first item of a team.
func (f *Fair[T]) Drop(team task.Team) {
	l := f.teams[team]
	if l == nil || l.items.Len() == 0 {
		return
	}
	l.items.Pop()
}

// Charge accounts cost to a team that was served.
func (f *Fair[T]) Charge(now time.Time, team task.Team, cost time.Duration) {
	l := f.line(team)
	f.fade(now)
	f.used += cost.Seconds()
	l.used += cost.Seconds()
	f.pass = max(f.pass, l.pass)
	l.pass += cost.Seconds() / float64(max(l.weight, 1))
}

// Excess returns the team's recent use over its fair part, where the teams with
// recent use share by weight. It is 1 for a team that is alone.
func (f *Fair[T]) Excess(now time.Time, team task.Team) float64 {
	f.fade(now)
	weights := 0
	for _, l := range f.teams {
		if l.used > 0 {
			weights += l.weight
		}
	}
	l := f.teams[team]
	if l == nil || f.used == 0 || weights == 0 {
		return 0
	}
	return l.used / f.used * float64(weights) / float64(max(l.weight, 1))
}

// fade lets past use lose weight.
func (f *Fair[T]) fade(now time.Time) {
	if !now.After(f.usedAt) {
		return
	}
	kept := math.Exp(-float64(now.Sub(f.usedAt)) / float64(usageFades))
	f.usedAt = now
	f.used = 0
	for _, l := range f.teams {
		l.used *= kept
		if l.used < leastUse {
			l.used = 0
		}
		f.used += l.used
	}
}

// Teams returns the number of teams with an account.
func (f *Fair[T]) Teams() int { return len(f.teams) }

// Forget removes the accounts of teams that wait for nothing and have used
// nothing lately.
func (f *Fair[T]) Forget(now time.Time) {
	f.fade(now)
	for team, l := range f.teams {
		if l.items.Len() == 0 && l.used == 0 {
			delete(f.teams, team)
		}
	}
}

func (f *Fair[T]) line(team task.Team) *line[T] {
	l := f.teams[team]
	if l == nil {
		l = &line[T]{team: team, weight: 1, pass: f.pass, items: heap.New(earlier[T])}
		f.teams[team] = l
	}
	return l
}

// before breaks ties by name, so that the order doesn't hang on map iteration.
func before[T any](a, b *line[T]) bool {
	if a.pass != b.pass {
		return a.pass < b.pass
	}
	return a.team < b.team
}

func earlier[T any](a, b entry[T]) bool {
	if !a.rank.Equal(b.rank) {
		return a.rank.Before(b.rank)
	}
	return a.order < b.order
}
