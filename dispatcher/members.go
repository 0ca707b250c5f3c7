package dispatcher

import (
	"slices"
	"strings"
	"time"

	"agatevalve/balancer"
	"agatevalve/common/task"
)

// peer is an agent that is announced or has open attempts.
type peer struct {
	Peer
	// openAttempts holds the agent's open attempts and their tasks.
	openAttempts map[*attempt]*jobTask
	// pollScheduled is true while a timerPoll is set for the agent.
	pollScheduled bool
	// announced is true while the agent is a member: announced, and not expired
	// or replaced.
	announced bool
}

// attemptsToSettle returns the agent's attempts that need settling, ordered by
// job, index and attempt number.
func (pr *peer) attemptsToSettle() []AttemptRef {
	var list []AttemptRef
	for a, jt := range pr.openAttempts {
		if a.needsSettling {
			list = append(list, attemptRef(jt, a))
		}
	}
	sortAttempts(list)
	return list
}

// leaseExtension is the time by which a frame from an agent keeps its
// membership from expiring. A silent link is detected by its pings, after which
// its agent is announced as leaving.
const leaseExtension = 4 * time.Second

// addPeer returns the peer of an agent, and adds it if it isn't known.
func (c *Core) addPeer(p Peer) *peer {
	pr := c.peers[p.Process]
	if pr == nil {
		pr = &peer{Peer: p, openAttempts: make(map[*attempt]*jobTask)}
		c.peers[p.Process] = pr
	}
	return pr
}

// handleAnnounced adds or renews an agent's membership and updates its load.
func (c *Core) handleAnnounced(a Announcement) {
	if !a.Expires.After(c.now) {
		return
	}
	pr := c.addPeer(a.Peer)
	pr.Peer = a.Peer
	if !pr.announced {
		pr.announced = true
		c.removeOlderIncarnations(a.Peer.Process)
	}
	c.chooser.Announce(c.now, balancer.Info{
		ID: a.Peer.Process, Zone: a.Zone, Pools: a.Pools, Expires: a.Expires,
	}, balancerLoad(a.Load))
	c.schedule(timer{at: a.Expires, kind: timerMemberExpiry})
	c.markAgentPools(a.Peer.Process)
}

// removeOlderIncarnations removes earlier runs of an agent that has restarted.
func (c *Core) removeOlderIncarnations(id task.Process) {
	for other, pr := range c.peers {
		if other.Name == id.Name && other != id && pr.announced {
			pr.announced = false
			c.chooser.Remove(other)
			c.releasePeer(pr)
		}
	}
}

// handleLoadReported updates an agent's load and extends its membership.
func (c *Core) handleLoadReported(e LoadReported) {
	c.chooser.UpdateLoad(c.now, e.Agent, balancerLoad(e.Load))
	c.chooser.ExtendExpiry(e.Agent, c.now.Add(leaseExtension))
	c.markAgentPools(e.Agent)
}

// expireMembers removes the agents whose membership has expired.
func (c *Core) expireMembers() {
	for _, id := range c.chooser.Expired(c.now) {
		c.removeMember(id)
	}
}

// removeMember stops sending work to an agent. Its attempts stay open until
// they are settled.
func (c *Core) removeMember(id task.Process) {
	c.chooser.Remove(id)
	pr := c.peers[id]
	if pr == nil {
		return
	}
	pr.announced = false
	c.releasePeer(pr)
}

// releasePeer removes the peer if it is not a member and has no open attempts.
func (c *Core) releasePeer(pr *peer) {
	if !pr.announced && len(pr.openAttempts) == 0 {
		delete(c.peers, pr.Process)
	}
}

// balancerLoad converts an agent's load to the type of the balancer.
func balancerLoad(l Load) balancer.Load {
	return balancer.Load{Slots: l.Slots, Running: l.Running, Queued: l.Queued, Leaving: l.Leaving}
}

// sortAttempts sorts by job, index and attempt number.
func sortAttempts(list []AttemptRef) {
	slices.SortFunc(list, func(a, b AttemptRef) int {
		if order := strings.Compare(string(a.Task.Job[:]), string(b.Task.Job[:])); order != 0 {
			return order
		}
		if a.Task.Index != b.Task.Index {
			return a.Task.Index - b.Task.Index
		}
		return int(a.Attempt) - int(b.Attempt)
	})
}

// AgentView is the state of one agent, for operators.
type AgentView struct {
	ID    task.Process
	Pools []string
	Zone  string
	Slots int
	// Outstanding counts this entry's open attempts there; Others counts the
	// tasks of other entries.
	Outstanding int
	Others      int
	Leaving     bool
	Ejected     bool
	// Slowdown is the minion's mean time per task relative to that of its pool;
	// 1 is average.
	Slowdown float64
	// MeanServiceTime is the moving mean of the minion's time per task; 0 before
	// the first response.
	MeanServiceTime time.Duration
}

// View is the state of the core, for operators.
type View struct {
	// Waiting and Running count tasks.
	Waiting int
	Running int
	// Teams counts the teams that the pools' queues account for; a team counts
	// once per pool.
	Teams  int
	Agents []AgentView
}

// View returns a copy of the state, with the agents sorted by name.
func (c *Core) View() View {
	var v View
	for _, p := range c.pools {
		v.Waiting += p.waiting
		v.Running += p.totalRunning()
		v.Teams += p.queue.TeamCount()
	}
	for id := range c.peers {
		m := c.chooser.Get(id)
		if m == nil {
			continue
		}
		v.Agents = append(v.Agents, AgentView{
			ID: id, Pools: slices.Clone(m.Pools), Zone: m.Zone, Slots: m.Slots,
			Outstanding: m.OwnTasks, Others: m.OtherTasks, Leaving: m.Leaving,
			Ejected: c.chooser.Ejected(c.now, id), Slowdown: m.Slowdown, MeanServiceTime: m.MeanServiceTime(),
		})
	}
	slices.SortFunc(v.Agents, func(a, b AgentView) int { return strings.Compare(a.ID.Name, b.ID.Name) })
	return v
}
