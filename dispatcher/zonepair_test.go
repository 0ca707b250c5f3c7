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
	zp := &zonePair{
		now: epoch, claims: make(map[task.JobID]dispatcher.Claim),
		callbacks: make(map[uint64]func(any)), starts: make(map[task.ID]int),
	}
	for i := range zp.zones {
		z := &zone{index: i, entryProcess: task.Process{Name: fmt.Sprint("entry-", i), Incarnation: 1}, agentPeer: agentPeer(fmt.Sprint("agent-", i))}
		z.entry = dispatcher.New(dispatcher.Options{
			Self: z.entryProcess, Address: netip.MustParseAddrPort("127.0.0.1:1"), Zone: fmt.Sprint("zone-", i),
			QueueTasks: 100, KeepAnswers: 2 * time.Minute, KeepBytes: 1 << 20, Random: rand.New(rand.NewPCG(1, uint64(i))),
		})
		z.agent = runner.New(runner.Options{Slots: 2, Remember: 100, ResponseBytes: 1 << 10, ResultBytes: 1 << 16})
		zp.zones[i] = z
	}
	zp.connect()
	return zp
}

// connect opens the links between reachable zones and announces each agent over
// them.
func (zp *zonePair) connect() {
	for _, e := range zp.zones {
		for _, a := range zp.zones {
			if zp.unreachable(e, a) {
				continue
			}
			zp.stepAgent(a, runner.LinkOpened{Entry: e.entryProcess})
			zp.stepEntry(e, dispatcher.Announced{Announcement: dispatcher.Announcement{
				Peer: a.agentPeer, Zone: fmt.Sprint("zone-", a.index), Pools: []string{"desk"},
				Load: a.agent.Load(), Expires: zp.now.Add(150 * time.Second),
			}})
		}
	}
	zp.deliverAll()
}

// partition separates the zones. Both ends detect the silence of their links.
func (zp *zonePair) partition() {
	zp.partitioned = true
	for i, e := range zp.zones {
		a := zp.zones[1-i]
		zp.stepAgent(a, runner.LinkClosed{Entry: e.entryProcess})
		zp.stepEntry(e, dispatcher.LinkLost{Agent: a.agentPeer.Process})
		zp.stepEntry(e, dispatcher.LoadReported{Agent: a.agentPeer.Process, Load: dispatcher.Load{Leaving: true}})
	}
	zp.deliverAll()
}

// heal reconnects the zones with each other and with the store.
func (zp *zonePair) heal() {
	zp.partitioned, zp.storeUnreachable = false, false
	zp.connect()
}

// unreachable reports whether the partition separates two zones.
func (zp *zonePair) unreachable(from, to *zone) bool { return zp.partitioned && from != to }

// send sends a message from one zone to another. On its arrival it calls
// deliver, or lost if the zones are partitioned by then.
func (zp *zonePair) send(from, to *zone, deliver, lost func()) {
	zp.inFlight = append(zp.inFlight, func() {
		if !zp.unreachable(from, to) {
			deliver()
			return
		}
		lost()
	})
}

// deliverAll delivers the messages in flight.
func (zp *zonePair) deliverAll() {
	for len(zp.inFlight) > 0 {
		next := zp.inFlight[0]
		zp.inFlight = zp.inFlight[1:]
		next()
	}
}

// answerCalls makes the minions answer all open calls.
func (zp *zonePair) answerCalls() {
	for len(zp.openCalls) > 0 {
		next := zp.openCalls[0]
		zp.openCalls = zp.openCalls[1:]
		next()
		zp.deliverAll()
	}
}

// advance advances the time, with a tick every 100 ms and an announcement every
// minute.
func (zp *zonePair) advance(length time.Duration) {
	const tick = 100 * time.Millisecond
	for until := zp.now.Add(length); zp.now.Before(until); {
		zp.now = zp.now.Add(tick)
		zp.inFlight, zp.retries = append(zp.inFlight, zp.retries...), nil
		for _, z := range zp.zones {
			zp.stepEntry(z, dispatcher.Tick{})
			zp.stepAgent(z, runner.Tick{})
		}
		zp.deliverAll()
		if zp.now.Sub(epoch)%time.Minute == 0 {
			zp.connect()
		}
	}
}

