package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// patientSubmission returns a submission whose caller waits for 20 s.
func (b *testbed) patientSubmission(id string, hint time.Duration) scheduler.Submitted {
	s := b.submission(id, 1)
	s.Job.Hint, s.Job.Deadline = hint, b.now.Add(20*time.Second)
	return s
}

func TestStoppingEntryGivesUpAtOnceWhatMustOutlastIt(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.advance(time.Second)
	b.step(b.patientSubmission("long", 5*time.Second))
	answers := commandsOf[scheduler.Answer](b.step(scheduler.EntryStopping{At: b.now.Add(2 * time.Second)}))
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Outcome, work.Unfinished)
}

func TestStoppingEntryAnswersJobsThatOutlastIt(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.advance(time.Second)
	placed := commandsOf[scheduler.Place](b.step(b.patientSubmission("long", 3*time.Second))) // It may take 1.8 s.
	is.Equal(len(placed), 1)
	stopsAt := b.now.Add(2 * time.Second)
	is.Equal(len(commandsOf[scheduler.Answer](b.step(scheduler.EntryStopping{At: stopsAt}))), 0)
	is.Equal(len(commandsOf[scheduler.Answer](b.advance(1900*time.Millisecond))), 0)
	out := b.advance(100 * time.Millisecond)
	answers := commandsOf[scheduler.Answer](out)
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Outcome, work.Unfinished)
	is.Equal(answers[0].Reason, "this entry is stopping")
	is.Equal(commandsOf[scheduler.Stop](out)[0].Run, placed[0].Order.Run)
}

func TestStoppingEntryRefusesAtOnceWhatOutlastsIt(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.advance(time.Second)
	stopsAt := b.now.Add(2 * time.Second)
	b.step(scheduler.EntryStopping{At: stopsAt})
	answers := commandsOf[scheduler.Answer](b.step(b.patientSubmission("long", 5*time.Second)))
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Outcome, work.NotRun)
	is.Equal(answers[0].RetryAfter, time.Second) // Another entry can take it.
	placed := commandsOf[scheduler.Place](b.step(b.patientSubmission("short", 200*time.Millisecond)))
	is.Equal(placed[0].Order.EndBefore, stopsAt)
}

func TestLongJobRunsUntilTheDeadlineOfItsCaller(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.advance(time.Second)
	placed := commandsOf[scheduler.Place](b.step(b.patientSubmission("long", time.Second)))
	is.Equal(placed[0].Order.EndBefore, b.now.Add(20*time.Second-time.Millisecond))
	for range 30 {
		is.Equal(len(commandsOf[scheduler.Answer](b.advance(500*time.Millisecond))), 0)
	}
	answers := commandsOf[scheduler.Answer](b.report(placed[0], work.Report{State: work.Done, Number: 1}))
	is.Equal(answers[0].Outcome, work.Succeeded)
}
