package soaker

import (
	"fmt"
	"syscall"
	"time"

	"agatevalve/emulator"
	"agatevalve/platform/imitator"
)

// act is one fault: what it does, and how it ends.
type act struct {
	name string
	// weight is how often it comes, beside the others.
	weight int
	do     func(w *world, lasts time.Duration) (target string, end func())
}

const (
	// mostPause is the longest time between two faults; they overlap, as they
	// last from shortest to longest.
	mostPause = 700 * time.Millisecond
	shortest  = 100 * time.Millisecond
	longest   = 2500 * time.Millisecond
	// plannedOnly is the share of soaks with planned work only, so that its rules
	// are judged.
	plannedOnly = 0.25
	// slowLink is the delay of a slow connection.
	slowLink = 60 * time.Millisecond
)

// planned is work that cuts nothing.
var planned = []act{
	{"stop an entry", 2, func(w *world, _ time.Duration) (string, func()) {
		f := w.entries[w.random.IntN(len(w.entries))]
		go f.terminate()
		return "", nil
	}},
	{"stop an agent", 2, func(w *world, _ time.Duration) (string, func()) {
		s := w.agents[w.random.IntN(len(w.agents))]
		go s.terminate()
		return "", nil
	}},
	{"change an entry's settings", 1, func(w *world, _ time.Duration) (string, func()) {
		f := w.entries[w.random.IntN(len(w.entries))]
		f.vm.Seeds = append(f.vm.Seeds[1:], f.vm.Seeds[0])
		if err := f.writeSettings(); err != nil {
			w.judge.broke("settings: %v", err)
		}
		f.signal(syscall.SIGHUP)
		return "", nil
	}},
	{"drain a minion and replace it", 2, func(w *world, _ time.Duration) (string, func()) {
		s := w.agents[w.random.IntN(len(w.agents))]
		s.mu.Lock()
		minion := s.minion
		s.mu.Unlock()
		minion.WithLock(func(l *emulator.LeasedMinion, _ time.Time) { l.Drain() })
		time.AfterFunc(reportEvery+drainWithin+time.Second, func() { s.replace(minion) })
		return "", nil
	}},
}

// unplanned is trouble.
var unplanned = []act{
	{"kill an entry", 3, func(w *world, _ time.Duration) (string, func()) {
		f := w.entries[w.random.IntN(len(w.entries))]
		f.signal(syscall.SIGKILL)
		return f.vm.Node, nil
	}},
	{"kill an agent", 3, func(w *world, _ time.Duration) (string, func()) {
		s := w.agents[w.random.IntN(len(w.agents))]
		s.signal(syscall.SIGKILL)
		return s.vm.Node, nil
	}},
	{"freeze an entry", 3, func(w *world, _ time.Duration) (string, func()) {
		f := w.entries[w.random.IntN(len(w.entries))]
		f.signal(syscall.SIGSTOP)
		return f.vm.Node, func() { f.signal(syscall.SIGCONT) }
	}},
	{"freeze an agent", 3, func(w *world, _ time.Duration) (string, func()) {
		s := w.agents[w.random.IntN(len(w.agents))]
		s.signal(syscall.SIGSTOP)
		return s.vm.Node, func() { s.signal(syscall.SIGCONT) }
	}},
	{"kill all", 1, func(w *world, _ time.Duration) (string, func()) {
		for _, f := range w.entries {
			f.signal(syscall.SIGKILL)
		}
		for _, s := range w.agents {
			s.signal(syscall.SIGKILL)
		}
		return everything, nil
	}},
	{"crash a minion", 2, func(w *world, lasts time.Duration) (string, func()) {
		s := w.agents[w.random.IntN(len(w.agents))]
		s.mu.Lock()
		s.down = time.Now().Add(lasts)
		minion := s.minion
		s.mu.Unlock()
		minion.Crash()
		return s.vm.Node, func() { s.replace(minion) }
	}},
	{"slow a minion", 2, minionAct(func(l *emulator.LeasedMinion, now time.Time, on bool) { l.SetSlowdown(now, pick(on, 5.0, 1.0)) })},
	{"stall a minion", 2, minionAct(func(l *emulator.LeasedMinion, now time.Time, on bool) { l.SetSlowdown(now, pick(on, 0.0, 1.0)) })},
	{"fail a minion's runs", 2, minionAct(func(l *emulator.LeasedMinion, now time.Time, on bool) { l.SetFailing(now, on) })},
	{"slow the orders to a minion", 1, proxyAct(minionProxy, func(p *proxy, on bool) { p.delay.Store(pick(on, int64(slowLink), 0)) })},
	{"cut a minion off", 2, proxyAct(minionProxy, func(p *proxy, on bool) { p.blocked.Store(on) })},
	{"reset a minion's connections", 2, proxyAct(minionProxy, func(p *proxy, on bool) { whenOn(on, p.reset) })},
	{"silence a minion's connections", 2, proxyAct(minionProxy, func(p *proxy, on bool) { whenOn(on, func() { p.silence(true) }) })},
	{"lose a minion's answers", 2, proxyAct(minionProxy, func(p *proxy, on bool) { whenOn(on, func() { p.silence(false) }) })},
	{"slow callers", 1, proxyAct(callerProxy, func(p *proxy, on bool) { p.delay.Store(pick(on, int64(slowLink), 0)) })},
	{"cut callers off", 1, proxyAct(callerProxy, func(p *proxy, on bool) { p.blocked.Store(on) })},
	{"reset callers", 2, proxyAct(callerProxy, func(p *proxy, on bool) { whenOn(on, p.reset) })},
	{"silence callers", 1, proxyAct(callerProxy, func(p *proxy, on bool) { whenOn(on, func() { p.silence(true) }) })},
	{"cut the store off", 1, proxyAct(storeProxy, func(p *proxy, on bool) { p.blocked.Store(on) })},
	{"silence the store's connections", 1, proxyAct(storeProxy, func(p *proxy, on bool) { whenOn(on, func() { p.silence(true) }) })},
	{"stop the store", 2, storeAct(imitator.Unavailable)},
	{"slow the store", 1, storeAct(imitator.Slow)},
	{"lose the store's answers", 1, storeAct(imitator.LosingReplies)},
	{"drop the store's history", 1, storeAct(imitator.Compacted)},
}

