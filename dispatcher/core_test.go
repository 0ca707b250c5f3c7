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

// epoch is the time at which every test starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// testEntry is a core whose clock and events the test controls.
type testEntry struct {
	core       *dispatcher.Core
	now        time.Time
	lastTicket dispatcher.Ticket
}

// newTestEntry returns an entry without agents and jobs.
func newTestEntry(name string) *testEntry {
	return &testEntry{now: epoch, core: dispatcher.New(dispatcher.Options{
		Self:        task.Process{Name: name, Incarnation: 1},
		Address:     netip.MustParseAddrPort("127.0.0.1:1"),
		QueueTasks:  1000,
		KeepAnswers: time.Minute,
		KeepBytes:   1 << 20,
		Random:      rand.New(rand.NewPCG(1, 2)),
	})}
}

// setUp returns the assertion helper and a new entry for a test.
func setUp(t *testing.T, name string) (*is.I, *testEntry) { return is.New(t), newTestEntry(name) }

// step sends an event to the core and returns a copy of its commands.
func (e *testEntry) step(event dispatcher.Event) []dispatcher.Command {
	return append([]dispatcher.Command{}, e.core.Step(e.now, event)...)
}

// agentPeer returns the first incarnation of an agent.
func agentPeer(name string) dispatcher.Peer {
	return dispatcher.Peer{
		Process: task.Process{Name: name, Incarnation: 1},
		Address: netip.MustParseAddrPort("127.0.0.1:2"),
	}
}

// announce announces an agent of the pool "desk".
func (e *testEntry) announce(name string, slots int) []dispatcher.Command {
	return e.step(dispatcher.Announced{Announcement: dispatcher.Announcement{
		Peer: agentPeer(name), Pools: []string{"desk"},
		Load: dispatcher.Load{Slots: slots}, Expires: e.now.Add(time.Hour),
	}})
}

// submission returns a submission with a deadline in 10 s; an empty key makes
// it keyless.
func (e *testEntry) submission(key task.Key, tasks int, idempotent bool) dispatcher.Submission {
	e.lastTicket++
	s := dispatcher.Submission{
		Ticket: e.lastTicket, Team: "climbs", Key: key, Deadline: e.now.Add(10 * time.Second),
		Plan: router.Plan{
			Route: router.Route{Name: "all", Pool: "desk", Idempotent: idempotent},
			Pool:  router.Pool{Name: "desk"},
		},
		Tasks: make([]task.Request, tasks),
		Job:   task.KeyedJobID("climbs", key),
	}
	if key == "" {
		s.Job = task.JobID{byte(e.lastTicket)}
	}
	return s
}

// commandsOf returns the commands of type T.
func commandsOf[T dispatcher.Command](commands []dispatcher.Command) []T {
	var found []T
	for _, c := range commands {
		if t, ok := c.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

// finishedEvent returns the agent's report of a successful response. The body
// of the response is the index of the task.
func finishedEvent(s dispatcher.SendStart) dispatcher.Ended {
	return dispatcher.Ended{Agent: s.Agent.Process, Report: task.Report{
		Task: s.Start.Task, Attempt: s.Start.Attempt, State: task.Finished,
		Response: task.Response{Status: 200, Body: []byte{byte(s.Start.Task.Index)}},
	}}
}

func TestKeylessRequestIsSentOnceAndAnswered(t *testing.T) {
	is, e := setUp(t, "one")
	e.announce("a", 1)
	sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)}))
	is.Equal(len(sends), 1)
	replies := commandsOf[dispatcher.Reply](e.step(finishedEvent(sends[0])))
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Answer.Outcome, task.Complete)
	is.True(e.core.Idle())
	is.Equal(len(commandsOf[dispatcher.Reply](e.step(finishedEvent(sends[0])))), 0) // the duplicate result is ignored
}

