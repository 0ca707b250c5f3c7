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
	// ignoreDrain hides drains from the agents' cores.
	ignoreDrain bool
	// hideLinkLoss hides from the entries' cores that the agent of a closed link
	// accepts no new work.
	hideLinkLoss bool
	// stopAtOnce makes planned stops immediate, without waiting for running work.
	stopAtOnce bool
	// changeReply changes what callers get, changeEvent what agents report, and
	// changeRequest what minions respond to.
	changeReply   func(dispatcher.Reply) dispatcher.Reply
	changeEvent   func(dispatcher.Event) dispatcher.Event
	changeRequest func(task.Start) task.Request
}

// startTargets returns the agents to which a start is delivered.
func (fi *faultInjection) startTargets(w *world, agent *simAgent) []*simAgent {
	if fi.startEverywhere {
		return w.agents
	}
	return []*simAgent{agent}
}

// loadOf returns the load that an agent reports.
func (fi *faultInjection) loadOf(agent *simAgent) dispatcher.Load {
	load := agent.core.Load()
	if fi.hideLeaving {
		load.Leaving = false
	}
	return load
}

// replyOf returns the reply that a caller gets.
func (fi *faultInjection) replyOf(r dispatcher.Reply) dispatcher.Reply {
	if fi.changeReply != nil {
		return fi.changeReply(r)
	}
	return r
}

// eventOf returns the event that an agent reports.
func (fi *faultInjection) eventOf(e dispatcher.Event) dispatcher.Event {
	if fi.changeEvent != nil {
		return fi.changeEvent(e)
	}
	return e
}

// requestOf returns the request that a minion responds to.
func (fi *faultInjection) requestOf(s task.Start) task.Request {
	if fi.changeRequest != nil {
		return fi.changeRequest(s)
	}
	return s.Request
}

// drainAgent starts or ends the drain of an agent, as an operator does.
func (w *world) drainAgent(agent *simAgent, leave bool) {
	agent.leaving = leave
	w.oracle.recordDrain(w.now, agent, leave)
	if w.injected.ignoreDrain {
		return
	}
	w.lastTicket++
	w.stepAgent(agent, agent.self, runner.DrainRequested{Ticket: runner.Ticket(w.lastTicket), Leave: leave})
}

// stopAgent replaces a leaving agent once it is quiet, as a planned stop does,
// and reports whether it did.
func (w *world) stopAgent(agent *simAgent) bool {
	if !agent.leaving || agent.paused || !agent.core.Idle() && !w.injected.stopAtOnce {
		return false
	}
	w.oracle.checkAgentStop(agent)
	w.startAgent(agent)
	return true
}

// stopEntry replaces a draining entry once it is idle, as a planned stop does,
// and reports whether it did.
func (w *world) stopEntry(entry *simEntry) bool {
	if !entry.draining || entry.paused || !entry.core.Idle() && !w.injected.stopAtOnce {
		return false
	}
	w.oracle.checkEntryStop(entry)
	w.startEntry(entry)
	return true
}
