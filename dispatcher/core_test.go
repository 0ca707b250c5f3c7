package dispatcher_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/router"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// entry drives one core by hand.
type entry struct {
	core *dispatcher.Core
	now  time.Time
	next dispatcher.Ticket
}

func newEntry(name string) *entry {
	return &entry{now: epoch, core: dispatcher.New(dispatcher.Options{
		Self:        task.Process{Name: name, Incarnation: 1},
		Address:     netip.MustParseAddrPort("127.0.0.1:1"),
		QueueTasks:  1000,
		KeepAnswers: time.Minute,
		KeepBytes:   1 << 20,
		Random:      rand.New(rand.NewPCG(1, 2)),
	})}
}

// begin returns what a test checks with and an entry of its own.
func begin(t *testing.T, name string) (*is.I, *entry) { return is.New(t), newEntry(name) }

func (e *entry) step(event dispatcher.Event) []dispatcher.Command {
	return append([]dispatcher.Command{}, e.core.Step(e.now, event)...)
}

func agentPeer(name string) dispatcher.Peer {
	return dispatcher.Peer{
		Process: task.Process{Name: name, Incarnation: 1},
		Address: netip.MustParseAddrPort("127.0.0.1:2"),
	}
}

func (e *entry) announce(name string, slots int) []dispatcher.Command {
	return e.step(dispatcher.Announced{Announcement: dispatcher.Announcement{
		Peer: agentPeer(name), Pools: []string{"desk"},
		Load: dispatcher.Load{Slots: slots}, Expires: e.now.Add(time.Hour),
	}})
}

func (e *entry) submission(key task.Key, tasks int, idempotent bool) dispatcher.Submission {
	e.next++
	s := dispatcher.Submission{
		Ticket: e.next, Team: "climbs", Key: key, Deadline: e.now.Add(10 * time.Second),
		Plan: router.Plan{
			Route: router.Route{Name: "all", Pool: "desk", Idempotent: idempotent},
			Pool:  router.Pool{Name: "desk"},
		},
		Tasks: make([]task.Request, tasks),
		Job:   task.KeyedJobID("climbs", key),
	}
	if key == "" {
		s.Job = task.JobID{byte(e.next)}
	}
	return s
}

func only[T dispatcher.Command](commands []dispatcher.Command) []T {
	var found []T
	for _, c := range commands {
		if t, ok := c.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

func finished(s dispatcher.Send) dispatcher.Ended {
	return dispatcher.Ended{Agent: s.Agent.Process, Report: task.Report{
		Task: s.Start.Task, Attempt: s.Start.Attempt, State: task.Finished,
		Response: task.Response{Status: 200, Body: []byte{byte(s.Start.Task.Index)}},
	}}
}

func TestKeylessRequestIsSentOnceAndAnswered(t *testing.T) {
	is, e := begin(t, "one")
	e.announce("a", 1)
	sends := only[dispatcher.Send](e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)}))
	is.Equal(len(sends), 1)
	replies := only[dispatcher.Reply](e.step(finished(sends[0])))
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Answer.Outcome, task.Complete)
	is.True(e.core.Idle())
	is.Equal(len(only[dispatcher.Reply](e.step(finished(sends[0])))), 0) // a doubled result is dropped
}

func TestKeyedJobStartsOnlyUnderItsClaim(t *testing.T) {
	is, e := begin(t, "one")
	e.announce("a", 4)
	first := e.step(dispatcher.Submitted{Submission: e.submission("k", 3, false)})
	is.Equal(len(only[dispatcher.Send](first)), 0)
	claims := only[dispatcher.WriteClaim](first)
	is.Equal(len(claims), 1)
	is.Equal(len(e.step(dispatcher.Submitted{Submission: e.submission("k", 3, false)})), 0) // joins
	sends := only[dispatcher.Send](e.step(dispatcher.ClaimWon{Claim: claims[0].Claim}))
	is.Equal(len(sends), 3)
	var replies []dispatcher.Reply
	for _, s := range sends {
		replies = append(replies, only[dispatcher.Reply](e.step(finished(s)))...)
	}
	is.Equal(len(replies), 2) // both callers
	is.Equal(replies[0].Answer, replies[1].Answer)
	for i, r := range replies[0].Answer.Responses {
		is.Equal(r.Body, []byte{byte(i)})
	}
	again := only[dispatcher.Reply](e.step(dispatcher.Submitted{Submission: e.submission("k", 3, false)}))
	is.Equal(again[0].Answer, replies[0].Answer) // kept for resubmissions
}

