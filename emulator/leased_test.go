package emulator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/supervisor"
)

// leased is a leased minion and what it said of its runs.
type leased struct {
	*emulator.LeasedMinion

	now   time.Time
	ended map[work.Run]work.State
}

func newLeased(truth emulator.Truth) *leased {
	l := &leased{now: time.Unix(1_800_000_000, 0), ended: make(map[work.Run]work.State)}
	l.LeasedMinion = emulator.NewLeasedMinion(emulator.LeasedOptions{
		Minion: work.Minion{Name: "m", Room: work.Room{CPU: 1000}}, Pace: 1, LongestLease: time.Second,
		Truth:   func(work.Task) emulator.Truth { return truth },
		Started: func(work.Run, time.Time) {},
		Stopped: func(run work.Run, state work.State, _ time.Time) { l.ended[run] = state },
	}, l.now)
	return l
}

func (l *leased) start(number int, lease time.Duration) supervisor.StartAnswer {
	run := work.Run{Task: work.Task{Job: "a"}, Number: number}
	return l.Start(l.now, supervisor.StartRun{Run: run, LeaseExpiry: l.Clock(l.now) + lease})
}

// A lease that lapsed was noticed only when the run would have ended by itself,
// so that a task seemed to be at work at two minions.
func TestNextEndIsTheLeasesWhereThatComesFirst(t *testing.T) {
	is := is.New(t)
	l := newLeased(emulator.Truth{Room: work.Room{CPU: 500}, Work: 5 * time.Second})
	is.Equal(l.start(1, 700*time.Millisecond), supervisor.StartAccepted)
	end, some := l.NextEnd()
	is.True(some)
	is.Equal(end.Sub(l.now), 700*time.Millisecond)
	l.Advance(end)
	is.Equal(l.ended[work.Run{Task: work.Task{Job: "a"}, Number: 1}], work.Lost)
}

func TestLeaseIsCappedAndNumbersAreTakenOnce(t *testing.T) {
	is := is.New(t)
	l := newLeased(emulator.Truth{Room: work.Room{CPU: 500}, Work: 5 * time.Second})
	is.Equal(l.start(1, time.Hour), supervisor.StartAccepted)
	is.Equal(l.start(1, time.Hour), supervisor.StartAccepted) // The same order again.
	end, _ := l.NextEnd()
	is.Equal(end.Sub(l.now), time.Second)
	l.now = end
	is.Equal(l.start(1, time.Second), supervisor.StartOld)
	is.Equal(l.start(2, -time.Second), supervisor.StartTooLate)
	is.Equal(l.start(2, time.Second), supervisor.StartAccepted)
}
