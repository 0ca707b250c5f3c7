// Package scheduler is the decision core of an entry for jobs of leased tasks.
// It admits or refuses jobs, places their tasks at agents, retries tasks that
// failed or were lost, and answers each job once. It does no I/O and reads no
// clock: events go in, commands come out.
package scheduler

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"agatevalve/attributor"
	"agatevalve/common/heap"
	"agatevalve/common/work"
)

const (
	// DefaultRunLossTimeout is the time after the loss of a link until the runs
	// at its agent count as lost. By then none of them can be running any more:
	// it covers the silence after which an agent stops the runs of an entry, the
	// lease at the minion, and the time that a stop order takes.
	DefaultRunLossTimeout = 1600 * time.Millisecond
	// DefaultMaxQueueWait is the longest expected wait at an agent for which a
	// task is still sent to it. Beyond it tasks wait at the entry, where they can
	// still be placed elsewhere.
	DefaultMaxQueueWait = 30 * time.Millisecond
	// agentRetention is the time for which an agent without a link and without
	// runs is kept.
	agentRetention = 30 * time.Second
	// maxSpeedup is the factor by which a waiting task may turn out to be faster
	// than expected.
	maxSpeedup = 2
	// maxStepInterval is the maximum interval between two steps while jobs are
	// unanswered. The loss of an agent is noticed this late.
	maxStepInterval = 50 * time.Millisecond
	// pauseGrace is the time after a pause of the process for which no task is placed.
	// In it the process reads that callers have left.
	pauseGrace = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
)

// Options configure a Core. Zero durations select the defaults.
type Options struct {
	// RunLossTimeout is the time after the loss of a link until the runs at its
	// agent count as lost.
	RunLossTimeout time.Duration
	// MaxQueueWait is the longest expected wait at an agent for which a task is
	// still sent to it.
	MaxQueueWait time.Duration
	// RemoteDataFactor is the factor by which a task is expected to take longer
	// away from its data until more is known; 0 for the default of package
	// colocator.
	RemoteDataFactor float64
	// Random spreads the choice between similar minions. It must not be nil.
	Random *rand.Rand
}

// Core holds the scheduling state of one entry. It is not safe for concurrent
// use.
type Core struct {
	options Options
	agents  map[AgentID]*agent
	// sortedAgents holds all agents, sorted by name and incarnation.
	sortedAgents []*agent
	// jobs holds the jobs that have not been answered, by id.
	jobs map[string]*job
	// deadlines holds the deadlines of jobs, including those of answered ones and
	// some that were moved.
	deadlines *heap.Heap[jobDeadline]
	// stopsAt is the time at which this entry stops; zero while it isn't stopping.
	// No job has a later deadline.
	stopsAt time.Time
	// stoppingTasks counts, by task, the runs that were ordered to stop and have not
	// ended. Such a task is not placed.
	stoppingTasks map[work.Task]int
	// usedNumbers are the run numbers of jobs that have ended.
	usedNumbers usedNumbers
	// waiting holds the tasks that are not placed at an agent.
	waiting []*task
	// lastExpiryCheck is the time of the last check for waiting tasks that can't
	// end in time.
	lastExpiryCheck time.Time
	// placeAfter is the time from which tasks are placed after a pause of the process.
	placeAfter time.Time
	// lastPlacement is the time of the last placement pass over the waiting
	// tasks.
	lastPlacement time.Time
	estimator     estimator
	// arrivals is the rate of admitted work by priority.
	arrivals   arrivals[int]
	attributor *attributor.Attributor
	bulkheads  bulkheads
	evacuation evacuation
	locality   locality
	// downtime is the expected time for which minions are down after a crash.
	downtime time.Duration
	commands []Command
	// placementDue is true if an event may have made room for a waiting task.
	placementDue bool
	// hasUsableAgent is true while any agent accepts work.
	hasUsableAgent bool
	// agentGraceUntil is the end of the period in which jobs wait for agents to
	// connect; zero before the first step.
	agentGraceUntil time.Time
}

// AgentID identifies one incarnation of an agent.
type AgentID struct {
	Name        string
	Incarnation uint64
}

// Command is an instruction that the entry has to carry out.
type Command interface{ command() }

// ProcessPaused means that the process goes on after it stood still. Callers that
// left meanwhile may have submitted their jobs at another entry.
type ProcessPaused struct{}

func (ProcessPaused) apply(c *Core, now time.Time) { c.placeAfter = now.Add(pauseGrace) }

// Place sends an order for one run to an agent.
type Place struct {
	Agent AgentID
	Link  uint64
	Order work.Order
}

// Stop asks an agent to stop a run.
type Stop struct {
	Agent AgentID
	Link  uint64
	Run   work.Run
}

