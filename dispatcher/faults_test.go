package dispatcher_test

import (
	"time"

	"pgregory.net/rapid"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
)

// fault names what fails.
type fault string

// faults lists the actions in which something fails, or an operator acts.
func (f *fuzzer) faults() []action {
	return []action{
		{"deliver", 20, f.deliver, "message crossed"},
		{"lose", 3, f.lose, "message lost"},
		{"double", 4, f.double, "message doubled"},
		{"truncate", 2, f.truncate, "message truncated"},
		{"fail", 4, f.fail, "call failed"},
		{"link-lost", 3, f.linkLost, "link lost"},
		{"silence", 4, f.silence, "link silent"},
		{"deafen", 3, f.deafen, "announcements lost"},
		{"crash-entry", 2, f.crashEntry, "entry crash"},
		{"pause-entry", 4, f.pauseEntry, "entry pause"},
		{"crash-agent", 2, f.crashAgent, "agent crash"},
		{"pause-agent", 4, f.pauseAgent, "agent pause"},
		{"skew-agent", 2, f.skewAgent, "agent clock skew"},
		{"skew-entry", 2, f.skewEntry, "entry clock skew"},
		{"crash-minion", 3, f.crashMinion, "minion crash"},
		{"hang-minion", 2, f.hangMinion, "minion hang"},
		{"break-minion", 2, f.breakMinion, "minion fails all"},
		{"store", 3, f.store, "store down"},
		{"slow-store", 3, f.slowStore, "store slow"},
		{"lose-reply", 4, f.loseReply, "store reply lost"},
		{"cancel-wave", 2, f.cancelWave, "cancellation wave"},
		{"doomed", 2, f.doomed, "job that can't run"},
		{"edit", 2, f.edit, "config edit"},
		{"drain-agent", 4, f.drainAgent, "agent drain"},
		{"drain-entry", 2, f.drainEntry, "entry drain"},
	}
}

// lasting lists the faults that are on now.
func (f *fuzzer) lasting() []fault {
	var on []fault
	add := func(name fault, is bool) {
		if is {
			on = append(on, name)
		}
	}
	w := f.w
	add("store down", w.down)
	add("store slow", w.slowUntil.After(w.now))
	add("announcements lost", len(w.deaf) > 0)
	add("link silent", len(w.silent) > 0)
	for _, n := range w.entries {
		add("entry pause", n.paused)
		add("entry drain", n.draining)
		add("entry clock skew", n.skew != 0)
	}
	for _, h := range w.agents {
		add("agent pause", h.paused)
		add("agent drain", h.leaving)
		add("agent clock skew", h.skew != 0)
		add("minion hang", h.hung)
		add("minion fails all", h.failing)
	}
	return on
}

// strike counts a fault, and its pairs with those that are on or struck lately.
func (f *fuzzer) strike(name fault) {
	for _, on := range f.lasting() {
		f.last[on] = f.w.now
	}
	if name == "" {
		return
	}
	for other, at := range f.last {
		if other != name && f.w.now.Sub(at) <= pairWithin {
			f.coverage.pairs[pairOf(name, other)]++
		}
	}
	f.coverage.faults[name]++
	f.last[name] = f.w.now
}

func (f *fuzzer) deliver(t *rapid.T) {
	f.w.take(f.index(t, f.w.deliverable)).deliver()
}

func (f *fuzzer) lose(t *rapid.T) {
	f.w.take(f.index(t, func(m message) bool { return m.frame }))
}

func (f *fuzzer) double(t *rapid.T) {
	f.w.flight[f.index(t, func(m message) bool { return m.frame })].deliver()
}

// fail gives up on a call; the call may still arrive later.
func (f *fuzzer) fail(t *rapid.T) {
	i := f.index(t, func(m message) bool { return m.fail != nil })
	m := f.w.flight[i]
	if rapid.Bool().Draw(t, "lost") {
		f.w.take(i)
	} else {
		f.w.flight[i].fail = nil
	}
	m.fail()
}

// truncate cuts a frame short, which ends its link.
func (f *fuzzer) truncate(t *rapid.T) {
	m := f.w.take(f.index(t, func(m message) bool { return m.frame }))
	for _, n := range f.w.entries {
		for _, h := range f.w.agents {
			if m.pair == (pair{n.name, h.name}) {
				f.w.breakLink(n, h)
			}
		}
	}
}

// silence stops all frames between two ends, and breaks their link when it ends.
func (f *fuzzer) silence(t *rapid.T) {
	n, h := f.entry(t), f.agent(t)
	if f.w.silent[pair{n.name, h.name}] {
		f.endSilence(n, h)
		return
	}
	f.w.silent[pair{n.name, h.name}] = true
}

