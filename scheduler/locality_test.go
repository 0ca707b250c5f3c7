package scheduler_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// newRackTestbed returns a core with one agent on rack a and one elsewhere, which
// expects tasks to take twice as long away from their data.
func newRackTestbed() *testbed {
	b := &testbed{core: scheduler.New(scheduler.Options{Random: rand.New(rand.NewPCG(1, 1)), RemoteDataFactor: 2}), now: time.Unix(1_800_000_000, 0)}
	b.connect(0, 2)
	b.updateMinion(0, false)
	b.advance(time.Second)
	return b
}

// updateMinion reports the minion of an agent, which is on rack a if it is the
// first.
func (b *testbed) updateMinion(i int, draining bool) []scheduler.Command {
	m := minion(i)
	m.Draining = draining
	if i == 0 {
		m.Labels = []string{"a"}
	}
	return b.step(scheduler.Reported{Agent: agent(i), Link: uint64(i + 1), Minion: &m, Usable: true})
}

// fill makes the minion of an agent full of others' short runs.
func (b *testbed) fill(i int) {
	load := work.Load{Running: work.Room{CPU: 10_000}, Queued: work.Room{CPU: 2000}, QueuedWork: 10 * time.Millisecond}
	b.step(scheduler.Reported{Agent: agent(i), Link: uint64(i + 1), Load: &load})
}

// withData returns the submission of a job of one task with data on rack a, on a
// route that lets it wait.
func (b *testbed) withData(id string) scheduler.Submitted {
	s := b.submission(id, 1)
	s.Job.Rack, s.Job.DataWait = "a", work.DataWait{MaxWait: time.Second, Weight: 1}
	s.Job.Hint, s.Job.Allowance, s.Job.Deadline = 400*time.Millisecond, 2*time.Second, b.now.Add(4*time.Second)
	return s
}

func TestTaskWaitsForItsDataUntilThereIsRoom(t *testing.T) {
	is := is.New(t)
	b := newRackTestbed()
	b.fill(0)
	is.Equal(len(commandsOf[scheduler.Place](b.step(b.withData("a")))), 0)
	out := b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &work.Load{}})
	is.Equal(commandsOf[scheduler.Place](out)[0].Agent, agent(0))
	ended := commandsOf[scheduler.DataWaitEnded](out)[0]
	is.True(ended.Near && ended.Paid && ended.Length > 0)
	is.Equal(ended.Reason, "faster")
}

func TestWaitEndsWithItsReason(t *testing.T) {
	for name, end := range map[string]struct {
		act    func(b *testbed) []scheduler.Command
		reason string
	}{
		"drained": {func(b *testbed) []scheduler.Command { return b.updateMinion(0, true) }, "place-lost"},
		"disconnected": {func(b *testbed) []scheduler.Command {
			return b.step(scheduler.LinkClosed{Agent: agent(0), Link: 1}, scheduler.Reported{Agent: agent(1), Link: 2, Load: &work.Load{}})
		}, "place-lost"},
		"over": {func(b *testbed) []scheduler.Command { return b.advance(time.Second) }, "expired"},
		"queue grows": {func(b *testbed) []scheduler.Command {
			load := work.Load{Running: work.Room{CPU: 10_000}, Queued: work.Room{CPU: 2000}, QueuedWork: 500 * time.Millisecond}
			return b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &load})
		}, "too-long"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newRackTestbed()
			b.fill(0)
			is.Equal(len(commandsOf[scheduler.Place](b.step(b.withData("a")))), 0)
			out := end.act(b)
			is.Equal(commandsOf[scheduler.Place](out)[0].Agent, agent(1))
			is.Equal(commandsOf[scheduler.DataWaitEnded](out)[0].Reason, end.reason)
		})
	}
}

func TestNoWaitHoldsARefusalBack(t *testing.T) {
	is := is.New(t)
	b := newRackTestbed()
	b.fill(0)
	s := b.withData("a")
	s.Job.Room.CPU = 20_000
	is.Equal(commandsOf[scheduler.Answer](b.step(s))[0].Outcome, work.NotRun)
	s = b.withData("b")
	s.Job.Deadline = b.now.Add(20 * time.Millisecond)
	is.Equal(commandsOf[scheduler.Answer](b.step(s))[0].Outcome, work.NotRun)
}

func TestWaitingTasksAreNoBacklogForOthers(t *testing.T) {
	is := is.New(t)
	b := newRackTestbed()
	b.fill(0)
	b.step(b.withData("a"))
	is.Equal(len(commandsOf[scheduler.Answer](b.step(b.submission("b", 8)))), 0)
}

// Work with nowhere else to go isn't kept off a wanted rack, other work leaves
// half of it.
func TestWantedRackIsKeptForItsData(t *testing.T) {
	is := is.New(t)
	b := newRackTestbed()
	b.fill(0)
	b.step(b.withData("a"))
	half := work.Load{Running: work.Room{CPU: 5000}}
	b.fill(1)
	b.step(scheduler.Reported{Agent: agent(0), Link: 1, Load: &half})
	is.Equal(len(commandsOf[scheduler.Place](b.step(b.submission("b", 1)))), 0)
	labelled := b.submission("c", 1)
	labelled.Job.Label = "a"
	is.Equal(commandsOf[scheduler.Place](b.step(labelled))[0].Agent, agent(0))
}

// The factor away from the data is no slowness of the minion, and no work of the
// task.
func TestOrderTellsWhatBeingAwayCosts(t *testing.T) {
	is := is.New(t)
	b := newRackTestbed()
	b.updateMinion(0, true)
	placed := commandsOf[scheduler.Place](b.step(b.withData("a")))
	is.Equal(placed[0].Agent, agent(1))
	is.Equal(placed[0].Order.Work.Round(time.Millisecond), 800*time.Millisecond)
}
