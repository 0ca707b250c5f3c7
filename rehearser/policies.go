package rehearser

import (
	"math/rand/v2"
	"slices"
	"time"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// Policy is how entries place tasks.
type Policy string

const (
	// Product is what agatevalve does.
	Product Policy = ""
	// LeastLoaded sends each task at once to the agent with the least load
	// relative to its room, and again elsewhere after a failure; agents queue
	// in the order of arrival.
	LeastLoaded Policy = "least-loaded"
	// Random sends each task at once to any agent that could hold it.
	Random Policy = "random"
)

// entryCore is the deciding part of an entry.
type entryCore interface {
	Step(now time.Time, events []scheduler.Event) []scheduler.Command
}

// baseline is an entry that decides as little as possible, to compare with.
type baseline struct {
	policy   Policy
	random   *rand.Rand
	agents   []*baseAgent
	jobs     map[string]*baseJob
	commands []scheduler.Command
}

type baseAgent struct {
	key    scheduler.AgentID
	link   uint64
	minion work.Minion
	usable bool
	load   work.Load
	runs   map[work.Run]bool
}

type baseJob struct {
	work.Job

	tickets []uint64
	numbers []int
	failed  []int
	done    []bool
	left    int
}

func newBaseline(policy Policy, random *rand.Rand) *baseline {
	return &baseline{policy: policy, random: random, jobs: make(map[string]*baseJob)}
}

// Step implements entryCore.
func (b *baseline) Step(now time.Time, events []scheduler.Event) []scheduler.Command {
	b.commands = nil
	for _, ev := range events {
		switch ev := ev.(type) {
		case scheduler.Submitted:
			b.submit(now, ev)
		case scheduler.Withdrawn:
			b.finish(ev.Job, work.Unfinished)
		case scheduler.LinkOpened:
			b.opened(now, ev)
		case scheduler.LinkClosed:
			b.closed(ev)
		case scheduler.Reported:
			b.reported(now, ev)
		}
	}
	for _, id := range b.late(now) {
		b.finish(id, work.Unfinished)
	}
	return b.commands
}

func (b *baseline) late(now time.Time) []string {
	var late []string
	for id, j := range b.jobs {
		if !now.Before(j.Deadline) {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	return late
}

func (b *baseline) submit(now time.Time, ev scheduler.Submitted) {
	j := &baseJob{
		Job: ev.Job, tickets: []uint64{ev.Ticket}, left: ev.Job.Count,
		numbers: make([]int, ev.Job.Count), failed: make([]int, ev.Job.Count), done: make([]bool, ev.Job.Count),
	}
	b.jobs[j.ID] = j
	for i := range j.Count {
		b.place(now, j, i)
	}
}

func (b *baseline) place(now time.Time, j *baseJob, index int) {
	a := b.choose(j)
	if a == nil {
		return // The job ends at its deadline.
	}
	j.numbers[index]++
	run := work.Run{Task: work.Task{Job: j.ID, Index: index}, Number: j.numbers[index]}
	a.runs[run] = true
	a.load.Queued = a.load.Queued.Plus(j.Room)
	b.commands = append(b.commands, scheduler.Place{Agent: a.key, Link: a.link, Order: work.Order{
		Run: run, Room: j.Room, Spec: j.Spec, StartBefore: now, EndBefore: j.Deadline, Work: max(j.Hint, time.Millisecond),
	}})
}

func (b *baseline) choose(j *baseJob) *baseAgent {
	var best *baseAgent
	least, seen := 0.0, 0
	for _, a := range b.agents {
		if a.link == 0 || !a.usable || !a.minion.Room.Holds(j.Room) {
			continue
		}
		seen++
		load := float64(a.load.Running.Plus(a.load.Queued).CPU) / float64(a.minion.Room.CPU)
		if b.policy == Random {
			if b.random.IntN(seen) == 0 {
				best = a
			}
			continue
		}
		if best == nil || load < least {
			best, least = a, load
		}
	}
	return best
}

func (b *baseline) agent(key scheduler.AgentID) *baseAgent {
	for _, a := range b.agents {
		if a.key == key {
			return a
		}
	}
	a := &baseAgent{key: key, runs: make(map[work.Run]bool)}
	b.agents = append(b.agents, a)
	return a
}

func (b *baseline) opened(now time.Time, ev scheduler.LinkOpened) {
	a := b.agent(ev.Agent)
	a.link, a.minion, a.usable, a.load = ev.Link, ev.Minion, ev.Usable && !ev.Leaving, ev.Load
	for _, report := range ev.Reports {
		b.take(now, a, report)
	}
}

func (b *baseline) closed(ev scheduler.LinkClosed) {
	a := b.agent(ev.Agent)
	if a.link == ev.Link {
		a.link = 0
	}
}

func (b *baseline) reported(now time.Time, ev scheduler.Reported) {
	a := b.agent(ev.Agent)
	if ev.Load != nil {
		a.load = *ev.Load
	}
	if ev.Minion != nil {
		a.minion, a.usable = *ev.Minion, ev.Usable && !ev.Leaving
	}
	for _, report := range ev.Reports {
		b.take(now, a, report)
	}
}

func (b *baseline) take(now time.Time, a *baseAgent, report work.Report) {
	j := b.jobs[report.Run.Job]
	if !report.State.Ended() || !a.runs[report.Run] {
		return
	}
	delete(a.runs, report.Run)
	i := report.Run.Index
	if j == nil || j.numbers[i] != report.Run.Number || j.done[i] {
		return
	}
	switch report.State {
	case work.Done:
		j.done[i] = true
		if j.left--; j.left == 0 {
			b.finish(j.ID, work.Succeeded)
		}
		return
	case work.Failed:
		if j.failed[i]++; j.failed[i] >= j.Attempts {
			b.finish(j.ID, work.Exhausted)
			return
		}
	}
	b.place(now, j, i)
}

func (b *baseline) finish(id string, outcome work.Outcome) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	delete(b.jobs, id)
	b.commands = append(b.commands, scheduler.Answer{Tickets: j.tickets, Job: id, Outcome: outcome})
	for _, a := range b.agents {
		for i := range j.Count {
			run := work.Run{Task: work.Task{Job: id, Index: i}, Number: j.numbers[i]}
			if a.runs[run] {
				delete(a.runs, run)
				b.commands = append(b.commands, scheduler.Stop{Agent: a.key, Link: a.link, Run: run})
			}
		}
	}
}
