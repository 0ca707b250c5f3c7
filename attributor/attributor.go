// Package attributor decides which tasks crash the minions that start them. Most
// runs that are lost in a crash were only beside the cause. A task that is lost
// in two crashes at about the same age is taken for the cause of both, and the
// other tasks are cleared of them.
package attributor

import (
	"math"
	"slices"
	"time"

	"agatevalve/common/work"
)

const (
	// retention is the time for which crashes and verdicts are kept. It exceeds
	// the time in which callers submit a job again.
	retention = time.Minute
	// maxCrashes limits the crashes that are kept.
	maxCrashes = 1024
	// maxRuns limits the runs of one crash; a crash with more of them comes from a
	// malformed message.
	maxRuns = 1024
	// verdictCrashes is the number of crashes at about the same age that prove a
	// task to be their cause.
	verdictCrashes = 2
	// maxTaskCrashes is the number of crashes after which a task is given up even
	// if nothing is proved.
	maxTaskCrashes = 3
	// ageTolerance and ageToleranceShare bound the difference of two ages that
	// count as the same: agents notice crashes at different times, and minions
	// differ in speed.
	ageTolerance      = 6 * time.Millisecond
	ageToleranceShare = 0.05
	// probationFactor times the age at its crashes is how long a suspect may crash
	// its next minion, and probationMargin is added for the notice of the crash.
	probationFactor = 1.5
	probationMargin = 10 * time.Millisecond
	// profileMargin widens the range of ages at which the deadly work of a route is
	// known to crash minions, and maxProfileAges limits the ages that make it up.
	profileMargin  = 5 * time.Millisecond
	maxProfileAges = 8
	// maxProbation limits the time for which a suspect keeps others from a minion.
	maxProbation = 500 * time.Millisecond
)

// Verdict gives up a task because of crashes.
type Verdict struct {
	Task  work.Task
	Route string
	// Crashes is the number of minions that crashed while they ran the task.
	Crashes int
	// Age is the age of the task at its last crash.
	Age time.Duration
	// OnProbation is true if the task was on probation at its last crash.
	OnProbation bool
	At          time.Time
	Kind        VerdictKind
}

// VerdictKind tells what a verdict rests on.
type VerdictKind string

const (
	// Proved means that the task was lost in several crashes at about the same age.
	Proved VerdictKind = "proved"
	// Presumed means that of all runs in one crash only those of this job had the
	// age at which other work of the route was proved to crash minions.
	Presumed VerdictKind = "presumed"
	// Recurring means that the task was lost in so many crashes that it is not
	// started again, though another cause may explain them.
	Recurring VerdictKind = "recurring"
)

// Final reports whether the job is given up wherever it is submitted again.
func (k VerdictKind) Final() bool { return k == Proved || k == Recurring }

// Attributor keeps the recent crashes that agents have reported. It is not safe
// for concurrent use.
type Attributor struct {
	crashes map[crashID]*crash
	// crashOrder lists the crashes, the first one recorded first.
	crashOrder []crashID
	// suspects holds the tasks that were lost in crashes, by job and index.
	suspects map[string]map[int]*suspect
	// verdicts holds the verdict on a task of each job that has one, and
	// verdictOrder lists these jobs, the oldest verdict first.
	verdicts     map[string]Verdict
	verdictOrder []string
	// profiles holds, by route, the ages at which tasks were proved to crash
	// minions, the latest last.
	profiles map[string][]time.Duration
}

// crashID identifies a crash, since an incarnation crashes once.
type crashID struct {
	minion      string
	incarnation uint64
}

type crash struct {
	work.Crash

	recordedAt time.Time
	// explained is true once the cause is known.
	explained bool
}

// suspect is a task that was lost in crashes.
type suspect struct {
	// ages holds the age at each crash whose cause is unknown.
	ages map[crashID]time.Duration
	// crashes counts all crashes, including those with another known cause.
	crashes int
}

// New returns an Attributor without crashes.
func New() *Attributor {
	return &Attributor{
		crashes: make(map[crashID]*crash), suspects: make(map[string]map[int]*suspect), verdicts: make(map[string]Verdict),
		profiles: make(map[string][]time.Duration),
	}
}

