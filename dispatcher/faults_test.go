package dispatcher_test

import (
	"time"

	"pgregory.net/rapid"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/runner"
)

// fault names a kind of failure or an operator's action.
type fault string

// faults lists the actions that inject a fault or simulate an operator.
func (f *fuzzer) faults() []action {
	return []action{
		{"deliver", 20, f.deliverOutOfOrder, "message crossed"},
		{"lose", 3, f.loseFrame, "message lost"},
		{"double", 4, f.duplicateFrame, "message doubled"},
		{"truncate", 2, f.truncateFrame, "message truncated"},
		{"fail", 4, f.failCall, "call failed"},
		{"link-lost", 3, f.breakLink, "link lost"},
		{"silence", 4, f.toggleSilence, "link silent"},
		{"deafen", 3, f.toggleAnnouncementLoss, "announcements lost"},
		{"crash-entry", 2, f.crashEntry, "entry crash"},
		{"pause-entry", 4, f.toggleEntryPause, "entry pause"},
		{"crash-agent", 2, f.crashAgent, "agent crash"},
		{"pause-agent", 4, f.toggleAgentPause, "agent pause"},
		{"skew-agent", 2, f.skewAgent, "agent clock skew"},
		{"skew-entry", 2, f.skewEntry, "entry clock skew"},
		{"crash-minion", 3, f.crashMinion, "minion crash"},
		{"hang-minion", 2, f.toggleMinionHang, "minion hang"},
		{"break-minion", 2, f.toggleMinionFailure, "minion fails all"},
		{"store", 3, f.toggleStoreOutage, "store down"},
		{"slow-store", 3, f.slowStore, "store slow"},
		{"lose-reply", 4, f.delayClaimResult, "store reply lost"},
		{"cancel-wave", 2, f.cancelAllCallers, "cancellation wave"},
		{"doomed", 2, f.submitToEmptyPool, "job that can't run"},
		{"edit", 2, f.editRoute, "config edit"},
		{"drain-agent", 4, f.drainAgent, "agent drain"},
		{"drain-entry", 2, f.drainEntry, "entry drain"},
	}
}

// activeFaults lists the lasting faults that are active now.
func (f *fuzzer) activeFaults() []fault {
	var list []fault
	add := func(name fault, active bool) {
		if active {
			list = append(list, name)
		}
	}
	w := f.w
	add("store down", w.storeDown)
	add("store slow", w.storeSlowUntil.After(w.now))
	add("announcements lost", len(w.lostAnnouncements) > 0)
	add("link silent", len(w.silentLinks) > 0)
	for _, entry := range w.entries {
		add("entry pause", entry.paused)
		add("entry drain", entry.draining)
		add("entry clock skew", entry.clockSkew != 0)
	}
	for _, agent := range w.agents {
		add("agent pause", agent.paused)
		add("agent drain", agent.leaving)
		add("agent clock skew", agent.clockSkew != 0)
		add("minion hang", agent.hung)
		add("minion fails all", agent.failing)
	}
	return list
}

// recordFault counts a fault and its pairs with the faults that were active
// within maxPairInterval. With an empty name it only updates the times of the
// active faults.
func (f *fuzzer) recordFault(name fault) {
	for _, active := range f.activeFaults() {
		f.lastActive[active] = f.w.now
	}
	if name == "" {
		return
	}
	for other, at := range f.lastActive {
		if other != name && f.w.now.Sub(at) <= maxPairInterval {
			f.coverage.pairs[pairOf(name, other)]++
		}
	}
	f.coverage.faults[name]++
	f.lastActive[name] = f.w.now
}

// deliverOutOfOrder delivers any message that can arrive now.
func (f *fuzzer) deliverOutOfOrder(t *rapid.T) {
	f.w.removeMessage(f.drawMessage(t, f.w.deliverable)).deliver()
}

// loseFrame drops a frame.
func (f *fuzzer) loseFrame(t *rapid.T) {
	f.w.removeMessage(f.drawMessage(t, func(m message) bool { return m.isFrame }))
}

