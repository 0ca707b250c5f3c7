package dispatcher_test

import (
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
)

// faultInjection makes the world break promises, to test the oracle. The zero
// value injects no fault.
type faultInjection struct {
	// grantEveryClaim makes the store grant every claim.
	grantEveryClaim bool
	// startEverywhere delivers each start to all agents, as a client that
	// retries might.
	startEverywhere bool
	// hideLeaving removes the leaving state from all frames and announcements
	// of agents.
	hideLeaving bool
	// ignoreDrain keeps drains from the cores of the agents.
	ignoreDrain bool
	// hideLinkLoss doesn't announce the agent of a closed link as leaving to
	// the entry's core.
	hideLinkLoss bool
	// stopAtOnce makes planned stops wait for nothing.
	stopAtOnce bool
	// changeReply changes what callers get, changeEvent what agents report, and
	// changeRequest what minions respond to.
	changeReply   func(dispatcher.Reply) dispatcher.Reply
	changeEvent   func(dispatcher.Event) dispatcher.Event
	changeRequest func(task.Start) task.Request
}

// startTargets returns the agents to which a start is delivered.
func (p *faultInjection) startTargets(w *world, h *simAgent) []*simAgent {
	if p.startEverywhere {
		return w.agents
	}
	return []*simAgent{h}
}

// loadOf returns the load that an agent reports.
func (p *faultInjection) loadOf(h *simAgent) dispatcher.Load {
	load := h.core.Load()
	if p.hideLeaving {
		load.Leaving = false
	}
	return load
}

// replyOf returns the reply that a caller gets.
func (p *faultInjection) replyOf(r dispatcher.Reply) dispatcher.Reply {
	if p.changeReply != nil {
		return p.changeReply(r)
	}
	return r
}

// eventOf returns the event that an agent reports.
func (p *faultInjection) eventOf(e dispatcher.Event) dispatcher.Event {
	if p.changeEvent != nil {
		return p.changeEvent(e)
	}
	return e
}

// requestOf returns the request that a minion responds to.
func (p *faultInjection) requestOf(s task.Start) task.Request {
	if p.changeRequest != nil {
		return p.changeRequest(s)
	}
	return s.Request
}

// drainAgent starts or ends the drain of an agent, as an operator does.
func (w *world) drainAgent(h *simAgent, leave bool) {
	h.leaving = leave
	w.oracle.recordDrain(w.now, h, leave)
	if w.injected.ignoreDrain {
		return
	}
	w.lastTicket++
	w.stepAgent(h, h.self, runner.Drained{Ticket: runner.Ticket(w.lastTicket), Leave: leave})
}

// stopAgent replaces a leaving agent once it is quiet, as a planned stop does,
// and reports whether it did.
func (w *world) stopAgent(h *simAgent) bool {
	if !h.leaving || h.paused || !h.core.Quiet() && !w.injected.stopAtOnce {
		return false
	}
	w.oracle.checkAgentStop(h)
	w.startAgent(h)
	return true
}

// stopEntry replaces a draining entry once it is idle, as a planned stop does,
// and reports whether it did.
func (w *world) stopEntry(n *simEntry) bool {
	if !n.draining || n.paused || !n.core.Idle() && !w.injected.stopAtOnce {
		return false
	}
	w.oracle.checkEntryStop(n)
	w.startEntry(n)
	return true
}
