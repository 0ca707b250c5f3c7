package dispatcher_test

import (
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
)

// ports break promises on purpose. The zero value breaks none.
type ports struct {
	// grantTwice makes the store grant every claim.
	grantTwice bool
	// spread sends each start to all agents, as a client that retries does.
	spread bool
	// cheerful makes agents hide from all frames and announcements that they leave.
	cheerful bool
	// deafToDrain keeps a drain from the agent's core.
	deafToDrain bool
	// unaware keeps from the entries' cores that a link has ended.
	unaware bool
	// hasty makes a planned stop wait for nothing.
	hasty bool
	// reply changes what callers get, event what agents tell, and request what
	// minions answer to.
	reply   func(dispatcher.Reply) dispatcher.Reply
	event   func(dispatcher.Event) dispatcher.Event
	request func(task.Start) task.Request
}

func (p *ports) targets(w *world, h *host) []*host {
	if p.spread {
		return w.agents
	}
	return []*host{h}
}

func (p *ports) loadOf(h *host) dispatcher.Load {
	load := h.core.Load()
	if p.cheerful {
		load.Leaving = false
	}
	return load
}

func (p *ports) replyOf(r dispatcher.Reply) dispatcher.Reply {
	if p.reply != nil {
		return p.reply(r)
	}
	return r
}

func (p *ports) eventOf(e dispatcher.Event) dispatcher.Event {
	if p.event != nil {
		return p.event(e)
	}
	return e
}

func (p *ports) requestOf(s task.Start) task.Request {
	if p.request != nil {
		return p.request(s)
	}
	return s.Request
}

// drainAgent is the operator's drain, or its end.
func (w *world) drainAgent(h *host, leave bool) {
	h.leaving = leave
	w.oracle.drained(w.now, h, leave)
	if w.ports.deafToDrain {
		return
	}
	w.ticket++
	w.toAgent(h, h.self, runner.DrainRequested{Ticket: runner.Ticket(w.ticket), Leave: leave})
}

// stopAgent ends a leaving agent once it is quiet, as a planned stop does.
func (w *world) stopAgent(h *host) bool {
	if !h.leaving || h.paused || !h.core.Idle() && !w.ports.hasty {
		return false
	}
	w.oracle.stoppedAgent(h)
	w.bootAgent(h)
	return true
}

// stopEntry ends a draining entry once it is idle, as a planned stop does.
func (w *world) stopEntry(n *node) bool {
	if !n.draining || n.paused || !n.core.Idle() && !w.ports.hasty {
		return false
	}
	w.oracle.stoppedEntry(n)
	w.bootEntry(n)
	return true
}
