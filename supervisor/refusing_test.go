package supervisor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/supervisor"
)

// Guards against a run that is placed elsewhere while it goes on at a minion whose port
// refuses connections for a while.
func TestRunThatGoesOnDespiteARefusedConnectionIsNotLost(t *testing.T) {
	is := is.New(t)
	b := newRunningBench()
	out := b.step(supervisor.MinionDown{})
	out = append(out, b.advance(500*time.Millisecond)...)
	refused := ends(out)
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Run, run("queued")) // It has not been at the minion.
	is.Equal(refused[0].State, work.Refused)
	out = b.list([]supervisor.ListedRun{{Run: run("a"), Percent: 70}}, nil)
	is.Equal(len(ends(out))+len(find[supervisor.StopRun](out)), 0)
	is.True(find[supervisor.ReportMinion](out)[0].Usable)
	done := ends(b.list(nil, []supervisor.ListedEnd{{Number: 1, Run: run("a"), State: work.Done}}))
	is.Equal(len(done), 1)
	is.Equal(done[0].State, work.Done)
	found := crashes(b.step(supervisor.MinionDescribed{Minion: minion(2)}))
	is.Equal(len(found), 0)
}

// Guards against work that counts as deadly since the port of its minion refused
// connections for a while.
func TestCrashIsWithdrawnOnceTheMinionAnswers(t *testing.T) {
	is := is.New(t)
	b := newRunningBench()
	reported := crashes(b.step(supervisor.MinionDown{}))
	is.Equal(len(reported), 1)
	is.True(!reported[0].Withdrawn)
	withdrawn := crashes(b.list([]supervisor.ListedRun{{Run: run("a")}}, nil))
	is.Equal(len(withdrawn), 1)
	is.True(withdrawn[0].Withdrawn)
	is.Equal(withdrawn[0].Minion, "m-1")
	is.Equal(withdrawn[0].Incarnation, uint64(1))
	snapshots := find[supervisor.ReportSnapshot](b.step(supervisor.LinkOpened{Entry: "entry-2/1", Link: 2}))
	is.Equal(len(snapshots[0].Crashes), 0)
	is.Equal(len(crashes(b.list(nil, []supervisor.ListedEnd{{Number: 1, Run: run("a"), State: work.Done}}))), 0)
	is.Equal(len(crashes(b.refuse())), 0) // No run is left at the minion.
}

func TestMinionThatRefusesConnectionsGetsNoOrders(t *testing.T) {
	is := is.New(t)
	b := newRunningBench()
	out := b.step(supervisor.MinionDown{})
	is.True(!find[supervisor.ReportMinion](out)[0].Usable)
	is.Equal(ends(b.step(b.order("b", 1000)))[0].Reason, work.ReasonUnreachable)
	b.list(nil, []supervisor.ListedEnd{{Number: 1, Run: run("a"), State: work.Done}}) // The minion answers again.
	is.Equal(len(find[supervisor.StartRun](b.step(b.order("c", 1000)))), 1)
}

func TestRunsOfARefusingMinionAreLostOnceTheirLeaseHasLapsed(t *testing.T) {
	is := is.New(t)
	b := newRunningBench()
	granted := b.now
	out := b.step(supervisor.MinionDown{})
	is.Equal(len(crashes(out)), 1) // Entries keep deadly work in check meanwhile.
	is.Equal(len(crashes(out)[0].Runs), 1)
	for len(ends(out)) == 0 || b.now.Sub(granted) < 10*time.Millisecond {
		if b.now.Sub(granted) > 5*time.Second {
			t.Fatal("no run is lost")
		}
		out = b.step(supervisor.FrameReceived{Entry: entry, Link: 1}, supervisor.MinionDown{})
	}
	is.True(b.now.Sub(granted) > supervisor.DefaultLease)
	is.True(b.now.Sub(granted) < supervisor.DefaultLease+200*time.Millisecond)
	lost := ends(out)
	is.Equal(len(lost), 1)
	is.Equal(lost[0].Run, run("a"))
	is.Equal(lost[0].State, work.Lost)
	is.Equal(lost[0].Reason, work.ReasonCrashed)
	is.Equal(len(ends(b.refuse())), 0)
}

// Guards against a run of an earlier agent process that goes on: a lapsed lease removed it
// from what is to be stopped at each step.
func TestOrphanIsStoppedAfterALapse(t *testing.T) {
	is := is.New(t)
	b := newRunningBench()
	b.refuse()
	out := b.list([]supervisor.ListedRun{{Run: run("stray")}}, nil)
	is.Equal(len(find[supervisor.StopRun](out)), 1)
	is.Equal(find[supervisor.StopRun](out)[0].Run, run("stray"))
}

// Guards against stops for ever at a minion that doesn't return.
func TestOrphansOfAMinionThatDoesNotReturnAreForgotten(t *testing.T) {
	is := is.New(t)
	b := &bench{core: supervisor.New(supervisor.Options{}), now: time.Unix(1_800_000_000, 0)}
	b.step(supervisor.MinionDescribed{Minion: minion(1)})
	b.list([]supervisor.ListedRun{{Run: run("stray")}}, nil)
	b.refuse()
	b.refuse()
	is.Equal(len(find[supervisor.StopRun](b.refuse())), 0)
	is.True(!b.core.HasTimers())
}
