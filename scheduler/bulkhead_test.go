package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/scheduler"
)

const deadlyAge = 20 * time.Millisecond

// route returns the submission of a one-task job of a route.
func (b *testbed) route(route, id string) scheduler.Submitted {
	s := b.submission(id, 1)
	s.Job.Route, s.Job.Hint = route, 50*time.Millisecond
	return s
}

// crashUntilCondemned submits a job of route deadly that crashes the minions of its
// agents, which come back at once, until the job is answered.
func (b *testbed) crashUntilCondemned() {
	placed := commandsOf[scheduler.Place](b.step(b.route("deadly", "d-1")))
	for len(placed) > 0 {
		p := placed[0]
		b.now = b.now.Add(deadlyAge)
		placed = commandsOf[scheduler.Place](b.crash(p.Agent, p.Link, deadlyAge, p))
		b.incarnation++
		m := minion(int(p.Link) - 1)
		m.Incarnation += uint64(b.incarnation)
		b.step(scheduler.Reported{Agent: p.Agent, Link: p.Link, Minion: &m, Usable: true})
	}
}

// agentsOf returns the agents at which jobs of a route are placed.
func (b *testbed) agentsOf(route string, jobs int) map[scheduler.AgentID]bool {
	agents := make(map[scheduler.AgentID]bool)
	for i := range jobs {
		for _, p := range commandsOf[scheduler.Place](b.step(b.route(route, fmt.Sprintf("%s-%d-%d", route, b.now.UnixNano(), i)))) {
			agents[p.Agent] = true
		}
	}
	return agents
}

// newConfinedTestbed returns a testbed with nine agents and jobs of two routes,
// one of which has deadly work.
func newConfinedTestbed() *testbed {
	b := newTestbed(9)
	b.agentsOf("sound", 30)
	b.crashUntilCondemned()
	return b
}

func TestRouteWithDeadlyWorkIsConfinedToAThirdOfTheMinions(t *testing.T) {
	is := is.New(t)
	b := newConfinedTestbed()
	deadly, sound := b.agentsOf("deadly", 12), b.agentsOf("sound", 24)
	is.True(len(deadly) > 0)
	is.True(len(deadly) <= 3)
	is.Equal(len(sound), 6)
	for a := range deadly {
		is.True(!sound[a]) // Other routes keep the rest.
	}
}

// One deadly job shows that there may be more, but says little of the route.
func TestOneDeadlyJobConfinesItsRouteForAMoment(t *testing.T) {
	is := is.New(t)
	b := newTestbed(9)
	b.agentsOf("sound", 30)
	b.crashUntilCondemned()
	released := 0
	for i := range 40 {
		for _, p := range commandsOf[scheduler.Place](b.step(b.route("deadly", fmt.Sprintf("good-%d", i)))) {
			b.now = b.now.Add(30 * time.Millisecond)
			released += len(commandsOf[scheduler.RouteReleased](b.report(p, work.Report{State: work.Done, Took: 30 * time.Millisecond})))
		}
	}
	is.Equal(released, 1)
	is.True(len(b.agentsOf("deadly", 40)) > 3)
}

func TestEntryThatHasJustStartedConfinesToAThird(t *testing.T) {
	is := is.New(t)
	b := newTestbed(9)
	b.agentsOf("deadly", 3) // Says nothing of the usual share of the route.
	b.crashUntilCondemned()
	is.True(len(b.agentsOf("deadly", 40)) <= 3)
}

// A route that is nearly all work would gain nothing from a few minions.
func TestConfinedRouteKeepsItsShareOfTheWork(t *testing.T) {
	is := is.New(t)
	b := newTestbed(9)
	b.agentsOf("deadly", 1)
	b.advance(6 * time.Second)
	b.agentsOf("deadly", 30)
	b.crashUntilCondemned()
	is.True(len(b.agentsOf("deadly", 40)) > 6)
}

// The few minions of a confined route need not have the label of a job.
func TestConfinedJobWithALabelUsesTheMinionsThatHaveIt(t *testing.T) {
	is := is.New(t)
	b := newConfinedTestbed()
	sound := b.agentsOf("sound", 24)
	for i := range 9 {
		if sound[agent(i)] {
			m := minion(i)
			m.Incarnation, m.Labels = 100, []string{"gpu"}
			b.step(scheduler.Reported{Agent: agent(i), Link: uint64(i + 1), Minion: &m, Usable: true})
		}
	}
	labelled := b.route("deadly", "labelled")
	labelled.Job.Label = "gpu"
	is.Equal(len(commandsOf[scheduler.Place](b.step(labelled))), 1)
}

