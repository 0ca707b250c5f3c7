package measurer

import "time"

const (
	// storeFaultTime is how long the store is down or slow.
	storeFaultTime = 10 * time.Second
	// storeSlowness is how much longer its calls take.
	storeSlowness = 50
	// entryRestartDelay and agentReturns are when a killed process runs again.
	entryRestartDelay = 2 * time.Second
	agentRestartDelay = time.Second
	// readinessDelay is how long the platform's balancer needs to stop sending
	// callers to an entry that isn't ready.
	readinessDelay = 2 * time.Second
	// idlePollInterval is how often a draining process looks whether it is done.
	idlePollInterval = 100 * time.Millisecond
	// silenceInterval is the pause between two links that fall silent.
	silenceInterval = 2 * time.Second
	// cancelShare of the callers go away in a wave.
	cancelShare = 0.7
)

// silenceLinksInTurn makes the busiest entry's links silent, one after another.
func silenceLinksInTurn(w *world) {
	for i, a := range w.agents {
		w.after(time.Duration(i)*silenceInterval, func() { w.entries[0].silenceLink(a) })
	}
}

func takeStoreDown(w *world) {
	w.store.down = true
	w.after(storeFaultTime, func() { w.store.down = false })
}

func slowStore(w *world) {
	w.store.slowness = storeSlowness
	w.after(storeFaultTime, func() { w.store.slowness = 1 })
}

func killEntry(w *world) {
	e := w.entries[0]
	e.kill()
	w.after(entryRestartDelay, e.boot)
}

func killAgent(w *world) {
	a := w.agents[0]
	a.kill()
	w.after(agentRestartDelay, a.boot)
}

func killEntryAndAgent(w *world) {
	killEntry(w)
	killAgent(w)
}

// drainAgentThenEntry takes an agent out, and then an entry.
func drainAgentThenEntry(w *world) {
	a := w.agents[0]
	a.drain()
	a.killWhenIdle()
	e := w.entries[1]
	w.after(2*readinessDelay, func() {
		e.ready = false
		w.after(readinessDelay, e.drain)
	})
}

func cancelWave(w *world) { w.callers.cancelWork(cancelShare) }
