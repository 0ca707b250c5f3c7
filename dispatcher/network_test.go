package dispatcher_test

import (
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/linker"
	"agatevalve/runner"
)

// frameAge is the age beyond which a link counts as silent, so that no frame
// on it is news of the other end.
const frameAge = 2 * time.Second

func (w *world) obeyEntry(n *node, command dispatcher.Command) {
	self := n.self
	w.note(self, command)
	switch c := command.(type) {
	case dispatcher.Reply:
		w.reply(c)
	case dispatcher.WriteClaim:
		w.postClaim(n, c.Claim, func() bool { _, held := w.claims[c.Claim.Job]; return !held })
	case dispatcher.ReplaceClaim:
		w.postClaim(n, c.Claim, func() bool { return w.claims[c.Claim.Job].Token == c.Old.Token })
	case dispatcher.AskOwner:
		w.postAsk(n, c)
	case dispatcher.Fence:
		w.postFence(n, c)
	case dispatcher.Settle:
		w.postSettle(n, c)
	case dispatcher.Send:
		h := w.host(c.Agent.Process)
		w.oracle.sent(w.now, n, c)
		if !n.writes(c.Agent.Process) {
			w.post(message{text: "unsent", deliver: func() {
				w.toEntry(n, self, dispatcher.Refused{Agent: c.Agent.Process, Report: linker.UnsentReport(c.Start)})
			}})
			return
		}
		n.link(c.Agent.Process).began(w.now, work{c.Start.Task, c.Start.Attempt})
		w.frame(n, h, "start", func() {
			for _, to := range w.ports.targets(w, h) {
				w.toAgent(to, to.self, runner.StartReceived{From: self, Start: c.Start})
			}
		}, c.Agent.Process)
	case dispatcher.Cancel:
		h := w.host(c.Agent.Process)
		w.frame(n, h, "cancel", func() {
			w.toAgent(h, c.Agent.Process, runner.Cancelled{Task: c.Ref.Task, Attempt: c.Ref.Attempt})
		}, c.Agent.Process)
	case dispatcher.Acknowledge:
		h := w.host(c.Agent.Process)
		w.frame(n, h, "ack", func() {
			w.toAgent(h, c.Agent.Process, runner.Acknowledged{Task: c.Ref.Task, Attempt: c.Ref.Attempt})
		}, c.Agent.Process)
	}
}

// frame posts a frame to an agent's run, if there is a link. It is void when
// that run has ended.
func (w *world) frame(n *node, h *host, text string, deliver func(), to task.Process) {
	if !n.writes(to) {
		return
	}
	w.post(message{text: text, frame: true, pair: pair{n.name, h.name}, deliver: func() {
		if h.self == to {
			deliver()
		}
	}})
}

// reply ends a caller's wait or carries an owner's answer to the asker.
func (w *world) reply(r dispatcher.Reply) {
	q, asked := w.asks[r.Ticket]
	if !asked {
		w.oracle.replied(w.now, w.ports.replyOf(r))
		return
	}
	delete(w.asks, r.Ticket)
	to := q.asker.self
	w.post(message{text: "owner answer", deliver: func() {
		w.toEntry(q.asker, to, dispatcher.OwnerAnswered{Job: q.job, Known: r.Known, Answer: r.Answer})
	}, fail: func() { w.toEntry(q.asker, to, dispatcher.OwnerLost{Job: q.job}) }})
}

// postClaim applies a claim once, late or never, and reports its fate. A claim
// whose deadline has passed is reported as failed even if it took effect.
func (w *world) postClaim(n *node, claim dispatcher.Claim, free func() bool) {
	self := n.self
	w.post(message{text: "claim", store: true, at: w.slowUntil, deliver: func() {
		var event dispatcher.Event = dispatcher.ClaimWon{Claim: claim}
		if free() || w.ports.grantTwice {
			w.claims[claim.Job] = claim
		} else {
			event = dispatcher.ClaimHeld{Claim: w.claims[claim.Job]}
		}
		w.post(message{text: "claim result", store: true, result: true, deliver: func() {
			if _, won := event.(dispatcher.ClaimWon); won && !n.clock(w.now).Before(claim.Deadline) {
				event = dispatcher.ClaimFailed{Job: claim.Job, Reason: "its fate is unknown"}
			}
			w.toEntry(n, self, event)
		}})
	}})
}

func (w *world) postAsk(n *node, c dispatcher.AskOwner) {
	self := n.self
	lost := func() { w.toEntry(n, self, dispatcher.OwnerLost{Job: c.Claim.Job}) }
	w.post(message{text: "ask", fail: lost, deliver: func() {
		owner := w.node(c.Claim.Owner)
		if owner == nil || owner.self != c.Claim.Owner || owner.paused {
			lost()
			return
		}
		w.ticket++
		ticket := dispatcher.Ticket(1<<40 + w.ticket)
		w.asks[ticket] = question{asker: n, core: owner.core, job: c.Claim.Job}
		w.toEntry(owner, owner.self, dispatcher.AnswerRequested{
			Ticket: ticket, Team: c.Claim.Team, Job: c.Claim.Job, Digest: c.Claim.Digest, Deadline: c.Deadline,
		})
	}})
}

