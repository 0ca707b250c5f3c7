package measurer

import (
	"time"

	"agatevalve/common/heap"
)

// epoch is the virtual time at which every experiment begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// minWait keeps a core that asks for a wake-up in the past from stopping
// virtual time.
const minWait = 10 * time.Microsecond

// loop runs events in the order of their virtual time. Events of the same time
// run in the order in which they were planned.
type loop struct {
	now   time.Time
	queue *heap.Heap[scheduledEvent]
	// sequence numbers the planned events.
	sequence uint64
	// eventsNow counts the events at the present time.
	eventsNow int
}

// maxEventsPerInstant bounds the events of one instant; more mean that the cores keep
// each other busy without end.
const maxEventsPerInstant = 1 << 20

// scheduledEvent is one event: what a target does at a time.
type scheduledEvent struct {
	at       time.Time
	sequence uint64
	action   func()
}

func newLoop() *loop {
	return &loop{now: epoch, queue: heap.New(scheduledEvent.before)}
}

func (p scheduledEvent) before(other scheduledEvent) bool {
	if !p.at.Equal(other.at) {
		return p.at.Before(other.at)
	}
	return p.sequence < other.sequence
}

// at plans an event; a time in the past counts as now.
func (l *loop) at(t time.Time, action func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.sequence++
	l.queue.Push(scheduledEvent{at: t, sequence: l.sequence, action: action})
}

func (l *loop) after(d time.Duration, action func()) { l.at(l.now.Add(d), action) }

// run lets all events up to a time happen.
func (l *loop) run(until time.Time) {
	for l.queue.Len() > 0 && !l.queue.Top().at.After(until) {
		p := l.queue.Pop()
		l.advance(p.at)
		p.action()
	}
	l.now = until
}

func (l *loop) advance(at time.Time) {
	l.eventsNow++
	if at.After(l.now) {
		l.eventsNow = 0
	}
	if l.eventsNow > maxEventsPerInstant {
		panic("measurer: virtual time stands still")
	}
	l.now = at
}

// elapsed returns the virtual time since the experiment began.
func (l *loop) elapsed() time.Duration { return l.now.Sub(epoch) }

// wakeTimer wakes one core when it asks to be woken.
type wakeTimer struct {
	loop *loop
	// next is the time of the earliest wake-up that is still planned.
	next time.Time
}

// set plans a wake-up at a time, unless one is planned before.
func (a *wakeTimer) set(at time.Time, wake func()) {
	if at.IsZero() {
		return
	}
	if earliest := a.loop.now.Add(minWait); at.Before(earliest) {
		at = earliest
	}
	if a.next.After(a.loop.now) && !at.Before(a.next) {
		return
	}
	a.next = at
	a.loop.at(at, wake)
}
