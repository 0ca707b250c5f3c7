package measurer

import (
	"time"

	"agatevalve/common/heap"
)

// epoch is the virtual time at which every experiment begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// minWait is the shortest time until a wake-up. Without it, a core that asks
// for a wake-up in the past would stop virtual time.
const minWait = 10 * time.Microsecond

// loop is a discrete-event scheduler. It runs actions in the order of their
// virtual times; those at the same time run in the order in which they were
// scheduled.
type loop struct {
	now   time.Time
	queue *heap.Heap[scheduledEvent]
	// sequence is the number of the event that was scheduled last.
	sequence uint64
	// eventsNow counts the events that ran at the current time.
	eventsNow int
}

// maxEventsPerInstant bounds the events at one virtual time. More of them mean
// that the cores keep triggering each other in an endless loop.
const maxEventsPerInstant = 1 << 20

// scheduledEvent is an action that runs at a virtual time.
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

// at schedules an action; a time in the past counts as now.
func (l *loop) at(t time.Time, action func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.sequence++
	l.queue.Push(scheduledEvent{at: t, sequence: l.sequence, action: action})
}

// after schedules an action after a delay in virtual time.
func (l *loop) after(d time.Duration, action func()) { l.at(l.now.Add(d), action) }

// run runs all actions up to a time.
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
		panic("measurer: too many events at the same virtual time")
	}
	l.now = at
}

// elapsed returns the virtual time since the experiment began.
func (l *loop) elapsed() time.Duration { return l.now.Sub(epoch) }

// wakeTimer schedules the wake-ups that a core asks for.
type wakeTimer struct {
	loop *loop
	// next is the time of the earliest scheduled wake-up.
	next time.Time
}

// set schedules a wake-up, unless one is already scheduled at or before its
// time.
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
