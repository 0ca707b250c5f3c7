package scheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// started returns a bed with a job whose only run the agent has taken.
func started(t *testing.T, taken bool) (*testbed, scheduler.Place) {
	t.Helper()
	b := newTestbed(1)
	b.advance(time.Second)
	placed := commandsOf[scheduler.Place](b.step(b.patientSubmission("long", time.Second)))
	if len(placed) != 1 {
		t.Fatalf("%d runs were placed", len(placed))
	}
	if taken {
		b.step(scheduler.Reported{Agent: placed[0].Agent, Link: placed[0].Link, Load: &work.Load{}, OrdersTaken: 1})
	}
	return b, placed[0]
}

// Guards against a false "not run": an agent keeps the end of a run for an entry
// that is silent for a few seconds only.
func TestRunThatItsAgentHasForgottenMayHaveStarted(t *testing.T) {
	for name, tc := range map[string]struct {
		taken bool
		away  time.Duration
		want  work.Outcome
	}{
		"taken":           {true, 100 * time.Millisecond, work.Unfinished},
		"away for long":   {false, 6 * time.Second, work.Unfinished},
		"never arrived":   {false, 100 * time.Millisecond, work.NotRun},
		"taken, for long": {true, 6 * time.Second, work.Unfinished},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, placed := started(t, tc.taken)
			b.now = b.now.Add(tc.away)
			b.step(
				scheduler.LinkClosed{Agent: placed.Agent, Link: placed.Link},
				scheduler.LinkOpened{Agent: placed.Agent, Link: placed.Link + 1, Minion: minion(0), Leaving: true},
			)
			answers := commandsOf[scheduler.Answer](b.advance(time.Second)) // No minion is in reach any more.
			is.Equal(len(answers), 1)
			is.Equal(answers[0].Outcome, tc.want)
		})
	}
}