// Record adds a crash, and reports whether it is new. It returns the verdicts on
// tasks of the crash.
func (a *Attributor) Record(now time.Time, c work.Crash) (verdicts []Verdict, isNew bool) {
	a.forget(now)
	id := crashID{minion: c.Minion, incarnation: c.Incarnation}
	if a.crashes[id] != nil || len(c.Runs) > maxRuns {
		return nil, false
	}
	c.Runs = distinctTasks(c.Runs)
	a.crashes[id] = &crash{Crash: c, recordedAt: now}
	a.crashOrder = append(a.crashOrder, id)
	for i, r := range c.Runs {
		c.Runs[i].Age = work.BoundedDuration(r.Age)
		s := a.suspect(r.Run.Task)
		s.ages[id] = c.Runs[i].Age
		s.crashes++
	}
	if known, found := a.knownCause(c); found {
		a.explain(id, known)
	} else if cause, found := a.findCause(id, c); found {
		verdicts = append(verdicts, a.decide(now, cause, Proved))
		a.addToProfile(cause)
		for other := range a.suspect(cause.Run.Task).ages {
			a.explain(other, cause.Run.Task)
		}
	} else if cause, found := a.presumeCause(c); found {
		verdicts = append(verdicts, a.decide(now, cause, Presumed))
		a.explain(id, cause.Run.Task)
	}
	for _, r := range c.Runs {
		if !a.verdicts[r.Run.Job].Kind.Final() && a.suspect(r.Run.Task).crashes >= maxTaskCrashes {
			verdicts = append(verdicts, a.decide(now, r, Recurring))
		}
	}
	return verdicts, true
}

// decide stores the verdict on a run of a crash.
func (a *Attributor) decide(now time.Time, r work.CrashedRun, kind VerdictKind) Verdict {
	v := Verdict{Task: r.Run.Task, Route: r.Route, Crashes: a.suspect(r.Run.Task).crashes, Age: r.Age, OnProbation: r.OnProbation, At: now, Kind: kind}
	a.verdictOrder = slices.DeleteFunc(a.verdictOrder, func(job string) bool { return job == r.Run.Job })
	a.verdicts[r.Run.Job] = v
	a.verdictOrder = append(a.verdictOrder, r.Run.Job)
	return v
}

// Withdraw removes a crash that did not happen, and the verdicts on tasks that were lost
// in it. It reports whether the crash was known.
func (a *Attributor) Withdraw(minion string, incarnation uint64) bool {
	id := crashID{minion: minion, incarnation: incarnation}
	c := a.crashes[id]
	if c == nil {
		return false
	}
	for _, r := range c.Runs {
		a.forgetSuspect(r.Run.Task, id)
		if v, found := a.verdicts[r.Run.Job]; found && v.Task == r.Run.Task {
			delete(a.verdicts, r.Run.Job)
			a.verdictOrder = slices.DeleteFunc(a.verdictOrder, func(job string) bool { return job == r.Run.Job })
		}
	}
	delete(a.crashes, id)
	a.crashOrder = slices.DeleteFunc(a.crashOrder, func(o crashID) bool { return o == id })
	return true
}

// Verdict returns the verdict on a task of a job.
func (a *Attributor) Verdict(job string) (Verdict, bool) {
	v, found := a.verdicts[job]
	return v, found
}

// Probation returns the time after its start in which a task of the job may
// crash its minion; 0 if no task of the job is a suspect.
func (a *Attributor) Probation(job string) time.Duration {
	oldest := time.Duration(-1)
	for _, s := range a.suspects[job] {
		for _, age := range s.ages {
			oldest = max(oldest, age)
		}
	}
	if oldest < 0 {
		return 0
	}
	return min(time.Duration(probationFactor*float64(oldest))+probationMargin, maxProbation)
}

// DeadlyAge returns the age by which the deadly work of a route has crashed its
// minions; 0 if there is none.
func (a *Attributor) DeadlyAge(route string) time.Duration {
	if ages := a.profiles[route]; len(ages) > 0 {
		return slices.Max(ages) + profileMargin
	}
	return 0
}

// Clear records that a task has succeeded or survived its probation, so that it is
// no suspect any more.
func (a *Attributor) Clear(t work.Task) {
	if s := a.suspects[t.Job][t.Index]; s != nil {
		clear(s.ages)
	}
}

// distinctTasks returns the latest run of each task.
func distinctTasks(runs []work.CrashedRun) []work.CrashedRun {
	distinct := make([]work.CrashedRun, 0, len(runs))
	for _, r := range runs {
		at := slices.IndexFunc(distinct, func(o work.CrashedRun) bool { return o.Run.Task == r.Run.Task })
		switch {
		case at < 0:
			distinct = append(distinct, r)
		case r.Run.Number > distinct[at].Run.Number:
			distinct[at] = r
		}
	}
	return distinct
}

// addToProfile adds the age of a proved cause to the profile of its route.
func (a *Attributor) addToProfile(r work.CrashedRun) {
	ages := a.profiles[r.Route]
	if len(ages) == maxProfileAges {
		ages = slices.Delete(ages, 0, 1)
	}
	a.profiles[r.Route] = append(ages, r.Age)
}

