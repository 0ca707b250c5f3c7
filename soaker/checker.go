package soaker

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"agatevalve/common/work"
	"agatevalve/emulator"
)

const (
	// maxViolations is the maximum number of violations of each kind that are
	// reported, so that many of one kind don't hide another.
	maxViolations = 20
	// cancelGrace is the time for which a job may still start or run after its
	// cancellation.
	cancelGrace = 3 * time.Second
	// drainGrace is the time for which runs may still start at a minion after its
	// report that it drains.
	drainGrace = 2 * time.Second
	// maxCrashes is the number of minions that a task may crash, after which it must
	// not be started maxCrashes times more.
	maxCrashes = 3
	// minLosses is the number of runs of a task that must be lost with their minions
	// before its job may be given up.
	minLosses = 2
	// undisturbedPeriod is the time without faults before an event that is required
	// by checks which apply to undisturbed processes only.
	undisturbedPeriod = 3 * time.Second
)

const (
	// allTargets is the target of faults that affect all processes.
	allTargets = "everything"
	// anyTarget is marked as disturbed by each fault.
	anyTarget = "anything"
)

// checker checks the guarantees that callers, minions and the operator can
// observe. All minions share its lock, and hold it during their callbacks.
type checker struct {
	mu        sync.Mutex
	startTime time.Time
	// minions holds the current minion of each agent.
	minions    []checkedMinion
	violations []string
	// violationCounts counts the violations by kind, which is the part of their
	// text before the first colon.
	violationCounts map[string]int
	jobs            map[string]*jobRecord
	// running holds the running tasks.
	running map[work.Task]placement
	// history holds all runs of each task.
	history map[work.Task][]*interval
	// drainDeadlines holds the time of each draining minion by name after which no
	// run may start there.
	drainDeadlines map[string]time.Time
	// disturbedUntil holds the time at which the last fault of each target ends.
	disturbedUntil map[string]time.Time
	// evacuatedAt holds the times at which the store acknowledged the evacuation of
	// zones, or zero for those that are not evacuated.
	evacuatedAt map[string]time.Time
	// entries is the number of entries.
	entries int
	// starts counts the runs that minions started.
	starts int
}

// placement is a run and the minion that runs it.
type placement struct {
	run    work.Run
	minion string
}

// jobRecord is a submitted job and what is known of its progress.
type jobRecord struct {
	work.Job

	// profiles holds what each task really needs, by index.
	profiles []emulator.TaskProfile
	// answerTimeout is the time within which its caller expects an answer.
	answerTimeout time.Duration
	// allNotRun is true while all answers had the outcome NotRun.
	allNotRun bool
	// finished is true after the answer to the last submission.
	finished bool
	// callerLeftAt is the time at which the caller disconnected or cancelled the
	// job; zero if it did neither.
	callerLeftAt time.Time
	// done holds the tasks that a minion completed, by index.
	done map[int]bool
	// failures counts the failed runs of each task, by index.
	failures map[int]int
	// losses counts the runs of each task that were lost with their minion, and
	// crashes those that crashed it, by index. startsAfterCrashes counts the starts
	// of a task that had crashed maxCrashes minions.
	losses, crashes, startsAfterCrashes map[int]int
	// hideCompletions makes the checker ignore completed tasks, for LostEnds.
	hideCompletions bool
}

// newChecker returns a checker without jobs.
func newChecker(entries int) *checker {
	return &checker{
		startTime: time.Now(), violationCounts: make(map[string]int), jobs: make(map[string]*jobRecord), running: make(map[work.Task]placement), history: make(map[work.Task][]*interval),
		drainDeadlines: make(map[string]time.Time), disturbedUntil: make(map[string]time.Time),
		evacuatedAt: make(map[string]time.Time), entries: entries,
	}
}

// addViolation records a violated guarantee.
func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

// addViolationLocked is addViolation with the lock held.
func (c *checker) addViolationLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	kind, _, _ := strings.Cut(text, ":")
	c.violationCounts[kind]++
	if c.violationCounts[kind] <= maxViolations {
		c.violations = append(c.violations, fmt.Sprintf("%6.3f s: %s", time.Since(c.startTime).Seconds(), text))
	}
}

// markDisturbed records that a fault affects a target until a time.
func (c *checker) markDisturbed(target string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.disturbedUntil[target]) {
		c.disturbedUntil[target] = until
	}
}

// undisturbedSince reports whether no fault has affected the targets or
// allTargets from undisturbedPeriod before a time until now.
func (c *checker) undisturbedSince(since time.Time, targets ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.undisturbedSinceLocked(since, targets...)
}

// undisturbedSinceLocked is undisturbedSince with the lock held.
func (c *checker) undisturbedSinceLocked(since time.Time, targets ...string) bool {
	for _, t := range append(targets, allTargets) {
		if c.disturbedUntil[t].After(since.Add(-undisturbedPeriod)) {
			return false
		}
	}
	return true
}