func (w *world) postFence(n *node, c dispatcher.Fence) {
	self, h := n.self, w.host(c.Agent.Process)
	failed := func() { w.toEntry(n, self, dispatcher.FenceFailed{Job: c.Job, Agent: c.Agent.Process}) }
	w.post(message{text: "fence", fail: failed, deliver: func() {
		if h.self != c.Agent.Process {
			failed()
			return
		}
		w.ticket++
		ticket := runner.Ticket(w.ticket)
		w.calls[ticket] = func(command runner.Command) {
			answer, ok := command.(runner.AnswerFence)
			if !ok {
				failed()
				return
			}
			w.post(message{text: "fenced", fail: failed, deliver: func() {
				w.toEntry(n, self, dispatcher.Fenced{Job: c.Job, Agent: c.Agent.Process, Reports: answer.Reports})
			}})
		}
		w.toAgent(h, c.Agent.Process, runner.FenceRequested{Ticket: ticket, Fence: c})
	}})
}

func (w *world) postSettle(n *node, c dispatcher.Settle) {
	self, h := n.self, w.host(c.Agent.Process)
	failed := func(gone bool) {
		w.toEntry(n, self, dispatcher.SettleFailed{Agent: c.Agent.Process, Gone: gone, Attempts: c.Attempts})
	}
	w.post(message{text: "settle", fail: func() { failed(false) }, deliver: func() {
		if h.self != c.Agent.Process {
			failed(true)
			return
		}
		w.ticket++
		ticket := runner.Ticket(w.ticket)
		w.calls[ticket] = func(command runner.Command) {
			answer := command.(runner.AnswerSettle)
			w.post(message{text: "settled", fail: func() { failed(false) }, deliver: func() {
				w.toEntry(n, self, dispatcher.Settled{Agent: c.Agent.Process, Reports: answer.Reports})
			}})
		}
		w.toAgent(h, c.Agent.Process, runner.SettleRequested{Ticket: ticket, Attempts: c.Attempts})
	}})
}

func (w *world) obeyAgent(h *host, command runner.Command) {
	from := h.self
	w.note(from, command)
	frame := func(to task.Process, text string, event dispatcher.Event) {
		load, at := w.ports.loadOf(h), w.now
		event = w.ports.eventOf(event)
		n := w.node(to)
		w.post(message{text: text, frame: true, pair: pair{n.name, h.name}, deliver: func() {
			w.toEntry(n, to, event)
			if n.self == to {
				n.settledAt(from, event)
				w.heard(n, from, at, load)
			}
		}})
	}
	switch c := command.(type) {
	case runner.Run:
		w.run(h, c.Start)
	case runner.Stop:
		w.post(message{text: "stopped", deliver: func() {
			if call := (work{c.Task, c.Attempt}); h.self == from && h.calls[call] {
				delete(h.calls, call)
				w.toAgent(h, from, runner.MinionFailed{Task: c.Task, Attempt: c.Attempt, Reason: "stopped"})
			}
		}})
	case runner.Accept:
		w.oracle.accepted(h, c)
		frame(c.To, "accept", dispatcher.Accepted{Agent: from, Task: c.Task, Attempt: c.Attempt})
	case runner.Refuse:
		frame(c.To, "refuse", dispatcher.Refused{Agent: from, Report: c.Report})
	case runner.SendReport:
		frame(c.To, "result", dispatcher.Ended{Agent: from, Report: c.Report})
	case runner.AnswerSettle:
		w.answerCall(c.Ticket, c)
	case runner.AnswerFence:
		w.answerCall(c.Ticket, c)
	case runner.Reject:
		w.answerCall(c.Ticket, c)
	}
}

func (w *world) answerCall(ticket runner.Ticket, command runner.Command) {
	if call := w.calls[ticket]; call != nil {
		delete(w.calls, ticket)
		call(command)
	}
}

// run starts a task at the minion, which answers when the fuzz says so.
func (w *world) run(h *host, s task.Start) {
	from, call := h.self, work{s.Task, s.Attempt}
	// finish ends the call once, unless that run of the agent is gone.
	finish := func(event runner.Event) {
		if h.self == from && h.calls[call] {
			delete(h.calls, call)
			w.toAgent(h, from, event)
		}
	}
	h.calls[call] = true
	if w.random.IntN(20) == 0 {
		w.post(message{text: "unreached", deliver: func() {
			finish(runner.MinionUnreached{Task: s.Task, Attempt: s.Attempt})
		}})
		return
	}
	w.oracle.started(h.clock(w.now), from, s)
	if h.hung {
		return
	}
	response := task.Response{Status: 200, Body: answerTo(w.ports.requestOf(s))}
	if h.failing || w.random.IntN(12) == 0 {
		response.Status = 500
	}
	w.post(message{text: "minion answer", deliver: func() {
		finish(runner.MinionAnswered{Task: s.Task, Attempt: s.Attempt, Response: response})
	}, fail: func() {
		finish(runner.MinionFailed{Task: s.Task, Attempt: s.Attempt, Reason: "cut"})
	}})
}

func answerTo(r task.Request) []byte { return append([]byte("answer to "), r.Body...) }