// submit submits a job of six tasks to an entry, and returns the variable that
// will hold the answer.
func (zp *zonePair) submit(z *zone, key task.Key, timeout time.Duration) *dispatcher.Answer {
	ticket, answer := zp.newTicket(nil), new(dispatcher.Answer)
	zp.callbacks[ticket] = func(reply any) { *answer = reply.(dispatcher.Reply).Answer }
	submission := dispatcher.Submission{
		Ticket: dispatcher.Ticket(ticket), Job: task.KeyedJobID("climbs", key), Team: "climbs", Key: key, Deadline: zp.now.Add(timeout),
		Plan: router.Plan{Route: router.Route{Name: "all", Pool: "desk"}, Pool: router.Pool{Name: "desk"}},
	}
	for i := range 6 {
		submission.Tasks = append(submission.Tasks, task.Request{Body: fmt.Append(nil, i)})
	}
	if key == "" {
		submission.Job = task.KeyedJobID("keyless", task.Key(fmt.Sprint(ticket)))
	}
	zp.stepEntry(z, dispatcher.Submitted{Submission: submission})
	zp.deliverAll()
	return answer
}

// newTicket returns a ticket whose result goes to callback.
func (zp *zonePair) newTicket(callback func(any)) uint64 {
	zp.lastTicket++
	zp.callbacks[zp.lastTicket] = callback
	return zp.lastTicket
}

// complete passes a result to the callback of its ticket.
func (zp *zonePair) complete(ticket uint64, result any) {
	callback := zp.callbacks[ticket]
	delete(zp.callbacks, ticket)
	callback(result)
}

// zoneOf returns the zone of an entry or agent.
func (zp *zonePair) zoneOf(p task.Process) *zone {
	for _, z := range zp.zones {
		if p == z.entryProcess || p == z.agentPeer.Process {
			return z
		}
	}
	return nil
}

// stepEntry sends an event to an entry and executes its commands.
func (zp *zonePair) stepEntry(z *zone, event dispatcher.Event) {
	for _, command := range append([]dispatcher.Command{}, z.entry.Step(zp.now, event)...) {
		zp.executeEntryCommand(z, command)
	}
}

// stepAgent sends an event to an agent and executes its commands.
func (zp *zonePair) stepAgent(z *zone, event runner.Event) {
	for _, command := range append([]runner.Command{}, z.agent.Step(zp.now, event)...) {
		zp.executeAgentCommand(z, command)
	}
}

// executeEntryCommand executes a command of an entry's core.
func (zp *zonePair) executeEntryCommand(z *zone, command dispatcher.Command) {
	ignore := func() {}
	switch c := command.(type) {
	case dispatcher.Reply:
		zp.complete(uint64(c.Ticket), c)
	case dispatcher.WriteClaim:
		zp.writeClaim(z, c.Claim, func(stored dispatcher.Claim) bool { return stored.Token == 0 })
	case dispatcher.ReplaceClaim:
		zp.writeClaim(z, c.Claim, func(stored dispatcher.Claim) bool { return stored.Token == c.Old.Token })
	case dispatcher.AskOwner:
		zp.askOwner(z, c)
	case dispatcher.Fence:
		zp.fence(z, c)
	case dispatcher.Settle:
		zp.settle(z, c)
	case dispatcher.SendStart:
		to := zp.zoneOf(c.Agent.Process)
		if zp.unreachable(z, to) {
			zp.inFlight = append(zp.inFlight, func() {
				zp.stepEntry(z, dispatcher.Refused{Agent: c.Agent.Process, Report: linker.NewUnsentStartReport(c.Start)})
			})
			return
		}
		zp.send(z, to, func() { zp.stepAgent(to, runner.StartReceived{From: z.entryProcess, Start: c.Start}) }, ignore)
	case dispatcher.Cancel:
		to := zp.zoneOf(c.Agent.Process)
		zp.send(z, to, func() { zp.stepAgent(to, runner.Cancelled{Task: c.Ref.Task, Attempt: c.Ref.Attempt}) }, ignore)
	case dispatcher.Acknowledge:
		to := zp.zoneOf(c.Agent.Process)
		zp.send(z, to, func() { zp.stepAgent(to, runner.Acknowledged{Task: c.Ref.Task, Attempt: c.Ref.Attempt}) }, ignore)
	}
}

// writeClaim simulates the store and the entry's claimer, which gives up at the
// deadline.
func (zp *zonePair) writeClaim(z *zone, claim dispatcher.Claim, unchanged func(stored dispatcher.Claim) bool) {
	var try func()
	try = func() {
		switch stored := zp.claims[claim.Job]; {
		case !zp.now.Before(claim.Deadline):
			zp.stepEntry(z, dispatcher.ClaimFailed{Job: claim.Job, Reason: "the store is out of reach"})
		case zp.storeUnreachable && z.index == 1:
			zp.retries = append(zp.retries, try)
		case unchanged(stored):
			zp.claims[claim.Job] = claim
			zp.stepEntry(z, dispatcher.ClaimWon{Claim: claim})
		default:
			zp.stepEntry(z, dispatcher.ClaimHeld{Claim: stored})
		}
	}
	zp.inFlight = append(zp.inFlight, try)
}

