package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/platform/imitator"
)

const (
	// agentNodeFormat is the format of agents' node names.
	agentNodeFormat = "side-%d"
	// minionNameFormat is the format of minions' names: the agent's index and the
	// number of the name.
	minionNameFormat = "m-%d-%d"
	// firstAnswerStream is the random stream of the first agent's answerRandom.
	firstAnswerStream = 100
	// maxLease limits the duration of a lease.
	maxLease = time.Second
)

// agent is an agent process with its emulated minion.
type agent struct {
	*process

	harness *harness
	index   int
	// proxy is the proxy through which the agent connects to the minion.
	proxy *proxy

	// child runs the minion as a process of its own; nil if the minion runs in this
	// process.
	child *minionProcess

	mu sync.Mutex
	// minion is nil if there is a child.
	minion *imitator.Minion
	// minionStarts counts the starts of the minion, and minionNames the names that it
	// had.
	minionStarts, minionNames int
	// downUntil is the time until which a crashed minion is unreachable.
	downUntil time.Time
	// unanswered is the number of faults that leave requests to the minion unanswered
	// now, and answerRandom draws which of them.
	unanswered   int
	answerRandom *rand.Rand
}

// startAgent starts an agent, its minion and the minion's status reports.
func (h *harness) startAgent(i int, store netip.AddrPort, seeds []netip.AddrPort) error {
	minionAddress, proxyAddress := netip.AddrPortFrom(h.address(4, i), minionPort), netip.AddrPortFrom(h.address(4, 25+i), minionPort)
	p, err := newProxy(proxyAddress, minionAddress)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "end what listens there", "open a proxy")
	}
	a := &agent{harness: h, index: i, proxy: p, answerRandom: rand.New(rand.NewPCG(h.options.Seed, firstAnswerStream+uint64(i)))}
	if err := h.startMinionOf(a, minionAddress); err != nil {
		return err
	}
	a.process, err = h.startProcess(imitator.VM{
		Node: fmt.Sprintf(agentNodeFormat, i), Zone: zones[i%len(zones)], Address: h.address(3, i), RegistryPort: registryPort, FirstPort: firstPort, Seeds: seeds,
		Store: store, Minion: proxyAddress,
	}, h.options.AgentShare, h.options.Agent, "--on-platform")
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "check the path of the program", "start an agent")
	}
	h.agents = append(h.agents, a)
	if a.child == nil {
		go a.sendReports()
	}
	return nil
}

// startMinionOf starts the first minion of an agent.
func (h *harness) startMinionOf(a *agent, address netip.AddrPort) error {
	if a.index < h.childCount() {
		var err error
		a.child, err = h.startMinionProcess(a, address)
		return err
	}
	a.mu.Lock()
	a.startMinion(false)
	a.mu.Unlock()
	return h.serve(address, a)
}

// childCount returns the number of agents whose minion is a process of its own. They
// are the first ones. At least one minion runs in this process, for the faults of
// those.
func (h *harness) childCount() int {
	return min(int(h.options.ProcessShare*float64(h.options.Agents)), h.options.Agents-1)
}

// drawEmulated draws an agent whose minion runs in this process.
func (h *harness) drawEmulated() *agent {
	emulated := h.agents[h.childCount():]
	return emulated[h.faultRandom.IntN(len(emulated))]
}

