package dispatcher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/linker"
)

// deskRoute is a non-idempotent route to the pool "desk".
var deskRoute = route{pool: "desk"}

// deliverAll delivers messages until none is left that can arrive now.
func (w *world) deliverAll() {
	f := &fuzzer{w: w}
	for f.deliverNext() {
	}
}

// violatedPromises lists the promises whose violations the oracle found, in
// order; successive violations of the same promise count once.
func (w *world) violatedPromises() []promise {
	var list []promise
	for _, v := range w.oracle.violations {
		if len(list) == 0 || list[len(list)-1] != v.promise {
			list = append(list, v.promise)
		}
	}
	return list
}

// TestOracleDetectsInjectedFaults injects a fault against each promise and
// expects that the oracle reports violations of that promise and of no other.
// Without the fault the same scenario must not break any.
func TestOracleDetectsInjectedFaults(t *testing.T) {
	tests := []struct {
		promise  promise
		injected faultInjection
		agents   int
		scenario func(w *world)
	}{
		{startsOnce, faultInjection{grantEveryClaim: true}, 3, submitAtBothEntries},
		{completeOrFailed, faultInjection{changeReply: dropLastResponse}, 3, submitTwoTasks},
		{ownAnswer, faultInjection{changeRequest: answerAsFirstTask}, 3, submitTwoTasks},
		{notRunIsTrue, faultInjection{changeEvent: reportRefused}, 1, drainDuringRun},
		{runsOnce, faultInjection{startEverywhere: true}, 3, submitKeyless},
		{noWorkWhileLeaving, faultInjection{ignoreDrain: true}, 1, submitAfterDrain},
		{noWorkWhileLeaving, faultInjection{hideLeaving: true}, 1, submitLongAfterDrain},
		{noWorkWhileLeaving, faultInjection{hideLinkLoss: true}, 1, submitAfterSilentDrain},
		{stopInterruptsNothing, faultInjection{stopAtOnce: true}, 1, stopBusyEntry},
		{stopInterruptsNothing, faultInjection{stopAtOnce: true}, 1, stopBusyAgent},
	}
	for _, tt := range tests {
		t.Run(string(tt.promise), func(t *testing.T) {
			is := is.New(t)
			correct := newWorld(1, 2, tt.agents)
			tt.scenario(correct)
			is.Equal(correct.violatedPromises(), nil)
			w := newWorld(1, 2, tt.agents)
			w.injected = tt.injected
			tt.scenario(w)
			is.Equal(w.violatedPromises(), []promise{tt.promise})
		})
	}
}

// submitAtBothEntries submits a keyed job through both entries. The agent that
// ran it first is drained in between, since it would recognise the job.
func submitAtBothEntries(w *world) {
	w.submit(w.entries[0], "a", 0, 1, deskRoute, time.Second)
	w.deliverAll()
	for _, started := range w.oracle.starts {
		w.drainAgent(w.agentOf(started[0].agent), true)
	}
	w.announceAll()
	w.submit(w.entries[1], "a", 0, 1, deskRoute, time.Second)
	w.deliverAll()
}

// submitTwoTasks submits a job of two tasks.
func submitTwoTasks(w *world) {
	w.submit(w.entries[0], "", 0, 2, deskRoute, time.Second)
	w.deliverAll()
}

// dropLastResponse drops the last response of an answer.
func dropLastResponse(r dispatcher.Reply) dispatcher.Reply {
	if n := len(r.Answer.Responses); n > 0 {
		r.Answer.Responses = r.Answer.Responses[:n-1]
	}
	return r
}

// answerAsFirstTask makes minions answer every task as if it were the first of
// its job.
func answerAsFirstTask(s task.Start) task.Request {
	r := s.Request
	r.Body = append([]byte{}, r.Body...)
	r.Body[len(r.Body)-1] = '0'
	return r
}

// reportRefused turns the final report of a task into a refusal.
func reportRefused(e dispatcher.Event) dispatcher.Event {
	ended, ok := e.(dispatcher.Ended)
	if !ok {
		return e
	}
	return dispatcher.Refused{Agent: ended.Agent, Report: task.Report{
		Task: ended.Report.Task, Attempt: ended.Report.Attempt, State: task.Unstarted, Refusal: task.Withdrawn,
	}}
}

