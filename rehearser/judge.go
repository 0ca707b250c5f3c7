package rehearser

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"agatevalve/common/work"
)

const (
	// drainWithin is how long after a status report a draining minion may still
	// be given work.
	drainWithin = 2 * time.Second
	// stopWithin is how long tasks of a job may be at work after its caller left.
	stopWithin = 3 * time.Second
	// mostBroken caps the broken promises that are named.
	mostBroken = 20
)

// judge sees what callers and minions see, and nothing of the cores.
type judge struct {
	w    *world
	cuts []cutPair
	// failures counts the runs of each task that ended Failed, and whose end was
	// acknowledged by the agent that started them. Of others an entry can't know,
	// and a job that is answered at its end may run again for them.
	failures map[work.Task]int
	starters map[work.Run]starter
	// atWork maps each task to the minion that runs it.
	atWork map[work.Task]placed
	// begun holds the jobs of which a task has started.
	begun map[string]bool
	// drains is from when draining minions must be given nothing.
	drains map[string]time.Time
	// leftAt is when the callers of jobs left.
	leftAt map[string]time.Time
	res    Result
	earned map[string]float64
	owed   map[string]float64
}

// starter is the agent process that started a run.
type starter struct {
	agent *agentNode
	life  uint64
}

type placed struct {
	run    work.Run
	minion string
	began  time.Time
}

func newJudge(w *world) *judge {
	return &judge{
		w: w, failures: make(map[work.Task]int), starters: make(map[work.Run]starter), atWork: make(map[work.Task]placed), begun: make(map[string]bool), drains: make(map[string]time.Time),
		leftAt: make(map[string]time.Time), earned: make(map[string]float64), owed: make(map[string]float64),
	}
}

func (j *judge) broke(format string, args ...any) {
	if len(j.res.Broken) < mostBroken {
		j.res.Broken = append(j.res.Broken, fmt.Sprintf("%s: %s", j.w.now.Sub(j.w.start), fmt.Sprintf(format, args...)))
	}
}

func (j *judge) disturbed(f Fault) {
	if f.Kind == DrainMinion {
		a := j.w.agents[f.Minion%len(j.w.agents)]
		j.drains[a.minion.Describe().Name] = j.w.now.Add(reportEvery + drainWithin)
	}
}

// started judges a run that a minion has begun.
func (j *judge) started(minion string, run work.Run, at time.Time) {
	j.res.Starts++
	c := j.w.callers[run.Job]
	if c == nil || run.Index >= len(c.truths) {
		j.broke("unasked: %s started at %s", run, minion)
		return
	}
	if other, some := j.atWork[run.Task]; some {
		j.broke("twice: %s started at %s while %s is at work at %s since %s", run, minion, other.run, other.minion, at.Sub(other.began))
	}
	j.judgePlace(c, minion, run)
	if end, drains := j.drains[minion]; drains && at.After(end) {
		j.broke("drain: %s started at %s", run, minion)
	}
	if left, some := j.leftAt[run.Job]; some && at.Sub(left) > stopWithin {
		j.broke("unasked: %s started at %s, %s after its caller left", run, minion, at.Sub(left))
	}
	j.begun[run.Job] = true
	if c.over && c.refusals == c.submissions {
		j.broke("refused: %s started at %s though its job was refused as not run", run, minion)
	}
	j.atWork[run.Task] = placed{run: run, minion: minion, began: at}
}

// judgePlace judges where a run begins.
func (j *judge) judgePlace(c *caller, minion string, run work.Run) {
	if j.failures[run.Task] >= attempts {
		j.broke("budget: %s started after %d failures", run, j.failures[run.Task])
	}
	var used work.Room
	beside := 0
	for task, p := range j.atWork {
		if p.minion != minion {
			continue
		}
		used = used.Plus(j.w.truth(task).Room)
		if task.Job == run.Job {
			beside++
		}
	}
	if !j.w.day.Room.Minus(used).Holds(j.w.truth(run.Task).Room) {
		j.broke("limit: %s started at %s, which is full", run, minion)
	}
	if most := c.route.MostBeside; most > 0 && beside >= most {
		j.broke("route: %s started at %s beside %d of its job", run, minion, beside)
	}
	for _, a := range j.w.agents {
		if a.minion.Describe().Name == minion && c.route.Label != "" && !slices.Contains(a.labels(), c.route.Label) {
			j.broke("route: %s started at %s without its label", run, minion)
		}
	}
}

// stepped counts a step unless nothing happened in it.
func (j *judge) stepped(events, commands int) {
	if events+commands > 0 {
		j.res.Steps++
	}
}

// stopped notes that a run is at work no more.
func (j *judge) stopped(_ string, run work.Run, state work.State, at time.Time) {
	if p, some := j.atWork[run.Task]; some && p.run == run {
		delete(j.atWork, run.Task)
	}
	if state != work.Done {
		j.res.Wasted++
	}
	if left, some := j.leftAt[run.Job]; some && at.Sub(left) > stopWithin {
		j.broke("unasked: %s was at work until %s after its caller left", run, at.Sub(left))
	}
}

func (j *judge) submitted(c *caller) {
	j.res.Jobs++
	j.owed[c.route.Name] += c.route.Worth
}

// noted takes an end that was acknowledged.
func (j *judge) noted(run work.Run, state work.State) {
	if s, some := j.starters[run]; some && state == work.Failed && s.agent.incarnation == s.life {
		j.failures[run.Task]++
	}
	delete(j.starters, run)
}

// resubmitted forgets failures: a job that comes again runs from the start.
func (j *judge) resubmitted(c *caller) {
	for i := range c.truths {
		delete(j.failures, work.Task{Job: c.id, Index: i})
	}
}

func (j *judge) left(c *caller) {
	j.res.Left++
	j.leftAt[c.id] = j.w.now
	j.owed[c.route.Name] -= c.route.Worth
}

func (j *judge) answered(c *caller, outcome work.Outcome) {
	now := j.w.now
	onTime := !now.After(c.objective) && !now.After(c.deadline)
	switch outcome {
	case work.Succeeded, work.Exhausted:
		if outcome == work.Exhausted && !c.poison {
			j.res.Failed++
			return
		}
		if outcome == work.Succeeded && c.poison {
			j.broke("false answer: %s succeeded", c.id)
		}
		if onTime {
			j.res.OnTime++
			j.earned[c.route.Name] += c.route.Worth
		} else {
			j.res.Late++
			j.earned[c.route.Name] += lateShare * c.route.Worth
		}
	case work.NotRun:
		j.res.Refused++
		if j.begun[c.id] && c.submissions == 1 {
			j.broke("refused: %s was refused as not run after a start", c.id)
		}
	default:
		j.res.Unfinished++
	}
}

func (j *judge) result() Result {
	earned, owed := 0.0, 0.0
	j.res.ByRoute = make(map[string]float64)
	for _, name := range slices.Sorted(maps.Keys(j.owed)) { // In a fixed order, as sums of fractions depend on it.
		o := j.owed[name]
		earned += j.earned[name]
		owed += o
		j.res.ByRoute[name] = j.earned[name] / o
	}
	j.res.Worth = earned / owed
	return j.res
}

func (w *world) sortedCallers() []*caller {
	list := make([]*caller, 0, len(w.callers))
	for _, c := range w.callers {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *caller) int { return cmp.Compare(a.id, b.id) })
	return list
}
