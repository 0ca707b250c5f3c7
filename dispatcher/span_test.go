package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/linker"
	"agatevalve/router"
	"agatevalve/runner"
)

// zonePair simulates two zones, each with an entry and an agent, and a store
// next to zone 0. No message passes between partitioned zones.
type zonePair struct {
	now         time.Time
	partitioned bool
	zones       [2]*zone
	// storeUnreachable is true while zone 1 can't reach the store.
	storeUnreachable bool
	claims           map[task.JobID]dispatcher.Claim
	// inFlight holds the messages in flight, in order.
	inFlight []func()
	// retries holds the claim writes to retry at the next tick.
	retries []func()
	// openCalls holds the calls that the minions have not answered yet.
	openCalls []func()
	// lastTicket numbers callers, requests for answers, and calls to agents;
	// callbacks holds the handler of each one's result.
	lastTicket uint64
	callbacks  map[uint64]func(any)
	// starts counts the starts of each task at any minion.
	starts map[task.ID]int
	// fakeFences makes fences across the partition succeed, with no task
	// reported as started.
	fakeFences bool
}

// zone is the entry and the agent of one zone.
type zone struct {
	index        int
	entry        *dispatcher.Core
	agent        *runner.Core
	entryProcess task.Process
	agentPeer    dispatcher.Peer
}

// newZonePair returns two connected zones.
func newZonePair() *zonePair {
	s := &zonePair{
		now: epoch, claims: make(map[task.JobID]dispatcher.Claim),
		callbacks: make(map[uint64]func(any)), starts: make(map[task.ID]int),
	}
	for i := range s.zones {
		z := &zone{index: i, entryProcess: task.Process{Name: fmt.Sprint("entry-", i), Incarnation: 1}, agentPeer: agentPeer(fmt.Sprint("agent-", i))}
		z.entry = dispatcher.New(dispatcher.Options{
			Self: z.entryProcess, Address: netip.MustParseAddrPort("127.0.0.1:1"), Zone: fmt.Sprint("zone-", i),
			QueueTasks: 100, KeepAnswers: 2 * time.Minute, KeepBytes: 1 << 20, Random: rand.New(rand.NewPCG(1, uint64(i))),
		})
		z.agent = runner.New(runner.Options{Slots: 2, Remember: 100, ResponseBytes: 1 << 10, ResultBytes: 1 << 16})
		s.zones[i] = z
	}
	s.connect()
	return s
}

// connect opens the links between reachable zones and announces each agent over
// them.
func (s *zonePair) connect() {
	for _, e := range s.zones {
		for _, a := range s.zones {
			if s.unreachable(e, a) {
				continue
			}
			s.stepAgent(a, runner.LinkOpened{Entry: e.entryProcess})
			s.stepEntry(e, dispatcher.Announced{Announcement: dispatcher.Announcement{
				Peer: a.agentPeer, Zone: fmt.Sprint("zone-", a.index), Pools: []string{"desk"},
				Load: a.agent.Load(), Expires: s.now.Add(150 * time.Second),
			}})
		}
	}
	s.deliverAll()
}

// partition separates the zones. Both ends detect the silence of their links.
func (s *zonePair) partition() {
	s.partitioned = true
	for i, e := range s.zones {
		a := s.zones[1-i]
		s.stepAgent(a, runner.LinkClosed{Entry: e.entryProcess})
		s.stepEntry(e, dispatcher.LinkLost{Agent: a.agentPeer.Process})
		s.stepEntry(e, dispatcher.LoadReported{Agent: a.agentPeer.Process, Load: dispatcher.Load{Leaving: true}})
	}
	s.deliverAll()
}

// heal reconnects the zones with each other and with the store.
func (s *zonePair) heal() {
	s.partitioned, s.storeUnreachable = false, false
	s.connect()
}

// unreachable reports whether the partition separates two zones.
func (s *zonePair) unreachable(from, to *zone) bool { return s.partitioned && from != to }

// send sends a message from one zone to another. On its arrival it calls
// deliver, or lost if the zones are partitioned by then.
func (s *zonePair) send(from, to *zone, deliver, lost func()) {
	s.inFlight = append(s.inFlight, func() {
		if !s.unreachable(from, to) {
			deliver()
			return
		}
		lost()
	})
}

// deliverAll delivers the messages in flight.
func (s *zonePair) deliverAll() {
	for len(s.inFlight) > 0 {
		next := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		next()
	}
}

// answerCalls makes the minions answer all open calls.
func (s *zonePair) answerCalls() {
	for len(s.openCalls) > 0 {
		next := s.openCalls[0]
		s.openCalls = s.openCalls[1:]
		next()
		s.deliverAll()
	}
}

