package supervisor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/supervisor"
)

// zones returns a frame with a decision.
func zones(version uint64, evacuated ...string) supervisor.FrameReceived {
	return supervisor.FrameReceived{Entry: entry, Link: 1, Zones: work.Zones{Version: version, Evacuated: evacuated}}
}

// newZonesBench returns a core with a minion in zone a.
func newZonesBench(coldUntil time.Time) *bench {
	b := newBench()
	m := minion(1)
	m.Zone, m.ColdUntil = "a", coldUntil
	b.step(supervisor.MinionDescriptionRestored{Minion: m}, supervisor.MinionDescribed{Minion: m})
	return b
}

func TestNothingIsStartedInAnEvacuatedZone(t *testing.T) {
	is := is.New(t)
	b := newZonesBench(time.Time{})
	b.step(b.order("runs", 9000))
	b.step(supervisor.StartAnswered{Run: run("runs"), Incarnation: 1, Answer: supervisor.StartAccepted})
	b.step(b.order("queued", 2000))
	frame := b.order("new", 1000)
	frame.Zones = zones(1, "a").Zones
	out := b.step(frame)
	is.Equal(len(ends(out)), 2)
	for _, e := range ends(out) {
		is.Equal(e.Reason, work.ReasonEvacuated)
	}
	out = b.list([]supervisor.ListedRun{{Run: run("runs"), Percent: 50}}, nil)
	is.Equal(len(find[supervisor.StopRun](out)), 0) // It ends in peace.
	b.list(nil, []supervisor.ListedEnd{{Number: 1, Run: run("runs"), State: work.Done}})
	is.Equal(len(find[supervisor.StartRun](b.step(zones(2), b.order("again", 1000)))), 1)
}

func TestDecisionsAreToldToOtherEntriesOnce(t *testing.T) {
	is := is.New(t)
	b := newZonesBench(time.Time{})
	b.step(supervisor.LinkOpened{Entry: "entry-2/1", Link: 2})
	decision := zones(4, "b").Zones
	is.Equal(find[supervisor.ReportZones](b.step(zones(4, "b"))), []supervisor.ReportZones{{Entry: "entry-2/1", Zones: decision}})
	is.Equal(len(find[supervisor.ReportZones](b.step(zones(4), zones(3)))), 0)
	is.Equal(find[supervisor.ReportSnapshot](b.step(supervisor.LinkOpened{Entry: "entry-3/1", Link: 3}))[0].Zones, decision)
}

// lastLoad returns the last load that was reported.
func lastLoad(commands []supervisor.Command) work.Load {
	loads := find[supervisor.ReportLoad](commands)
	return loads[len(loads)-1].Load
}

// A minion that returns, or is cold, is filled by a part at first; the rest of its
// room counts as taken until runs have succeeded.
func TestReturnedMinionGetsItsRoomBySuccesses(t *testing.T) {
	is := is.New(t)
	b := newZonesBench(time.Time{})
	b.step(zones(1, "a"))
	b.step(zones(2))
	is.True(lastLoad(b.advance(30*time.Millisecond)).Running.CPU >= 7500)
	for _, job := range []string{"a", "b", "c"} {
		b.step(b.order(job, 800))
	}
	first := len(find[supervisor.StartRun](b.step())) // All further ones wait.
	is.Equal(first, 0)
	b.step(supervisor.StartAnswered{Run: run("a"), Incarnation: 1, Answer: supervisor.StartAccepted})
	out := b.list(nil, []supervisor.ListedEnd{{Number: 1, Run: run("a"), State: work.Done}})
	is.Equal(len(find[supervisor.StartRun](out)), 2)
	b = newZonesBench(time.Time{})
	b.step(zones(1, "a"))
	b.step(zones(2))
	is.Equal(lastLoad(b.advance(3*time.Second+30*time.Millisecond)).Running.CPU, int64(0)) // It ends in any case.
}

func TestWarmMinionIsNotLimited(t *testing.T) {
	is := is.New(t)
	for _, cold := range []bool{false, true} {
		until := time.Time{}
		if cold {
			until = time.Unix(1_800_000_000, 0).Add(time.Minute)
		}
		b := newZonesBench(until)
		started := 0
		for _, job := range []string{"a", "b", "c", "d"} {
			started += len(find[supervisor.StartRun](b.step(b.order(job, 1000))))
		}
		is.Equal(started == 4, !cold)
	}
}