// drainDuringRun drains the only agent while it runs a task. The task can then
// not be sent again.
func drainDuringRun(w *world) {
	w.submit(w.entries[0], "", 0, 1, deskRoute, 5*time.Second)
	f := &fuzzer{w: w}
	for len(w.oracle.starts) == 0 && f.deliverNext() {
	}
	w.drainAgent(w.agents[0], true)
	w.announceAll()
	w.deliverAll()
	w.advance(w.now.Add(6 * time.Second))
}

// submitKeyless submits a keyless job of one task.
func submitKeyless(w *world) {
	w.submit(w.entries[0], "", 0, 1, deskRoute, time.Second)
	w.deliverAll()
}

// submitAfterDrain submits a job right after the only agent's drain.
func submitAfterDrain(w *world) {
	w.drainAgent(w.agents[0], true)
	w.submit(w.entries[0], "", 0, 1, deskRoute, time.Second)
	w.deliverAll()
}

// submitLongAfterDrain submits a job when the entries must have noticed the
// drain.
func submitLongAfterDrain(w *world) {
	w.drainAgent(w.agents[0], true)
	w.advance(w.now.Add(maxLeaveDelay + time.Second))
	w.submit(w.entries[0], "", 0, 1, deskRoute, time.Second)
	w.deliverAll()
}

// submitAfterSilentDrain submits a job long after the drain of an agent that
// the entry can't reach.
func submitAfterSilentDrain(w *world) {
	w.disconnect(w.entries[0], w.agents[0])
	w.drainAgent(w.agents[0], true)
	w.advance(w.now.Add(maxLeaveDelay + time.Second))
	w.submit(w.entries[0], "", 0, 1, deskRoute, time.Second)
}

// disconnect stops all frames and announcements between an entry and an agent.
func (w *world) disconnect(entry *simEntry, agent *simAgent) {
	p := linkEnds{entry.name, agent.name}
	w.lostAnnouncements[p], w.silentLinks[p] = true, true
}

// stopBusyEntry stops an entry whose caller waits.
func stopBusyEntry(w *world) {
	entry := w.entries[0]
	w.submit(entry, "", 0, 1, deskRoute, time.Second)
	entry.draining = true
	w.stepEntry(entry, entry.self, dispatcher.DrainRequested{})
	w.stopEntry(entry)
	w.deliverAll()
}

// stopBusyAgent stops an agent whose minion runs a task.
func stopBusyAgent(w *world) {
	w.agents[0].hung = true
	w.submit(w.entries[0], "", 0, 1, deskRoute, time.Second)
	w.deliverAll()
	w.drainAgent(w.agents[0], true)
	w.stopAgent(w.agents[0])
}

// TestUnreachableLeavingAgentGetsNoStarts drains an agent whose announcements
// and frames are lost.
func TestUnreachableLeavingAgentGetsNoStarts(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1, 1)
	entry, agent := w.entries[0], w.agents[0]
	w.disconnect(entry, agent)
	w.drainAgent(agent, true)
	w.advance(w.now.Add(maxLeaveDelay))
	w.submit(entry, "", 0, 1, deskRoute, time.Second)
	is.Equal(w.startsInFlight(), 0)
	is.Equal(w.violatedPromises(), nil)
}

// TestBusyLinkDetectsSilenceWithinASecond drains an unreachable agent as above,
// with linker's default idle ping interval. One lost start is enough to close
// the link.
func TestBusyLinkDetectsSilenceWithinASecond(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1, 1)
	entry, agent := w.entries[0], w.agents[0]
	entry.link(agent.self).idlePingInterval = linker.DefaultIdlePingAfter
	w.disconnect(entry, agent)
	w.drainAgent(agent, true)
	w.advance(w.now.Add(linker.DefaultIdlePingAfter - time.Second))
	w.submit(entry, "", 0, 1, deskRoute, 10*time.Second)
	is.Equal(w.startsInFlight(), 1)
	w.advance(w.now.Add(linker.DefaultPingAfter + linker.DefaultProbeTimeout))
	w.submit(entry, "", 0, 1, deskRoute, 10*time.Second)
	is.Equal(w.startsInFlight(), 1)
}

// startsInFlight counts the starts in flight.
func (w *world) startsInFlight() int {
	count := 0
	for _, m := range w.inFlight {
		if m.kind == "start" {
			count++
		}
	}
	return count
}
