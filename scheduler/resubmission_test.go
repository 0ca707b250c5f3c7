package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// Guards against two runs of one task at once: the end of a run of a withdrawn job
// was taken for that of the run that replaced it when the job was submitted again,
// and the task was placed a second time.
func TestLateEndOfAWithdrawnJobDoesNotEndItsNextRun(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	first := commandsOf[scheduler.Place](b.step(b.submission("a", 1)))
	is.Equal(len(first), 1)
	is.Equal(len(commandsOf[scheduler.Stop](b.step(scheduler.Withdrawn{Job: "a", Ticket: 7}))), 1)

	end := work.Report{Run: first[0].Order.Run, State: work.Stopped, Reason: work.ReasonUnstarted, Number: 1}
	b.report(first[0], end)
	second := commandsOf[scheduler.Place](b.step(b.submission("a", 1)))
	is.Equal(len(second), 1)
	// The end has not been confirmed, so the first frame of the next link lists it again.
	out := b.step(scheduler.LinkOpened{
		Agent: first[0].Agent, Link: 2, Minion: minion(0), Usable: true,
		Reports: []work.Report{end, {Run: second[0].Order.Run, State: work.Started}},
	})
	is.Equal(len(commandsOf[scheduler.Place](out))+len(commandsOf[scheduler.Stop](out)), 0) // The second run goes on.
	second[0].Link = 2
	answers := commandsOf[scheduler.Answer](b.report(second[0], work.Report{State: work.Done, Number: 2}))
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Outcome, work.Succeeded)
}

// Guards against two runs of one task at once: a job that was submitted again at
// the same entry was placed beside the runs of its withdrawn submission, which
// were still being stopped.
func TestTaskIsNotPlacedWhileItsLastRunIsBeingStopped(t *testing.T) {
	is := is.New(t)
	b := newTestbed(2)
	first := commandsOf[scheduler.Place](b.step(b.submission("a", 1)))
	is.Equal(len(first), 1)
	b.step(scheduler.Withdrawn{Job: "a", Ticket: 7})
	is.Equal(len(commandsOf[scheduler.Place](b.step(b.submission("a", 1)))), 0)
	is.Equal(len(commandsOf[scheduler.Place](b.step(b.submission("b", 1)))), 1) // Another job isn't affected.
	is.Equal(len(commandsOf[scheduler.Place](b.report(first[0], work.Report{State: work.Stopped, Number: 1}))), 1)
}

// A run that can't be stopped because its agent is away delays its task only
// until it has ended for certain.
func TestTaskIsPlacedOnceItsLastRunCannotGoOn(t *testing.T) {
	is := is.New(t)
	b := newTestbed(2)
	first := commandsOf[scheduler.Place](b.step(b.submission("a", 1)))
	b.step(scheduler.LinkClosed{Agent: first[0].Agent, Link: first[0].Link}, scheduler.Withdrawn{Job: "a", Ticket: 7})
	submission := b.submission("a", 1)
	submission.Job.Deadline = b.now.Add(5 * time.Second)
	is.Equal(len(commandsOf[scheduler.Place](b.step(submission))), 0)
	var placed []scheduler.Place
	for range 16 {
		is.Equal(len(placed), 0)
		placed = commandsOf[scheduler.Place](b.advance(100 * time.Millisecond))
	}
	is.Equal(len(placed), 1)
	is.True(placed[0].Agent != first[0].Agent)
}

func TestSecondCallerOfAJobMovesItsDeadline(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.advance(time.Second)
	first := b.submission("a", 1)
	b.step(first)
	second := b.patientSubmission("a", 200*time.Millisecond)
	second.Ticket = 8
	b.step(second)
	is.Equal(len(commandsOf[scheduler.Answer](b.advance(2*time.Second))), 0)
	answers := commandsOf[scheduler.Answer](b.advance(18 * time.Second))
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Tickets, []uint64{7, 8})
}