// StoppedRunEnded means that a run which was ordered to stop counts as ended. It is for
// the log.
type StoppedRunEnded struct {
	Agent AgentID
	// Minion and Incarnation are those of the agent's minion, as far as known.
	Minion      string
	Incarnation uint64
	// Report tells how and why the run ended.
	Report work.Report
}

// Acknowledge confirms to an agent the reports of ended runs that were
// processed.
type Acknowledge struct {
	Agent AgentID
	Link  uint64
	// Acked is the highest sequence number of a processed report.
	Acked uint64
}

// Answer gives the outcome of a job to all callers that wait for it.
type Answer struct {
	Tickets []uint64
	Job     string
	Outcome work.Outcome
	Reason  string
	// RetryAfter is the time after which a refused caller may expect free
	// capacity; zero for no advice.
	RetryAfter time.Duration
	// Tasks, Expected, Age and UntilDeadline are for the log: the number of tasks,
	// the expected work of one task, the time since the job arrived, and the time
	// left until its deadline.
	Tasks         int
	Expected      time.Duration
	Age           time.Duration
	UntilDeadline time.Duration
}

// LogMessage is a message for the log.
type LogMessage struct {
	Text   string
	Job    string
	Run    work.Run
	Agent  AgentID
	State  work.State
	Reason string
	// Attributes are the values behind a decision, as alternating keys and
	// values.
	Attributes []any
}

func (Place) command()           {}
func (Stop) command()            {}
func (StoppedRunEnded) command() {}
func (Acknowledge) command()     {}
func (Answer) command()          {}
func (LogMessage) command()      {}

// New returns a core without agents and jobs.
func New(o Options) *Core {
	if o.RunLossTimeout == 0 {
		o.RunLossTimeout = DefaultRunLossTimeout
	}
	if o.MaxQueueWait == 0 {
		o.MaxQueueWait = DefaultMaxQueueWait
	}
	return &Core{
		options: o, agents: make(map[AgentID]*agent), jobs: make(map[string]*job), estimator: newEstimator(), arrivals: newArrivals[int](arrivalWindow),
		stoppingTasks: make(map[work.Task]int), usedNumbers: usedNumbers{highest: make(map[string]usedNumber)},
		attributor: attributor.New(), bulkheads: newBulkheads(), locality: newLocality(o.RemoteDataFactor), downtime: defaultDowntime,
		deadlines: heap.New(func(a, b jobDeadline) bool { return a.deadline.Before(b.deadline) }),
	}
}

// Step applies events in order, handles the agents and jobs that have expired
// at the time now, places waiting tasks, and returns the resulting commands.
func (c *Core) Step(now time.Time, events []Event) []Command {
	c.commands = nil
	c.updateAgentGrace(now)
	for _, ev := range events {
		ev.apply(c, now)
	}
	c.updateAgentGrace(now)
	c.partition(now)
	c.expireAgents(now)
	c.expireJobs(now)
	c.usedNumbers.expire(now)
	c.expireWaiting(now)
	c.placeWaiting(now)
	c.reviewWaiting(now)
	return c.commands
}

// NextStep returns the time by which the core must step again if no event
// arrives: soon while tasks wait for a place, and otherwise by the next deadline.
// Without unanswered jobs it returns false.
func (c *Core) NextStep(now time.Time) (next time.Time, due bool) {
	switch {
	case len(c.jobs) == 0:
		return time.Time{}, false
	case len(c.waiting) > 0:
		return now.Add(placementInterval), true
	}
	next = now.Add(maxStepInterval)
	if c.deadlines.Len() > 0 && c.deadlines.Top().deadline.Before(next) {
		next = c.deadlines.Top().deadline
	}
	return next, true
}

// UnstartedJobs counts, by route, the jobs of which no task can have started.
func (c *Core) UnstartedJobs() map[string]int {
	counts := make(map[string]int)
	for _, j := range c.jobs {
		if !j.mayHaveStarted {
			counts[j.Route]++
		}
	}
	return counts
}

// UsableAgents returns the number of agents that accept work.
func (c *Core) UsableAgents() int {
	usable := 0
	for _, a := range c.sortedAgents {
		if a.acceptsWork() {
			usable++
		}
	}
	return usable
}

func (c *Core) emit(command Command) { c.commands = append(c.commands, command) }

// addAgent inserts an agent into the sorted agents.
func (c *Core) addAgent(a *agent) {
	c.agents[a.id] = a
	at, _ := slices.BinarySearchFunc(c.sortedAgents, a.id, func(o *agent, key AgentID) int { return compareAgents(o.id, key) })
	c.sortedAgents = slices.Insert(c.sortedAgents, at, a)
}

// dropAgent removes an agent that has no runs.
func (c *Core) dropAgent(a *agent) {
	c.clearStopping(a, "its agent was dropped")
	delete(c.agents, a.id)
	c.sortedAgents = slices.DeleteFunc(c.sortedAgents, func(o *agent) bool { return o == a })
}

func compareAgents(a, b AgentID) int {
	return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}