// runStarted checks a run that a minion has started. The lock is held.
func (c *checker) runStarted(minion string, run work.Run, at time.Time) {
	for _, m := range c.minions {
		m.Advance(at) // Ends runs whose leases have expired.
	}
	c.starts++
	job := c.jobs[run.Job]
	if job == nil || run.Index >= len(job.profiles) {
		c.addViolationLocked("unasked: %s started at %s", run, minion)
		return
	}
	if !job.callerLeftAt.IsZero() && at.Sub(job.callerLeftAt) > cancelGrace && c.undisturbedSinceLocked(job.callerLeftAt, anyTarget) {
		c.addViolationLocked("unasked: %s started at %s, %s after its caller left", run, minion, at.Sub(job.callerLeftAt))
	}
	if job.finished && job.allNotRun {
		c.addViolationLocked("refused: %s started at %s though its job was refused", run, minion)
	}
	if deadline := c.drainDeadlines[minion]; !deadline.IsZero() && at.After(deadline) && c.undisturbedSinceLocked(deadline, anyTarget) {
		c.addViolationLocked("drain: %s started at %s", run, minion)
	}
	if job.crashes[run.Index] >= maxCrashes {
		if job.startsAfterCrashes[run.Index]++; job.startsAfterCrashes[run.Index] == maxCrashes {
			c.addViolationLocked("budget: %s started at %s after %d crashes", run, minion, job.crashes[run.Index])
		}
	}
	c.running[run.Task] = placement{run: run, minion: minion}
	c.history[run.Task] = append(c.history[run.Task], &interval{run: run, minion: minion, start: at})
	c.checkPlacement(job, minion, run)
	c.checkZone(minion, run, at)
}

// minionCrashed records that a run has crashed its minion, which is down until a
// time. The lock is held.
func (c *checker) minionCrashed(run work.Run, node string, until time.Time) {
	if job := c.jobs[run.Job]; job != nil {
		job.crashes[run.Index]++
	}
	for _, target := range []string{node, anyTarget} {
		if until.After(c.disturbedUntil[target]) {
			c.disturbedUntil[target] = until
		}
	}
}

// checkPlacement checks the capacity of the minion, and the label and the limit
// per minion that the job requires. The lock is held.
func (c *checker) checkPlacement(job *jobRecord, minion string, run work.Run) {
	var used work.Room
	runsOfJob := 0
	for task, p := range c.running {
		if p.minion == minion {
			used = used.Plus(c.jobs[task.Job].profiles[task.Index].Room)
			if task.Job == run.Job {
				runsOfJob++
			}
		}
	}
	for _, m := range c.minions {
		d := m.Describe()
		if d.Name != minion {
			continue
		}
		if !d.Room.Holds(used) {
			c.addViolationLocked("limit: %s started at %s, which is full", run, minion)
		}
		if job.Label != "" && !slices.Contains(d.Labels, job.Label) {
			c.addViolationLocked("route: %s started at %s without its label", run, minion)
		}
	}
	if job.MaxPerMinion > 0 && runsOfJob > job.MaxPerMinion {
		c.addViolationLocked("route: %s started at %s beside %d of its job", run, minion, runsOfJob-1)
	}
}

// runStopped records the end of a run, and checks that a cancelled job did not
// run for too long. The lock is held.
func (c *checker) runStopped(minion string, run work.Run, state work.State, at time.Time) {
	if p, ok := c.running[run.Task]; ok && p.run == run && p.minion == minion {
		delete(c.running, run.Task)
	}
	for _, i := range c.history[run.Task] {
		if i.run == run && i.minion == minion && i.end.IsZero() {
			i.end = at
		}
	}
	job := c.jobs[run.Job]
	if job == nil {
		return
	}
	switch state {
	case work.Done:
		job.done[run.Index] = !job.hideCompletions
	case work.Failed:
		job.failures[run.Index]++
	case work.Lost:
		job.losses[run.Index]++
	}
	if !job.callerLeftAt.IsZero() && at.Sub(job.callerLeftAt) > cancelGrace && c.undisturbedSinceLocked(job.callerLeftAt, anyTarget) {
		c.addViolationLocked("unasked: %s was at work until %s after its caller left", run, at.Sub(job.callerLeftAt))
	}
}

// jobSubmitted records a job before its first submission.
func (c *checker) jobSubmitted(job *jobRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	job.allNotRun, job.done, job.failures = true, make(map[int]bool), make(map[int]int)
	job.losses, job.crashes, job.startsAfterCrashes = make(map[int]int), make(map[int]int), make(map[int]int)
	c.jobs[job.ID] = job
}

// jobAnswered checks the outcome of a submission. If last is true, the job is not
// submitted again.
func (c *checker) jobAnswered(job *jobRecord, outcome work.Outcome, last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.minions {
		m.Advance(time.Now())
	}
	job.allNotRun = job.allNotRun && outcome == work.NotRun
	job.finished = last
	switch outcome {
	case work.Succeeded:
		done := 0
		for _, isDone := range job.done {
			if isDone {
				done++
			}
		}
		if done < job.Count {
			c.addViolationLocked("false answer: %s succeeded with %d of %d tasks done", job.ID, done, job.Count)
		}
	case work.Exhausted:
		mostFailures, mostLosses := 0, 0
		for _, n := range job.failures {
			mostFailures = max(mostFailures, n)
		}
		for index := range job.Count {
			mostLosses = max(mostLosses, job.losses[index]+c.unreportedLosses(work.Task{Job: job.ID, Index: index}))
		}
		if mostFailures < maxAttempts && mostLosses < minLosses {
			c.addViolationLocked("false answer: %s failed after %d failures and %d losses of a task", job.ID, mostFailures, mostLosses)
		}
	}
}

// callerLeft records that the caller of a job disconnected, or that its
// cancellation was acknowledged.
func (c *checker) callerLeft(job *jobRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if job.callerLeftAt.IsZero() {
		job.callerLeftAt = time.Now()
	}
}
