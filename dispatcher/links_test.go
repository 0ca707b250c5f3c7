package dispatcher_test

import (
	"time"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/linker"
	"agatevalve/runner"
)

const (
	// idlePing is shorter than linker.DefaultIdlePing, so that the bound of the
	// oracle lies below the length of a run; see leaveWithin.
	idlePing = 3 * time.Second
	// firstReopen and lastReopen bound the pause between two links, as in linker.
	firstReopen = 100 * time.Millisecond
	lastReopen  = 2 * time.Second
)

// link is an entry's side of a link to one run of an agent. It gives the core
// what linker gives it, at the times at which linker does.
type link struct {
	agent        task.Process
	announcement dispatcher.Announcement
	// open is true from the agent's greeting on, which came at openedAt.
	open     bool
	openedAt time.Time
	// quietSince is the later of the last frame and the start of the work.
	quietSince time.Time
	// probedAt is zero when no ping waits for a frame.
	probedAt time.Time
	// idlePing is how long a link without outstanding work stays unprobed.
	idlePing time.Duration
	// outstanding holds the attempts that were written and not yet ended.
	outstanding map[work]bool
	failures    int
	// reopen is when the next link is tried.
	reopen time.Time
}

// link returns the link to an agent, or nil.
func (n *node) link(agent task.Process) *link {
	for _, k := range n.links {
		if k.agent == agent {
			return k
		}
	}
	return nil
}

// meet takes an announcement. The core hears of it while the link is open.
func (w *world) meet(n *node, a dispatcher.Announcement) {
	k := n.link(a.Peer.Process)
	if k == nil {
		k = &link{agent: a.Peer.Process, idlePing: idlePing}
		n.links = append(n.links, k)
	}
	k.announcement = a
	if k.open {
		w.toEntry(n, n.self, dispatcher.Announced{Announcement: a})
		return
	}
	if !n.paused {
		w.watch(n, k)
	}
}

// reaches reports whether a frame to an agent is answered now.
func (w *world) reaches(n *node, k *link) bool {
	h := w.host(k.agent)
	return h.self == k.agent && !h.paused && !w.silent[pair{n.name, h.name}]
}

// watch opens a link that is due, pings a quiet one, and ends a silent one.
func (w *world) watch(n *node, k *link) {
	if w.now.Before(k.wake()) {
		if !k.probedAt.IsZero() && w.reaches(n, k) {
			w.pong(n, k)
		}
		return
	}
	switch {
	case !k.open && w.reaches(n, k):
		w.openLink(n, k)
	case !k.open:
		w.closeLink(n, k)
		k.reopen = k.reopen.Add(linker.DefaultProbeTimeout)
	case w.reaches(n, k):
		w.pong(n, k)
	case k.probedAt.IsZero():
		k.probedAt = w.now
	default:
		w.closeLink(n, k)
	}
}

// wake returns when the link is looked at next.
func (k *link) wake() time.Time {
	switch {
	case !k.open:
		return k.reopen
	case !k.probedAt.IsZero():
		return k.probedAt.Add(linker.DefaultProbeTimeout)
	case len(k.outstanding) > 0:
		return k.quietSince.Add(linker.DefaultPingAfter)
	}
	return k.quietSince.Add(k.idlePing)
}

// pong is the agent's answer to a ping. It carries the agent's load.
func (w *world) pong(n *node, k *link) {
	k.saw(w.now)
	w.toEntry(n, n.self, dispatcher.LoadReported{Agent: k.agent, Load: w.ports.loadOf(w.host(k.agent))})
}

func (k *link) saw(now time.Time) {
	k.quietSince = now
	k.probedAt = time.Time{}
}

// began notes an attempt that is written to the link.
func (k *link) began(now time.Time, call work) {
	if len(k.outstanding) == 0 {
		k.quietSince = now
	}
	k.outstanding[call] = true
}

func (w *world) openLink(n *node, k *link) {
	k.open, k.openedAt, k.failures = true, w.now, 0
	k.outstanding = make(map[work]bool)
	h := w.host(k.agent)
	w.toAgent(h, h.self, runner.LinkClosed{Entry: n.self})
	w.toAgent(h, h.self, runner.LinkOpened{Entry: n.self})
	announcement := k.announcement
	announcement.Load = w.ports.loadOf(h)
	w.toEntry(n, n.self, dispatcher.Announced{Announcement: announcement})
	w.pong(n, k)
}

// closeLink ends a link, or a try to open one.
func (w *world) closeLink(n *node, k *link) {
	wasOpen := k.open && !w.ports.unaware
	k.open, k.probedAt, k.outstanding = false, time.Time{}, nil
	k.reopen = w.now.Add(min(firstReopen<<k.failures, lastReopen))
	k.failures = min(k.failures+1, 8)
	if wasOpen {
		a := k.announcement
		a.Load.Leaving = true
		w.toEntry(n, n.self, dispatcher.Announced{Announcement: a})
	}
	w.toEntry(n, n.self, dispatcher.LinkLost{Agent: k.agent})
}

// breakLink tells both ends that their link broke. It is opened again later.
func (w *world) breakLink(n *node, h *host) {
	if k := n.link(h.self); k != nil {
		w.closeLink(n, k)
	}
	w.toAgent(h, h.self, runner.LinkClosed{Entry: n.self})
}

// writes reports whether a frame to an agent leaves the entry.
func (n *node) writes(agent task.Process) bool {
	k := n.link(agent)
	return k != nil && k.open
}

// heard takes in that a frame of a certain time came from an agent. Only one of
// the present link is news.
func (w *world) heard(n *node, agent task.Process, at time.Time, load dispatcher.Load) {
	k := n.link(agent)
	if k == nil || !k.open || at.Before(k.openedAt) || w.now.Sub(at) >= frameAge {
		return
	}
	k.saw(w.now)
	w.toEntry(n, n.self, dispatcher.LoadReported{Agent: agent, Load: load})
}

// settledAt notes that nothing more is expected of an attempt on a link.
func (n *node) settledAt(agent task.Process, event dispatcher.Event) {
	k := n.link(agent)
	if k == nil {
		return
	}
	switch e := event.(type) {
	case dispatcher.Refused:
		delete(k.outstanding, work{e.Report.Task, e.Report.Attempt})
	case dispatcher.Ended:
		delete(k.outstanding, work{e.Report.Task, e.Report.Attempt})
	}
}