// startMinion starts the minion with a new incarnation, in place of the last one and
// with keepName under its name. The lock is held.
func (a *agent) startMinion(keepName bool) {
	a.minionStarts++
	if !keepName {
		a.minionNames++
	}
	description := a.describeMinion(a.minionStarts, a.minionNames)
	name := description.Name
	c := a.harness.checker
	var minion *imitator.Minion
	minion = imitator.NewMinion(&c.mu, emulator.LeasedOptions{
		Minion: description, DurationFactor: a.durationFactor(), MaxLease: maxLease, AllowOvercommit: a.allowsOvercommit(), Profile: a.harness.taskProfile,
		OnStart: func(run work.Run, at time.Time) { a.harness.runStarted(name, run, at) },
		OnEnd:   func(run work.Run, state work.State, at time.Time) { c.runStopped(name, run, state, at) },
		OnCrash: func(run work.Run, at time.Time) {
			c.minionCrashed(run, a.vm.Node, at.Add(crashDowntime))
			go a.replaceCrashedMinion(minion)
		},
	})
	c.mu.Lock()
	delete(c.drainDeadlines, name) // It drained before the restart.
	if a.minion == nil {
		c.minions = append(c.minions, minion)
	} else {
		for i, m := range c.minions {
			if m == checkedMinion(a.minion) {
				c.minions[i] = minion
			}
		}
	}
	c.mu.Unlock()
	a.minion = minion
}

// describeMinion returns the description of the minion by the numbers of its start and
// of its name.
func (a *agent) describeMinion(start, name int) work.Minion {
	return work.Minion{
		Name: fmt.Sprintf(minionNameFormat, a.index, name), Incarnation: uint64(firstIncarnation + 1000*start), Service: imitator.Service, Zone: zones[a.index%len(zones)],
		Labels: [][]string{{"a"}, {"a", "b"}}[a.index%2], Room: work.Room{CPU: 8000, Memory: 65536},
	}
}

func (a *agent) durationFactor() float64 { return []float64{0.7, 1, 1.6}[a.index%3] }

func (a *agent) allowsOvercommit() bool { return a.index%2 == 1 }

// replaceCrashedMinion replaces a minion some time after a task crashed it.
func (a *agent) replaceCrashedMinion(minion *imitator.Minion) {
	a.mu.Lock()
	current := a.minion == minion
	if current {
		a.downUntil = time.Now().Add(crashDowntime)
	}
	a.mu.Unlock()
	if !current {
		return // Replaced meanwhile.
	}
	time.Sleep(crashDowntime)
	a.replaceMinion(minion, false)
}

// replaceMinion ends a minion and starts the next one, with keepName under its name,
// unless it has already been replaced.
func (a *agent) replaceMinion(minion *imitator.Minion, keepName bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.minion != minion || a.harness.ctx.Err() != nil {
		return
	}
	minion.Crash()
	a.startMinion(keepName)
}

// ServeHTTP passes requests to the current minion. Connections to a minion that
// is down are reset.
func (a *agent) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	minion, down := a.minion, time.Now().Before(a.downUntil)
	a.mu.Unlock()
	if down {
		if hijacker, ok := rw.(http.Hijacker); ok {
			if conn, _, err := hijacker.Hijack(); err == nil {
				abort(conn)
			}
		}
		return
	}
	if answered, lateness := a.drawAnswer(); !answered {
		a.leaveUnanswered(minion, r, lateness)
		panic(http.ErrAbortHandler) // Ends the connection without a response.
	}
	minion.ServeHTTP(rw, r)
}

// sendReports sends the minion's status reports until the soak test ends. The
// first accepted report of a draining minion sets its drain deadline.
func (a *agent) sendReports() {
	for a.harness.ctx.Err() == nil {
		a.mu.Lock()
		minion, down := a.minion, time.Now().Before(a.downUntil)
		a.mu.Unlock()
		pause := reportInterval
		if !down {
			address := netip.AddrPortFrom(a.vm.Address, registryPort)
			if minion.Report(a.harness.ctx, address) {
				minion.WithLock(func(l *emulator.LeasedMinion, _ time.Time) {
					if d := l.Describe(); d.Draining && !minion.Crashed() {
						if a.harness.checker.drainDeadlines[d.Name].IsZero() {
							a.harness.checker.drainDeadlines[d.Name] = time.Now().Add(drainGrace)
						}
					}
				})
			} else {
				pause = retryInterval
			}
		}
		select {
		case <-a.harness.ctx.Done():
		case <-time.After(pause):
		}
	}
}