func TestKeyedJobStartsOnlyUnderItsClaim(t *testing.T) {
	is, e := setUp(t, "one")
	e.announce("a", 4)
	first := e.step(dispatcher.Submitted{Submission: e.submission("k", 3, false)})
	is.Equal(len(commandsOf[dispatcher.SendStart](first)), 0)
	claims := commandsOf[dispatcher.WriteClaim](first)
	is.Equal(len(claims), 1)
	is.Equal(len(e.step(dispatcher.Submitted{Submission: e.submission("k", 3, false)})), 0) // joins the first
	sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.ClaimWon{Claim: claims[0].Claim}))
	is.Equal(len(sends), 3)
	var replies []dispatcher.Reply
	for _, s := range sends {
		replies = append(replies, commandsOf[dispatcher.Reply](e.step(finishedEvent(s)))...)
	}
	is.Equal(len(replies), 2) // both callers
	is.Equal(replies[0].Answer, replies[1].Answer)
	for i, r := range replies[0].Answer.Responses {
		is.Equal(r.Body, []byte{byte(i)})
	}
	resubmitted := commandsOf[dispatcher.Reply](e.step(dispatcher.Submitted{Submission: e.submission("k", 3, false)}))
	is.Equal(resubmitted[0].Answer, replies[0].Answer) // the kept answer
}

func TestTakeoverStartsOnlyUnstartedTasks(t *testing.T) {
	is, e := setUp(t, "two")
	e.announce("a", 4)
	e.step(dispatcher.Submitted{Submission: e.submission("k", 2, false)})
	old := dispatcher.Claim{
		Job: task.KeyedJobID("climbs", "k"), Team: "climbs", Generation: 1,
		Owner: task.Process{Name: "one", Incarnation: 9}, Deadline: e.now.Add(5 * time.Second),
		Agents: []dispatcher.Peer{agentPeer("a"), agentPeer("b")},
	}
	asks := commandsOf[dispatcher.AskOwner](e.step(dispatcher.ClaimHeld{Claim: old}))
	is.Equal(len(asks), 1)
	replacements := commandsOf[dispatcher.ReplaceClaim](e.step(dispatcher.OwnerLost{Job: old.Job}))
	is.Equal(replacements[0].Claim.Generation, task.Generation(2))
	fences := commandsOf[dispatcher.Fence](e.step(dispatcher.ClaimWon{Claim: replacements[0].Claim}))
	is.Equal(len(fences), 2)
	report := task.Report{Task: task.ID{Job: old.Job, Index: 1}, Attempt: 1, State: task.Finished, Response: task.Response{Status: 200}}
	commands := e.step(dispatcher.Fenced{Job: old.Job, Agent: agentPeer("b").Process, Reports: []task.Report{report}})
	is.Equal(len(commandsOf[dispatcher.SendStart](commands)), 0) // agent a is not fenced yet
	sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.Fenced{Job: old.Job, Agent: agentPeer("a").Process}))
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Start.Task.Index, 0)
	is.Equal(sends[0].Start.Generation, task.Generation(2))
	is.True(!sends[0].Start.Deadline.After(old.Deadline)) // agents remember starts only until then
	replies := commandsOf[dispatcher.Reply](e.step(finishedEvent(sends[0])))
	is.Equal(replies[0].Answer.Outcome, task.Complete)
}

func TestTakeoverWithUnreachableAgentMayHaveRun(t *testing.T) {
	is, e := setUp(t, "two")
	e.announce("a", 4)
	e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)})
	old := dispatcher.Claim{
		Job: task.KeyedJobID("climbs", "k"), Team: "climbs", Generation: 1,
		Deadline: e.now.Add(5 * time.Second), Agents: []dispatcher.Peer{agentPeer("b")},
	}
	e.step(dispatcher.ClaimHeld{Claim: old})
	replacements := commandsOf[dispatcher.ReplaceClaim](e.step(dispatcher.OwnerLost{Job: old.Job}))
	e.step(dispatcher.ClaimWon{Claim: replacements[0].Claim})
	replies := commandsOf[dispatcher.Reply](e.step(dispatcher.FenceFailed{Job: old.Job, Agent: agentPeer("b").Process}))
	is.Equal(replies[0].Answer.Outcome, task.MayHaveRun)
}

