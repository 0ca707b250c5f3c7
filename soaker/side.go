package soaker

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/platform/imitator"
)

// side is an agent with its minion.
type side struct {
	*program

	w     *world
	index int
	proxy *proxy

	mu     sync.Mutex
	minion *imitator.Minion
	// life counts the lives of the minion; down is until when it is gone.
	life int
	down time.Time
}

func (w *world) openSide(i int, store netip.AddrPort, seeds []netip.AddrPort) error {
	minionAt, proxied := netip.AddrPortFrom(w.address(4, i), minionPort), netip.AddrPortFrom(w.address(4, 25+i), minionPort)
	p, err := newProxy(proxied, minionAt)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "end what listens there", "open a proxy")
	}
	s := &side{w: w, index: i, proxy: p}
	s.bear()
	if err := w.serve(minionAt, s); err != nil {
		return err
	}
	s.program, err = w.newProgram(imitator.VM{
		Node: fmt.Sprintf("side-%d", i), Zone: "a", Address: w.address(3, i), RegistryPort: registryPort, FirstPort: firstPort, Seeds: seeds,
		Store: store, Minion: proxied,
	}, w.o.Agent, "--on-platform")
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "check the path of the program", "start an agent")
	}
	w.agents = append(w.agents, s)
	go s.report()
	return nil
}

// bear starts a new life of the minion.
func (s *side) bear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life++
	name := fmt.Sprintf("m-%d-%d", s.index, s.life)
	j := s.w.judge
	minion := imitator.NewMinion(&j.mu, emulator.LeasedOptions{
		Minion: work.Minion{
			Name: name, Incarnation: uint64(firstLife + 1000*s.life), Service: imitator.Service, Zone: "a",
			Labels: [][]string{{"a"}, {"a", "b"}}[s.index%2], Room: work.Room{CPU: 8000, Memory: 65536},
		},
		DurationFactor: []float64{0.7, 1, 1.6}[s.index%3], MaxLease: time.Second,
		AllowOvercommit: s.index%2 == 1, Profile: s.w.truth,
		OnStart: func(run work.Run, at time.Time) { s.w.startedAt(name, run, at) },
		OnEnd:   func(run work.Run, state work.State, at time.Time) { j.stopped(run, state, at) },
	})
	j.mu.Lock()
	if s.minion == nil {
		j.minions = append(j.minions, minion)
	} else {
		for i, m := range j.minions {
			if m == s.minion {
				j.minions[i] = minion
			}
		}
	}
	j.mu.Unlock()
	s.minion = minion
}

// ServeHTTP serves the minion that lives now; nothing listens at one that is down.
func (s *side) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	minion, down := s.minion, time.Now().Before(s.down)
	s.mu.Unlock()
	if down {
		if hijacker, ok := rw.(http.Hijacker); ok {
			if conn, _, err := hijacker.Hijack(); err == nil {
				abort(conn)
			}
		}
		return
	}
	minion.ServeHTTP(rw, r)
}

// report sends the minion's status reports until the soak ends.
func (s *side) report() {
	for s.w.ctx.Err() == nil {
		s.mu.Lock()
		minion, down := s.minion, time.Now().Before(s.down)
		s.mu.Unlock()
		pause := reportEvery
		if !down {
			at := netip.AddrPortFrom(s.vm.Address, registryPort)
			if minion.Report(s.w.ctx, at) {
				minion.WithLock(func(l *emulator.LeasedMinion, _ time.Time) {
					if d := l.Describe(); d.Draining {
						if s.w.judge.drains[d.Name].IsZero() {
							s.w.judge.drains[d.Name] = time.Now().Add(drainWithin)
						}
					}
				})
			} else {
				pause = tryEvery
			}
		}
		select {
		case <-s.w.ctx.Done():
		case <-time.After(pause):
		}
	}
}
