package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

// newZonesTestbed returns a core with agents in zones a, b and c, which they take
// in turn, after the grace of its start.
func newZonesTestbed(agents int) *testbed {
	b := newTestbed(0)
	for i := range agents {
		b.step(zoned(i, uint64(i+1)))
	}
	b.advance(time.Second)
	return b
}

// zoned returns the first message of an agent in its zone.
func zoned(i int, link uint64) scheduler.LinkOpened {
	m := minion(i)
	m.Zone = string("abc"[i%3])
	return scheduler.LinkOpened{Agent: agent(i), Link: link, Minion: m, Usable: true}
}

func zones(version uint64, evacuated ...string) scheduler.ZonesChanged {
	return scheduler.ZonesChanged{Zones: work.Zones{Version: version, Evacuated: evacuated}}
}

// announced returns the agents that are told a decision.
func announced(commands []scheduler.Command) []string {
	var names []string
	for _, a := range commandsOf[scheduler.AnnounceZones](commands) {
		names = append(names, a.Agent.Name)
	}
	return names
}

func TestEvacuatedZoneGetsNoWork(t *testing.T) {
	is := is.New(t)
	b := newZonesTestbed(3)
	out := b.step(zones(2, "a", "b"), b.submission("a", 10)) // From the very step on.
	is.Equal(announced(out), []string{"agent-0", "agent-1", "agent-2"})
	for _, p := range commandsOf[scheduler.Place](out) {
		is.Equal(p.Agent, agent(2))
	}
	is.Equal(b.core.UsableAgents(), 1)
	is.Equal(b.core.EvacuatedAgents(), 2)
	is.Equal(len(announced(b.step(zones(1), zones(2)))), 0) // Neither newer.
	is.Equal(b.core.UsableAgents(), 1)
	b.step(zones(3))
	is.Equal(b.core.UsableAgents(), 3)
}

func TestEntryLearnsOfEvacuatedZonesFromAgents(t *testing.T) {
	for _, opened := range []bool{false, true} {
		t.Run(fmt.Sprint(opened), func(t *testing.T) {
			is := is.New(t)
			b := newZonesTestbed(3)
			told := zones(5, "b").Zones
			ev := zoned(1, 9)
			ev.Zones = told
			out := b.step(scheduler.Reported{Agent: agent(1), Link: 2, Zones: told})
			if opened {
				out = b.step(ev)
			}
			is.Equal(b.core.EvacuatedAgents(), 1)
			if !opened {
				is.Equal(announced(out), []string{"agent-0", "agent-2"}) // Not back.
			}
			is.Equal(announced(b.step(zoned(0, 10))), []string{"agent-0"}) // It has forgotten.
		})
	}
}

func TestRunsThatComeBackGoElsewhere(t *testing.T) {
	is := is.New(t)
	b := newZonesTestbed(2)
	placed := commandsOf[scheduler.Place](b.step(b.submission("a", 1)))
	zone := string("ab"[placed[0].Link-1])
	b.step(zones(1, zone))
	refused := work.Report{State: work.Refused, Reason: work.ReasonEvacuated, Number: 1}
	again := commandsOf[scheduler.Place](b.report(placed[0], refused))
	is.Equal(len(again), 1)
	is.True(again[0].Agent != placed[0].Agent)
	is.Equal(b.core.EvacuatedRuns(), 1)
	b.step(scheduler.LinkClosed{Agent: again[0].Agent, Link: again[0].Link})
	b.advance(50 * time.Millisecond)
	is.Equal(len(commandsOf[scheduler.Place](b.step(zones(2), b.submission("b", 1)))), 1) // No backoff outlives the return.
}

func TestJobsAreRefusedAtOnceWhileAllZonesAreEvacuated(t *testing.T) {
	is := is.New(t)
	b := newZonesTestbed(1)
	b.fillFirstAgent()
	b.step(b.submission("waits", 1))
	out := b.step(zones(1, "a"), b.submission("new", 1))
	out = append(out, b.advance(10*time.Millisecond)...)
	answers := commandsOf[scheduler.Answer](out)
	is.Equal(len(answers), 2)
	for _, a := range answers {
		is.Equal(a.Outcome, work.NotRun)
		is.Equal(a.Reason, "all zones of its service are evacuated")
		is.Equal(a.RetryAfter, 10*time.Second)
	}
}

// Waiting jobs that were admitted for the room of two zones keep their order in
// that of one; the rest is refused in the step of the decision.
func TestJobsThatDoNotFitTheRoomLeftAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newZonesTestbed(2)
	is.Equal(len(placedJobs(b.step(b.submission("runs", 20)))), 20)
	for i := range 3 {
		ev := b.submission(fmt.Sprint("job-", i), 3)
		ev.Job.Priority = i
		is.Equal(len(commandsOf[scheduler.Answer](b.step(ev))), 0)
	}
	answers := commandsOf[scheduler.Answer](b.step(zones(1, "a")))
	is.True(len(answers) > 0 && len(answers) < 3)
	for i, a := range answers { // Of the lowest priority.
		is.Equal(a.Job, fmt.Sprint("job-", 3-len(answers)+i))
		is.Equal(a.Outcome, work.NotRun)
		is.True(a.RetryAfter >= time.Second)
	}
}
