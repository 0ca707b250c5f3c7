package measurer

import (
	"time"

	"agatevalve/common/heap"
)

// epoch is the virtual time at which every experiment begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// leastWait keeps a core that asks for a wake-up in the past from stopping
// virtual time.
const leastWait = 10 * time.Microsecond

// loop runs events in the order of their virtual time. Events of the same time
// run in the order in which they were planned.
type loop struct {
	now   time.Time
	queue *heap.Heap[planned]
	// order numbers the planned events.
	order uint64
	// crowd counts the events at the present time.
	crowd int
}

// mostAtOnce bounds the events of one instant; more mean that the cores keep
// each other busy without end.
const mostAtOnce = 1 << 20

// planned is one event: what a target does at a time.
type planned struct {
	at    time.Time
	order uint64
	act   func()
}

func newLoop() *loop {
	return &loop{now: epoch, queue: heap.New(planned.before)}
}

func (p planned) before(other planned) bool {
	if !p.at.Equal(other.at) {
		return p.at.Before(other.at)
	}
	return p.order < other.order
}

// at plans an event; a time in the past counts as now.
func (l *loop) at(t time.Time, act func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.order++
	l.queue.Push(planned{at: t, order: l.order, act: act})
}

func (l *loop) after(d time.Duration, act func()) { l.at(l.now.Add(d), act) }

// run lets all events up to a time happen.
func (l *loop) run(until time.Time) {
	for l.queue.Len() > 0 && !l.queue.Top().at.After(until) {
		p := l.queue.Pop()
		l.advance(p.at)
		p.act()
	}
	l.now = until
}

func (l *loop) advance(at time.Time) {
	l.crowd++
	if at.After(l.now) {
		l.crowd = 0
	}
	if l.crowd > mostAtOnce {
		panic("measurer: virtual time stands still")
	}
	l.now = at
}

// elapsed returns the virtual time since the experiment began.
func (l *loop) elapsed() time.Duration { return l.now.Sub(epoch) }

// alarm wakes one core when it asks to be woken.
type alarm struct {
	loop *loop
	// next is the time of the earliest wake-up that is still planned.
	next time.Time
}

// set plans a wake-up at a time, unless one is planned before.
func (a *alarm) set(at time.Time, wake func()) {
	if at.IsZero() {
		return
	}
	if least := a.loop.now.Add(leastWait); at.Before(least) {
		at = least
	}
	if a.next.After(a.loop.now) && !at.Before(a.next) {
		return
	}
	a.next = at
	a.loop.at(at, wake)
}
