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

// span is two zones with an entry and an agent in each, and a store beside
// zone 0. While it is cut, nothing passes between the zones.
type span struct {
	now   time.Time
	cut   bool
	zones [2]*zone
	// storeCut keeps zone 1 from the store.
	storeCut bool
	claims   map[task.JobID]dispatcher.Claim
	// flight holds what is on its way, in order.
	flight []func()
	// held holds what is tried again at the next tick.
	held []func()
	// minions holds the calls that no minion has answered yet.
	minions []func()
	// ticket names callers, asks and calls.
	ticket  uint64
	waiting map[uint64]func(any)
	// starts counts the runs of each task at any minion.
	starts map[task.ID]int
	// liar answers fences over the cut as if nothing had run there.
	liar bool
}

// zone is one entry and one agent.
type zone struct {
	place int
	entry *dispatcher.Core
	agent *runner.Core
	self  task.Process
	host  dispatcher.Peer
}

func newSpan() *span {
	s := &span{
		now: epoch, claims: make(map[task.JobID]dispatcher.Claim),
		waiting: make(map[uint64]func(any)), starts: make(map[task.ID]int),
	}
	for i := range s.zones {
		z := &zone{place: i, self: task.Process{Name: fmt.Sprint("entry-", i), Incarnation: 1}, host: agentPeer(fmt.Sprint("agent-", i))}
		z.entry = dispatcher.New(dispatcher.Options{
			Self: z.self, Address: netip.MustParseAddrPort("127.0.0.1:1"), Zone: fmt.Sprint("zone-", i),
			QueueTasks: 100, KeepAnswers: 2 * time.Minute, KeepBytes: 1 << 20, Random: rand.New(rand.NewPCG(1, uint64(i))),
		})
		z.agent = runner.New(runner.Options{Slots: 2, Remember: 100, ResponseBytes: 1 << 10, ResultBytes: 1 << 16})
		s.zones[i] = z
	}
	s.join()
	return s
}

// join opens links in reach, with an announcement each.
func (s *span) join() {
	for _, e := range s.zones {
		for _, a := range s.zones {
			if s.crosses(e, a) {
				continue
			}
			s.toAgent(a, runner.LinkOpened{Entry: e.self})
			s.toEntry(e, dispatcher.Announced{Announcement: dispatcher.Announcement{
				Peer: a.host, Zone: fmt.Sprint("zone-", a.place), Pools: []string{"desk"},
				Load: a.agent.Load(), Expires: s.now.Add(150 * time.Second),
			}})
		}
	}
	s.run()
}

// part cuts the zones off from each other; links notice by their silence.
func (s *span) part() {
	s.cut = true
	for i, e := range s.zones {
		a := s.zones[1-i]
		s.toAgent(a, runner.LinkClosed{Entry: e.self})
		s.toEntry(e, dispatcher.LinkLost{Agent: a.host.Process})
		s.toEntry(e, dispatcher.LoadReported{Agent: a.host.Process, Load: dispatcher.Load{Leaving: true}})
	}
	s.run()
}

func (s *span) heal() {
	s.cut, s.storeCut = false, false
	s.join()
}

func (s *span) crosses(from, to *zone) bool { return s.cut && from != to }

// pass brings a message from one zone to another, or loses it.
func (s *span) pass(from, to *zone, deliver, lost func()) {
	s.flight = append(s.flight, func() {
		if !s.crosses(from, to) {
			deliver()
			return
		}
		lost()
	})
}

func (s *span) run() {
	for len(s.flight) > 0 {
		next := s.flight[0]
		s.flight = s.flight[1:]
		next()
	}
}

// answer has the minions answer all that they have.
func (s *span) answer() {
	for len(s.minions) > 0 {
		next := s.minions[0]
		s.minions = s.minions[1:]
		next()
		s.run()
	}
}

// advance lets time pass with a tick each 100 ms, and an announcement each
// minute.
func (s *span) advance(length time.Duration) {
	const tick = 100 * time.Millisecond
	for until := s.now.Add(length); s.now.Before(until); {
		s.now = s.now.Add(tick)
		s.flight, s.held = append(s.flight, s.held...), nil
		for _, z := range s.zones {
			s.toEntry(z, dispatcher.Tick{})
			s.toAgent(z, runner.Tick{})
		}
		s.run()
		if s.now.Sub(epoch)%time.Minute == 0 {
			s.join()
		}
	}
}