func TestConfinedRouteIsRefusedAtOnceWhileItsMinionsAreDown(t *testing.T) {
	is := is.New(t)
	b := newConfinedTestbed()
	b.advance(time.Second) // Entries that have just started refuse little.
	others := b.agentsOf("sound", 24)
	for i := range 9 {
		if m := minion(i); !others[agent(i)] {
			b.step(scheduler.Reported{Agent: agent(i), Link: uint64(i + 1), Minion: &m})
		}
	}
	answers := commandsOf[scheduler.Answer](b.step(b.route("deadly", "late")))
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Outcome, work.NotRun)
	is.True(answers[0].RetryAfter > 0)
	is.Equal(len(commandsOf[scheduler.Place](b.step(b.route("sound", "sound")))), 1)
}

func TestRouteIsReleasedAfterEnoughSuccesses(t *testing.T) {
	is := is.New(t)
	b := newConfinedTestbed()
	var released []scheduler.RouteReleased
	for i := range 100 {
		for _, p := range commandsOf[scheduler.Place](b.step(b.route("deadly", fmt.Sprintf("good-%d", i)))) {
			b.now = b.now.Add(30 * time.Millisecond)
			released = append(released, commandsOf[scheduler.RouteReleased](b.report(p, work.Report{State: work.Done, Took: 30 * time.Millisecond}))...)
		}
	}
	is.Equal(len(released), 1)
	is.True(len(b.agentsOf("deadly", 40)) > 3)
}

func TestRouteWithoutWorkIsReleasedAfterAWhile(t *testing.T) {
	is := is.New(t)
	b := newConfinedTestbed()
	is.Equal(len(commandsOf[scheduler.RouteReleased](b.advance(15*time.Second))), 0)
	is.Equal(len(commandsOf[scheduler.RouteReleased](b.advance(10*time.Second))), 1)
}

// The age of known deadly work finds the job after one crash.
func TestJobThatCrashesAMinionLikeOthersIsNotTriedAgain(t *testing.T) {
	is := is.New(t)
	b := newConfinedTestbed()
	placed := commandsOf[scheduler.Place](b.step(b.route("deadly", "d-3")))
	out := b.crash(placed[0].Agent, placed[0].Link, deadlyAge, placed[0])
	is.Equal(len(commandsOf[scheduler.Place](out)), 0)
	is.Equal(commandsOf[scheduler.Answer](out)[0].Outcome, work.Unfinished) // Nothing is proved.
	again := commandsOf[scheduler.Answer](b.step(b.route("deadly", "d-3")))
	is.Equal(again[0].Outcome, work.NotRun)
	is.True(again[0].RetryAfter > 0)
}

// Tasks of one job are alike, so a job that crashes minions takes one of them.
func TestOneTaskOfAJobOnAConfinedRouteGoesFirst(t *testing.T) {
	is := is.New(t)
	b := newConfinedTestbed()
	sound := b.agentsOf("sound", 24)
	wide := b.route("deadly", "wide")
	wide.Job.Count = 6
	first := commandsOf[scheduler.Place](b.step(wide))
	is.Equal(len(first), 1)
	is.Equal(first[0].Order.Run.Index, 0)
	is.True(first[0].Order.Probation > deadlyAge)
	is.True(!sound[first[0].Agent])
	is.Equal(len(commandsOf[scheduler.Place](b.advance(15*time.Millisecond))), 0)
	again := commandsOf[scheduler.Place](b.report(first[0], work.Report{State: work.Refused, Reason: work.ReasonCrowded, Number: 1}))
	for len(again) == 0 {
		again = commandsOf[scheduler.Place](b.advance(15 * time.Millisecond))
	}
	is.Equal(len(again), 1)
	is.Equal(again[0].Order.Run.Index, 0)
	others := commandsOf[scheduler.Place](b.report(again[0], work.Report{State: work.Started, Reason: work.ReasonSurvived}))
	is.Equal(len(others), 5)
	for _, p := range others {
		is.True(sound[p.Agent]) // Sound work needs no bulkhead.
	}
}

func TestWholeJobsAreConfinedOnceCanariesFail(t *testing.T) {
	is := is.New(t)
	b := newConfinedTestbed()
	sound := b.agentsOf("sound", 24)
	b.advance(2 * time.Second)
	wide := b.route("deadly", "wide")
	wide.Job.Count = 3
	first := commandsOf[scheduler.Place](b.step(wide))
	others := commandsOf[scheduler.Place](b.report(first[0], work.Report{State: work.Started, Reason: work.ReasonSurvived}))
	b.now = b.now.Add(deadlyAge)
	b.crash(others[0].Agent, others[0].Link, deadlyAge, others[0])
	next := b.route("deadly", "next")
	next.Job.Count = 3
	placed := commandsOf[scheduler.Place](b.step(next))
	is.Equal(len(placed), 3)
	for _, p := range placed {
		is.True(!sound[p.Agent])
		is.Equal(p.Order.Probation, time.Duration(0))
	}
}
