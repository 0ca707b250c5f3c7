package measurer

import "time"

const (
	// outage is how long the store is down or slow.
	outage = 10 * time.Second
	// storeSlowness is how much longer its calls take.
	storeSlowness = 50
	// entryReturns and agentReturns are when a killed process runs again.
	entryReturns = 2 * time.Second
	agentReturns = time.Second
	// rotationTime is how long the platform's balancer needs to stop sending
	// callers to an entry that isn't ready.
	rotationTime = 2 * time.Second
	// idlePoll is how often a draining process looks whether it is done.
	idlePoll = 100 * time.Millisecond
	// silenceEvery is the pause between two links that fall silent.
	silenceEvery = 2 * time.Second
	// cancelShare of the callers go away in a wave.
	cancelShare = 0.7
)

// silenceInTurn makes the busiest entry's links silent, one after another.
func silenceInTurn(w *world) {
	for i, a := range w.agents {
		w.after(time.Duration(i)*silenceEvery, func() { w.entries[0].silence(a) })
	}
}

func storeDown(w *world) {
	w.store.down = true
	w.after(outage, func() { w.store.down = false })
}

func storeSlow(w *world) {
	w.store.slowness = storeSlowness
	w.after(outage, func() { w.store.slowness = 1 })
}

func killEntry(w *world) {
	e := w.entries[0]
	e.kill()
	w.after(entryReturns, e.begin)
}

func killAgent(w *world) {
	a := w.agents[0]
	a.kill()
	w.after(agentReturns, a.begin)
}

func killBoth(w *world) {
	killEntry(w)
	killAgent(w)
}

// drainBoth takes an agent out, and then an entry.
func drainBoth(w *world) {
	a := w.agents[0]
	a.drain()
	a.stopWhenQuiet()
	e := w.entries[1]
	w.after(2*rotationTime, func() {
		e.ready = false
		w.after(rotationTime, e.drain)
	})
}

func cancelWave(w *world) { w.callers.cancel(cancelShare) }
