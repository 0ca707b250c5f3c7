package supervisor_test

import (
	"testing"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/supervisor"
)

// shrunk returns a description of the minion with a part of its capacity.
func shrunk(cpu int64, sequence uint64) supervisor.MinionDescribed {
	m := minion(1)
	m.Room.CPU, m.Sequence = cpu, sequence
	return supervisor.MinionDescribed{Minion: m}
}

func TestEntriesAreToldOfAChangedCapacity(t *testing.T) {
	is := is.New(t)
	b := newBench()
	told := find[supervisor.ReportMinion](b.step(shrunk(3000, 2)))
	is.Equal(len(told), 1)
	is.Equal(told[0].Minion.Room.CPU, int64(3000))
	is.Equal(len(find[supervisor.ReportMinion](b.step(shrunk(3000, 3)))), 0)
	told = find[supervisor.ReportMinion](b.step(shrunk(10_000, 4)))
	is.Equal(told[0].Minion.Room.CPU, int64(10_000))
}

func TestShrunkMinionIsNotFilledBeyondItsCapacity(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.step(b.order("running", 4000))
	b.step(supervisor.StartAnswered{Run: run("running"), Incarnation: 1, Answer: supervisor.StartAccepted})
	b.step(shrunk(5000, 2))
	is.Equal(len(find[supervisor.StartRun](b.step(b.order("waits", 2000)))), 0)
	is.Equal(len(find[supervisor.StartRun](b.step(b.order("fits", 1000)))), 1)
	is.Equal(len(find[supervisor.StartRun](b.step(shrunk(10_000, 3)))), 1)
}

func TestQueuedRunThatNoLongerFitsIsRefused(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.step(b.order("running", 9000))
	b.step(b.order("wide", 2000))
	out := ends(b.step(shrunk(1000, 2)))
	is.Equal(len(out), 1)
	is.Equal(out[0].Run, run("wide"))
	is.Equal(out[0].Reason, work.ReasonUnfit)
}

func TestLateDescriptionIsIgnored(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.step(shrunk(1000, 5))
	b.step(shrunk(10_000, 4)) // Sent before the minion shrank.
	is.Equal(ends(b.step(b.order("a", 2000)))[0].Reason, work.ReasonUnfit)
	draining := minion(1)
	draining.Draining, draining.Sequence = true, 6
	b.step(supervisor.MinionDescribed{Minion: draining})
	b.step(shrunk(10_000, 4))
	is.Equal(ends(b.step(b.order("b", 1000)))[0].Reason, work.ReasonLeaving)
}
