package measurer

import "time"

const (
	// storeFaultTime is the time for which the store is down or slow.
	storeFaultTime = 10 * time.Second
	// storeSlowness multiplies the duration of calls to a slow store.
	storeSlowness = 50
	// entryRestartDelay and agentRestartDelay are the times until a killed
	// process restarts.
	entryRestartDelay = 2 * time.Second
	agentRestartDelay = time.Second
	// readinessDelay is the time in which the platform's load balancer notices
	// that an entry isn't ready and stops sending callers to it.
	readinessDelay = 2 * time.Second
	// idlePollInterval is the interval at which a draining process checks whether
	// it is idle.
	idlePollInterval = 100 * time.Millisecond
	// silenceInterval is the time between two links that fall silent.
	silenceInterval = 2 * time.Second
	// cancelShare of the callers cancel at the same time.
	cancelShare = 0.7
)

// silenceLinksInTurn silences the links of the busiest entry one after another.
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

// drainAgentThenEntry drains an agent, and later an entry that first becomes
// unready.
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
