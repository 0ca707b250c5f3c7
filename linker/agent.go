package linker

import (
	"context"
	"math/rand/v2"
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
)

// sweepInterval is the minimum time between two removals of stale agent
// records.
const sweepInterval = 10 * time.Second

// agent is the record of one incarnation of an agent. Linker.mu guards it.
type agent struct {
	peer dispatcher.Peer
	// link is nil when there is no open or opening link.
	link *link
	// linkVerified is true once the agent has proved its incarnation over link.
	linkVerified bool
	// announcement is the latest one, or zero if the agent sent none.
	announcement dispatcher.Announcement
	// failures counts the links that ended since one was last verified. It
	// drives the reconnect backoff.
	failures int
	// reopenAt is the earliest time at which the next link may be opened.
	reopenAt time.Time
}

// isAnnounced reports whether the latest announcement hasn't expired.
func (a *agent) isAnnounced(now time.Time) bool { return a.announcement.Expires.After(now) }

// storeAnnouncement stores an announcement and opens a link to its agent if
// there is none. It reports whether the link is verified already.
func (l *Linker) storeAnnouncement(announcement dispatcher.Announcement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.agentLocked(announcement.Peer)
	a.announcement = announcement
	l.openLinkLocked(a)
	return a.linkVerified
}

// openLink returns the link to an agent and opens one if there is none. It
// returns nil during the backoff after the last link ended, and when the linker
// is closed.
func (l *Linker) openLink(peer dispatcher.Peer) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openLinkLocked(l.agentLocked(peer))
}

// openLinkLocked is openLink for a record. Callers hold Linker.mu.
func (l *Linker) openLinkLocked(a *agent) *link {
	if a.link == nil && !l.closed && !time.Now().Before(a.reopenAt) {
		a.link = newLink(l, a.peer)
	}
	return a.link
}

// linkTo returns the link to an agent, or nil if there is none.
func (l *Linker) linkTo(process task.Process) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.agents[process]; a != nil {
		return a.link
	}
	return nil
}

// agentLocked returns the record of an agent and creates it if needed. It
// stores the given address, because an agent may have several. Callers hold
// Linker.mu.
func (l *Linker) agentLocked(peer dispatcher.Peer) *agent {
	l.sweepLocked()
	a := l.agents[peer.Process]
	if a == nil {
		a = &agent{}
		l.agents[peer.Process] = a
	}
	a.peer = peer
	return a
}

// sweepLocked removes the records of agents that have no link, no announcement
// in force and no pending backoff. Callers hold Linker.mu.
func (l *Linker) sweepLocked() {
	now := time.Now()
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	for process, a := range l.agents {
		if a.link == nil && !a.isAnnounced(now) && !now.Before(a.reopenAt) {
			delete(l.agents, process)
		}
	}
}

// linkVerified records that the agent has proved its incarnation over k, and
// publishes its announcement to the core. A load in the agent's first frame
// replaces that of the announcement, which is older and may predate a drain.
func (l *Linker) linkVerified(k *link, load dispatcher.Load, hasLoad bool) {
	l.mu.Lock()
	a := l.agents[k.peer.Process]
	if a == nil || a.link != k {
		l.mu.Unlock()
		return
	}
	a.linkVerified, a.failures = true, 0
	announcement, announced := a.announcement, a.isAnnounced(time.Now())
	l.mu.Unlock()
	if hasLoad {
		announcement.Load = load
	}
	if announced {
		l.publishAnnouncement(l.inquiryCtx, announcement)
	}
}

// publishAnnouncement sends an announcement to the core while the link is
// verified. If the link ended meanwhile, its end may have been published before
// this event, so the agent is published as leaving once more. It reports false
// when ctx ends first.
func (l *Linker) publishAnnouncement(ctx context.Context, announcement dispatcher.Announcement) bool {
	if !l.o.Events.Put(ctx, dispatcher.Announced{Announcement: announcement}) {
		return false
	}
	if !l.isLinkVerified(announcement.Peer.Process) {
		l.publishAsLeaving(announcement)
	}
	return true
}

// publishAsLeaving marks an agent as leaving, so that the core places no new
// tasks on it while it has no link.
func (l *Linker) publishAsLeaving(announcement dispatcher.Announcement) {
	announcement.Load.Leaving = true
	l.publish(dispatcher.Announced{Announcement: announcement})
}

// isLinkVerified reports whether the agent has a link over which it proved its
// incarnation.
func (l *Linker) isLinkVerified(process task.Process) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.agents[process]
	return a != nil && a.linkVerified
}

// linkEnded removes a link that has ended. If the agent is still announced, it
// also stops new tasks for it and schedules the next link, after an exponential
// backoff with jitter.
func (l *Linker) linkEnded(k *link) {
	l.mu.Lock()
	a := l.agents[k.peer.Process]
	if a == nil || a.link != k {
		l.mu.Unlock()
		return
	}
	now := time.Now()
	wasVerified := a.linkVerified
	a.link, a.linkVerified = nil, false
	meanPause := min(minReopenPause<<min(a.failures, maxDoublings), maxReopenPause)
	a.failures++
	pause := meanPause/2 + rand.N(meanPause)
	a.reopenAt = now.Add(pause)
	announcement, reconnect := a.announcement, a.isAnnounced(now) && !l.closed
	l.mu.Unlock()
	if !reconnect {
		return
	}
	if wasVerified {
		l.publishAsLeaving(announcement)
	}
	time.AfterFunc(pause, func() { l.reopen(k.peer.Process) })
}

// reopen opens a new link after the backoff, if the agent is still announced.
func (l *Linker) reopen(process task.Process) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.agents[process]; a != nil && a.isAnnounced(time.Now()) {
		l.openLinkLocked(a)
	}
}