// advance advances the time, with a tick every 100 ms and an announcement every
// minute.
func (s *zonePair) advance(length time.Duration) {
	const tick = 100 * time.Millisecond
	for until := s.now.Add(length); s.now.Before(until); {
		s.now = s.now.Add(tick)
		s.inFlight, s.retries = append(s.inFlight, s.retries...), nil
		for _, z := range s.zones {
			s.stepEntry(z, dispatcher.Tick{})
			s.stepAgent(z, runner.Tick{})
		}
		s.deliverAll()
		if s.now.Sub(epoch)%time.Minute == 0 {
			s.connect()
		}
	}
}

// submit submits a job of six tasks to an entry, and returns the variable that
// will hold the answer.
func (s *zonePair) submit(z *zone, key task.Key, timeout time.Duration) *dispatcher.Answer {
	ticket, answer := s.newTicket(nil), new(dispatcher.Answer)
	s.callbacks[ticket] = func(reply any) { *answer = reply.(dispatcher.Reply).Answer }
	submission := dispatcher.Submission{
		Ticket: dispatcher.Ticket(ticket), Job: task.KeyedJobID("climbs", key), Team: "climbs", Key: key, Deadline: s.now.Add(timeout),
		Plan: router.Plan{Route: router.Route{Name: "all", Pool: "desk"}, Pool: router.Pool{Name: "desk"}},
	}
	for i := range 6 {
		submission.Tasks = append(submission.Tasks, task.Request{Body: fmt.Append(nil, i)})
	}
	if key == "" {
		submission.Job = task.KeyedJobID("keyless", task.Key(fmt.Sprint(ticket)))
	}
	s.stepEntry(z, dispatcher.Submitted{Submission: submission})
	s.deliverAll()
	return answer
}

// newTicket returns a ticket whose result goes to callback.
func (s *zonePair) newTicket(callback func(any)) uint64 {
	s.lastTicket++
	s.callbacks[s.lastTicket] = callback
	return s.lastTicket
}

// complete passes a result to the callback of its ticket.
func (s *zonePair) complete(ticket uint64, result any) {
	callback := s.callbacks[ticket]
	delete(s.callbacks, ticket)
	callback(result)
}

// zoneOf returns the zone of an entry or agent.
func (s *zonePair) zoneOf(p task.Process) *zone {
	for _, z := range s.zones {
		if p == z.entryProcess || p == z.agentPeer.Process {
			return z
		}
	}
	return nil
}

// stepEntry sends an event to an entry and executes its commands.
func (s *zonePair) stepEntry(z *zone, event dispatcher.Event) {
	for _, command := range append([]dispatcher.Command{}, z.entry.Step(s.now, event)...) {
		s.executeEntryCommand(z, command)
	}
}

// stepAgent sends an event to an agent and executes its commands.
func (s *zonePair) stepAgent(z *zone, event runner.Event) {
	for _, command := range append([]runner.Command{}, z.agent.Step(s.now, event)...) {
		s.executeAgentCommand(z, command)
	}
}

// executeEntryCommand executes a command of an entry's core.
func (s *zonePair) executeEntryCommand(z *zone, command dispatcher.Command) {
	ignore := func() {}
	switch c := command.(type) {
	case dispatcher.Reply:
		s.complete(uint64(c.Ticket), c)
	case dispatcher.WriteClaim:
		s.writeClaim(z, c.Claim, func(stored dispatcher.Claim) bool { return stored.Token == 0 })
	case dispatcher.ReplaceClaim:
		s.writeClaim(z, c.Claim, func(stored dispatcher.Claim) bool { return stored.Token == c.Old.Token })
	case dispatcher.AskOwner:
		s.askOwner(z, c)
	case dispatcher.Fence:
		s.fence(z, c)
	case dispatcher.Settle:
		s.settle(z, c)
	case dispatcher.Send:
		to := s.zoneOf(c.Agent.Process)
		if s.unreachable(z, to) {
			s.inFlight = append(s.inFlight, func() {
				s.stepEntry(z, dispatcher.Refused{Agent: c.Agent.Process, Report: linker.Unsent(c.Start)})
			})
			return
		}
		s.send(z, to, func() { s.stepAgent(to, runner.Arrived{From: z.entryProcess, Start: c.Start}) }, ignore)
	case dispatcher.Cancel:
		to := s.zoneOf(c.Agent.Process)
		s.send(z, to, func() { s.stepAgent(to, runner.Cancelled{Task: c.Ref.Task, Attempt: c.Ref.Attempt}) }, ignore)
	case dispatcher.Acknowledge:
		to := s.zoneOf(c.Agent.Process)
		s.send(z, to, func() { s.stepAgent(to, runner.Acknowledged{Task: c.Ref.Task, Attempt: c.Ref.Attempt}) }, ignore)
	}
}

