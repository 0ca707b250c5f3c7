package attendant

import (
	"context"
	"time"

	"agatevalve/common/task"
	"agatevalve/runner"
)

// maxBatch caps the inputs that are handled between two checks of the core's
// timer.
const maxBatch = 256

// coreLoop is the goroutine that owns the core.
type coreLoop struct {
	attendant *Attendant
	core      *runner.Core
	// links holds the open link of each entry.
	links map[task.Process]*link
	// cancels holds the cancel functions of the calls to the minion.
	cancels map[attempt]context.CancelFunc
	// quietSince is the time of the last start or drain request, from which the
	// quiet period counts.
	quietSince time.Time
	// drained is true once Attendant.drained is closed.
	drained bool
}

// attempt identifies one attempt of a task.
type attempt struct {
	task   task.ID
	number task.Attempt
}

// minionCall is a task that is ready to be sent to the minion.
type minionCall struct {
	ctx   context.Context
	start task.Start
}

func newCoreLoop(a *Attendant) *coreLoop {
	return &coreLoop{
		attendant: a,
		core: runner.New(runner.Options{
			Slots:         a.options.Settings.Slots,
			QueueLength:   a.options.QueueLength,
			Remember:      a.options.Settings.Remember,
			ResponseBytes: a.options.responseBytes(),
			ResultBytes:   a.options.Settings.ResultBytes,
		}),
		links:   make(map[task.Process]*link),
		cancels: make(map[attempt]context.CancelFunc),
	}
}

// run handles inputs until their queue is closed and empty.
func (w *coreLoop) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer w.closeLinks()
	var batch []loopInput
	for open := true; open; {
		select {
		case <-w.attendant.inputs.Ready():
		case <-timer.C:
			w.step(runner.Tick{})
		}
		batch, open = w.attendant.inputs.TakeUpTo(batch[:0], maxBatch)
		for _, in := range batch {
			w.handle(in)
		}
		clear(batch)
		w.publishLoad()
		timer.Reset(w.untilNextWake())
	}
}

// handle passes an input to the core and updates the links and calls that it
// concerns.
func (w *coreLoop) handle(in loopInput) {
	switch e := in.event.(type) {
	case nil:
		w.sendPong(in)
		return
	case runner.LinkOpened:
		w.openLink(in.link)
	case runner.LinkClosed:
		if w.links[e.Entry] != in.link {
			return // A newer link has replaced it.
		}
		delete(w.links, e.Entry)
	case runner.StartReceived:
		w.quietSince = time.Now()
	case runner.DrainRequested:
		w.quietSince = time.Now()
	case runner.MinionAnswered:
		w.endCall(attempt{e.Task, e.Attempt})
	case runner.MinionFailed:
		w.endCall(attempt{e.Task, e.Attempt})
	case runner.MinionUnreached:
		w.endCall(attempt{e.Task, e.Attempt})
	}
	w.step(in.event)
}

// step passes an event to the core and executes the resulting commands.
func (w *coreLoop) step(ev runner.Event) {
	for _, c := range w.core.Step(time.Now(), ev) {
		w.execute(c)
	}
}

// execute carries out a command of the core.
func (w *coreLoop) execute(command runner.Command) {
	a := w.attendant
	switch c := command.(type) {
	case runner.Run:
		w.startCall(c.Start)
	case runner.Stop:
		w.cancels[attempt{c.Task, c.Attempt}]()
	case runner.Accept:
		w.send(c.To, c)
	case runner.Refuse:
		a.counters.refused.Inc(1)
		w.send(c.To, c)
	case runner.SendReport:
		w.send(c.To, c)
	case runner.SendLoad:
		w.send(c.To, c)
	case runner.Announce:
		w.publishLoad() // The announcement includes the current load.
		a.announcer.AnnounceNow()
	case runner.AnswerSettle:
		a.pending.deliver(c.Ticket, c)
	case runner.AnswerFence:
		a.pending.deliver(c.Ticket, c)
	case runner.AnswerDrain:
		a.pending.deliver(c.Ticket, c)
	case runner.Reject:
		a.pending.deliver(c.Ticket, c)
	}
}

// startCall queues a task for a slot.
func (w *coreLoop) startCall(s task.Start) {
	ctx, cancel := context.WithCancel(w.attendant.ctx)
	w.cancels[attempt{s.Task, s.Attempt}] = cancel
	w.attendant.counters.started.Inc(1)
	w.attendant.calls.Offer(minionCall{ctx, s}) // The queue can't be full: the core starts at most one task per slot.
}

// endCall releases the context of a call that has ended.
func (w *coreLoop) endCall(a attempt) {
	w.cancels[a]()
	delete(w.cancels, a)
}

// openLink registers a link, and ends an older one of the same entry.
func (w *coreLoop) openLink(l *link) {
	if old := w.links[l.entry]; old != nil {
		old.abort(errReplaced)
	}
	w.links[l.entry] = l
}

// sendPong answers a ping, unless its link has been replaced or closed.
func (w *coreLoop) sendPong(in loopInput) {
	if w.links[in.link.entry] == in.link {
		in.link.enqueue(message{load: w.core.Load(), pong: in.ping})
	}
}

// send queues a command for an entry. Without a link it is dropped; the entry
// settles attempts of which it has no report.
func (w *coreLoop) send(to task.Process, c runner.Command) {
	if l := w.links[to]; l != nil {
		l.enqueue(message{command: c, load: w.core.Load()})
	}
}

// publishLoad makes the core's load visible to the other goroutines. It closes
// drained once a closing agent has no work and its quiet period has passed.
func (w *coreLoop) publishLoad() {
	load := w.core.Load()
	w.attendant.load.Store(&load)
	w.attendant.counters.updateLoad(load)
	if w.drained || !w.attendant.stopping.Load() || !load.Leaving || !w.core.Idle() {
		return
	}
	if time.Since(w.quietSince) >= w.attendant.options.QuietPeriod {
		w.drained = true
		close(w.attendant.drained)
	}
}

// untilNextWake returns the time until the loop has to run without an input.
func (w *coreLoop) untilNextWake() time.Duration {
	wait := time.Hour
	if wake := w.core.NextWake(); !wake.IsZero() {
		wait = min(wait, time.Until(wake))
	}
	if w.attendant.stopping.Load() && !w.drained {
		wait = min(wait, w.attendant.options.QuietPeriod)
	}
	return max(wait, 0)
}

// closeLinks ends all links once their queued messages are written.
func (w *coreLoop) closeLinks() {
	for _, l := range w.links {
		l.closeAfterFlush()
	}
}