// submit sends six tasks to an entry, and returns where the answer will be.
func (s *span) submit(z *zone, key task.Key, within time.Duration) *dispatcher.Answer {
	ticket, answer := s.wait(nil), new(dispatcher.Answer)
	s.waiting[ticket] = func(reply any) { *answer = reply.(dispatcher.Reply).Answer }
	submission := dispatcher.Submission{
		Ticket: dispatcher.Ticket(ticket), Job: task.KeyedJobID("climbs", key), Team: "climbs", Key: key, Deadline: s.now.Add(within),
		Plan: router.Plan{Route: router.Route{Name: "all", Pool: "desk"}, Pool: router.Pool{Name: "desk"}},
	}
	for i := range 6 {
		submission.Tasks = append(submission.Tasks, task.Request{Body: fmt.Append(nil, i)})
	}
	if key == "" {
		submission.Job = task.KeyedJobID("keyless", task.Key(fmt.Sprint(ticket)))
	}
	s.toEntry(z, dispatcher.Submitted{Submission: submission})
	s.run()
	return answer
}

// wait returns a ticket for a call.
func (s *span) wait(then func(any)) uint64 {
	s.ticket++
	s.waiting[s.ticket] = then
	return s.ticket
}

func (s *span) end(ticket uint64, with any) {
	then := s.waiting[ticket]
	delete(s.waiting, ticket)
	then(with)
}

func (s *span) zoneOf(p task.Process) *zone {
	for _, z := range s.zones {
		if p == z.self || p == z.host.Process {
			return z
		}
	}
	return nil
}

func (s *span) toEntry(z *zone, event dispatcher.Event) {
	for _, command := range append([]dispatcher.Command{}, z.entry.Step(s.now, event)...) {
		s.obeyEntry(z, command)
	}
}

func (s *span) toAgent(z *zone, event runner.Event) {
	for _, command := range append([]runner.Command{}, z.agent.Step(s.now, event)...) {
		s.obeyAgent(z, command)
	}
}

func (s *span) obeyEntry(z *zone, command dispatcher.Command) {
	none := func() {}
	switch c := command.(type) {
	case dispatcher.Reply:
		s.end(uint64(c.Ticket), c)
	case dispatcher.WriteClaim:
		s.claim(z, c.Claim, func(stands dispatcher.Claim) bool { return stands.Token == 0 })
	case dispatcher.ReplaceClaim:
		s.claim(z, c.Claim, func(stands dispatcher.Claim) bool { return stands.Token == c.Old.Token })
	case dispatcher.AskOwner:
		s.ask(z, c)
	case dispatcher.Fence:
		s.fence(z, c)
	case dispatcher.Settle:
		s.settle(z, c)
	case dispatcher.Send:
		to := s.zoneOf(c.Agent.Process)
		if s.crosses(z, to) {
			s.flight = append(s.flight, func() {
				s.toEntry(z, dispatcher.Refused{Agent: c.Agent.Process, Report: linker.UnsentReport(c.Start)})
			})
			return
		}
		s.pass(z, to, func() { s.toAgent(to, runner.StartReceived{From: z.self, Start: c.Start}) }, none)
	case dispatcher.Cancel:
		to := s.zoneOf(c.Agent.Process)
		s.pass(z, to, func() { s.toAgent(to, runner.Cancelled{Task: c.Ref.Task, Attempt: c.Ref.Attempt}) }, none)
	case dispatcher.Acknowledge:
		to := s.zoneOf(c.Agent.Process)
		s.pass(z, to, func() { s.toAgent(to, runner.Acknowledged{Task: c.Ref.Task, Attempt: c.Ref.Attempt}) }, none)
	}
}

// claim stands in for the store and the entry's claimer, which gives up at the
// deadline.
func (s *span) claim(z *zone, claim dispatcher.Claim, free func(stands dispatcher.Claim) bool) {
	var try func()
	try = func() {
		switch stands := s.claims[claim.Job]; {
		case !s.now.Before(claim.Deadline):
			s.toEntry(z, dispatcher.ClaimFailed{Job: claim.Job, Reason: "the store is out of reach"})
		case s.storeCut && z.place == 1:
			s.held = append(s.held, try)
		case free(stands):
			s.claims[claim.Job] = claim
			s.toEntry(z, dispatcher.ClaimWon{Claim: claim})
		default:
			s.toEntry(z, dispatcher.ClaimHeld{Claim: stands})
		}
	}
	s.flight = append(s.flight, try)
}

