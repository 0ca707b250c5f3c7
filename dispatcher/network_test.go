package dispatcher_test

import (
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/linker"
	"agatevalve/runner"
)

// maxFrameAge is the silence after which a link counts as lost. A frame of this
// age proves nothing about the state of its sender.
const maxFrameAge = 2 * time.Second

// executeEntryCommand executes a command of an entry's core.
func (w *world) executeEntryCommand(entry *simEntry, command dispatcher.Command) {
	self := entry.self
	w.addTrace(self, command)
	switch c := command.(type) {
	case dispatcher.Reply:
		w.handleReply(c)
	case dispatcher.WriteClaim:
		w.postClaim(entry, c.Claim, func() bool { _, held := w.claims[c.Claim.Job]; return !held })
	case dispatcher.ReplaceClaim:
		w.postClaim(entry, c.Claim, func() bool { return w.claims[c.Claim.Job].Token == c.Old.Token })
	case dispatcher.AskOwner:
		w.postAsk(entry, c)
	case dispatcher.Fence:
		w.postFence(entry, c)
	case dispatcher.Settle:
		w.postSettle(entry, c)
	case dispatcher.SendStart:
		agent := w.agentOf(c.Agent.Process)
		w.oracle.checkSend(w.now, entry, c)
		if !entry.hasOpenLink(c.Agent.Process) {
			w.post(message{kind: "unsent", deliver: func() {
				w.stepEntry(entry, self, dispatcher.Refused{Agent: c.Agent.Process, Report: linker.NewUnsentStartReport(c.Start)})
			}})
			return
		}
		entry.link(c.Agent.Process).recordStart(w.now, attemptKey{c.Start.Task, c.Start.Attempt})
		w.postFrame(entry, agent, "start", func() {
			for _, to := range w.injected.startTargets(w, agent) {
				w.stepAgent(to, to.self, runner.StartReceived{From: self, Start: c.Start})
			}
		}, c.Agent.Process)
	case dispatcher.Cancel:
		agent := w.agentOf(c.Agent.Process)
		w.postFrame(entry, agent, "cancel", func() {
			w.stepAgent(agent, c.Agent.Process, runner.Cancelled{Task: c.Ref.Task, Attempt: c.Ref.Attempt})
		}, c.Agent.Process)
	case dispatcher.Acknowledge:
		agent := w.agentOf(c.Agent.Process)
		w.postFrame(entry, agent, "ack", func() {
			w.stepAgent(agent, c.Agent.Process, runner.Acknowledged{Task: c.Ref.Task, Attempt: c.Ref.Attempt})
		}, c.Agent.Process)
	}
}

// postFrame sends a frame to an incarnation of an agent, if there is an open
// link. The frame is dropped on arrival if the incarnation has ended.
func (w *world) postFrame(entry *simEntry, agent *simAgent, kind string, deliver func(), to task.Process) {
	if !entry.hasOpenLink(to) {
		return
	}
	w.post(message{kind: kind, isFrame: true, ends: linkEnds{entry.name, agent.name}, deliver: func() {
		if agent.self == to {
			deliver()
		}
	}})
}

// handleReply delivers a reply to a caller, or sends it to the entry that asked
// for the answer.
func (w *world) handleReply(r dispatcher.Reply) {
	pending, asked := w.pendingAsks[r.Ticket]
	if !asked {
		w.oracle.checkReply(w.now, w.injected.replyOf(r))
		return
	}
	delete(w.pendingAsks, r.Ticket)
	to := pending.asker.self
	w.post(message{kind: "owner answer", deliver: func() {
		w.stepEntry(pending.asker, to, dispatcher.OwnerAnswered{Job: pending.job, Known: r.Known, Answer: r.Answer})
	}, fail: func() { w.stepEntry(pending.asker, to, dispatcher.OwnerLost{Job: pending.job}) }})
}

