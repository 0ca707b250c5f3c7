package dispatcher_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/linker"
)

// desk is a route for requests that may run once only.
var desk = route{pool: "desk"}

// deliverAll delivers every message until none is left that can arrive.
func (w *world) deliverAll() {
	f := &fuzzer{w: w}
	for f.deliverFirst() {
	}
}

// broken lists the promises that the oracle found broken.
func (w *world) broken() []promise {
	var list []promise
	for _, v := range w.oracle.violations {
		if len(list) == 0 || list[len(list)-1] != v.promise {
			list = append(list, v.promise)
		}
	}
	return list
}

// TestOracleCatchesPlantedFaults breaks each promise at a port, and expects a
// violation of that promise and of no other. Without the fault the same steps
// break none.
func TestOracleCatchesPlantedFaults(t *testing.T) {
	tests := []struct {
		promise promise
		plant   ports
		agents  int
		steps   func(w *world)
	}{
		{startsOnce, ports{grantTwice: true}, 3, submitTwice},
		{wholeOrNone, ports{reply: truncate}, 3, submitPair},
		{ownAnswer, ports{request: crossed}, 3, submitPair},
		{notRunIsTrue, ports{event: denyRun}, 1, refuseWhatRan},
		{runsOnce, ports{spread: true}, 3, submitKeyless},
		{leavesAlone, ports{deafToDrain: true}, 1, submitAfterDrain},
		{leavesAlone, ports{cheerful: true}, 1, submitLongAfterDrain},
		{leavesAlone, ports{unaware: true}, 1, submitUnheard},
		{cutsNothing, ports{hasty: true}, 1, stopEntryAtWork},
		{cutsNothing, ports{hasty: true}, 1, stopAgentAtWork},
	}
	for _, tt := range tests {
		t.Run(string(tt.promise), func(t *testing.T) {
			is := is.New(t)
			honest := newWorld(1, 2, tt.agents)
			tt.steps(honest)
			is.Equal(honest.broken(), nil)
			w := newWorld(1, 2, tt.agents)
			w.ports = tt.plant
			tt.steps(w)
			is.Equal(w.broken(), []promise{tt.promise})
		})
	}
}

// submitTwice sends a keyed job through both entries. The agent that ran it
// first leaves in between, since it would know the job again.
func submitTwice(w *world) {
	w.submit(w.entries[0], "a", 0, 1, desk, time.Second)
	w.deliverAll()
	for _, started := range w.oracle.starts {
		w.drainAgent(w.host(started[0].agent), true)
	}
	w.announceAll()
	w.submit(w.entries[1], "a", 0, 1, desk, time.Second)
	w.deliverAll()
}

func submitPair(w *world) {
	w.submit(w.entries[0], "", 0, 2, desk, time.Second)
	w.deliverAll()
}

// truncate drops the last response of an answer.
func truncate(r dispatcher.Reply) dispatcher.Reply {
	if n := len(r.Answer.Responses); n > 0 {
		r.Answer.Responses = r.Answer.Responses[:n-1]
	}
	return r
}

// crossed has every task answered as if it were the first of its job.
func crossed(s task.Start) task.Request {
	r := s.Request
	r.Body = append([]byte{}, r.Body...)
	r.Body[len(r.Body)-1] = '0'
	return r
}

// denyRun turns the word that a task has ended into a refusal.
func denyRun(e dispatcher.Event) dispatcher.Event {
	ended, ok := e.(dispatcher.Ended)
	if !ok {
		return e
	}
	return dispatcher.Refused{Agent: ended.Agent, Report: task.Report{
		Task: ended.Report.Task, Attempt: ended.Report.Attempt, State: task.Unstarted, Refusal: task.Withdrawn,
	}}
}

// refuseWhatRan has the only agent leave while it runs a task, so that nothing
// can be sent again.
func refuseWhatRan(w *world) {
	w.submit(w.entries[0], "", 0, 1, desk, 5*time.Second)
	f := &fuzzer{w: w}
	for len(w.oracle.starts) == 0 && f.deliverFirst() {
	}
	w.drainAgent(w.agents[0], true)
	w.announceAll()
	w.deliverAll()
	w.advance(w.now.Add(6 * time.Second))
}

func submitKeyless(w *world) {
	w.submit(w.entries[0], "", 0, 1, desk, time.Second)
	w.deliverAll()
}

func submitAfterDrain(w *world) {
	w.drainAgent(w.agents[0], true)
	w.submit(w.entries[0], "", 0, 1, desk, time.Second)
	w.deliverAll()
}

// submitLongAfterDrain sends a request when the entries can't but know.
func submitLongAfterDrain(w *world) {
	w.drainAgent(w.agents[0], true)
	w.advance(w.now.Add(leaveWithin + time.Second))
	w.submit(w.entries[0], "", 0, 1, desk, time.Second)
	w.deliverAll()
}

// submitUnheard sends a request to an agent that left in silence.
func submitUnheard(w *world) {
	w.mute(w.entries[0], w.agents[0])
	w.drainAgent(w.agents[0], true)
	w.advance(w.now.Add(leaveWithin + time.Second))
	w.submit(w.entries[0], "", 0, 1, desk, time.Second)
}

// mute keeps all frames and announcements of an agent from an entry.
func (w *world) mute(n *node, h *host) {
	p := pair{n.name, h.name}
	w.deaf[p], w.silent[p] = true, true
}

func stopEntryAtWork(w *world) {
	n := w.entries[0]
	w.submit(n, "", 0, 1, desk, time.Second)
	n.draining = true
	w.toEntry(n, n.self, dispatcher.DrainRequested{})
	w.stopEntry(n)
	w.deliverAll()
}

func stopAgentAtWork(w *world) {
	w.agents[0].hung = true
	w.submit(w.entries[0], "", 0, 1, desk, time.Second)
	w.deliverAll()
	w.drainAgent(w.agents[0], true)
	w.stopAgent(w.agents[0])
}

// TestLeavingAgentIsForgottenUnheard has an agent leave whose announcements and
// frames are lost.
func TestLeavingAgentIsForgottenUnheard(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1, 1)
	n, h := w.entries[0], w.agents[0]
	w.mute(n, h)
	w.drainAgent(h, true)
	w.advance(w.now.Add(leaveWithin))
	w.submit(n, "", 0, 1, desk, time.Second)
	is.Equal(w.startsInFlight(), 0)
	is.Equal(w.broken(), nil)
}

// TestBusyLinkTellsOfLeavingWithinASecond has an agent leave unheard as above,
// with the shipped times. One start that is lost is enough to end the link.
func TestBusyLinkTellsOfLeavingWithinASecond(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 1, 1)
	n, h := w.entries[0], w.agents[0]
	n.link(h.self).idlePing = linker.DefaultIdlePingAfter
	w.mute(n, h)
	w.drainAgent(h, true)
	w.advance(w.now.Add(linker.DefaultIdlePingAfter - time.Second))
	w.submit(n, "", 0, 1, desk, 10*time.Second)
	is.Equal(w.startsInFlight(), 1)
	w.advance(w.now.Add(linker.DefaultPingAfter + linker.DefaultProbeTimeout))
	w.submit(n, "", 0, 1, desk, 10*time.Second)
	is.Equal(w.startsInFlight(), 1)
}

func (w *world) startsInFlight() int {
	count := 0
	for _, m := range w.flight {
		if m.text == "start" {
			count++
		}
	}
	return count
}
