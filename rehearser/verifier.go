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
	// drainGrace is the time after its first status report as draining in which a
	// minion may still get new runs.
	drainGrace = 2 * time.Second
	// stopGrace is the time in which tasks of a job may still run after its
	// caller has left.
	stopGrace = 3 * time.Second
	// shrinkGrace is the time after a status report in which orders that were sent
	// before may still use the capacity that the minion has lost.
	shrinkGrace = 50 * time.Millisecond
	// maxViolations limits the violations that are recorded.
	maxViolations = 20
	// maxCrashes is the number of minions that a task may crash, after which it
	// must not be started maxCrashes times more.
	maxCrashes = 3
)

// verifier checks the guarantees of the system from what callers and minions
// observe. It has no access to the state of the cores, and also collects the
// figures of the result.
type verifier struct {
	world      *world
	partitions []partition
	// failures counts the runs of each task that ended Failed and whose end was
	// acknowledged by the agent process that started them. An entry can't know
	// of other failures, and because of them a job that was answered when it
	// ended may run again.
	failures map[work.Task]int
	// startedBy maps each run to the agent process that started it, until its
	// end is acknowledged.
	startedBy map[work.Run]agentProcess
	// running maps each task to its active run and the minion that executes it.
	running map[work.Task]placement
	// startedJobs holds the jobs of which a task has started.
	startedJobs map[string]bool
	// statuses holds the newest status report of each minion.
	statuses map[string]status
	// callerLeftAt maps each job whose caller has left to the time of that.
	callerLeftAt map[string]time.Time
	// crashes counts the minions that each task has crashed, startsAfterCrashes its
	// starts after maxCrashes of them, and jobCrashes the crashes of each job.
	crashes, startsAfterCrashes map[work.Task]int
	jobCrashes                  map[string]int
	// crashTimes holds the times of the crashes by tasks, in order.
	crashTimes []time.Time
	locality   localityFigures
	result     Result
	// earnedWorth and offeredWorth are the sums of the worth of answers and of
	// jobs, by route, and settledWorth are those of Result.SettledWorthByRoute.
	earnedWorth  map[string]float64
	offeredWorth map[string]float64
	settledWorth struct{ earned, offered map[string]float64 }
}

// agentProcess is one incarnation of an agent process.
type agentProcess struct {
	agent       *agentNode
	incarnation uint64
}

// status is a status report of a minion as an agent process has got it.
type status struct {
	agent       *agentNode
	incarnation uint64
	minion      work.Minion
	// at is the time of the report, and drainingSince that of the first one that
	// said that the minion is draining.
	at, drainingSince time.Time
}

// placement is an active run and its minion.
type placement struct {
	run       work.Run
	minion    string
	startedAt time.Time
}

func newVerifier(w *world) *verifier {
	v := &verifier{
		world: w, failures: make(map[work.Task]int), startedBy: make(map[work.Run]agentProcess), running: make(map[work.Task]placement), startedJobs: make(map[string]bool), statuses: make(map[string]status),
		crashes: make(map[work.Task]int), startsAfterCrashes: make(map[work.Task]int), jobCrashes: make(map[string]int),
		callerLeftAt: make(map[string]time.Time), earnedWorth: make(map[string]float64), offeredWorth: make(map[string]float64),
	}
	v.result.Windows = make([]Served, len(w.day.Windows))
	v.settledWorth.earned, v.settledWorth.offered = make(map[string]float64), make(map[string]float64)
	return v
}

// offer adds to the worth of the jobs, and earn to that of the answers.
func (v *verifier) offer(c *caller, worth float64) {
	v.offeredWorth[c.route.Name] += worth
	if c.settled() {
		v.settledWorth.offered[c.route.Name] += worth
	}
}

func (v *verifier) earn(c *caller, worth float64) {
	v.earnedWorth[c.route.Name] += worth
	if c.settled() {
		v.settledWorth.earned[c.route.Name] += worth
	}
}

// violation records a violated guarantee and the time since the start of the day.
func (v *verifier) violation(format string, args ...any) {
	if len(v.result.Violations) < maxViolations {
		v.result.Violations = append(v.result.Violations, fmt.Sprintf("%s: %s", v.world.now.Sub(v.world.start), fmt.Sprintf(format, args...)))
	}
}

// statusDelivered records the newest status report that an agent process has got
// of its minion.
func (v *verifier) statusDelivered(a *agentNode, m work.Minion) {
	known := v.statuses[m.Name]
	if known.incarnation == a.incarnation && m.Sequence < known.minion.Sequence {
		return
	}
	next := status{agent: a, incarnation: a.incarnation, minion: m, at: v.world.now}
	if m.Incarnation == known.minion.Incarnation {
		next.drainingSince = known.drainingSince
	}
	if m.Draining && (known.incarnation != a.incarnation || next.drainingSince.IsZero()) {
		next.drainingSince = v.world.now
	}
	v.statuses[m.Name] = next
}

