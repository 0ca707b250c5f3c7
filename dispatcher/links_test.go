package dispatcher_test

import (
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/linker"
	"agatevalve/runner"
)

const (
	// idlePingInterval is shorter than linker.DefaultIdlePing, so that
	// maxLeaveDelay is shorter than a run.
	idlePingInterval = 3 * time.Second
	// minReconnectDelay and maxReconnectDelay limit the reconnect backoff, as
	// in linker.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
)

// link is an entry's end of the link to one incarnation of an agent. It passes
// the core the same events as linker, at the same times.
type link struct {
	agent        task.Process
	announcement dispatcher.Announcement
	// open is true while the link is established; openedAt is the time at which it
	// was opened.
	open     bool
	openedAt time.Time
	// idleSince is the time of the last frame, or that of the first outstanding
	// start if it is later.
	idleSince time.Time
	// pingSentAt is the time of the unanswered ping, or zero.
	pingSentAt time.Time
	// idlePingInterval is the idle time after which a link without outstanding
	// attempts is pinged.
	idlePingInterval time.Duration
	// outstanding holds the attempts that were sent and have not ended.
	outstanding map[attemptKey]bool
	// failures counts the closures since the link was last opened.
	failures int
	// reconnectAt is the time of the next connection attempt.
	reconnectAt time.Time
}

// link returns the link to an agent, or nil.
func (e *simEntry) link(agent task.Process) *link {
	for _, k := range e.links {
		if k.agent == agent {
			return k
		}
	}
	return nil
}

// handleAnnouncement adds or updates the link to an agent. The core gets the
// announcement only while the link is open.
func (w *world) handleAnnouncement(entry *simEntry, a dispatcher.Announcement) {
	k := entry.link(a.Peer.Process)
	if k == nil {
		k = &link{agent: a.Peer.Process, idlePingInterval: idlePingInterval}
		entry.links = append(entry.links, k)
	}
	k.announcement = a
	if k.open {
		w.stepEntry(entry, entry.self, dispatcher.Announced{Announcement: a})
		return
	}
	if !entry.paused {
		w.maintainLink(entry, k)
	}
}

// reachable reports whether an agent would answer a frame now.
func (w *world) reachable(entry *simEntry, k *link) bool {
	agent := w.agentOf(k.agent)
	return agent.self == k.agent && !agent.paused && !w.silentLinks[linkEnds{entry.name, agent.name}]
}

// maintainLink connects a closed link, pings an idle one, and closes one whose
// ping timed out.
func (w *world) maintainLink(entry *simEntry, k *link) {
	if w.now.Before(k.nextCheck()) {
		if !k.pingSentAt.IsZero() && w.reachable(entry, k) {
			w.receivePong(entry, k)
		}
		return
	}
	switch {
	case !k.open && w.reachable(entry, k):
		w.openLink(entry, k)
	case !k.open:
		w.closeLink(entry, k)
		k.reconnectAt = k.reconnectAt.Add(linker.DefaultProbeTimeout)
	case w.reachable(entry, k):
		w.receivePong(entry, k)
	case k.pingSentAt.IsZero():
		k.pingSentAt = w.now
	default:
		w.closeLink(entry, k)
	}
}

// nextCheck returns the time at which maintainLink has to act.
func (k *link) nextCheck() time.Time {
	switch {
	case !k.open:
		return k.reconnectAt
	case !k.pingSentAt.IsZero():
		return k.pingSentAt.Add(linker.DefaultProbeTimeout)
	case len(k.outstanding) > 0:
		return k.idleSince.Add(linker.DefaultPingAfter)
	}
	return k.idleSince.Add(k.idlePingInterval)
}

// receivePong handles the agent's answer to a ping, which carries its load.
func (w *world) receivePong(entry *simEntry, k *link) {
	k.recordFrame(w.now)
	w.stepEntry(entry, entry.self, dispatcher.LoadReported{Agent: k.agent, Load: w.injected.loadOf(w.agentOf(k.agent))})
}

// recordFrame records the arrival of a frame, which also answers a ping.
func (k *link) recordFrame(now time.Time) {
	k.idleSince = now
	k.pingSentAt = time.Time{}
}

// recordStart records a start that was sent over the link.
func (k *link) recordStart(now time.Time, attempt attemptKey) {
	if len(k.outstanding) == 0 {
		k.idleSince = now
	}
	k.outstanding[attempt] = true
}

// openLink establishes a link and announces its agent to the core.
func (w *world) openLink(entry *simEntry, k *link) {
	k.open, k.openedAt, k.failures = true, w.now, 0
	k.outstanding = make(map[attemptKey]bool)
	agent := w.agentOf(k.agent)
	w.stepAgent(agent, agent.self, runner.LinkClosed{Entry: entry.self})
	w.stepAgent(agent, agent.self, runner.LinkOpened{Entry: entry.self})
	announcement := k.announcement
	announcement.Load = w.injected.loadOf(agent)
	w.stepEntry(entry, entry.self, dispatcher.Announced{Announcement: announcement})
	w.receivePong(entry, k)
}

// closeLink closes a link, or handles a failed connection attempt.
func (w *world) closeLink(entry *simEntry, k *link) {
	wasOpen := k.open && !w.injected.hideLinkLoss
	k.open, k.pingSentAt, k.outstanding = false, time.Time{}, nil
	k.reconnectAt = w.now.Add(min(minReconnectDelay<<k.failures, maxReconnectDelay))
	k.failures = min(k.failures+1, 8)
	if wasOpen {
		a := k.announcement
		a.Load.Leaving = true
		w.stepEntry(entry, entry.self, dispatcher.Announced{Announcement: a})
	}
	w.stepEntry(entry, entry.self, dispatcher.LinkLost{Agent: k.agent})
}

// breakLink closes a link at both ends. It is opened again later.
func (w *world) breakLink(entry *simEntry, agent *simAgent) {
	if k := entry.link(agent.self); k != nil {
		w.closeLink(entry, k)
	}
	w.stepAgent(agent, agent.self, runner.LinkClosed{Entry: entry.self})
}

// hasOpenLink reports whether frames to an agent leave the entry.
func (e *simEntry) hasOpenLink(agent task.Process) bool {
	k := e.link(agent)
	return k != nil && k.open
}

// receiveFrame handles the load in an agent's frame. It ignores frames that
// were sent before the link opened or maxFrameAge ago.
func (w *world) receiveFrame(entry *simEntry, agent task.Process, sentAt time.Time, load dispatcher.Load) {
	k := entry.link(agent)
	if k == nil || !k.open || sentAt.Before(k.openedAt) || w.now.Sub(sentAt) >= maxFrameAge {
		return
	}
	k.recordFrame(w.now)
	w.stepEntry(entry, entry.self, dispatcher.LoadReported{Agent: agent, Load: load})
}

// recordOutcome removes an attempt that was refused or has ended from the
// outstanding ones.
func (e *simEntry) recordOutcome(agent task.Process, event dispatcher.Event) {
	k := e.link(agent)
	if k == nil {
		return
	}
	switch e := event.(type) {
	case dispatcher.Refused:
		delete(k.outstanding, attemptKey{e.Report.Task, e.Report.Attempt})
	case dispatcher.Ended:
		delete(k.outstanding, attemptKey{e.Report.Task, e.Report.Attempt})
	}
}