// knownCause returns the run in a crash whose task is already known to crash
// minions.
func (a *Attributor) knownCause(c work.Crash) (work.Task, bool) {
	for _, r := range c.Runs {
		if v, found := a.verdicts[r.Run.Job]; found && v.Kind == Proved && v.Task == r.Run.Task {
			return v.Task, true
		}
	}
	return work.Task{}, false
}

// findCause returns the run of a crash whose task was lost at about the same age
// before. Of several it is the one whose ages differ least.
func (a *Attributor) findCause(id crashID, c work.Crash) (cause work.CrashedRun, found bool) {
	least := time.Duration(math.MaxInt64)
	for _, r := range c.Runs {
		if a.verdicts[r.Run.Job].Kind.Final() {
			continue
		}
		if difference, similar := a.suspect(r.Run.Task).compareAges(id); similar && difference < least {
			cause, least, found = r, difference, true
		}
	}
	return cause, found
}

// presumeCause returns a run whose age is one at which the deadly work of its
// route crashes minions, if only one job has such runs. Runs on probation go
// before others.
func (a *Attributor) presumeCause(c work.Crash) (cause work.CrashedRun, found bool) {
	probation := slices.ContainsFunc(c.Runs, func(r work.CrashedRun) bool { return r.OnProbation })
	for _, r := range c.Runs {
		ages := a.profiles[r.Route]
		if len(ages) == 0 || r.Age < slices.Min(ages)-profileMargin || r.Age > slices.Max(ages)+profileMargin {
			continue
		}
		if probation && !r.OnProbation {
			continue
		}
		if found && cause.Run.Job != r.Run.Job {
			return work.CrashedRun{}, false
		}
		if !found {
			cause, found = r, true
		}
	}
	return cause, found
}

// compareAges returns the least difference between the age at a crash and those at
// other crashes, and whether enough of them are similar for a verdict.
func (s *suspect) compareAges(id crashID) (difference time.Duration, similar bool) {
	age, count := s.ages[id], 1
	difference = math.MaxInt64
	for other, otherAge := range s.ages {
		if other == id {
			continue
		}
		d := (age - otherAge).Abs()
		difference = min(difference, d)
		if d <= ageTolerance+time.Duration(ageToleranceShare*float64(max(age, otherAge))) {
			count++
		}
	}
	return difference, count >= verdictCrashes
}

// explain clears all tasks of a crash but its cause.
func (a *Attributor) explain(id crashID, cause work.Task) {
	c := a.crashes[id]
	if c == nil || c.explained {
		return
	}
	c.explained = true
	for _, r := range c.Runs {
		if r.Run.Task != cause {
			delete(a.suspect(r.Run.Task).ages, id)
		}
	}
}

// suspect returns the record of a task, and creates it if there is none.
func (a *Attributor) suspect(t work.Task) *suspect {
	tasks := a.suspects[t.Job]
	if tasks == nil {
		tasks = make(map[int]*suspect)
		a.suspects[t.Job] = tasks
	}
	s := tasks[t.Index]
	if s == nil {
		s = &suspect{ages: make(map[crashID]time.Duration)}
		tasks[t.Index] = s
	}
	return s
}

// forget drops what is older than retention, and the oldest crashes beyond
// maxCrashes.
func (a *Attributor) forget(now time.Time) {
	for len(a.crashOrder) > 0 && (len(a.crashOrder) > maxCrashes || now.Sub(a.crashes[a.crashOrder[0]].recordedAt) > retention) {
		id := a.crashOrder[0]
		for _, r := range a.crashes[id].Runs {
			a.forgetSuspect(r.Run.Task, id)
		}
		delete(a.crashes, id)
		a.crashOrder = a.crashOrder[1:]
	}
	for len(a.verdictOrder) > 0 && now.Sub(a.verdicts[a.verdictOrder[0]].At) > retention {
		delete(a.verdicts, a.verdictOrder[0])
		a.verdictOrder = a.verdictOrder[1:]
	}
	if len(a.verdictOrder) == 0 {
		clear(a.profiles)
	}
}

// forgetSuspect removes a crash from the record of a task, and the record with
// its last crash.
func (a *Attributor) forgetSuspect(t work.Task, id crashID) {
	s := a.suspects[t.Job][t.Index]
	if s == nil {
		return
	}
	delete(s.ages, id)
	if s.crashes--; s.crashes > 0 {
		return
	}
	delete(a.suspects[t.Job], t.Index)
	if len(a.suspects[t.Job]) == 0 {
		delete(a.suspects, t.Job)
	}
}