func TestLostLinkIsSettledNotResent(t *testing.T) {
	is, e := setUp(t, "one")
	e.announce("a", 2)
	sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)}))
	commands := e.step(dispatcher.LinkLost{Agent: sends[0].Agent.Process})
	is.Equal(len(commandsOf[dispatcher.SendStart](commands)), 0)
	settles := commandsOf[dispatcher.Settle](commands)
	is.Equal(len(settles), 1)
	report := task.Report{Task: sends[0].Start.Task, Attempt: sends[0].Start.Attempt, State: task.Unstarted, Refusal: task.Withdrawn}
	e.now = e.now.Add(20 * time.Millisecond)
	e.step(dispatcher.Settled{Agent: sends[0].Agent.Process, Reports: []task.Report{report}})
	e.now = e.now.Add(20 * time.Millisecond)
	resends := commandsOf[dispatcher.SendStart](e.step(dispatcher.Tick{}))
	is.Equal(len(resends), 1)
	is.Equal(resends[0].Start.Attempt, sends[0].Start.Attempt+1)
}

func TestNonIdempotentTaskOfLostAgentMayHaveRun(t *testing.T) {
	is, e := setUp(t, "one")
	e.announce("a", 2)
	e.announce("b", 2)
	sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)}))
	settles := commandsOf[dispatcher.Settle](e.step(dispatcher.LinkLost{Agent: sends[0].Agent.Process}))
	commands := e.step(dispatcher.SettleFailed{Agent: sends[0].Agent.Process, Gone: true, Attempts: settles[0].Attempts})
	is.Equal(len(commandsOf[dispatcher.SendStart](commands)), 0)
	is.Equal(commandsOf[dispatcher.Reply](commands)[0].Answer.Outcome, task.MayHaveRun)
}

func TestDeadlineBeforeAnySendIsNotRun(t *testing.T) {
	is, e := setUp(t, "one")
	e.step(dispatcher.Submitted{Submission: e.submission("", 1, false)})
	e.now = e.now.Add(10 * time.Second)
	replies := commandsOf[dispatcher.Reply](e.step(dispatcher.Tick{}))
	is.Equal(replies[0].Answer.Outcome, task.NotRun)
}

func TestIdempotentTaskIsRetriedAtAnotherMinion(t *testing.T) {
	is, e := setUp(t, "one")
	e.announce("a", 2)
	e.announce("b", 2)
	sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.Submitted{Submission: e.submission("", 1, true)}))
	broken := dispatcher.Ended{Agent: sends[0].Agent.Process, Report: task.Report{
		Task: sends[0].Start.Task, Attempt: sends[0].Start.Attempt, State: task.Broken, Reason: "cut",
	}}
	resends := commandsOf[dispatcher.SendStart](e.step(broken))
	is.Equal(len(resends), 1)
	is.True(resends[0].Agent.Process != sends[0].Agent.Process)
	replies := commandsOf[dispatcher.Reply](e.step(finishedEvent(resends[0])))
	is.Equal(replies[0].Answer.Outcome, task.Complete)
}

func TestNotRunIsConfirmedByTheStore(t *testing.T) {
	is, e := setUp(t, "one")
	claims := commandsOf[dispatcher.WriteClaim](e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)}))
	e.step(dispatcher.ClaimWon{Claim: claims[0].Claim})
	e.now = e.now.Add(9800 * time.Millisecond)
	commands := e.step(dispatcher.Tick{})
	is.Equal(len(commandsOf[dispatcher.Reply](commands)), 0) // another entry may have taken the job over
	replacements := commandsOf[dispatcher.ReplaceClaim](commands)
	is.Equal(len(replacements), 1)
	other := replacements[0].Claim
	other.Owner = task.Process{Name: "two", Incarnation: 1}
	is.Equal(len(commandsOf[dispatcher.AskOwner](e.step(dispatcher.ClaimHeld{Claim: other}))), 1)
}

