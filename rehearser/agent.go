package rehearser

import (
	"fmt"
	"math"
	"time"

	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/scheduler"
	"agatevalve/supervisor"
)

const (
	// lateFrom and lateTo bound when an order without an answer is carried out.
	lateFrom = 2 * time.Second
	lateTo   = 12 * time.Second
	// orderPatience is when the client of the minion gives up on an answer.
	orderPatience = 120 * time.Millisecond
)

func newAgentNode(w *world, index int) *agentNode {
	a := &agentNode{index: index}
	a.w, a.run = w, a.stepCore
	a.bear()
	return a
}

// bear starts a new life of the minion.
func (a *agentNode) bear() {
	if a.minion != nil {
		a.minion.Crash(a.w.now)
	}
	a.life++
	name := fmt.Sprintf("minion-%02d-%d", a.index, a.life)
	a.minion = emulator.NewLeasedMinion(emulator.LeasedOptions{
		Minion: work.Minion{Name: name, Incarnation: uint64(a.life), Service: service, Room: a.w.day.Room, Labels: a.labels()},
		Pace:   a.w.day.Paces[a.index], LongestLease: longestLease, EndlessLeases: a.w.day.EndlessLeases, Unguarded: a.w.day.Unguarded,
		Truth: a.w.truth,
		Started: func(run work.Run, at time.Time) {
			a.w.judge.started(name, run, at)
			a.w.judge.starters[run] = starter{agent: a, life: a.incarnation}
			a.ended()
		},
		Stopped: func(run work.Run, state work.State, at time.Time) {
			a.w.judge.stopped(name, run, state, at)
			a.ended()
		},
		Noted: a.w.judge.noted,
	}, a.w.now)
}

// labels are those of the minion beside the agent.
func (a *agentNode) labels() []string {
	if len(a.w.day.Labels) == 0 {
		return nil
	}
	return a.w.day.Labels[a.index%len(a.w.day.Labels)]
}

// boot starts the agent process.
func (a *agentNode) boot() {
	a.begin()
	a.links = make(map[string]*link)
	o := supervisor.Options{}
	if a.w.day.Policy != Product {
		o.QueuedShare = math.MaxInt32
	}
	a.core = supervisor.New(o)
	life := a.incarnation
	a.tick(life)
	a.describe(life)
	for _, e := range a.w.entries {
		a.relink(e)
	}
}

// describe brings the minion's status reports.
func (a *agentNode) describe(life uint64) {
	if a.incarnation != life || a.down {
		return
	}
	if !a.w.now.Before(a.dead) {
		a.tell(supervisor.MinionDescribed{Minion: a.minion.Describe()})
	}
	a.w.after(reportEvery, func() { a.describe(life) })
}

func (a *agentNode) stepCore(events []supervisor.Event) {
	commands := a.core.Step(a.w.now, events)
	a.w.judge.stepped(len(events), len(commands))
	for _, command := range commands {
		a.carryOut(command)
	}
}

// relink opens a link to an entry after a while, if there is none.
func (a *agentNode) relink(e *entryNode) {
	life := a.incarnation
	a.w.after(relinkAfter, func() {
		if a.incarnation != life || a.down {
			return
		}
		if e.down || a.w.now.Before(e.frozen) || a.w.now.Before(a.frozen) || a.w.isCut(e, a) {
			a.relink(e)
			return
		}
		if a.links[e.name()] != nil {
			return
		}
		a.w.ordered++
		k := &link{number: uint64(a.w.ordered), entry: e, entryLife: e.incarnation, agent: a, agentLife: life}
		e.links[k.number], a.links[e.name()] = k, k
		a.tell(supervisor.LinkOpened{Entry: e.name(), Link: k.number})
		k.ping()
	})
}

func (a *agentNode) carryOut(command supervisor.Command) {
	a.w.trace("agent-%02d: %T %+v", a.index, command, command)
	switch c := command.(type) {
	case supervisor.ReportSnapshot:
		a.send(c.Entry, func(k *link) scheduler.Event {
			return scheduler.LinkOpened{
				Agent: k.agentKey(), Link: k.number, Reports: c.Reports, Minion: c.Minion, Usable: c.Usable, Leaving: c.Leaving, Load: c.Load,
			}
		})
	case supervisor.ReportRun:
		a.send(c.Entry, func(k *link) scheduler.Event {
			return scheduler.Reported{Agent: k.agentKey(), Link: k.number, Reports: []work.Report{c.Report}}
		})
	case supervisor.ReportLoad:
		a.send(c.Entry, func(k *link) scheduler.Event {
			return scheduler.Reported{Agent: k.agentKey(), Link: k.number, Load: &c.Load, OrdersTaken: c.OrdersReceived}
		})
	case supervisor.ReportMinion:
		a.send(c.Entry, func(k *link) scheduler.Event {
			return scheduler.Reported{Agent: k.agentKey(), Link: k.number, Minion: &c.Minion, Usable: c.Usable, Leaving: c.Leaving}
		})
	case supervisor.CutLink:
		for _, k := range a.links {
			if k.number == c.Link {
				k.close(false)
				return
			}
		}
	case supervisor.StartRun:
		a.startRun(c)
	case supervisor.StopRun:
		a.stopRun(c)
	case supervisor.RenewLease:
		a.holdLease(c)
	}
}