// duplicateFrame delivers a frame and leaves it in flight.
func (f *fuzzer) duplicateFrame(t *rapid.T) {
	f.w.inFlight[f.drawMessage(t, func(m message) bool { return m.isFrame })].deliver()
}

// failCall makes a call fail for its caller; the call may still arrive later.
func (f *fuzzer) failCall(t *rapid.T) {
	i := f.drawMessage(t, func(m message) bool { return m.fail != nil })
	m := f.w.inFlight[i]
	if rapid.Bool().Draw(t, "lost") {
		f.w.removeMessage(i)
	} else {
		f.w.inFlight[i].fail = nil
	}
	m.fail()
}

// truncateFrame drops a frame and breaks its link, as a truncated frame does.
func (f *fuzzer) truncateFrame(t *rapid.T) {
	m := f.w.removeMessage(f.drawMessage(t, func(m message) bool { return m.isFrame }))
	for _, entry := range f.w.entries {
		for _, agent := range f.w.agents {
			if m.ends == (linkEnds{entry.name, agent.name}) {
				f.w.breakLink(entry, agent)
			}
		}
	}
}

// toggleSilence starts or ends the silence of a link, during which no frame
// arrives.
func (f *fuzzer) toggleSilence(t *rapid.T) {
	entry, agent := f.drawEntry(t), f.drawAgent(t)
	if f.w.silentLinks[linkEnds{entry.name, agent.name}] {
		f.endSilence(entry, agent)
		return
	}
	f.w.silentLinks[linkEnds{entry.name, agent.name}] = true
}

// endSilence ends the silence of a link and breaks the link.
func (f *fuzzer) endSilence(entry *simEntry, agent *simAgent) {
	if p := (linkEnds{entry.name, agent.name}); f.w.silentLinks[p] {
		delete(f.w.silentLinks, p)
		f.w.breakLink(entry, agent)
	}
}

// toggleAnnouncementLoss starts or ends the loss of all announcements from an
// agent to an entry.
func (f *fuzzer) toggleAnnouncementLoss(t *rapid.T) {
	p := linkEnds{f.drawEntry(t).name, f.drawAgent(t).name}
	if f.w.lostAnnouncements[p] {
		delete(f.w.lostAnnouncements, p)
		return
	}
	f.w.lostAnnouncements[p] = true
}

// skewAgent sets an agent's clock up to two seconds fast or slow.
func (f *fuzzer) skewAgent(t *rapid.T) { f.drawAgent(t).clockSkew = f.drawSkew(t) }

// skewEntry sets an entry's clock up to two seconds fast or slow.
func (f *fuzzer) skewEntry(t *rapid.T) { f.w.skewEntry(f.drawEntry(t), f.drawSkew(t)) }

// drawSkew draws a clock skew of at most two seconds.
func (f *fuzzer) drawSkew(t *rapid.T) time.Duration {
	return time.Duration(f.drawBelow(t, 4001)-2000) * time.Millisecond
}

// crashMinion fails all calls to a busy minion.
func (f *fuzzer) crashMinion(t *rapid.T) {
	var busy []*simAgent
	for _, agent := range f.w.agents {
		if len(agent.running) > 0 {
			busy = append(busy, agent)
		}
	}
	if len(busy) == 0 {
		t.Skip("all minions are idle")
	}
	agent := busy[f.drawBelow(t, len(busy))]
	for _, attempt := range sortedAttempts(agent.running) {
		delete(agent.running, attempt)
		f.w.stepAgent(agent, agent.self, runner.MinionFailed{Task: attempt.task, Attempt: attempt.attempt, Reason: "crashed"})
	}
}

// toggleMinionFailure makes a minion respond to everything with an error, or
// stops that.
func (f *fuzzer) toggleMinionFailure(t *rapid.T) {
	agent := f.drawAgent(t)
	agent.failing = !agent.failing
}

