package rehearser

import "time"

// node is a process in play: it steps its core when something has come in, and
// now and then.
type node[E any] struct {
	w *world
	// incarnation counts its lives.
	incarnation uint64
	// frozen is until when it stands still.
	frozen time.Time
	inbox  []E
	down   bool
	// run steps the core and carries out its commands.
	run func(events []E)
}

// begin starts the next life.
func (n *node[E]) begin() {
	n.incarnation++
	n.down = false
	n.inbox = nil
}

// tick steps the core until this life ends.
func (n *node[E]) tick(life uint64) {
	if n.incarnation != life || n.down {
		return
	}
	n.step()
	n.w.after(stepEvery, func() { n.tick(life) })
}

// tell brings an event, which the core takes a moment later.
func (n *node[E]) tell(ev E) {
	if n.down {
		return
	}
	n.inbox = append(n.inbox, ev)
	life := n.incarnation
	n.w.after(inboxDelay, func() {
		if n.incarnation == life {
			n.step()
		}
	})
}

func (n *node[E]) step() {
	if n.down || n.w.now.Before(n.frozen) {
		return
	}
	events := n.inbox
	n.inbox = nil
	n.run(events)
}
