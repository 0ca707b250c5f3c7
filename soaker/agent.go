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
)

// agent is an agent process with its emulated minion.
type agent struct {
	*process

	harness *harness
	index   int
	// proxy is the proxy through which the agent connects to the minion.
	proxy *proxy

	mu     sync.Mutex
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
	a.mu.Lock()
	a.startMinion(false)
	a.mu.Unlock()
	if err := h.serve(minionAddress, a); err != nil {
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
	go a.sendReports()
	return nil
}

// startMinion starts the minion with a new incarnation, in place of the last one and
// with keepName under its name. The lock is held.
func (a *agent) startMinion(keepName bool) {
	a.minionStarts++
	if !keepName {
		a.minionNames++
	}
	name := fmt.Sprintf(minionNameFormat, a.index, a.minionNames)
	c := a.harness.checker
	var minion *imitator.Minion
	minion = imitator.NewMinion(&c.mu, emulator.LeasedOptions{
		Minion: work.Minion{
			Name: name, Incarnation: uint64(firstIncarnation + 1000*a.minionStarts), Service: imitator.Service, Zone: zones[a.index%len(zones)],
			Labels: [][]string{{"a"}, {"a", "b"}}[a.index%2], Room: work.Room{CPU: 8000, Memory: 65536},
		},
		DurationFactor: []float64{0.7, 1, 1.6}[a.index%3], MaxLease: time.Second,
		AllowOvercommit: a.index%2 == 1, Profile: a.harness.taskProfile,
		OnStart: func(run work.Run, at time.Time) { a.harness.runStarted(name, run, at) },
		OnEnd:   func(run work.Run, state work.State, at time.Time) { c.runStopped(run, state, at) },
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
			if m == a.minion {
				c.minions[i] = minion
			}
		}
	}
	c.mu.Unlock()
	a.minion = minion
}

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