// writeClaim simulates the store and the entry's claimer, which gives up at the
// deadline.
func (s *zonePair) writeClaim(z *zone, claim dispatcher.Claim, unchanged func(stored dispatcher.Claim) bool) {
	var try func()
	try = func() {
		switch stored := s.claims[claim.Job]; {
		case !s.now.Before(claim.Deadline):
			s.stepEntry(z, dispatcher.ClaimFailed{Job: claim.Job, Reason: "the store is out of reach"})
		case s.storeUnreachable && z.index == 1:
			s.retries = append(s.retries, try)
		case unchanged(stored):
			s.claims[claim.Job] = claim
			s.stepEntry(z, dispatcher.ClaimWon{Claim: claim})
		default:
			s.stepEntry(z, dispatcher.ClaimHeld{Claim: stored})
		}
	}
	s.inFlight = append(s.inFlight, try)
}

// askOwner asks the owner of a claim for the job's answer.
func (s *zonePair) askOwner(z *zone, c dispatcher.AskOwner) {
	owner := s.zoneOf(c.Claim.Owner)
	lost := func() { s.stepEntry(z, dispatcher.OwnerLost{Job: c.Claim.Job}) }
	s.send(z, owner, func() {
		ticket := s.newTicket(func(reply any) {
			r := reply.(dispatcher.Reply)
			s.send(owner, z, func() {
				s.stepEntry(z, dispatcher.OwnerAnswered{Job: c.Claim.Job, Known: r.Known, Answer: r.Answer})
			}, lost)
		})
		s.stepEntry(owner, dispatcher.AnswerRequested{
			Ticket: dispatcher.Ticket(ticket), Team: c.Claim.Team, Job: c.Claim.Job, Digest: c.Claim.Digest, Deadline: c.Deadline,
		})
	}, lost)
}

// fence sends a fence to an agent.
func (s *zonePair) fence(z *zone, c dispatcher.Fence) {
	to := s.zoneOf(c.Agent.Process)
	lost := func() {
		if s.fakeFences {
			s.stepEntry(z, dispatcher.Fenced{Job: c.Job, Agent: c.Agent.Process})
			return
		}
		s.stepEntry(z, dispatcher.FenceFailed{Job: c.Job, Agent: c.Agent.Process})
	}
	s.send(z, to, func() {
		ticket := s.newTicket(func(answer any) {
			reports := answer.(runner.AnswerFence).Reports
			s.send(to, z, func() {
				s.stepEntry(z, dispatcher.Fenced{Job: c.Job, Agent: c.Agent.Process, Reports: reports})
			}, lost)
		})
		s.stepAgent(to, runner.Fenced{Ticket: runner.Ticket(ticket), Fence: c})
	}, lost)
}

// settle asks an agent for the state of attempts.
func (s *zonePair) settle(z *zone, c dispatcher.Settle) {
	to := s.zoneOf(c.Agent.Process)
	lost := func() { s.stepEntry(z, dispatcher.SettleFailed{Agent: c.Agent.Process, Attempts: c.Attempts}) }
	s.send(z, to, func() {
		ticket := s.newTicket(func(answer any) {
			reports := answer.(runner.AnswerSettle).Reports
			s.send(to, z, func() { s.stepEntry(z, dispatcher.Settled{Agent: c.Agent.Process, Reports: reports}) }, lost)
		})
		s.stepAgent(to, runner.Settled{Ticket: runner.Ticket(ticket), Tasks: c.Attempts})
	}, lost)
}

// executeAgentCommand executes a command of an agent's core.
func (s *zonePair) executeAgentCommand(z *zone, command runner.Command) {
	postEvent := func(to task.Process, event dispatcher.Event) {
		entry, load := s.zoneOf(to), z.agent.Load()
		s.send(z, entry, func() {
			s.stepEntry(entry, event)
			s.stepEntry(entry, dispatcher.LoadReported{Agent: z.agentPeer.Process, Load: load})
		}, func() {})
	}
	switch c := command.(type) {
	case runner.Run:
		s.starts[c.Start.Task]++
		s.openCalls = append(s.openCalls, func() {
			s.stepAgent(z, runner.MinionAnswered{
				Task: c.Start.Task, Attempt: c.Start.Attempt,
				Response: task.Response{Status: 200, Body: responseBody(c.Start.Request)},
			})
		})
	case runner.Accept:
		postEvent(c.To, dispatcher.Accepted{Agent: z.agentPeer.Process, Task: c.Task, Attempt: c.Attempt})
	case runner.Refuse:
		postEvent(c.To, dispatcher.Refused{Agent: z.agentPeer.Process, Report: c.Report})
	case runner.Send:
		postEvent(c.To, dispatcher.Ended{Agent: z.agentPeer.Process, Report: c.Report})
	case runner.AnswerSettle:
		s.complete(uint64(c.Ticket), c)
	case runner.AnswerFence:
		s.complete(uint64(c.Ticket), c)
	}
}

// repeatedStarts describes the tasks that started more than once.
func (s *zonePair) repeatedStarts() []string {
	var repeated []string
	for id, n := range s.starts {
		if n > 1 {
			repeated = append(repeated, fmt.Sprint(id, " started ", n, " times"))
		}
	}
	return repeated
}
