package rehearser

import "time"

// node is a simulated process. It steps its core when events arrive, and at a
// fixed interval.
type node[E any] struct {
	world *world
	// incarnation counts the starts of the process.
	incarnation uint64
	// frozenUntil is the end of a freeze, in which the process handles no
	// events.
	frozenUntil time.Time
	// clockLag is the time in which the process was frozen and its clock stood
	// still; see Day.ClockStopsWhileFrozen.
	clockLag time.Duration
	inbox    []E
	down     bool
	// process steps the core with the events and executes its commands.
	process func(events []E)
}

// beginIncarnation starts the next incarnation with an empty inbox.
func (n *node[E]) beginIncarnation() {
	n.incarnation++
	n.down = false
	n.inbox = nil
}

// stepPeriodically steps the core at a fixed interval until the incarnation
// ends.
func (n *node[E]) stepPeriodically(incarnation uint64) {
	if n.incarnation != incarnation || n.down {
		return
	}
	n.step()
	n.world.after(stepInterval, func() { n.stepPeriodically(incarnation) })
}

// deliver adds an event to the inbox, and steps the core after inboxDelay.
func (n *node[E]) deliver(ev E) {
	if n.down {
		return
	}
	n.inbox = append(n.inbox, ev)
	incarnation := n.incarnation
	n.world.after(inboxDelay, func() {
		if n.incarnation == incarnation {
			n.step()
		}
	})
}

// runs reports whether the process is up and not frozen.
func (n *node[E]) runs() bool { return !n.down && !n.world.now.Before(n.frozenUntil) }

// now returns the time on the clock of the process.
func (n *node[E]) now() time.Time { return n.world.now.Add(-n.clockLag) }

// freeze stops the process for a time, after which it handles what has arrived
// meanwhile.
func (n *node[E]) freeze(d time.Duration) {
	n.frozenUntil = n.world.now.Add(d)
	n.world.after(d, func() {
		if n.world.day.ClockStopsWhileFrozen {
			n.clockLag += d
		}
		n.step()
	})
}

// step handles the events in the inbox unless the process is down or frozen.
func (n *node[E]) step() {
	if n.down || n.world.now.Before(n.frozenUntil) {
		return
	}
	events := n.inbox
	n.inbox = nil
	n.process(events)
}
