package linker

import (
	"context"
	"math/rand/v2"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// sweepEvery is the pause between two removals of agents that have gone.
const sweepEvery = 10 * time.Second

// agent is one run of an agent. Linker.mu guards it.
type agent struct {
	peer dispatcher.Peer
	// link is open or opening; nil when there is none.
	link *link
	// greeted is true while link is open.
	greeted bool
	// announcement is the latest one; zero for an agent that sent none.
	announcement dispatcher.Announcement
	// failures counts the links that ended since one was last open.
	failures int
	// reopen is the earliest time of the next link.
	reopen time.Time
}

// announced reports whether an announcement is in force.
func (a *agent) announced(now time.Time) bool { return a.announcement.Expires.After(now) }

// meet keeps an announcement and opens a link. It reports whether the link is
// open already.
func (l *Linker) meet(announcement dispatcher.Announcement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.agent(announcement.Peer)
	a.announcement = announcement
	l.openLocked(a)
	return a.greeted
}

// open returns the link to an agent and opens one if there is none. It returns
// nil when the last link ended a moment ago or the linker is closed.
func (l *Linker) open(peer dispatcher.Peer) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openLocked(l.agent(peer))
}

func (l *Linker) openLocked(a *agent) *link {
	if a.link == nil && !l.closed && !time.Now().Before(a.reopen) {
		a.link = newLink(l, a.peer)
	}
	return a.link
}

// find returns the link to an agent, or nil.
func (l *Linker) find(process task.Process) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.agents[process]; a != nil {
		return a.link
	}
	return nil
}

// agent returns the record of an agent. The address may change, as when an
// agent has several.
func (l *Linker) agent(peer dispatcher.Peer) *agent {
	l.sweep()
	a := l.agents[peer.Process]
	if a == nil {
		a = &agent{}
		l.agents[peer.Process] = a
	}
	a.peer = peer
	return a
}

// sweep removes agents without a link whose announcement has expired.
func (l *Linker) sweep() {
	now := time.Now()
	if now.Sub(l.swept) < sweepEvery {
		return
	}
	l.swept = now
	for process, a := range l.agents {
		if a.link == nil && !a.announced(now) && !now.Before(a.reopen) {
			delete(l.agents, process)
		}
	}
}

// opened notes that an agent has proved its incarnation, and tells the core of
// the agent with the load that it told of now, if any. The announcement is older
// and may not know of a drain.
func (l *Linker) opened(k *link, load dispatcher.Load, told bool) {
	l.mu.Lock()
	a := l.agents[k.peer.Process]
	if a == nil || a.link != k {
		l.mu.Unlock()
		return
	}
	a.greeted, a.failures = true, 0
	announcement, announced := a.announcement, a.announced(time.Now())
	l.mu.Unlock()
	if told {
		announcement.Load = load
	}
	if announced {
		l.tell(l.asking, announcement)
	}
}

// tell gives the core an announcement over an open link. A link that ended
// meanwhile may have told the core before, so it is told again.
func (l *Linker) tell(ctx context.Context, announcement dispatcher.Announcement) bool {
	if !l.o.Events.Put(ctx, dispatcher.Announced{Announcement: announcement}) {
		return false
	}
	if !l.isOpen(announcement.Peer.Process) {
		l.tellClosed(announcement)
	}
	return true
}

// tellClosed keeps new tasks from an agent without a link.
func (l *Linker) tellClosed(announcement dispatcher.Announcement) {
	announcement.Load.Leaving = true
	l.put(dispatcher.Announced{Announcement: announcement})
}

func (l *Linker) isOpen(process task.Process) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.agents[process]
	return a != nil && a.greeted
}

// ended forgets a link, keeps new tasks from its agent, and plans the next link
// while the agent is announced.
func (l *Linker) ended(k *link) {
	l.mu.Lock()
	a := l.agents[k.peer.Process]
	if a == nil || a.link != k {
		l.mu.Unlock()
		return
	}
	now := time.Now()
	wasOpen := a.greeted
	a.link, a.greeted = nil, false
	mean := min(firstReopen<<min(a.failures, maxDoublings), lastReopen)
	a.failures++
	pause := mean/2 + rand.N(mean)
	a.reopen = now.Add(pause)
	announcement, again := a.announcement, a.announced(now) && !l.closed
	l.mu.Unlock()
	if !again {
		return
	}
	if wasOpen {
		l.tellClosed(announcement)
	}
	time.AfterFunc(pause, func() { l.reopen(k.peer.Process) })
}

// reopen opens a link again that has ended.
func (l *Linker) reopen(process task.Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.agents[process]; a != nil && a.announced(time.Now()) {
		l.openLocked(a)
	}
}
