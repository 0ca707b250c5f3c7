// Package scheduler is the deciding core of an entry for jobs of leased tasks.
// It admits or refuses jobs, places their tasks at agents, tries again what
// failed or was lost, and answers each job once. It opens no connection and
// reads no clock.
package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"agatevalve/common/heap"
	"agatevalve/common/work"
)

const (
	// DefaultDetachedLoss is how long after the loss of a link the runs at its
	// agent may still be at work: the silence after which an agent stops the runs
	// of an entry, the lease at the minion, and the time of an order to stop.
	DefaultDetachedLoss = 1600 * time.Millisecond
	// DefaultQueueAhead is the longest expected wait at an agent that tasks are
	// sent into. Beyond it they wait here, where they can still go elsewhere.
	DefaultQueueAhead = 30 * time.Millisecond
	// forgetAgents is how long an agent without a link and without runs is kept.
	forgetAgents = 30 * time.Second
	// mostSpeedUp is how much faster than expected a waiting task may turn out.
	mostSpeedUp = 2
	// leastRetry and mostRetry bound the Retry-After of a refusal.
	leastRetry = time.Second
	mostRetry  = 10 * time.Second
)

// Options are the limits and sources of a Core. Zero durations take the defaults.
type Options struct {
	DetachedLoss time.Duration
	QueueAhead   time.Duration
	// Random must not be nil.
	Random *rand.Rand
}

// Core holds the state of one entry. It is not safe for concurrent use.
type Core struct {
	o      Options
	agents map[Agent]*agent
	// ordered are the agents by name and incarnation.
	ordered []*agent
	jobs    map[string]*job
	// ends are the deadlines of jobs, also of some that have been answered.
	ends *heap.Heap[ending]
	// waiting holds the tasks that are at no agent.
	waiting []*task
	// expired is when waiting tasks were last looked through.
	expired time.Time
	// planned is when waiting tasks were last given places.
	planned  time.Time
	works    estimator
	commands []Command
	// changed is true when a waiting task may find a place that it did not before.
	changed bool
	// reached is true while an agent may be given work.
	reached bool
	// awaitUntil is until when jobs wait for agents; zero before the first step.
	awaitUntil time.Time
}

// Agent names one incarnation of an agent.
type Agent struct {
	Name        string
	Incarnation uint64
}

// Command is something that an entry has to do.
type Command interface{ command() }

// Place sends an order to an agent.
type Place struct {
	Agent Agent
	Link  uint64
	Order work.Order
}

// Stop asks an agent to end a run.
type Stop struct {
	Agent Agent
	Link  uint64
	Run   work.Run
}

// Acknowledge tells an agent which ends have been used.
type Acknowledge struct {
	Agent Agent
	Link  uint64
	Acked uint64
}

// Answer ends a job for all of its callers that wait.
type Answer struct {
	Tickets []uint64
	Job     string
	Outcome work.Outcome
	Reason  string
	// RetryAfter is when a refused caller may expect room; zero for no advice.
	RetryAfter time.Duration
	// Tasks, Expected and Age are what is logged of the job: its tasks, the work
	// that one was expected to take, and the time since it arrived.
	Tasks    int
	Expected time.Duration
	Age      time.Duration
}

// Note is a line for the log.
type Note struct {
	Text   string
	Job    string
	Run    work.Run
	Agent  Agent
	State  work.State
	Reason string
	// Inputs are the figures that decided, by name, in pairs.
	Inputs []any
}

func (Place) command()       {}
func (Stop) command()        {}
func (Acknowledge) command() {}
func (Answer) command()      {}
func (Note) command()        {}

// New returns a core that knows of no agent.
func New(o Options) *Core {
	if o.DetachedLoss == 0 {
		o.DetachedLoss = DefaultDetachedLoss
	}
	if o.QueueAhead == 0 {
		o.QueueAhead = DefaultQueueAhead
	}
	return &Core{
		o: o, agents: make(map[Agent]*agent), jobs: make(map[string]*job), works: newEstimator(),
		ends: heap.New(func(a, b ending) bool { return a.at.Before(b.at) }),
	}
}

// Step lets time pass and takes events in their order.
func (c *Core) Step(now time.Time, events []Event) []Command {
	c.commands = nil
	c.noteReach(now)
	for _, ev := range events {
		ev.apply(c, now)
	}
	c.noteReach(now)
	c.expireAgents(now)
	c.expireJobs(now)
	c.expireWaiting(now)
	c.placeWaiting(now)
	return c.commands
}

// Jobs returns how many jobs are not answered.
func (c *Core) Jobs() int { return len(c.jobs) }

// Waiting counts the jobs of each route of which no task has started.
func (c *Core) Waiting() map[string]int {
	counts := make(map[string]int)
	for _, j := range c.jobs {
		if !j.begun {
			counts[j.Route]++
		}
	}
	return counts
}

// Usable counts the agents that may be given work.
func (c *Core) Usable() int {
	usable := 0
	for _, a := range c.ordered {
		if a.serves() {
			usable++
		}
	}
	return usable
}

func (c *Core) emit(command Command) { c.commands = append(c.commands, command) }

// addAgent keeps a new agent in order.
func (c *Core) addAgent(a *agent) {
	c.agents[a.key] = a
	at, _ := slices.BinarySearchFunc(c.ordered, a.key, func(o *agent, key Agent) int { return compareAgents(o.key, key) })
	c.ordered = slices.Insert(c.ordered, at, a)
}

// dropAgent forgets an agent that has no runs.
func (c *Core) dropAgent(a *agent) {
	delete(c.agents, a.key)
	c.ordered = slices.DeleteFunc(c.ordered, func(o *agent) bool { return o == a })
}

func compareAgents(a, b Agent) int {
	return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}