func TestTakeoverStartsOnlyWhatNoAgentStarted(t *testing.T) {
	is, e := begin(t, "two")
	e.announce("a", 4)
	e.step(dispatcher.Submitted{Submission: e.submission("k", 2, false)})
	old := dispatcher.Claim{
		Job: task.KeyedJobID("climbs", "k"), Team: "climbs", Generation: 1,
		Owner: task.Process{Name: "one", Incarnation: 9}, Deadline: e.now.Add(5 * time.Second),
		Agents: []dispatcher.Peer{agentPeer("a"), agentPeer("b")},
	}
	asks := only[dispatcher.AskOwner](e.step(dispatcher.ClaimHeld{Claim: old}))
	is.Equal(len(asks), 1)
	takes := only[dispatcher.ReplaceClaim](e.step(dispatcher.OwnerLost{Job: old.Job}))
	is.Equal(takes[0].Claim.Generation, task.Generation(2))
	fences := only[dispatcher.Fence](e.step(dispatcher.ClaimWon{Claim: takes[0].Claim}))
	is.Equal(len(fences), 2)
	report := task.Report{Task: task.ID{Job: old.Job, Index: 1}, Attempt: 1, State: task.Finished, Response: task.Response{Status: 200}}
	commands := e.step(dispatcher.Fenced{Job: old.Job, Agent: agentPeer("b").Process, Reports: []task.Report{report}})
	is.Equal(len(only[dispatcher.Send](commands)), 0) // one agent hasn't spoken
	sends := only[dispatcher.Send](e.step(dispatcher.Fenced{Job: old.Job, Agent: agentPeer("a").Process}))
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Start.Task.Index, 0)
	is.Equal(sends[0].Start.Generation, task.Generation(2))
	is.True(!sends[0].Start.Deadline.After(old.Deadline)) // agents remember no longer than that
	replies := only[dispatcher.Reply](e.step(finished(sends[0])))
	is.Equal(replies[0].Answer.Outcome, task.Complete)
}

func TestTakeoverWithAnUnreachableAgentIsUncertain(t *testing.T) {
	is, e := begin(t, "two")
	e.announce("a", 4)
	e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)})
	old := dispatcher.Claim{
		Job: task.KeyedJobID("climbs", "k"), Team: "climbs", Generation: 1,
		Deadline: e.now.Add(5 * time.Second), Agents: []dispatcher.Peer{agentPeer("b")},
	}
	e.step(dispatcher.ClaimHeld{Claim: old})
	takes := only[dispatcher.ReplaceClaim](e.step(dispatcher.OwnerLost{Job: old.Job}))
	e.step(dispatcher.ClaimWon{Claim: takes[0].Claim})
	replies := only[dispatcher.Reply](e.step(dispatcher.FenceFailed{Job: old.Job, Agent: agentPeer("b").Process}))
	is.Equal(replies[0].Answer.Outcome, task.MayHaveRun)
}

func TestLostLinkIsSettledNotResent(t *testing.T) {
	is, e := begin(t, "one")
	e.announce("a", 2)
	sends := only[dispatcher.Send](e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)}))
	commands := e.step(dispatcher.LinkLost{Agent: sends[0].Agent.Process})
	is.Equal(len(only[dispatcher.Send](commands)), 0)
	settles := only[dispatcher.Settle](commands)
	is.Equal(len(settles), 1)
	report := task.Report{Task: sends[0].Start.Task, Attempt: sends[0].Start.Attempt, State: task.Unstarted, Refusal: task.Withdrawn}
	e.now = e.now.Add(20 * time.Millisecond)
	e.step(dispatcher.Settled{Agent: sends[0].Agent.Process, Reports: []task.Report{report}})
	e.now = e.now.Add(20 * time.Millisecond)
	again := only[dispatcher.Send](e.step(dispatcher.Tick{}))
	is.Equal(len(again), 1)
	is.Equal(again[0].Start.Attempt, sends[0].Start.Attempt+1)
}

func TestLostAgentLeavesNonIdempotentTaskUncertain(t *testing.T) {
	is, e := begin(t, "one")
	e.announce("a", 2)
	e.announce("b", 2)
	sends := only[dispatcher.Send](e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)}))
	settles := only[dispatcher.Settle](e.step(dispatcher.LinkLost{Agent: sends[0].Agent.Process}))
	commands := e.step(dispatcher.SettleFailed{Agent: sends[0].Agent.Process, Gone: true, Attempts: settles[0].Attempts})
	is.Equal(len(only[dispatcher.Send](commands)), 0)
	is.Equal(only[dispatcher.Reply](commands)[0].Answer.Outcome, task.MayHaveRun)
}

func TestDeadlineBeforeAnySendIsNotRun(t *testing.T) {
	is, e := begin(t, "one")
	e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)})
	e.now = e.now.Add(10 * time.Second)
	replies := only[dispatcher.Reply](e.step(dispatcher.Tick{}))
	is.Equal(replies[0].Answer.Outcome, task.NotRun)
}