// postClaim sends a claim to the store, which writes it if the stored claim is
// unchanged and sends back the result. Both messages may be late. A result
// after the claim's deadline is reported as a failure, even if the claim was
// written.
func (w *world) postClaim(entry *simEntry, claim dispatcher.Claim, unchanged func() bool) {
	self := entry.self
	w.post(message{kind: "claim", toStore: true, notBefore: w.storeSlowUntil, deliver: func() {
		var event dispatcher.Event = dispatcher.ClaimWon{Claim: claim}
		if unchanged() || w.injected.grantEveryClaim {
			w.claims[claim.Job] = claim
		} else {
			event = dispatcher.ClaimHeld{Claim: w.claims[claim.Job]}
		}
		w.post(message{kind: "claim result", toStore: true, claimResult: true, deliver: func() {
			if _, won := event.(dispatcher.ClaimWon); won && !entry.clock(w.now).Before(claim.Deadline) {
				event = dispatcher.ClaimFailed{Job: claim.Job, Reason: "the result is unknown"}
			}
			w.stepEntry(entry, self, event)
		}})
	}})
}

// postAsk sends a request for a job's answer to the owner of its claim.
func (w *world) postAsk(entry *simEntry, c dispatcher.AskOwner) {
	self := entry.self
	lost := func() { w.stepEntry(entry, self, dispatcher.OwnerLost{Job: c.Claim.Job}) }
	w.post(message{kind: "ask", fail: lost, deliver: func() {
		owner := w.entryOf(c.Claim.Owner)
		if owner == nil || owner.self != c.Claim.Owner || owner.paused {
			lost()
			return
		}
		w.lastTicket++
		ticket := dispatcher.Ticket(1<<40 + w.lastTicket)
		w.pendingAsks[ticket] = pendingAsk{asker: entry, core: owner.core, job: c.Claim.Job}
		w.stepEntry(owner, owner.self, dispatcher.AnswerRequested{
			Ticket: ticket, Team: c.Claim.Team, Job: c.Claim.Job, Digest: c.Claim.Digest, Deadline: c.Deadline,
		})
	}})
}

// postFence sends a fence to an agent.
func (w *world) postFence(entry *simEntry, c dispatcher.Fence) {
	self, agent := entry.self, w.agentOf(c.Agent.Process)
	failed := func() { w.stepEntry(entry, self, dispatcher.FenceFailed{Job: c.Job, Agent: c.Agent.Process}) }
	w.post(message{kind: "fence", fail: failed, deliver: func() {
		if agent.self != c.Agent.Process {
			failed()
			return
		}
		w.lastTicket++
		ticket := runner.Ticket(w.lastTicket)
		w.pendingCalls[ticket] = func(command runner.Command) {
			answer, ok := command.(runner.AnswerFence)
			if !ok {
				failed()
				return
			}
			w.post(message{kind: "fenced", fail: failed, deliver: func() {
				w.stepEntry(entry, self, dispatcher.Fenced{Job: c.Job, Agent: c.Agent.Process, Reports: answer.Reports})
			}})
		}
		w.stepAgent(agent, c.Agent.Process, runner.FenceRequested{Ticket: ticket, Fence: c})
	}})
}

// postSettle asks an agent for the state of attempts.
func (w *world) postSettle(entry *simEntry, c dispatcher.Settle) {
	self, agent := entry.self, w.agentOf(c.Agent.Process)
	failed := func(gone bool) {
		w.stepEntry(entry, self, dispatcher.SettleFailed{Agent: c.Agent.Process, Gone: gone, Attempts: c.Attempts})
	}
	w.post(message{kind: "settle", fail: func() { failed(false) }, deliver: func() {
		if agent.self != c.Agent.Process {
			failed(true)
			return
		}
		w.lastTicket++
		ticket := runner.Ticket(w.lastTicket)
		w.pendingCalls[ticket] = func(command runner.Command) {
			answer := command.(runner.AnswerSettle)
			w.post(message{kind: "settled", fail: func() { failed(false) }, deliver: func() {
				w.stepEntry(entry, self, dispatcher.Settled{Agent: c.Agent.Process, Reports: answer.Reports})
			}})
		}
		w.stepAgent(agent, c.Agent.Process, runner.SettleRequested{Ticket: ticket, Attempts: c.Attempts})
	}})
}