func (f *fuzzer) endSilence(n *node, h *host) {
	if p := (pair{n.name, h.name}); f.w.silent[p] {
		delete(f.w.silent, p)
		f.w.breakLink(n, h)
	}
}

func (f *fuzzer) deafen(t *rapid.T) {
	p := pair{f.entry(t).name, f.agent(t).name}
	if f.w.deaf[p] {
		delete(f.w.deaf, p)
		return
	}
	f.w.deaf[p] = true
}

// skewAgent sets an agent's clock up to two seconds off.
func (f *fuzzer) skewAgent(t *rapid.T) { f.agent(t).skew = f.skew(t) }

// skewEntry sets an entry's clock up to two seconds off.
func (f *fuzzer) skewEntry(t *rapid.T) { f.w.skewEntry(f.entry(t), f.skew(t)) }

func (f *fuzzer) skew(t *rapid.T) time.Duration {
	return time.Duration(f.pick(t, 4001)-2000) * time.Millisecond
}

// crashMinion ends all calls to a minion.
func (f *fuzzer) crashMinion(t *rapid.T) {
	var busy []*host
	for _, h := range f.w.agents {
		if len(h.calls) > 0 {
			busy = append(busy, h)
		}
	}
	if len(busy) == 0 {
		t.Skip("all minions are idle")
	}
	h := busy[f.pick(t, len(busy))]
	for _, call := range sortedCalls(h.calls) {
		delete(h.calls, call)
		f.w.toAgent(h, h.self, runner.MinionFailed{Task: call.task, Attempt: call.attempt, Reason: "crashed"})
	}
}

func (f *fuzzer) breakMinion(t *rapid.T) {
	h := f.agent(t)
	h.failing = !h.failing
}

// slowStore delays the claims of the next seconds.
func (f *fuzzer) slowStore(t *rapid.T) {
	f.w.slowUntil = f.w.now.Add(time.Duration(500+f.pick(t, 3000)) * time.Millisecond)
}

// loseReply has a claim's fate known only later, or never before its deadline.
func (f *fuzzer) loseReply(t *rapid.T) {
	i := f.index(t, func(m message) bool { return m.result })
	f.w.flight[i].at = f.w.now.Add(time.Duration(500+f.pick(t, 10000)) * time.Millisecond)
}

// cancelWave has every caller go away.
func (f *fuzzer) cancelWave(t *rapid.T) {
	open := f.waiting()
	if len(open) < 2 {
		t.Skip("nobody waits")
	}
	for _, ticket := range open {
		f.w.withdraw(ticket)
	}
}

// doomed submits a job to a pool that has no minion.
func (f *fuzzer) doomed(t *rapid.T) {
	n := f.entry(t)
	if n.paused {
		t.Skip("the entry is paused")
	}
	f.w.submit(n, []task.Key{"", "doomed"}[f.pick(t, 2)], 0, 2, route{pool: "empty"}, 2*time.Second)
}

// edit switches the pool of a key's route, or whether it is idempotent.
func (f *fuzzer) edit(t *rapid.T) {
	key := []task.Key{"c", "d"}[f.pick(t, 2)]
	r := f.routeOf(key)
	if key == "c" {
		r.pool = map[string]string{"desk": "annex", "annex": "desk"}[r.pool]
	} else {
		r.idempotent = !r.idempotent
	}
	f.w.routes[key] = r
}

func (f *fuzzer) drainAgent(t *rapid.T) {
	h := f.agent(t)
	if h.paused {
		t.Skip("the agent is paused")
	}
	f.w.drainAgent(h, rapid.Bool().Draw(t, "leave"))
}

func (f *fuzzer) drainEntry(t *rapid.T) {
	n := f.entry(t)
	if n.draining {
		t.Skip("the entry is draining")
	}
	n.draining = true
	f.w.toEntry(n, n.self, dispatcher.DrainRequested{})
}

func (f *fuzzer) linkLost(t *rapid.T) {
	n, h := f.entry(t), f.agent(t)
	f.w.breakLink(n, h)
}

func (f *fuzzer) crashEntry(t *rapid.T) { f.w.bootEntry(f.entry(t)) }

func (f *fuzzer) pauseEntry(t *rapid.T) {
	n := f.entry(t)
	if n.paused {
		f.w.resumeEntry(n)
		return
	}
	n.paused = true
}

func (f *fuzzer) crashAgent(t *rapid.T) { f.w.bootAgent(f.agent(t)) }

func (f *fuzzer) pauseAgent(t *rapid.T) {
	h := f.agent(t)
	if h.paused {
		f.w.resumeAgent(h)
		return
	}
	h.paused = true
}

func (f *fuzzer) hangMinion(t *rapid.T) {
	h := f.agent(t)
	h.hung = !h.hung
}

func (f *fuzzer) store(*rapid.T) { f.w.down = !f.w.down }