func pick[T any](on bool, a, b T) T {
	if on {
		return a
	}
	return b
}

func whenOn(on bool, do func()) {
	if on {
		do()
	}
}

func minionAct(change func(l *emulator.LeasedMinion, now time.Time, on bool)) func(*world, time.Duration) (string, func()) {
	return func(w *world, _ time.Duration) (string, func()) {
		s := w.agents[w.random.IntN(len(w.agents))]
		s.mu.Lock()
		minion := s.minion
		s.mu.Unlock()
		minion.WithLock(func(l *emulator.LeasedMinion, now time.Time) { change(l, now, true) })
		return s.vm.Node, func() {
			minion.WithLock(func(l *emulator.LeasedMinion, now time.Time) { change(l, now, false) })
		}
	}
}

func minionProxy(w *world) (*proxy, string) {
	s := w.agents[w.random.IntN(len(w.agents))]
	return s.proxy, s.vm.Node
}

func callerProxy(w *world) (*proxy, string) {
	f := w.entries[w.random.IntN(len(w.entries))]
	return f.proxy, f.vm.Node
}

func storeProxy(w *world) (*proxy, string) { return w.storeProxy, "store" }

func proxyAct(which func(*world) (*proxy, string), change func(p *proxy, on bool)) func(*world, time.Duration) (string, func()) {
	return func(w *world, _ time.Duration) (string, func()) {
		p, target := which(w)
		change(p, true)
		return target, func() { change(p, false) }
	}
}

func storeAct(mode imitator.StoreMode) func(*world, time.Duration) (string, func()) {
	return func(w *world, _ time.Duration) (string, func()) {
		w.store.SetMode(mode)
		return "store", func() { w.store.SetMode(imitator.Serving) }
	}
}

// replace starts a new life of the minion, unless it has one.
func (s *side) replace(minion *imitator.Minion) {
	s.mu.Lock()
	current := s.minion == minion
	s.mu.Unlock()
	if !current || s.w.ctx.Err() != nil {
		return
	}
	minion.Crash()
	s.bear()
}

// disturb brings faults about until their time is over and all have ended.
func (w *world) disturb() {
	acts := planned
	if w.random.Float64() >= plannedOnly {
		acts = append(append([]act{}, unplanned...), planned...)
	}
	total := 0
	for _, a := range acts {
		total += a.weight
	}
	begin := time.Now()
	last := begin
	for time.Since(begin) < w.o.Faults {
		a := choose(acts, w.random.IntN(total))
		lasts := shortest + time.Duration(w.random.Int64N(int64(longest-shortest)))
		w.acts = append(w.acts, fmt.Sprintf("%6.3f s: %s, %s", time.Since(begin).Seconds(), a.name, lasts))
		target, end := a.do(w, lasts)
		if until := time.Now().Add(lasts); until.After(last) {
			last = until
		}
		if target != "" {
			w.judge.disturb(target, time.Now().Add(lasts))
			w.judge.disturb(anything, time.Now().Add(lasts))
		}
		if end != nil {
			time.AfterFunc(lasts, end)
		}
		time.Sleep(time.Duration(w.random.Int64N(int64(mostPause))))
	}
	time.Sleep(time.Until(last))
}

func choose(acts []act, draw int) act {
	for _, a := range acts {
		if draw -= a.weight; draw < 0 {
			return a
		}
	}
	return acts[0]
}