// executeAgentCommand executes a command of an agent's core.
func (w *world) executeAgentCommand(agent *simAgent, command runner.Command) {
	from := agent.self
	w.addTrace(from, command)
	postEvent := func(to task.Process, kind string, event dispatcher.Event) {
		load, sentAt := w.injected.loadOf(agent), w.now
		event = w.injected.eventOf(event)
		entry := w.entryOf(to)
		w.post(message{kind: kind, isFrame: true, ends: linkEnds{entry.name, agent.name}, deliver: func() {
			w.stepEntry(entry, to, event)
			if entry.self == to {
				entry.recordOutcome(from, event)
				w.receiveFrame(entry, from, sentAt, load)
			}
		}})
	}
	switch c := command.(type) {
	case runner.Run:
		w.runTask(agent, c.Start)
	case runner.Stop:
		w.post(message{kind: "stopped", deliver: func() {
			if attempt := (attemptKey{c.Task, c.Attempt}); agent.self == from && agent.running[attempt] {
				delete(agent.running, attempt)
				w.stepAgent(agent, from, runner.MinionFailed{Task: c.Task, Attempt: c.Attempt, Reason: "stopped"})
			}
		}})
	case runner.Accept:
		w.oracle.checkAcceptance(agent, c)
		postEvent(c.To, "accept", dispatcher.Accepted{Agent: from, Task: c.Task, Attempt: c.Attempt})
	case runner.Refuse:
		postEvent(c.To, "refuse", dispatcher.Refused{Agent: from, Report: c.Report})
	case runner.SendReport:
		postEvent(c.To, "result", dispatcher.Ended{Agent: from, Report: c.Report})
	case runner.AnswerSettle:
		w.completeCall(c.Ticket, c)
	case runner.AnswerFence:
		w.completeCall(c.Ticket, c)
	case runner.Reject:
		w.completeCall(c.Ticket, c)
	}
}

// completeCall passes an agent's answer to the callback of its call.
func (w *world) completeCall(ticket runner.Ticket, command runner.Command) {
	if call := w.pendingCalls[ticket]; call != nil {
		delete(w.pendingCalls, ticket)
		call(command)
	}
}

// runTask starts a task at the minion, whose response is a message in flight.
func (w *world) runTask(agent *simAgent, s task.Start) {
	from, attempt := agent.self, attemptKey{s.Task, s.Attempt}
	// finish ends the call once, unless that incarnation of the agent has
	// ended.
	finish := func(event runner.Event) {
		if agent.self == from && agent.running[attempt] {
			delete(agent.running, attempt)
			w.stepAgent(agent, from, event)
		}
	}
	agent.running[attempt] = true
	if w.random.IntN(20) == 0 {
		w.post(message{kind: "unreached", deliver: func() {
			finish(runner.MinionUnreached{Task: s.Task, Attempt: s.Attempt})
		}})
		return
	}
	w.oracle.checkStart(agent.clock(w.now), from, s)
	if agent.hung {
		return
	}
	response := task.Response{Status: 200, Body: responseBody(w.injected.requestOf(s))}
	if agent.failing || w.random.IntN(12) == 0 {
		response.Status = 500
	}
	w.post(message{kind: "minion answer", deliver: func() {
		finish(runner.MinionAnswered{Task: s.Task, Attempt: s.Attempt, Response: response})
	}, fail: func() {
		finish(runner.MinionFailed{Task: s.Task, Attempt: s.Attempt, Reason: "cut"})
	}})
}

// responseBody returns the body of a minion's response to a request.
func responseBody(r task.Request) []byte { return append([]byte("answer to "), r.Body...) }
