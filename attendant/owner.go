package attendant

import (
	"context"
	"time"

	"agatevalve/common/task"
	"agatevalve/runner"
)

// maxBatch caps the inputs between two looks at the clock's timer.
const maxBatch = 256

// owner is the only user of the core.
type owner struct {
	attendant *Attendant
	core      *runner.Core
	// links holds the open link of each entry.
	links map[task.Process]*link
	// stops ends the calls to the minion.
	stops map[attempt]context.CancelFunc
	// lastStart is when the last start came, or when the agent began to leave.
	lastStart time.Time
	idle      bool
}

// attempt names one try of one task.
type attempt struct {
	task   task.ID
	number task.Attempt
}

// call is a task on its way to the minion.
type call struct {
	ctx   context.Context
	start task.Start
}

func newOwner(a *Attendant) *owner {
	return &owner{
		attendant: a,
		core: runner.New(runner.Options{
			Slots:         a.o.Settings.Slots,
			QueueLength:   a.o.QueueLength,
			Remember:      a.o.Settings.Remember,
			ResponseBytes: a.o.responseBytes(),
			ResultBytes:   a.o.Settings.ResultBytes,
		}),
		links: make(map[task.Process]*link),
		stops: make(map[attempt]context.CancelFunc),
	}
}

// run takes inputs until their ring is closed and empty.
func (w *owner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer w.closeLinks()
	var batch []input
	for open := true; open; {
		select {
		case <-w.attendant.inputs.Ready():
		case <-timer.C:
			w.step(runner.Tick{})
		}
		batch, open = w.attendant.inputs.TakeUpTo(batch[:0], maxBatch)
		for _, in := range batch {
			w.take(in)
		}
		clear(batch)
		w.publish()
		timer.Reset(w.pause())
	}
}

func (w *owner) take(in input) {
	switch e := in.event.(type) {
	case nil:
		w.pong(in)
		return
	case runner.LinkOpened:
		w.openLink(in.link)
	case runner.LinkClosed:
		if w.links[e.Entry] != in.link {
			return // A newer link took its place.
		}
		delete(w.links, e.Entry)
	case runner.StartReceived:
		w.lastStart = time.Now()
	case runner.DrainRequested:
		w.lastStart = time.Now()
	case runner.MinionAnswered:
		w.finish(attempt{e.Task, e.Attempt})
	case runner.MinionFailed:
		w.finish(attempt{e.Task, e.Attempt})
	case runner.MinionUnreached:
		w.finish(attempt{e.Task, e.Attempt})
	}
	w.step(in.event)
}

func (w *owner) step(ev runner.Event) {
	for _, c := range w.core.Step(time.Now(), ev) {
		w.perform(c)
	}
}

func (w *owner) perform(command runner.Command) {
	a := w.attendant
	switch c := command.(type) {
	case runner.Run:
		w.begin(c.Start)
	case runner.Stop:
		w.stops[attempt{c.Task, c.Attempt}]()
	case runner.Accept:
		w.tell(c.To, c)
	case runner.Refuse:
		a.counters.refused.Inc(1)
		w.tell(c.To, c)
	case runner.SendReport:
		w.tell(c.To, c)
	case runner.SendLoad:
		w.tell(c.To, c)
	case runner.Announce:
		w.publish() // The announcement carries the load of this moment.
		a.announcer.AnnounceNow()
	case runner.AnswerSettle:
		a.tickets.deliver(c.Ticket, c)
	case runner.AnswerFence:
		a.tickets.deliver(c.Ticket, c)
	case runner.AnswerDrain:
		a.tickets.deliver(c.Ticket, c)
	case runner.Reject:
		a.tickets.deliver(c.Ticket, c)
	}
}

func (w *owner) begin(s task.Start) {
	ctx, stop := context.WithCancel(w.attendant.ctx)
	w.stops[attempt{s.Task, s.Attempt}] = stop
	w.attendant.counters.started.Inc(1)
	w.attendant.calls.Offer(call{ctx, s}) // The core starts no more than there are slots.
}

// finish gives up the means to stop a call that has ended.
func (w *owner) finish(a attempt) {
	w.stops[a]()
	delete(w.stops, a)
}

func (w *owner) openLink(l *link) {
	if old := w.links[l.entry]; old != nil {
		old.fail(errReplaced)
	}
	w.links[l.entry] = l
}

func (w *owner) pong(in input) {
	if w.links[in.link.entry] == in.link {
		in.link.offer(note{load: w.core.Load(), pong: in.ping})
	}
}

// tell queues a command for an entry. Without a link it is dropped: the entry
// settles what it doesn't hear of.
func (w *owner) tell(to task.Process, c runner.Command) {
	if l := w.links[to]; l != nil {
		l.offer(note{command: c, load: w.core.Load()})
	}
}

// publish shows the state of the core to the other duties.
func (w *owner) publish() {
	load := w.core.Load()
	w.attendant.load.Store(&load)
	w.attendant.counters.show(load)
	if w.idle || !w.attendant.stopping.Load() || !load.Leaving || !w.core.Idle() {
		return
	}
	if time.Since(w.lastStart) >= w.attendant.o.Linger {
		w.idle = true
		close(w.attendant.idle)
	}
}

// pause returns how long nothing is due.
func (w *owner) pause() time.Duration {
	pause := time.Hour
	if wake := w.core.NextWake(); !wake.IsZero() {
		pause = min(pause, time.Until(wake))
	}
	if w.attendant.stopping.Load() && !w.idle {
		pause = min(pause, w.attendant.o.Linger)
	}
	return max(pause, 0)
}

// closeLinks lets each link write what waits, and end.
func (w *owner) closeLinks() {
	for _, l := range w.links {
		l.finish()
	}
}