// knownStatus returns the newest status report of a minion that the present
// process of its agent has got; its fields are zero without one.
func (v *verifier) knownStatus(minion string) status {
	if s := v.statuses[minion]; s.agent != nil && s.agent.incarnation == s.incarnation {
		return s
	}
	return status{}
}

// runStarted checks a run that a minion has started.
func (v *verifier) runStarted(minion string, run work.Run, at time.Time) {
	v.result.Starts++
	c := v.world.callers[run.Job]
	if c == nil || run.Index >= len(c.profiles) {
		v.violation("unasked: %s started at %s without a submission", run, minion)
		return
	}
	if other, exists := v.running[run.Task]; exists {
		v.violation("twice: %s started at %s while %s has been running at %s for %s", run, minion, other.run, other.minion, at.Sub(other.startedAt))
	}
	v.checkPlacement(c, minion, run)
	v.checkCrashes(run)
	if s := v.knownStatus(minion); !s.drainingSince.IsZero() && at.Sub(s.drainingSince) > drainGrace {
		v.violation("drain: %s started at %s", run, minion)
	}
	if left, exists := v.callerLeftAt[run.Job]; exists && at.Sub(left) > stopGrace {
		v.violation("unasked: %s started at %s, %s after its caller left", run, minion, at.Sub(left))
	}
	v.startedJobs[run.Job] = true
	if c.finished && c.refusals == c.submissions {
		v.violation("refused: %s started at %s though its job was refused as not run", run, minion)
	}
	v.running[run.Task] = placement{run: run, minion: minion, startedAt: at}
	v.countPlace(c, minion)
}

// checkPlacement checks that the minion may start the run: attempts, capacity,
// the route's limit per minion and its label.
func (v *verifier) checkPlacement(c *caller, minion string, run work.Run) {
	if v.failures[run.Task] >= maxAttempts {
		v.violation("budget: %s started after %d failures", run, v.failures[run.Task])
	}
	var used work.Room
	sameJob := 0
	for task, p := range v.running {
		if p.minion != minion {
			continue
		}
		used = used.Plus(v.world.profile(task).Room)
		if task.Job == run.Job {
			sameJob++
		}
	}
	if !v.roomOf(minion).Minus(used).Holds(v.world.profile(run.Task).Room) {
		v.violation("limit: %s started at %s, which is full", run, minion)
	}
	if limit := c.route.MaxPerMinion; limit > 0 && sameJob >= limit {
		v.violation("route: %s started at %s beside %d tasks of its job", run, minion, sameJob)
	}
	for _, a := range v.world.agents {
		if a.minion.Describe().Name == minion && c.route.Label != "" && !slices.Contains(a.labels(), c.route.Label) {
			v.violation("route: %s started at %s without its label", run, minion)
		}
	}
}

// roomOf returns the capacity that counts for a minion: the reported one, or all
// of it while the report is new.
func (v *verifier) roomOf(minion string) work.Room {
	if s := v.knownStatus(minion); s.agent != nil && v.world.now.Sub(s.at) > shrinkGrace {
		return s.minion.Room
	}
	return v.world.day.Room
}

// checkCrashes checks that a task that crashes minions is not started again and
// again.
func (v *verifier) checkCrashes(run work.Run) {
	if v.crashes[run.Task] < maxCrashes {
		return
	}
	if v.startsAfterCrashes[run.Task]++; v.startsAfterCrashes[run.Task] == maxCrashes {
		v.violation("budget: %s is start %d after it crashed %d minions", run, maxCrashes, v.crashes[run.Task])
	}
}

// minionCrashed counts a crash by a run.
func (v *verifier) minionCrashed(run work.Run, at time.Time) {
	v.result.Crashes++
	v.crashes[run.Task]++
	v.jobCrashes[run.Job]++
	v.result.JobCrashes = max(v.result.JobCrashes, v.jobCrashes[run.Job])
	v.crashTimes = append(v.crashTimes, at)
}

// countDown sets the largest numbers of minions that were down at the same time,
// which change with crashes only.
func (v *verifier) countDown() {
	settled := v.world.start.Add(v.world.day.DeadlyWork.At + settlingTime)
	for _, at := range append([]time.Time{settled}, v.crashTimes...) {
		down := 0
		for _, crashedAt := range v.crashTimes {
			if !crashedAt.After(at) && at.Sub(crashedAt) < crashDowntime {
				down++
			}
		}
		v.result.MostDown = max(v.result.MostDown, down)
		if !at.Before(settled) {
			v.result.SettledMostDown = max(v.result.SettledMostDown, down)
		}
	}
}

