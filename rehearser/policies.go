package rehearser

import (
	"math/rand/v2"
	"slices"
	"time"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// Policy selects how entries place tasks.
type Policy string

// The policies. All but Agatevalve are baselines for comparison.
const (
	// Agatevalve uses package scheduler, as the entry program does.
	Agatevalve Policy = ""
	// LeastLoaded sends each task immediately to the agent with the lowest load
	// relative to its capacity, and retries failures at the agent that then has
	// the lowest load. Agents queue tasks in FIFO order.
	LeastLoaded Policy = "least-loaded"
	// Random sends each task immediately to a random agent with sufficient
	// total capacity.
	Random Policy = "random"
)

// entryCore decides on the placement of tasks and on answers.
type entryCore interface {
	Step(now time.Time, events []scheduler.Event) []scheduler.Command
}

// baseline is a minimal core of an entry without admission control or deadline
// awareness, as a baseline for comparison.
type baseline struct {
	policy   Policy
	random   *rand.Rand
	agents   []*baselineAgent
	jobs     map[string]*baselineJob
	commands []scheduler.Command
}

// baselineAgent is an agent as last reported. linkNumber is 0 without a link.
type baselineAgent struct {
	id         scheduler.AgentID
	linkNumber uint64
	minion     work.Minion
	usable     bool
	load       work.Load
	runs       map[work.Run]bool
}

// baselineJob is an unanswered job. The slices are indexed by task.
type baselineJob struct {
	work.Job

	tickets    []uint64
	runNumbers []int
	failures   []int
	done       []bool
	remaining  int
}

func newBaseline(policy Policy, random *rand.Rand) *baseline {
	return &baseline{policy: policy, random: random, jobs: make(map[string]*baselineJob)}
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
			b.linkOpened(now, ev)
		case scheduler.LinkClosed:
			b.linkClosed(ev)
		case scheduler.Reported:
			b.agentReported(now, ev)
		}
	}
	for _, id := range b.expiredJobs(now) {
		b.finish(id, work.Unfinished)
	}
	return b.commands
}

// expiredJobs returns the sorted IDs of the jobs whose deadline has passed.
func (b *baseline) expiredJobs(now time.Time) []string {
	var expired []string
	for id, j := range b.jobs {
		if !now.Before(j.Deadline) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// submit adds a job and places all its tasks.
func (b *baseline) submit(now time.Time, ev scheduler.Submitted) {
	j := &baselineJob{
		Job: ev.Job, tickets: []uint64{ev.Ticket}, remaining: ev.Job.Count,
		runNumbers: make([]int, ev.Job.Count), failures: make([]int, ev.Job.Count), done: make([]bool, ev.Job.Count),
	}
	b.jobs[j.ID] = j
	for i := range j.Count {
		b.place(now, j, i)
	}
}

// place sends a new run of a task to an agent.
func (b *baseline) place(now time.Time, j *baselineJob, index int) {
	a := b.chooseAgent(j)
	if a == nil {
		return // The job is answered as unfinished at its deadline.
	}
	j.runNumbers[index]++
	run := work.Run{Task: work.Task{Job: j.ID, Index: index}, Number: j.runNumbers[index]}
	a.runs[run] = true
	a.load.Queued = a.load.Queued.Plus(j.Room)
	b.commands = append(b.commands, scheduler.Place{Agent: a.id, Link: a.linkNumber, Order: work.Order{
		Run: run, Room: j.Room, Spec: j.Spec, StartBefore: now, EndBefore: j.Deadline, Work: max(j.Hint, time.Millisecond),
	}})
}

// chooseAgent returns the agent for a task of the job according to the policy;
// nil if none is suitable. Random is a reservoir sample of the suitable agents.
func (b *baseline) chooseAgent(j *baselineJob) *baselineAgent {
	var best *baselineAgent
	lowestLoad, candidates := 0.0, 0
	for _, a := range b.agents {
		if a.linkNumber == 0 || !a.usable || !a.minion.Room.Holds(j.Room) {
			continue
		}
		candidates++
		load := float64(a.load.Running.Plus(a.load.Queued).CPU) / float64(a.minion.Room.CPU)
		if b.policy == Random {
			if b.random.IntN(candidates) == 0 {
				best = a
			}
			continue
		}
		if best == nil || load < lowestLoad {
			best, lowestLoad = a, load
		}
	}
	return best
}

// findOrAddAgent returns the agent with the ID, which it adds if necessary.
func (b *baseline) findOrAddAgent(id scheduler.AgentID) *baselineAgent {
	for _, a := range b.agents {
		if a.id == id {
			return a
		}
	}
	a := &baselineAgent{id: id, runs: make(map[work.Run]bool)}
	b.agents = append(b.agents, a)
	return a
}

func (b *baseline) linkOpened(now time.Time, ev scheduler.LinkOpened) {
	a := b.findOrAddAgent(ev.Agent)
	a.linkNumber, a.minion, a.usable, a.load = ev.Link, ev.Minion, ev.Usable && !ev.Leaving, ev.Load
	for _, report := range ev.Reports {
		b.handleReport(now, a, report)
	}
}

func (b *baseline) linkClosed(ev scheduler.LinkClosed) {
	a := b.findOrAddAgent(ev.Agent)
	if a.linkNumber == ev.Link {
		a.linkNumber = 0
	}
}

func (b *baseline) agentReported(now time.Time, ev scheduler.Reported) {
	a := b.findOrAddAgent(ev.Agent)
	if ev.Load != nil {
		a.load = *ev.Load
	}
	if ev.Minion != nil {
		a.minion, a.usable = *ev.Minion, ev.Usable && !ev.Leaving
	}
	for _, report := range ev.Reports {
		b.handleReport(now, a, report)
	}
}

// handleReport handles the end of a run: it completes the task, retries it, or
// fails the job.
func (b *baseline) handleReport(now time.Time, a *baselineAgent, report work.Report) {
	j := b.jobs[report.Run.Job]
	if !report.State.Ended() || !a.runs[report.Run] {
		return
	}
	delete(a.runs, report.Run)
	i := report.Run.Index
	if j == nil || j.runNumbers[i] != report.Run.Number || j.done[i] {
		return
	}
	switch report.State {
	case work.Done:
		j.done[i] = true
		if j.remaining--; j.remaining == 0 {
			b.finish(j.ID, work.Succeeded)
		}
		return
	case work.Failed:
		if j.failures[i]++; j.failures[i] >= j.Attempts {
			b.finish(j.ID, work.Exhausted)
			return
		}
	}
	b.place(now, j, i)
}

// finish answers a job and stops its remaining runs.
func (b *baseline) finish(id string, outcome work.Outcome) {
	j := b.jobs[id]
	if j == nil {
		return
	}
	delete(b.jobs, id)
	b.commands = append(b.commands, scheduler.Answer{Tickets: j.tickets, Job: id, Outcome: outcome})
	for _, a := range b.agents {
		for i := range j.Count {
			run := work.Run{Task: work.Task{Job: id, Index: i}, Number: j.runNumbers[i]}
			if a.runs[run] {
				delete(a.runs, run)
				b.commands = append(b.commands, scheduler.Stop{Agent: a.id, Link: a.linkNumber, Run: run})
			}
		}
	}
}