// askOwner asks the owner of a claim for the job's answer.
func (zp *zonePair) askOwner(z *zone, c dispatcher.AskOwner) {
	owner := zp.zoneOf(c.Claim.Owner)
	lost := func() { zp.stepEntry(z, dispatcher.OwnerLost{Job: c.Claim.Job}) }
	zp.send(z, owner, func() {
		ticket := zp.newTicket(func(reply any) {
			r := reply.(dispatcher.Reply)
			zp.send(owner, z, func() {
				zp.stepEntry(z, dispatcher.OwnerAnswered{Job: c.Claim.Job, Known: r.Known, Answer: r.Answer})
			}, lost)
		})
		zp.stepEntry(owner, dispatcher.AnswerRequested{
			Ticket: dispatcher.Ticket(ticket), Team: c.Claim.Team, Job: c.Claim.Job, Digest: c.Claim.Digest, Deadline: c.Deadline,
		})
	}, lost)
}

// fence sends a fence to an agent.
func (zp *zonePair) fence(z *zone, c dispatcher.Fence) {
	to := zp.zoneOf(c.Agent.Process)
	lost := func() {
		if zp.fakeFences {
			zp.stepEntry(z, dispatcher.Fenced{Job: c.Job, Agent: c.Agent.Process})
			return
		}
		zp.stepEntry(z, dispatcher.FenceFailed{Job: c.Job, Agent: c.Agent.Process})
	}
	zp.send(z, to, func() {
		ticket := zp.newTicket(func(answer any) {
			reports := answer.(runner.AnswerFence).Reports
			zp.send(to, z, func() {
				zp.stepEntry(z, dispatcher.Fenced{Job: c.Job, Agent: c.Agent.Process, Reports: reports})
			}, lost)
		})
		zp.stepAgent(to, runner.FenceRequested{Ticket: runner.Ticket(ticket), Fence: c})
	}, lost)
}

// settle asks an agent for the state of attempts.
func (zp *zonePair) settle(z *zone, c dispatcher.Settle) {
	to := zp.zoneOf(c.Agent.Process)
	lost := func() { zp.stepEntry(z, dispatcher.SettleFailed{Agent: c.Agent.Process, Attempts: c.Attempts}) }
	zp.send(z, to, func() {
		ticket := zp.newTicket(func(answer any) {
			reports := answer.(runner.AnswerSettle).Reports
			zp.send(to, z, func() { zp.stepEntry(z, dispatcher.Settled{Agent: c.Agent.Process, Reports: reports}) }, lost)
		})
		zp.stepAgent(to, runner.SettleRequested{Ticket: runner.Ticket(ticket), Attempts: c.Attempts})
	}, lost)
}

// executeAgentCommand executes a command of an agent's core.
func (zp *zonePair) executeAgentCommand(z *zone, command runner.Command) {
	postEvent := func(to task.Process, event dispatcher.Event) {
		entry, load := zp.zoneOf(to), z.agent.Load()
		zp.send(z, entry, func() {
			zp.stepEntry(entry, event)
			zp.stepEntry(entry, dispatcher.LoadReported{Agent: z.agentPeer.Process, Load: load})
		}, func() {})
	}
	switch c := command.(type) {
	case runner.Run:
		zp.starts[c.Start.Task]++
		zp.openCalls = append(zp.openCalls, func() {
			zp.stepAgent(z, runner.MinionAnswered{
				Task: c.Start.Task, Attempt: c.Start.Attempt,
				Response: task.Response{Status: 200, Body: responseBody(c.Start.Request)},
			})
		})
	case runner.Accept:
		postEvent(c.To, dispatcher.Accepted{Agent: z.agentPeer.Process, Task: c.Task, Attempt: c.Attempt})
	case runner.Refuse:
		postEvent(c.To, dispatcher.Refused{Agent: z.agentPeer.Process, Report: c.Report})
	case runner.SendReport:
		postEvent(c.To, dispatcher.Ended{Agent: z.agentPeer.Process, Report: c.Report})
	case runner.AnswerSettle:
		zp.complete(uint64(c.Ticket), c)
	case runner.AnswerFence:
		zp.complete(uint64(c.Ticket), c)
	}
}

// repeatedStarts describes the tasks that started more than once.
func (zp *zonePair) repeatedStarts() []string {
	var repeated []string
	for id, n := range zp.starts {
		if n > 1 {
			repeated = append(repeated, fmt.Sprint(id, " started ", n, " times"))
		}
	}
	return repeated
}
