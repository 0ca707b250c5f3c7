package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

func TestNothingWaitsForMinionsThatAreBackTooLate(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.advance(time.Second)
	started := commandsOf[scheduler.Place](b.step(b.submission("started", 1)))
	out := b.crash(agent(0), 1, 20*time.Millisecond, started[0])
	out = append(out, b.advance(20*time.Millisecond)...)
	answers := commandsOf[scheduler.Answer](out)
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Outcome, work.Unfinished)
}

func TestRefusalTellsWhenMinionsAreBack(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.advance(time.Second)
	b.crash(agent(0), 1, 0)
	b.advance(time.Second)
	answers := commandsOf[scheduler.Answer](b.step(b.submission("late", 1)))
	is.Equal(answers[0].Outcome, work.NotRun)
	is.True(answers[0].RetryAfter > 1500*time.Millisecond)
	is.True(answers[0].RetryAfter < 2500*time.Millisecond)
}

func TestJobWithALongDeadlineWaitsForACrashedMinion(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.advance(time.Second)
	patient := b.submission("patient", 1)
	patient.Job.Deadline = b.now.Add(time.Minute)
	started := commandsOf[scheduler.Place](b.step(patient))
	out := b.crash(agent(0), 1, 20*time.Millisecond, started[0])
	for range 30 {
		out = append(out, b.advance(100*time.Millisecond)...)
	}
	is.Equal(len(commandsOf[scheduler.Answer](out)), 0)
	back := minion(0)
	back.Incarnation = 2
	is.Equal(len(commandsOf[scheduler.Place](b.step(scheduler.Reported{Agent: agent(0), Link: 1, Minion: &back, Usable: true}))), 1)
}

func TestCrashInTheFutureCountsAsOneOfNow(t *testing.T) {
	is := is.New(t)
	b := newTestbed(1)
	b.advance(time.Second)
	down := minion(0)
	b.step(scheduler.Reported{Agent: agent(0), Link: 1, Minion: &down, Crashes: []work.Crash{{Minion: "m-0", Incarnation: 1, At: b.now.Add(time.Hour)}}})
	answers := commandsOf[scheduler.Answer](b.step(b.submission("late", 1)))
	is.True(answers[0].RetryAfter < 5*time.Second)
}