func (s *span) ask(z *zone, c dispatcher.AskOwner) {
	owner := s.zoneOf(c.Claim.Owner)
	lost := func() { s.toEntry(z, dispatcher.OwnerLost{Job: c.Claim.Job}) }
	s.pass(z, owner, func() {
		ticket := s.wait(func(reply any) {
			r := reply.(dispatcher.Reply)
			s.pass(owner, z, func() {
				s.toEntry(z, dispatcher.OwnerAnswered{Job: c.Claim.Job, Known: r.Known, Answer: r.Answer})
			}, lost)
		})
		s.toEntry(owner, dispatcher.AnswerRequested{
			Ticket: dispatcher.Ticket(ticket), Team: c.Claim.Team, Job: c.Claim.Job, Digest: c.Claim.Digest, Deadline: c.Deadline,
		})
	}, lost)
}

func (s *span) fence(z *zone, c dispatcher.Fence) {
	to := s.zoneOf(c.Agent.Process)
	lost := func() {
		if s.liar {
			s.toEntry(z, dispatcher.Fenced{Job: c.Job, Agent: c.Agent.Process})
			return
		}
		s.toEntry(z, dispatcher.FenceFailed{Job: c.Job, Agent: c.Agent.Process})
	}
	s.pass(z, to, func() {
		ticket := s.wait(func(answer any) {
			reports := answer.(runner.AnswerFence).Reports
			s.pass(to, z, func() {
				s.toEntry(z, dispatcher.Fenced{Job: c.Job, Agent: c.Agent.Process, Reports: reports})
			}, lost)
		})
		s.toAgent(to, runner.FenceRequested{Ticket: runner.Ticket(ticket), Fence: c})
	}, lost)
}

func (s *span) settle(z *zone, c dispatcher.Settle) {
	to := s.zoneOf(c.Agent.Process)
	lost := func() { s.toEntry(z, dispatcher.SettleFailed{Agent: c.Agent.Process, Attempts: c.Attempts}) }
	s.pass(z, to, func() {
		ticket := s.wait(func(answer any) {
			reports := answer.(runner.AnswerSettle).Reports
			s.pass(to, z, func() { s.toEntry(z, dispatcher.Settled{Agent: c.Agent.Process, Reports: reports}) }, lost)
		})
		s.toAgent(to, runner.SettleRequested{Ticket: runner.Ticket(ticket), Attempts: c.Attempts})
	}, lost)
}

func (s *span) obeyAgent(z *zone, command runner.Command) {
	frame := func(to task.Process, event dispatcher.Event) {
		entry, load := s.zoneOf(to), z.agent.Load()
		s.pass(z, entry, func() {
			s.toEntry(entry, event)
			s.toEntry(entry, dispatcher.LoadReported{Agent: z.host.Process, Load: load})
		}, func() {})
	}
	switch c := command.(type) {
	case runner.Run:
		s.starts[c.Start.Task]++
		s.minions = append(s.minions, func() {
			s.toAgent(z, runner.MinionAnswered{
				Task: c.Start.Task, Attempt: c.Start.Attempt,
				Response: task.Response{Status: 200, Body: answerTo(c.Start.Request)},
			})
		})
	case runner.Accept:
		frame(c.To, dispatcher.Accepted{Agent: z.host.Process, Task: c.Task, Attempt: c.Attempt})
	case runner.Refuse:
		frame(c.To, dispatcher.Refused{Agent: z.host.Process, Report: c.Report})
	case runner.SendReport:
		frame(c.To, dispatcher.Ended{Agent: z.host.Process, Report: c.Report})
	case runner.AnswerSettle:
		s.end(uint64(c.Ticket), c)
	case runner.AnswerFence:
		s.end(uint64(c.Ticket), c)
	}
}

// startedOnce lists what broke the promise.
func (s *span) startedOnce() []string {
	var broken []string
	for id, n := range s.starts {
		if n > 1 {
			broken = append(broken, fmt.Sprint(id, " started ", n, " times"))
		}
	}
	return broken
}
