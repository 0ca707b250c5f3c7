package dispatcher

import (
	"slices"
	"strings"
	"time"

	"agatevalve/balancer"
	"agatevalve/common/task"
)

// peer is an agent that may be asked about attempts.
type peer struct {
	Peer
	// open holds the attempts there whose fate is open.
	open map[*send]*unit
	// polling is true while a question about them is planned.
	polling bool
	// member is true while the agent is announced.
	member bool
}

// unsure returns the attempts there that must be asked about, by job, index
// and attempt.
func (pr *peer) unsure() []Sent {
	var list []Sent
	for s, u := range pr.open {
		if s.unsure {
			list = append(list, sentOf(u, s))
		}
	}
	sortSent(list)
	return list
}

// heardFor is how long a frame proves that an agent is alive beyond its last
// announcement. A silent link is found by its pings, and its agent is then
// announced as leaving.
const heardFor = 4 * time.Second

// know keeps the address of an agent.
func (c *Core) know(p Peer) *peer {
	pr := c.peers[p.Process]
	if pr == nil {
		pr = &peer{Peer: p, open: make(map[*send]*unit)}
		c.peers[p.Process] = pr
	}
	return pr
}

func (c *Core) announced(a Announcement) {
	if !a.Expires.After(c.now) {
		return
	}
	pr := c.know(a.Peer)
	pr.Peer = a.Peer
	if !pr.member {
		pr.member = true
		c.replaceOlder(a.Peer.Process)
	}
	c.chooser.Announce(c.now, balancer.Info{
		ID: a.Peer.Process, Zone: a.Zone, Pools: a.Pools, Expires: a.Expires,
	}, loadOf(a.Load))
	c.wake(timer{at: a.Expires, kind: timerMembers})
	c.markAgent(a.Peer.Process)
}

// replaceOlder forgets earlier incarnations of an agent that has restarted.
func (c *Core) replaceOlder(id task.Process) {
	for other, pr := range c.peers {
		if other.Name == id.Name && other != id && pr.member {
			pr.member = false
			c.chooser.Remove(other)
			c.release(pr)
		}
	}
}

func (c *Core) loadSeen(e LoadSeen) {
	c.chooser.UpdateLoad(c.now, e.Agent, loadOf(e.Load))
	c.chooser.ExtendExpiry(e.Agent, c.now.Add(heardFor))
	c.markAgent(e.Agent)
}

func (c *Core) expireMembers() {
	for _, id := range c.chooser.Expired(c.now) {
		c.forget(id)
	}
}

// forget stops sending work to an agent. Attempts there stay open until they
// are settled.
func (c *Core) forget(id task.Process) {
	c.chooser.Remove(id)
	pr := c.peers[id]
	if pr == nil {
		return
	}
	pr.member = false
	c.release(pr)
}

// release drops the address of an agent that nothing needs any more.
func (c *Core) release(pr *peer) {
	if !pr.member && len(pr.open) == 0 {
		delete(c.peers, pr.Process)
	}
}

func loadOf(l Load) balancer.Load {
	return balancer.Load{Slots: l.Slots, Running: l.Running, Queued: l.Queued, Leaving: l.Leaving}
}

func sortSent(list []Sent) {
	slices.SortFunc(list, func(a, b Sent) int {
		if order := strings.Compare(string(a.Task.Job[:]), string(b.Task.Job[:])); order != 0 {
			return order
		}
		if a.Task.Index != b.Task.Index {
			return a.Task.Index - b.Task.Index
		}
		return int(a.Attempt) - int(b.Attempt)
	})
}

// AgentView is what the core knows of one agent, for operators.
type AgentView struct {
	ID          task.Process
	Pools       []string
	Zone        string
	Slots       int
	Outstanding int
	Others      int
	Leaving     bool
	Ejected     bool
	// Speed is the minion's time per task over the mean of its pool.
	Speed float64
	// Mean is the moving mean of the minion's time per task; 0 before the first answer.
	Mean time.Duration
}

// View is the state of the core, for operators.
type View struct {
	// Waiting and Running count tasks.
	Waiting int
	Running int
	// Teams counts the teams with an account in a pool.
	Teams  int
	Agents []AgentView
}

// View returns a copy of the state, with agents by name.
func (c *Core) View() View {
	var v View
	for _, p := range c.pools {
		v.Waiting += p.waiting
		v.Running += p.sent()
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
			Ejected: c.chooser.Ejected(c.now, id), Speed: m.Slowdown, Mean: m.MeanServiceTime(),
		})
	}
	slices.SortFunc(v.Agents, func(a, b AgentView) int { return strings.Compare(a.ID.Name, b.ID.Name) })
	return v
}