func (a *agentNode) send(entry string, event func(*link) scheduler.Event) {
	k := a.links[entry]
	if k == nil {
		return
	}
	ev := event(k)
	a.w.judge.res.Frames++
	a.w.after(linkDelay, func() {
		if !k.cut && !k.closed && k.entry.incarnation == k.entryLife {
			k.entry.tell(ev)
		}
	})
}

// order carries an order to the minion and its answer back, or loses either.
func (a *agentNode) order(patience time.Duration, carryOut func(m *emulator.LeasedMinion) supervisor.Event, unanswered supervisor.Event) {
	life, minion := a.incarnation, a.minion
	answer := func(ev supervisor.Event) {
		if a.incarnation == life {
			a.tell(ev)
		}
	}
	if a.w.random.Float64() < a.w.day.LostAnswers {
		late := lateFrom + time.Duration(a.w.random.Int64N(int64(lateTo-lateFrom)))
		a.w.after(late, func() {
			if a.minion == minion {
				carryOut(minion)
			}
		})
		a.w.after(patience, func() { answer(unanswered) })
		return
	}
	if a.w.now.Before(a.unreachable) || a.w.now.Before(a.dead) {
		a.w.after(patience, func() { answer(unanswered) })
		return
	}
	a.w.after(orderDelay, func() {
		if a.minion != minion || a.w.now.Before(a.dead) {
			answer(unanswered)
			return
		}
		if ev := carryOut(minion); ev != nil {
			a.w.after(orderDelay, func() { answer(ev) })
		}
	})
}

func (a *agentNode) startRun(c supervisor.StartRun) {
	a.order(orderPatience, func(m *emulator.LeasedMinion) supervisor.Event {
		answer := supervisor.StartOtherIncarnation
		if m.Describe().Name == c.Minion {
			answer = m.Start(a.w.now, c)
		}
		return supervisor.StartAnswered{Run: c.Run, Incarnation: c.Incarnation, Answer: answer, Clock: m.Clock(a.w.now)}
	}, supervisor.StartAnswered{Run: c.Run, Incarnation: c.Incarnation, Answer: supervisor.StartUnanswered})
}

func (a *agentNode) stopRun(c supervisor.StopRun) {
	a.order(orderPatience, func(m *emulator.LeasedMinion) supervisor.Event {
		m.Stop(a.w.now, c.Run)
		return supervisor.StopAnswered{Run: c.Run, Answered: true, Clock: m.Clock(a.w.now)}
	}, supervisor.StopAnswered{Run: c.Run})
}

// holdLease asks for a list, which the minion holds back until a run ends or
// the wait is over.
func (a *agentNode) holdLease(c supervisor.RenewLease) {
	asked, life, minion := a.w.now, a.incarnation, a.minion
	list := func(m *emulator.LeasedMinion) supervisor.Event {
		running, ended := m.Hold(a.w.now, c)
		return supervisor.RunsListed{
			ListOnly: c.ListOnly, Incarnation: uint64(a.life), RequestedAt: asked, Clock: m.Clock(a.w.now), Running: running, Ended: ended,
		}
	}
	a.order(c.Wait+c.AnswerTimeout, func(m *emulator.LeasedMinion) supervisor.Event {
		ev := list(m)
		if listed := ev.(supervisor.RunsListed); len(listed.Ended) > 0 || c.Wait == 0 {
			return ev
		}
		released := false
		release := func() {
			if released || a.incarnation != life || a.minion != minion {
				return
			}
			released = true
			ev := list(m)
			a.w.after(orderDelay, func() {
				if a.incarnation == life {
					a.tell(ev)
				}
			})
		}
		a.heldBack = release
		a.w.after(c.Wait, release)
		return nil
	}, supervisor.RenewalFailed{ListOnly: c.ListOnly})
}

// watch lets the minion's runs end when they are due. Only the latest watch
// counts, and goes on after a lease that was extended meanwhile.
func (a *agentNode) watch() {
	a.watches++
	minion, latest := a.minion, a.watches
	next, some := minion.NextEnd()
	if !some {
		return
	}
	a.w.after(max(next.Sub(a.w.now), 0), func() {
		if a.minion == minion && a.watches == latest {
			minion.Advance(a.w.now)
			a.watch()
		}
	})
}

// ended releases the list that the minion holds back, and watches the next end.
func (a *agentNode) ended() {
	a.w.after(0, func() {
		if release := a.heldBack; release != nil {
			a.heldBack = nil
			release()
		}
		a.watch()
	})
}