// countStep counts a step of a core unless nothing happened in it.
func (v *verifier) countStep(events, commands int) {
	if events+commands > 0 {
		v.result.Steps++
	}
}

// runEnded records that a run is no longer active, and checks that it did not
// outlive its caller by too much.
func (v *verifier) runEnded(_ string, run work.Run, state work.State, at time.Time) {
	if p, exists := v.running[run.Task]; exists && p.run == run {
		v.countRun(run, state, at.Sub(p.startedAt), at)
		delete(v.running, run.Task)
	}
	if state != work.Done {
		v.result.Wasted++
	}
	if left, exists := v.callerLeftAt[run.Job]; exists && at.Sub(left) > stopGrace {
		v.violation("unasked: %s ran until %s after its caller left", run, at.Sub(left))
	}
}

func (v *verifier) jobSubmitted(c *caller) {
	v.result.Jobs++
	v.locality.count(c, 1, 0)
	if !c.deadly {
		v.offer(c, c.route.Worth)
	}
	v.countServed(c, func(s *Served, work float64) { s.Jobs, s.Work = s.Jobs+1, s.Work+work })
}

// endAcknowledged counts a failure when the agent acknowledges the end of a
// run.
func (v *verifier) endAcknowledged(run work.Run, state work.State) {
	if s, exists := v.startedBy[run]; exists && state == work.Failed && s.agent.incarnation == s.incarnation {
		v.failures[run.Task]++
	}
	delete(v.startedBy, run)
}

// resetFailures resets the failures of a job, as a resubmitted job has all its
// attempts again.
func (v *verifier) resetFailures(c *caller) {
	for i := range c.profiles {
		delete(v.failures, work.Task{Job: c.id, Index: i})
	}
}

// callerLeft records that the caller no longer waits, so that the job can't
// earn its worth.
func (v *verifier) callerLeft(c *caller) {
	v.result.CallersLeft++
	v.locality.count(c, -1, 0)
	v.callerLeftAt[c.id] = v.world.now
	if !c.deadly {
		v.offer(c, -c.route.Worth)
	}
	v.countServed(c, func(s *Served, work float64) { s.Jobs, s.Work = s.Jobs-1, s.Work-work })
}

// answerReceived checks and counts the answer of an entry.
func (v *verifier) answerReceived(c *caller, outcome work.Outcome) {
	now := v.world.now
	onTime := !now.After(c.objective) && !now.After(c.deadline)
	if c.deadly {
		if outcome == work.Succeeded {
			v.violation("false answer: %s succeeded though one of its tasks can't be done", c.id)
		}
		return // Such a job is worth nothing, whatever its answer.
	}
	switch outcome {
	case work.Succeeded, work.Exhausted:
		if outcome == work.Exhausted && !c.alwaysFails {
			v.result.Failed++
			return
		}
		if outcome == work.Succeeded && c.alwaysFails {
			v.violation("false answer: %s succeeded though its tasks always fail", c.id)
		}
		c.served = true
		if onTime {
			v.result.OnTime++
			v.countServed(c, func(s *Served, work float64) { s.OnTime, s.OnTimeWork = s.OnTime+1, s.OnTimeWork+work })
			v.locality.count(c, 0, 1)
			v.earn(c, c.route.Worth)
		} else {
			v.result.Late++
			v.earn(c, lateWorthFactor*c.route.Worth)
		}
	case work.NotRun:
		v.result.Refused++
		v.countServed(c, func(s *Served, _ float64) { s.Refused++ })
		if v.startedJobs[c.id] && c.submissions == 1 {
			v.violation("refused: %s was refused as not run after a start", c.id)
		}
	default:
		v.result.Unfinished++
	}
}

// finalResult computes the worth and returns the result.
func (v *verifier) finalResult() Result {
	v.countDown()
	totalEarned, totalOffered := 0.0, 0.0
	v.result.WorthByRoute, v.result.SettledWorthByRoute = make(map[string]float64), make(map[string]float64)
	for _, name := range slices.Sorted(maps.Keys(v.offeredWorth)) { // Sums of floats depend on their order.
		offered := v.offeredWorth[name]
		totalEarned += v.earnedWorth[name]
		totalOffered += offered
		v.result.WorthByRoute[name] = v.earnedWorth[name] / offered
		if settled := v.settledWorth.offered[name]; settled > 0 {
			v.result.SettledWorthByRoute[name] = v.settledWorth.earned[name] / settled
		}
	}
	v.result.Worth = totalEarned / totalOffered
	v.locality.summarize(&v.result)
	v.result.ServedBySize = v.servedBySize()
	return v.result
}

// sortedCallers returns the callers in a deterministic order.
func (w *world) sortedCallers() []*caller {
	list := make([]*caller, 0, len(w.callers))
	for _, c := range w.callers {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *caller) int { return cmp.Compare(a.id, b.id) })
	return list
}