func TestRefusedContentBeforeTheClaimIsWonMayHaveRun(t *testing.T) {
	is, e := setUp(t, "one")
	e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)})
	other := e.submission("k", 1, false)
	other.Digest = task.Digest{1}
	replies := commandsOf[dispatcher.Reply](e.step(dispatcher.Submitted{Submission: other}))
	is.Equal(replies[0].Answer.Outcome, task.MayHaveRun) // it may have run through another entry
}

func TestRefusedContentDoesNotReserveTheKey(t *testing.T) {
	is, e := setUp(t, "one")
	other := e.submission("k", 1, false)
	other.Digest = task.Digest{1}
	e.step(dispatcher.Submitted{Submission: other})
	held := dispatcher.Claim{Job: other.Job, Team: "climbs", Generation: 1, Deadline: e.now.Add(time.Second)}
	replies := commandsOf[dispatcher.Reply](e.step(dispatcher.ClaimHeld{Claim: held}))
	is.Equal(replies[0].Answer.Outcome, task.NotRun)
	commands := e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)})
	is.Equal(len(commandsOf[dispatcher.Reply](commands)), 0) // the refused content did not bind the key
	is.Equal(len(commandsOf[dispatcher.WriteClaim](commands)), 1)
}

func TestClaimWithoutAgentsIsWidenedWhenAnAgentIsAnnounced(t *testing.T) {
	is, e := setUp(t, "one")
	claims := commandsOf[dispatcher.WriteClaim](e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)}))
	is.Equal(len(claims[0].Claim.Agents), 0)
	e.step(dispatcher.ClaimWon{Claim: claims[0].Claim})
	replacements := commandsOf[dispatcher.ReplaceClaim](e.announce("a", 1))
	is.Equal(len(replacements), 1)
	is.Equal(replacements[0].Claim.Agents, []dispatcher.Peer{agentPeer("a")})
	sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.ClaimWon{Claim: replacements[0].Claim}))
	is.Equal(len(sends), 1)
	is.Equal(sends[0].Start.Generation, replacements[0].Claim.Generation)
}

func TestIdempotentTaskIsRetriedElsewhereWhenItsLinkIsLost(t *testing.T) {
	is, e := setUp(t, "one")
	e.announce("a", 2)
	e.announce("b", 2)
	sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.Submitted{Submission: e.submission("", 1, true)}))
	commands := e.step(dispatcher.LinkLost{Agent: sends[0].Agent.Process})
	resends := commandsOf[dispatcher.SendStart](commands)
	is.Equal(len(resends), 1)
	is.True(resends[0].Agent.Process != sends[0].Agent.Process)
	is.Equal(len(commandsOf[dispatcher.Settle](commands)), 1) // the first agent may still respond
	replies := commandsOf[dispatcher.Reply](e.step(finishedEvent(resends[0])))
	is.Equal(replies[0].Answer.Outcome, task.Complete)
}

func TestRefusalJustBeforeTheDeadlineMayHaveRun(t *testing.T) {
	is, e := setUp(t, "one")
	e.announce("a", 1)
	claims := commandsOf[dispatcher.WriteClaim](e.step(dispatcher.Submitted{Submission: e.submission("k", 1, false)}))
	sends := commandsOf[dispatcher.SendStart](e.step(dispatcher.ClaimWon{Claim: claims[0].Claim}))
	is.Equal(len(sends), 1)
	e.now = e.now.Add(9980 * time.Millisecond)
	e.step(dispatcher.Refused{Agent: sends[0].Agent.Process, Report: task.Report{
		Task: sends[0].Start.Task, Attempt: sends[0].Start.Attempt, State: task.Unstarted, Refusal: task.Busy,
	}})
	e.now = e.now.Add(15 * time.Millisecond)
	replies := commandsOf[dispatcher.Reply](e.step(dispatcher.Tick{}))
	is.Equal(len(replies), 1)
	is.Equal(replies[0].Answer.Outcome, task.MayHaveRun) // too late for the store to confirm that nothing ran
}
