package soaker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/platform/imitator"
)

const (
	// mostBroken caps the broken promises that are named.
	mostBroken = 20
	// cancelWithin is how long after its cancelling a job may still start or run.
	cancelWithin = 3 * time.Second
	// drainWithin is how long after its report a draining minion may be given work.
	drainWithin = 2 * time.Second
	// calm is how long before a moment nothing may have been disturbed for rules
	// that hold for undisturbed processes only.
	calm = 3 * time.Second
)

const (
	// everything is disturbed by faults that concern all.
	everything = "everything"
	// anything is disturbed by each fault.
	anything = "anything"
)

// judge sees what callers, minions and the operator see. Its lock is that of
// all minions, whose callbacks run under it.
type judge struct {
	mu      sync.Mutex
	start   time.Time
	minions []*imitator.Minion
	broken  []string
	jobs    map[string]*soakedJob
	atWork  map[work.Task]placed
	drains  map[string]time.Time
	// disturbed holds until when each target was disturbed last.
	disturbed map[string]time.Time
	starts    int
}

type placed struct {
	run    work.Run
	minion string
	began  time.Time
}

// soakedJob is a job and what became of it.
type soakedJob struct {
	work.Job

	truths []emulator.TaskProfile
	// refused is true while all submissions were refused as not run.
	refused bool
	over    bool
	// gone is when its caller left or cancelled it; zero for never.
	gone     time.Time
	done     map[int]bool
	failures map[int]int
	// forgetful marks a job whose ends a planted fault hides from the judge.
	forgetful bool
}

func newJudge() *judge {
	return &judge{
		start: time.Now(), jobs: make(map[string]*soakedJob), atWork: make(map[work.Task]placed),
		drains: make(map[string]time.Time), disturbed: make(map[string]time.Time),
	}
}

// broke names a broken promise.
func (j *judge) broke(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.broke1(format, args...)
}

func (j *judge) broke1(format string, args ...any) {
	if len(j.broken) < mostBroken {
		j.broken = append(j.broken, fmt.Sprintf("%6.3f s: %s", time.Since(j.start).Seconds(), fmt.Sprintf(format, args...)))
	}
}

// disturb notes that a target is disturbed until a moment.
func (j *judge) disturb(target string, until time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if until.After(j.disturbed[target]) {
		j.disturbed[target] = until
	}
}

// calmFor reports whether neither the targets nor everything has been disturbed
// since calm before a moment.
func (j *judge) calmFor(since time.Time, targets ...string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.calmSince(since, targets...)
}

// calmSince is calmFor with the lock held.
func (j *judge) calmSince(since time.Time, targets ...string) bool {
	for _, t := range append(targets, everything) {
		if j.disturbed[t].After(since.Add(-calm)) {
			return false
		}
	}
	return true
}

// started judges a run that a minion has begun; the lock is held.
func (j *judge) started(minion string, run work.Run, at time.Time) {
	for _, m := range j.minions {
		m.Advance(at) // So that what has lapsed by now is not at work.
	}
	j.starts++
	job := j.jobs[run.Job]
	if job == nil || run.Index >= len(job.truths) {
		j.broke1("unasked: %s started at %s", run, minion)
		return
	}
	if other, some := j.atWork[run.Task]; some {
		j.broke1("twice: %s started at %s while %s is at work at %s since %s", run, minion, other.run, other.minion, at.Sub(other.began))
	}
	if !job.gone.IsZero() && at.Sub(job.gone) > cancelWithin && j.calmSince(job.gone, anything) {
		j.broke1("unasked: %s started at %s, %s after its caller left", run, minion, at.Sub(job.gone))
	}
	if job.over && job.refused {
		j.broke1("refused: %s started at %s though its job was refused", run, minion)
	}
	if end := j.drains[minion]; !end.IsZero() && at.After(end) && j.calmSince(end, anything) {
		j.broke1("drain: %s started at %s", run, minion)
	}
	j.atWork[run.Task] = placed{run: run, minion: minion, began: at}
	j.judgeRoom(job, minion, run)
}

// judgeRoom judges the room and the rules of the route; the lock is held.
func (j *judge) judgeRoom(job *soakedJob, minion string, run work.Run) {
	var used work.Room
	beside := 0
	for task, p := range j.atWork {
		if p.minion == minion {
			used = used.Plus(j.jobs[task.Job].truths[task.Index].Room)
			if task.Job == run.Job {
				beside++
			}
		}
	}
	for _, m := range j.minions {
		d := m.Describe()
		if d.Name != minion {
			continue
		}
		if !d.Room.Holds(used) {
			j.broke1("limit: %s started at %s, which is full", run, minion)
		}
		if job.Label != "" && !slices.Contains(d.Labels, job.Label) {
			j.broke1("route: %s started at %s without its label", run, minion)
		}
	}
	if job.MaxPerMinion > 0 && beside > job.MaxPerMinion {
		j.broke1("route: %s started at %s beside %d of its job", run, minion, beside-1)
	}
}

// stopped notes the end of a run; the lock is held.
func (j *judge) stopped(run work.Run, state work.State, at time.Time) {
	if p, some := j.atWork[run.Task]; some && p.run == run {
		delete(j.atWork, run.Task)
	}
	job := j.jobs[run.Job]
	if job == nil {
		return
	}
	switch state {
	case work.Done:
		job.done[run.Index] = !job.forgetful
	case work.Failed:
		job.failures[run.Index]++
	}
	if !job.gone.IsZero() && at.Sub(job.gone) > cancelWithin && j.calmSince(job.gone, anything) {
		j.broke1("unasked: %s was at work until %s after its caller left", run, at.Sub(job.gone))
	}
}

// submitted notes a job before its first submission.
func (j *judge) submitted(job *soakedJob) {
	j.mu.Lock()
	defer j.mu.Unlock()
	job.refused, job.done, job.failures = true, make(map[int]bool), make(map[int]int)
	j.jobs[job.ID] = job
}

// answered judges an answer; last is true when the job is not submitted again.
func (j *judge) answered(job *soakedJob, outcome work.Outcome, last bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, m := range j.minions {
		m.Advance(time.Now())
	}
	job.refused = job.refused && outcome == work.NotRun
	job.over = last
	switch outcome {
	case work.Succeeded:
		done := 0
		for _, is := range job.done {
			if is {
				done++
			}
		}
		if done < job.Count {
			j.broke1("false answer: %s succeeded with %d of %d tasks done", job.ID, done, job.Count)
		}
	case work.Exhausted:
		most := 0
		for _, n := range job.failures {
			most = max(most, n)
		}
		if most < attempts {
			j.broke1("false answer: %s failed after %d failures of a task", job.ID, most)
		}
	}
}

// leave notes that a caller has left, or its cancelling was acknowledged.
func (j *judge) leave(job *soakedJob) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if job.gone.IsZero() {
		job.gone = time.Now()
	}
}
