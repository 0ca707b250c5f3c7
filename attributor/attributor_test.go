package attributor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"agatevalve/attributor"
	"agatevalve/common/work"
)

var start = time.Unix(1_800_000_000, 0)

// lost returns a run of a task that was lost at an age.
func lost(job string, index, ageMS int) work.CrashedRun {
	return work.CrashedRun{
		Run: work.Run{Task: work.Task{Job: job, Index: index}, Number: 1}, Route: "r", Age: time.Duration(ageMS) * time.Millisecond,
	}
}

// crashed returns a crash of a minion's first incarnation.
func crashed(minion int, runs ...work.CrashedRun) work.Crash {
	return work.Crash{Minion: fmt.Sprintf("m-%d", minion), Incarnation: 1, At: start, Runs: runs}
}

func TestTaskLostTwiceAtTheSameAgeIsTheCause(t *testing.T) {
	is := is.New(t)
	a := attributor.New()
	verdicts, isNew := a.Record(start, crashed(1, lost("deadly", 0, 21), lost("long", 0, 80), lost("short", 3, 23)))
	is.True(isNew)
	is.Equal(len(verdicts), 0)
	verdicts, _ = a.Record(start, crashed(2, lost("deadly", 0, 24), lost("long", 0, 130), lost("other", 0, 5)))
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].Task, work.Task{Job: "deadly"})
	is.Equal(verdicts[0].Kind, attributor.Proved)
	is.Equal(verdicts[0].Crashes, 2)
	_, condemned := a.Verdict("deadly")
	is.True(condemned)
	for _, job := range []string{"long", "short", "other"} {
		is.Equal(a.Probation(job), time.Duration(0)) // The cause is known.
	}
}

func TestSoundTaskBesideTwoDeadlyOnesIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	a := attributor.New()
	a.Record(start, crashed(1, lost("first", 0, 20), lost("sound", 0, 60)))
	a.Record(start, crashed(2, lost("second", 0, 20), lost("sound", 0, 240)))
	verdicts, _ := a.Record(start, crashed(3, lost("first", 0, 21)))
	is.Equal(verdicts[0].Task.Job, "first")
	verdicts, _ = a.Record(start, crashed(4, lost("second", 0, 21)))
	is.Equal(verdicts[0].Task.Job, "second")
	_, condemned := a.Verdict("sound")
	is.True(!condemned)
	is.Equal(a.Probation("sound"), time.Duration(0))
}

func TestTaskLostInThreeCrashesIsGivenUpWithoutProof(t *testing.T) {
	is := is.New(t)
	a := attributor.New()
	a.Record(start, crashed(1, lost("job", 0, 20), lost("beside", 0, 300)))
	a.Record(start, crashed(2, lost("job", 0, 200)))
	verdicts, _ := a.Record(start, crashed(3, lost("job", 0, 900)))
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].Kind, attributor.Recurring)
	is.True(a.Probation("beside") > 0) // The first crash has no known cause.
}

func TestCrashThatIsReportedAgainCountsOnce(t *testing.T) {
	is := is.New(t)
	a := attributor.New()
	for range 5 {
		verdicts, _ := a.Record(start, crashed(1, lost("job", 0, 20)))
		is.Equal(len(verdicts), 0)
	}
	verdicts, _ := a.Record(start, work.Crash{Minion: "m-1", Incarnation: 2, At: start, Runs: []work.CrashedRun{lost("job", 0, 20)}})
	is.Equal(len(verdicts), 1)
}

func TestTaskThatSucceedsIsNoSuspect(t *testing.T) {
	is := is.New(t)
	a := attributor.New()
	a.Record(start, crashed(1, lost("job", 0, 20)))
	is.Equal(a.Probation("job"), 40*time.Millisecond)
	a.Clear(work.Task{Job: "job"})
	is.Equal(a.Probation("job"), time.Duration(0))
}

func TestCrashesAreForgotten(t *testing.T) {
	is := is.New(t)
	a := attributor.New()
	a.Record(start, crashed(1, lost("job", 0, 20)))
	a.Record(start, crashed(2, lost("job", 0, 20)))
	a.Record(start, crashed(3, lost("suspect", 0, 20)))
	later := start.Add(2 * time.Minute)
	a.Record(later, crashed(4))
	_, condemned := a.Verdict("job")
	is.True(!condemned)
	is.Equal(a.Probation("suspect"), time.Duration(0))
}

// A task is given up after its third crash at the latest, and never after its first.
func TestTasksAreGivenUpInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := attributor.New()
		crashes := make(map[work.Task][]time.Duration)
		for minion := range rapid.IntRange(1, 30).Draw(t, "crashes") {
			var runs []work.CrashedRun
			for range rapid.IntRange(1, 6).Draw(t, "runs") {
				r := lost(fmt.Sprintf("job-%d", rapid.IntRange(0, 5).Draw(t, "job")), rapid.IntRange(0, 1).Draw(t, "index"), rapid.IntRange(0, 400).Draw(t, "age"))
				if v, _ := a.Verdict(r.Run.Job); !v.Kind.Final() {
					runs = append(runs, r)
				}
			}
			before := make(map[work.Task]bool)
			for _, r := range runs {
				if !before[r.Run.Task] {
					before[r.Run.Task] = true
					crashes[r.Run.Task] = append(crashes[r.Run.Task], r.Age)
				}
			}
			verdicts, _ := a.Record(start, crashed(minion, runs...))
			for _, v := range verdicts {
				n, needed := len(crashes[v.Task]), map[attributor.VerdictKind]int{attributor.Presumed: 1, attributor.Proved: 2, attributor.Recurring: 3}
				if n != v.Crashes || n < needed[v.Kind] {
					t.Fatalf("%+v after crashes at %v", v, crashes[v.Task])
				}
			}
			for task := range before {
				if v, _ := a.Verdict(task.Job); !v.Kind.Final() && len(crashes[task]) >= 3 {
					t.Fatalf("%v is not given up after crashes at %v", task, crashes[task])
				}
			}
		}
	})
}

// Guards against verdicts that rest on a crash that did not happen.
func TestWithdrawnCrashLeavesNoSuspectAndNoVerdict(t *testing.T) {
	is := is.New(t)
	a := attributor.New()
	a.Record(start, crashed(1, lost("job", 0, 20)))
	verdicts, _ := a.Record(start, crashed(2, lost("job", 0, 21), lost("beside", 0, 50)))
	is.Equal(len(verdicts), 1)
	is.True(a.Withdraw("m-2", 1))
	is.True(!a.Withdraw("m-2", 1))
	_, condemned := a.Verdict("job")
	is.True(!condemned)
	is.Equal(a.Probation("beside"), time.Duration(0))
	is.True(a.Probation("job") > 0) // It was lost in the first crash.
	verdicts, isNew := a.Record(start, crashed(2, lost("job", 0, 20)))
	is.True(isNew) // The minion crashes after all.
	is.Equal(len(verdicts), 1)
}

// Guards against a proof by two crashes of which the first did not happen.
func TestWithdrawnEarlierCrashProvesNothing(t *testing.T) {
	is := is.New(t)
	a := attributor.New()
	a.Record(start, crashed(1, lost("job", 0, 20)))
	verdicts, _ := a.Record(start, crashed(2, lost("job", 0, 21)))
	is.Equal(len(verdicts), 1)
	is.True(a.Withdraw("m-1", 1))
	_, condemned := a.Verdict("job")
	is.True(!condemned)
}