func TestIdempotentTaskIsRetriedAtAnotherMinion(t *testing.T) {
	is, e := begin(t, "one")
	e.announce("a", 2)
	e.announce("b", 2)
	sends := only[dispatcher.Send](e.step(dispatcher.Submitted{Submission: e.submission("", 1, true)}))
	broken := dispatcher.Ended{Agent: sends[0].Agent.Process, Report: task.Report{
		Task: sends[0].Start.Task, Attempt: sends[0].Start.Attempt, State: task.Broken, Reason: "cut",
	}}
	again := only[dispatcher.Send](e.step(broken))
	is.Equal(len(again), 1)
	is.True(again[0].Agent.Process != sends[0].Agent.Process)
	replies := only[dispatcher.Reply](e.step(finished(again[0])))
	is.Equal(replies[0].Answer.Outcome, task.Complete)
}

func TestNotRunIsConfirmedByTheStore(t *testing.T) {
	is, e := begin(t, "one")
	claims := only[dispatcher.WriteClaim](e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)}))
	e.step(dispatcher.ClaimWon{Claim: claims[0].Claim})
	e.now = e.now.Add(9800 * time.Millisecond)
	commands := e.step(dispatcher.Tick{})
	is.Equal(len(only[dispatcher.Reply](commands)), 0) // another entry may have taken it over
	takes := only[dispatcher.ReplaceClaim](commands)
	is.Equal(len(takes), 1)
	other := takes[0].Claim
	other.Owner = task.Process{Name: "two", Incarnation: 1}
	is.Equal(len(only[dispatcher.AskOwner](e.step(dispatcher.ClaimHeld{Claim: other}))), 1)
}

func TestOtherContentUnderAnUnclaimedKeyIsNotCalledNotRun(t *testing.T) {
	is, e := begin(t, "one")
	e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)})
	other := e.submission("k", 1, false)
	other.Digest = task.Digest{1}
	replies := only[dispatcher.Reply](e.step(dispatcher.Submitted{Submission: other}))
	is.Equal(replies[0].Answer.Outcome, task.MayHaveRun) // it may have run through another entry
}

func TestRefusedContentDoesNotTakeItsKey(t *testing.T) {
	is, e := begin(t, "one")
	other := e.submission("k", 1, false)
	other.Digest = task.Digest{1}
	e.step(dispatcher.Submitted{Submission: other})
	held := dispatcher.Claim{Job: other.Job, Team: "climbs", Generation: 1, Deadline: e.now.Add(time.Second)}
	replies := only[dispatcher.Reply](e.step(dispatcher.ClaimHeld{Claim: held}))
	is.Equal(replies[0].Answer.Outcome, task.NotRun)
	commands := e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)})
	is.Equal(len(only[dispatcher.Reply](commands)), 0) // the key belongs to this content
	is.Equal(len(only[dispatcher.WriteClaim](commands)), 1)
}

func TestClaimWithoutAgentsIsWidenedWhenOneComes(t *testing.T) {
	is, e := begin(t, "one")
	claims := only[dispatcher.WriteClaim](e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)}))
	is.Equal(len(claims[0].Claim.Agents), 0)
	e.step(dispatcher.ClaimWon{Claim: claims[0].Claim})
	takes := only[dispatcher.ReplaceClaim](e.announce("a", 1))
	is.Equal(len(takes), 1)
	is.Equal(takes[0].Claim.Agents, []dispatcher.Peer{agentPeer("a")})
	sends := only[dispatcher.Send](e.step(dispatcher.ClaimWon{Claim: takes[0].Claim}))
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Start.Generation, takes[0].Claim.Generation)
}

func TestIdempotentTaskStartsElsewhereWhenItsAgentIsOutOfReach(t *testing.T) {
	is, e := begin(t, "one")
	e.announce("a", 2)
	e.announce("b", 2)
	sends := only[dispatcher.Send](e.step(dispatcher.Submitted{Submission: e.submission("", 1, true)}))
	commands := e.step(dispatcher.LinkLost{Agent: sends[0].Agent.Process})
	again := only[dispatcher.Send](commands)
	is.Equal(len(again), 1)
	is.True(again[0].Agent.Process != sends[0].Agent.Process)
	is.Equal(len(only[dispatcher.Settle](commands)), 1) // the first may still answer
	replies := only[dispatcher.Reply](e.step(finished(again[0])))
	is.Equal(replies[0].Answer.Outcome, task.Complete)
}

func TestRefusalJustBeforeTheDeadlineIsNotCalledNotRun(t *testing.T) {
	is, e := begin(t, "one")
	e.announce("a", 1)
	claims := only[dispatcher.WriteClaim](e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)}))
	sends := only[dispatcher.Send](e.step(dispatcher.ClaimWon{Claim: claims[0].Claim}))
	is.Equal(len(sends), 1)
	e.now = e.now.Add(9980 * time.Millisecond)
	e.step(dispatcher.Refused{Agent: sends[0].Agent.Process, Report: task.Report{
		Task: sends[0].Start.Task, Attempt: sends[0].Start.Attempt, State: task.Unstarted, Refusal: task.Busy,
	}})
	e.now = e.now.Add(15 * time.Millisecond)
	replies := only[dispatcher.Reply](e.step(dispatcher.Tick{}))
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Answer.Outcome, task.MayHaveRun) // the store can't confirm it any more
}
