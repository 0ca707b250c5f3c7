package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// crash steps the core with the crash of an agent's minion, at which runs were
// lost at an age.
func (b *testbed) crash(agent scheduler.AgentID, link uint64, age time.Duration, lost ...scheduler.Place) []scheduler.Command {
	crash := work.Crash{Minion: agent.Name, Incarnation: uint64(1 + b.incarnation), At: b.now}
	ev := scheduler.Reported{Agent: agent, Link: link, Crashes: []work.Crash{crash}}
	for i, p := range lost {
		ev.Crashes[0].Runs = append(ev.Crashes[0].Runs, work.CrashedRun{Run: p.Order.Run, Route: p.Order.Route, Age: age})
		ev.Reports = append(ev.Reports, work.Report{Run: p.Order.Run, State: work.Lost, Reason: work.ReasonCrashed, Number: uint64(i + 1), Took: age})
	}
	down := minion(int(link) - 1)
	ev.Minion, ev.Usable = &down, false
	return b.step(ev)
}

func TestTaskThatCrashesTwoMinionsIsGivenUp(t *testing.T) {
	is := is.New(t)
	b := newTestbed(5)
	placed := commandsOf[scheduler.Place](b.step(b.submission("deadly", 1)))
	is.Equal(placed[0].Order.Route, "r")
	placed = commandsOf[scheduler.Place](b.crash(placed[0].Agent, placed[0].Link, 20*time.Millisecond, placed[0]))
	is.Equal(len(placed), 1)
	is.True(placed[0].Order.Probation > 20*time.Millisecond)
	out := b.crash(placed[0].Agent, placed[0].Link, 20*time.Millisecond, placed[0])
	is.Equal(len(commandsOf[scheduler.Place](out)), 0)
	answers := commandsOf[scheduler.Answer](out)
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Outcome, work.Exhausted) // Not sent again, as a timeout would be.
	answers = commandsOf[scheduler.Answer](b.step(b.submission("deadly", 1)))
	is.Equal(answers[0].Outcome, work.Exhausted)
}

// The entry that placed the task is gone, and its caller comes to another one.
func TestEntryKnowsFromAgentsWhatCrashedTheirMinions(t *testing.T) {
	is := is.New(t)
	lost := []work.CrashedRun{{Run: work.Run{Task: work.Task{Job: "deadly"}, Number: 1}, Route: "r", Age: 20 * time.Millisecond}}
	b := newTestbed(3)
	for i := range 2 {
		b.step(scheduler.LinkOpened{
			Agent: agent(i), Link: uint64(10 + i), Minion: minion(i), Usable: true,
			Crashes: []work.Crash{{Minion: minion(i).Name, Incarnation: 0, At: b.now, Runs: lost}},
		})
	}
	out := b.step(b.submission("deadly", 1))
	is.Equal(len(commandsOf[scheduler.Place](out)), 0)
	is.Equal(commandsOf[scheduler.Answer](out)[0].Outcome, work.Exhausted)
}

// Tasks of a job are alike, so they might all crash their minions.
func TestTasksOfASuspectedJobStartOneByOne(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	placed := commandsOf[scheduler.Place](b.step(b.submission("suspect", 3)))
	is.Equal(len(placed), 3)
	b.connect(1, 4)
	again := commandsOf[scheduler.Place](b.crash(placed[0].Agent, placed[0].Link, 100*time.Millisecond, placed...))
	is.Equal(len(again), 1)
	is.Equal(len(commandsOf[scheduler.Place](b.advance(200*time.Millisecond))), 0)
	is.Equal(len(commandsOf[scheduler.Place](b.report(again[0], work.Report{State: work.Started, Reason: work.ReasonSurvived}))), 1)
}

func TestSoundTaskBesideADeadlyOneIsServed(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	sound := commandsOf[scheduler.Place](b.step(b.submission("sound", 1)))[0]
	b.advance(60 * time.Millisecond)
	deadly := commandsOf[scheduler.Place](b.step(b.submission("deadly", 1)))[0]
	b.connect(1, 4)
	b.advance(20 * time.Millisecond)
	ev := scheduler.Reported{Agent: sound.Agent, Link: 1, Crashes: []work.Crash{{Minion: "m-0", Incarnation: 1, At: b.now, Runs: []work.CrashedRun{
		{Run: sound.Order.Run, Route: "r", Age: 82 * time.Millisecond}, {Run: deadly.Order.Run, Route: "r", Age: 20 * time.Millisecond},
	}}}}
	for i, p := range []scheduler.Place{sound, deadly} {
		ev.Reports = append(ev.Reports, work.Report{Run: p.Order.Run, State: work.Lost, Reason: work.ReasonCrashed, Number: uint64(i + 1)})
	}
	down := minion(0)
	ev.Minion = &down
	again := commandsOf[scheduler.Place](b.step(ev))
	is.Equal(len(again), 2)
	is.True(again[0].Agent != again[1].Agent) // One suspect at each minion.
	for _, p := range again {
		if p.Order.Run.Job == "deadly" {
			b.crash(p.Agent, p.Link, 20*time.Millisecond, p)
			continue
		}
		defer func() {
			answers := commandsOf[scheduler.Answer](b.report(p, work.Report{State: work.Done, Number: 1}))
			is.Equal(answers[0].Outcome, work.Succeeded)
		}()
	}
}

// Agents report the crashes of the last minute to an entry that starts.
func TestOldCrashesConfineNothing(t *testing.T) {
	is := is.New(t)
	lost := []work.CrashedRun{{Run: work.Run{Task: work.Task{Job: "deadly"}, Number: 1}, Route: "r", Age: 20 * time.Millisecond}}
	open := func(age time.Duration) []scheduler.RouteConfined {
		b := newTestbed(3)
		var out []scheduler.Command
		for i := range 2 {
			out = append(out, b.step(scheduler.LinkOpened{
				Agent: agent(i), Link: uint64(10 + i), Minion: minion(i), Usable: true,
				Crashes: []work.Crash{{Minion: minion(i).Name, At: b.now.Add(-age), Runs: lost}},
			})...)
		}
		is.Equal(commandsOf[scheduler.Answer](b.step(b.submission("deadly", 1)))[0].Outcome, work.Exhausted)
		return commandsOf[scheduler.RouteConfined](out)
	}
	is.Equal(len(open(5*time.Second)), 1)
	is.Equal(len(open(40*time.Second)), 0)
}
