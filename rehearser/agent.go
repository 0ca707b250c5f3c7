package rehearser

import (
	"fmt"
	"math"
	"time"

	"agatevalve/common/work"
	"agatevalve/scheduler"
	"agatevalve/supervisor"
)

// maxLateReports is the largest number of newer status reports that a late one
// arrives after.
const maxLateReports = 4

// newAgentNode returns an agent whose minion has started; the agent itself is
// started by startProcess.
func newAgentNode(w *world, index int) *agentNode {
	a := &agentNode{index: index, minionNames: 1}
	a.world, a.process = w, a.stepCore
	a.startMinion()
	return a
}

// startProcess starts a new incarnation of the agent process.
func (a *agentNode) startProcess() {
	a.beginIncarnation()
	a.links = make(map[string]*link)
	o := supervisor.Options{FencingToken: a.timeOfDay().UnixMicro()}
	if a.world.day.Policy != Agatevalve {
		o.QueuedShare = math.MaxInt32
	}
	a.core = supervisor.New(o)
	incarnation := a.incarnation
	a.stepPeriodically(incarnation)
	a.reportStatus(incarnation)
	a.linking = newLinking(fmt.Sprintf("agent-%02d", a.index), a.world.day.LinksPerAgent)
	a.linkPeriodically(incarnation)
}

// timeOfDay returns the time of day as the agent process reads it at its start.
func (a *agentNode) timeOfDay() time.Time {
	limit := int64(a.world.day.MaxClockStep)
	if limit == 0 {
		return a.world.now
	}
	return a.world.now.Add(time.Duration(a.world.random.Int64N(2*limit) - limit))
}

// reportStatus delivers the minion's status reports to the core at a fixed
// interval.
func (a *agentNode) reportStatus(incarnation uint64) {
	if a.incarnation != incarnation || a.down {
		return
	}
	if !a.world.now.Before(laterOf(a.crashedUntil, a.minionFrozenUntil)) {
		a.sendStatus()
	}
	a.world.after(statusInterval, func() { a.reportStatus(incarnation) })
}

// sendStatus delivers a status report of the minion, at once or late.
func (a *agentNode) sendStatus() {
	a.lastReport++
	description := a.minion.Describe()
	description.Sequence = a.lastReport
	incarnation := a.incarnation
	deliver := func() {
		if a.incarnation == incarnation && !a.down {
			a.world.verifier.statusDelivered(a, description)
			a.deliver(supervisor.MinionDescribed{Minion: description})
		}
	}
	if a.world.day.LateReportShare == 0 || a.world.random.Float64() >= a.world.day.LateReportShare {
		deliver()
		return
	}
	a.world.after(time.Duration(1+a.world.random.IntN(maxLateReports))*statusInterval+statusInterval/2, deliver)
}

// stepCore steps the core and executes its commands.
func (a *agentNode) stepCore(events []supervisor.Event) {
	commands := a.core.Step(a.now(), events)
	a.world.verifier.countStep(len(events), len(commands))
	for _, command := range commands {
		a.execute(command)
	}
}

// reconnect opens a link to an entry after a delay, unless there is one. It
// retries until both processes are up and can reach each other, or the entry is
// not wanted any more.
func (a *agentNode) reconnect(e *entryNode) {
	incarnation := a.incarnation
	a.world.after(reconnectDelay, func() {
		if _, wanted := a.linking.connectingSince[e.index]; !wanted || a.incarnation != incarnation || a.down {
			return
		}
		if e.down || a.world.now.Before(e.frozenUntil) || a.world.now.Before(a.frozenUntil) || a.world.isPartitioned(e, a) {
			a.reconnect(e)
			return
		}
		if a.links[e.name()] != nil {
			return
		}
		a.world.lastSequence++
		k := &link{number: uint64(a.world.lastSequence), entry: e, entryIncarnation: e.incarnation, agent: a, agentIncarnation: incarnation}
		e.links[k.number], a.links[e.name()] = k, k
		delete(a.linking.connectingSince, e.index)
		a.linking.retiring[e.index] = false
		a.deliver(supervisor.LinkOpened{Entry: e.name(), Link: k.number})
		k.ping()
	})
}

// execute executes a command of the core.
func (a *agentNode) execute(command supervisor.Command) {
	a.world.trace("agent-%02d: %T %+v", a.index, command, command)
	switch c := command.(type) {
	case supervisor.ReportSnapshot:
		a.send(c.Entry, func(k *link) scheduler.Event {
			return scheduler.LinkOpened{
				Agent: k.agentID(), Link: k.number, Reports: c.Reports, Minion: c.Minion, Usable: c.Usable, Leaving: c.Leaving, Load: c.Load,
				Crashes: c.Crashes, Zones: c.Zones,
			}
		})
	case supervisor.ReportRun:
		a.send(c.Entry, func(k *link) scheduler.Event {
			return scheduler.Reported{Agent: k.agentID(), Link: k.number, Reports: []work.Report{c.Report}}
		})
	case supervisor.ReportCrash:
		a.send(c.Entry, func(k *link) scheduler.Event {
			return scheduler.Reported{Agent: k.agentID(), Link: k.number, Crashes: []work.Crash{c.Crash}}
		})
	case supervisor.ReportZones:
		a.send(c.Entry, func(k *link) scheduler.Event {
			return scheduler.Reported{Agent: k.agentID(), Link: k.number, Zones: c.Zones}
		})
	case supervisor.ReportLoad:
		a.send(c.Entry, func(k *link) scheduler.Event {
			return scheduler.Reported{Agent: k.agentID(), Link: k.number, Load: &c.Load, OrdersTaken: c.OrdersReceived}
		})
	case supervisor.ReportMinion:
		a.send(c.Entry, func(k *link) scheduler.Event {
			return scheduler.Reported{Agent: k.agentID(), Link: k.number, Minion: &c.Minion, Usable: c.Usable, Leaving: c.Leaving}
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
		a.renewLease(c)
	}
}

// send sends an event to an entry, unless there is no link. The event is lost
// if the link breaks meanwhile.
func (a *agentNode) send(entry string, event func(*link) scheduler.Event) {
	k := a.links[entry]
	if k == nil {
		return
	}
	ev := event(k)
	a.world.verifier.result.Frames++
	a.world.after(linkDelay, func() {
		if !k.partitioned && !k.closed && k.entry.incarnation == k.entryIncarnation {
			k.entry.deliver(ev)
		}
	})
}