// slowStore delays the claims that are sent in the next 0.5 to 3.5 s until the
// end of that time.
func (f *fuzzer) slowStore(t *rapid.T) {
	f.w.storeSlowUntil = f.w.now.Add(time.Duration(500+f.drawBelow(t, 3000)) * time.Millisecond)
}

// delayClaimResult delays the store's reply to a claim by 0.5 to 10.5 s,
// possibly beyond the deadline of the claim.
func (f *fuzzer) delayClaimResult(t *rapid.T) {
	i := f.drawMessage(t, func(m message) bool { return m.claimResult })
	f.w.inFlight[i].notBefore = f.w.now.Add(time.Duration(500+f.drawBelow(t, 10000)) * time.Millisecond)
}

// cancelAllCallers makes every waiting caller cancel.
func (f *fuzzer) cancelAllCallers(t *rapid.T) {
	tickets := f.waitingCallers()
	if len(tickets) < 2 {
		t.Skip("fewer than two callers wait")
	}
	for _, ticket := range tickets {
		f.w.cancelWait(ticket)
	}
}

// submitToEmptyPool submits a job to a pool without minions.
func (f *fuzzer) submitToEmptyPool(t *rapid.T) {
	entry := f.drawEntry(t)
	if entry.paused {
		t.Skip("the entry is paused")
	}
	f.w.submit(entry, []task.Key{"", "doomed"}[f.drawBelow(t, 2)], 0, 2, route{pool: "empty"}, 2*time.Second)
}

// editRoute changes the pool of a key's route, or whether the route is
// idempotent.
func (f *fuzzer) editRoute(t *rapid.T) {
	key := []task.Key{"c", "d"}[f.drawBelow(t, 2)]
	r := f.routeOf(key)
	if key == "c" {
		r.pool = map[string]string{"desk": "annex", "annex": "desk"}[r.pool]
	} else {
		r.idempotent = !r.idempotent
	}
	f.w.routes[key] = r
}

// drainAgent starts or ends the drain of an agent.
func (f *fuzzer) drainAgent(t *rapid.T) {
	agent := f.drawAgent(t)
	if agent.paused {
		t.Skip("the agent is paused")
	}
	f.w.drainAgent(agent, rapid.Bool().Draw(t, "leave"))
}

// drainEntry starts the drain of an entry.
func (f *fuzzer) drainEntry(t *rapid.T) {
	entry := f.drawEntry(t)
	if entry.draining {
		t.Skip("the entry is draining")
	}
	entry.draining = true
	f.w.stepEntry(entry, entry.self, dispatcher.DrainRequested{})
}

// breakLink breaks the link between an entry and an agent.
func (f *fuzzer) breakLink(t *rapid.T) {
	entry, agent := f.drawEntry(t), f.drawAgent(t)
	f.w.breakLink(entry, agent)
}

// crashEntry restarts an entry without its state.
func (f *fuzzer) crashEntry(t *rapid.T) { f.w.startEntry(f.drawEntry(t)) }

// toggleEntryPause pauses or resumes an entry.
func (f *fuzzer) toggleEntryPause(t *rapid.T) {
	entry := f.drawEntry(t)
	if entry.paused {
		f.w.resumeEntry(entry)
		return
	}
	entry.paused = true
}

// crashAgent restarts an agent without its state.
func (f *fuzzer) crashAgent(t *rapid.T) { f.w.startAgent(f.drawAgent(t)) }

// toggleAgentPause pauses or resumes an agent.
func (f *fuzzer) toggleAgentPause(t *rapid.T) {
	agent := f.drawAgent(t)
	if agent.paused {
		f.w.resumeAgent(agent)
		return
	}
	agent.paused = true
}

// toggleMinionHang makes a minion accept tasks and never respond, or stops
// that.
func (f *fuzzer) toggleMinionHang(t *rapid.T) {
	agent := f.drawAgent(t)
	agent.hung = !agent.hung
}

// toggleStoreOutage starts or ends an outage of the store.
func (f *fuzzer) toggleStoreOutage(*rapid.T) { f.w.storeDown = !f.w.storeDown }
