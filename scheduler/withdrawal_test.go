package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// presumeCrash steps the core with the crash of an agent's minion, whose run may go on.
func (b *testbed) presumeCrash(p scheduler.Place) []scheduler.Command {
	down := minion(int(p.Link) - 1)
	return b.step(scheduler.Reported{Agent: p.Agent, Link: p.Link, Minion: &down, Crashes: []work.Crash{{
		Minion: down.Name, Incarnation: down.Incarnation, At: b.now, Runs: []work.CrashedRun{{Run: p.Order.Run, Route: p.Order.Route, Age: 20 * time.Millisecond}},
	}}})
}

// withdraw steps the core with the withdrawal of a crash.
func (b *testbed) withdraw(p scheduler.Place) {
	m := minion(int(p.Link) - 1)
	b.step(scheduler.Reported{Agent: p.Agent, Link: p.Link, Crashes: []work.Crash{{Minion: m.Name, Incarnation: m.Incarnation, At: b.now, Withdrawn: true}}})
}

// crashOnce submits a job whose task crashes a minion, and returns its second run.
func (b *testbed) crashOnce(job string) scheduler.Place {
	first := commandsOf[scheduler.Place](b.step(b.submission(job, 1)))[0]
	return commandsOf[scheduler.Place](b.crash(first.Agent, first.Link, 20*time.Millisecond, first))[0]
}

// Guards against a caller who is told that its job crashes minions, while the task goes
// on at one that refused connections for a while.
func TestJobIsNotGivenUpForACrashThatIsWithdrawn(t *testing.T) {
	is := is.New(t)
	b := newTestbed(5)
	again := b.crashOnce("a")
	out := b.presumeCrash(again)
	is.Equal(len(commandsOf[scheduler.TaskCondemned](out)), 1)
	is.Equal(len(commandsOf[scheduler.Answer](out))+len(commandsOf[scheduler.Place](out))+len(commandsOf[scheduler.Stop](out)), 0)
	b.withdraw(again)
	answers := commandsOf[scheduler.Answer](b.step(scheduler.Reported{Agent: again.Agent, Link: again.Link, Reports: []work.Report{{Run: again.Order.Run, State: work.Done, Number: 1}}}))
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Outcome, work.Succeeded)
}

func TestJobIsGivenUpOnceItsRunIsLostInThePresumedCrash(t *testing.T) {
	is := is.New(t)
	b := newTestbed(5)
	again := b.crashOnce("a")
	out := b.presumeCrash(again)
	is.Equal(len(commandsOf[scheduler.TaskCondemned](out)), 1)
	is.Equal(len(commandsOf[scheduler.RouteConfined](out)), 1) // The route is confined at once.
	out = b.step(scheduler.Reported{Agent: again.Agent, Link: again.Link, Reports: []work.Report{{Run: again.Order.Run, State: work.Lost, Reason: work.ReasonCrashed, Number: 1}}})
	answers := commandsOf[scheduler.Answer](out)
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Outcome, work.Exhausted)
	is.Equal(len(commandsOf[scheduler.Place](out)), 0)
}

// Guards against a suspicion that stays since the link was closed while the crash was
// withdrawn.
func TestCrashOfAMinionThatIsUsableAtTheNextLinkIsForgotten(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	lost := []work.CrashedRun{{Run: work.Run{Task: work.Task{Job: "other"}, Number: 1}, Route: "r", Age: 20 * time.Millisecond}}
	b.step(scheduler.Reported{Agent: agent(0), Link: 1, Crashes: []work.Crash{{Minion: minion(0).Name, Incarnation: minion(0).Incarnation, At: b.now, Runs: lost}}})
	b.step(scheduler.LinkClosed{Agent: agent(0), Link: 1})
	b.step(scheduler.LinkOpened{Agent: agent(0), Link: 2, Minion: minion(0), Usable: true})
	placed := commandsOf[scheduler.Place](b.step(b.submission("other", 1)))
	is.Equal(len(placed), 1)
	is.Equal(placed[0].Order.Probation, time.Duration(0))
}

// Guards against a caller who is told that its job crashes minions, since a task of it was
// lost beside the one that may.
func TestJobIsNotGivenUpWhenAnotherOfItsTasksIsLost(t *testing.T) {
	is := is.New(t)
	b := newTestbed(5)
	placed := commandsOf[scheduler.Place](b.step(b.submission("a", 2)))
	lost := []work.CrashedRun{{Run: work.Run{Task: placed[0].Order.Run.Task, Number: 9}, Route: "r", Age: 20 * time.Millisecond}}
	b.step(scheduler.Reported{Agent: agent(4), Link: 5, Crashes: []work.Crash{{Minion: "elsewhere", Incarnation: 1, At: b.now, Runs: lost}}})
	is.Equal(len(commandsOf[scheduler.TaskCondemned](b.presumeCrash(placed[0]))), 1)
	out := b.step(scheduler.Reported{Agent: placed[1].Agent, Link: placed[1].Link, Reports: []work.Report{{Run: placed[1].Order.Run, State: work.Lost, Number: 1}}})
	is.Equal(len(commandsOf[scheduler.Answer](out)), 0)
}

// Guards against a task that is proved to crash minions and goes on at a sound one.
func TestProvedTaskIsGivenUpAtOnceAtASoundMinion(t *testing.T) {
	is := is.New(t)
	b := newTestbed(5)
	placed := commandsOf[scheduler.Place](b.step(b.submission("deadly", 1)))[0]
	var out []scheduler.Command
	for i := range 2 {
		lost := []work.CrashedRun{{Run: work.Run{Task: placed.Order.Run.Task, Number: 8 + i}, Route: "r", Age: 20 * time.Millisecond}}
		crash := work.Crash{Minion: "elsewhere", Incarnation: uint64(i + 1), At: b.now, Runs: lost}
		out = append(out, b.step(scheduler.Reported{Agent: placed.Agent, Link: placed.Link, Crashes: []work.Crash{crash}})...)
	}
	is.Equal(len(commandsOf[scheduler.Answer](out)), 1)
	is.Equal(len(commandsOf[scheduler.Stop](out)), 1)
}

// Guards against refusals that wait for the return of a minion which is up.
func TestMinionOfAWithdrawnCrashCountsAsUp(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.advance(time.Second)
	started := commandsOf[scheduler.Place](b.step(b.submission("started", 1)))[0]
	b.presumeCrash(started)
	b.withdraw(started)
	b.advance(time.Second)
	answers := commandsOf[scheduler.Answer](b.step(b.submission("late", 1)))
	for _, answer := range answers {
		is.True(answer.RetryAfter <= time.Second)
	}
}
