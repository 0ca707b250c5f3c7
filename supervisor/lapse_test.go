package supervisor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/supervisor"
)

// frozenBench returns a bench whose agent wakes after 1 s with a run at the minion.
func frozenBench() *bench {
	b := newBench()
	order := b.order("a", 1000)
	order.Orders[0].EndBefore = b.now.Add(10 * time.Second)
	b.step(order)
	b.step(supervisor.StartAnswered{Run: run("a"), Incarnation: 1, Answer: supervisor.StartAccepted})
	b.now = b.now.Add(time.Second)
	b.step(supervisor.LinkOpened{Entry: entry, Link: 2})
	return b
}

// Guards against a run that is placed elsewhere while it goes on, since the minion
// carried out a renewal late.
func TestRunThatOutlivesItsLeaseIsNotReportedAsLost(t *testing.T) {
	is := is.New(t)
	b := frozenBench()
	is.Equal(len(ends(b.commands)), 0)
	is.True(len(find[supervisor.RenewLease](b.commands)) > 0)
	out := b.list([]supervisor.ListedRun{{Run: run("a"), Percent: 50}}, nil)
	out = append(out, b.advance(300*time.Millisecond)...)
	is.Equal(len(ends(out)), 0)
}

func TestRunWhoseLeaseHasLapsedIsLost(t *testing.T) {
	is := is.New(t)
	b := frozenBench()
	out := b.list(nil, []supervisor.ListedEnd{{Number: 1, Run: run("a"), State: work.Lost}})
	is.Equal(len(ends(out)), 1)
	b = frozenBench()
	is.Equal(len(ends(b.advance(90*time.Millisecond))), 0)
	reports := ends(b.advance(30 * time.Millisecond)) // The minion is silent.
	is.Equal(len(reports), 1)
	is.Equal(reports[0].State, work.Lost)
}
