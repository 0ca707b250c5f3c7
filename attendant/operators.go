package attendant

import (
	"context"

	"agatevalve/exposer"
	"agatevalve/listener"
)

// probeHeaderBytes caps the header of a probe.
const probeHeaderBytes = 16 << 10

// openOperators opens the operators' listener, if the settings name one.
func (a *Attendant) openOperators() error {
	at := a.o.Settings.Operators
	if !at.IsValid() {
		return nil
	}
	var err error
	a.ops, err = listener.Open("operators", at)
	return err
}

func (a *Attendant) serveOperators() {
	if a.ops == nil {
		return
	}
	a.ops.Serve(exposer.Probes{
		Registry:       a.o.Metrics,
		NotReadyReason: a.notReady,
		Refresh:        func(context.Context) {}, // The core's owner shows its load at each step.
		NotFoundHint:   "send requests and jobs to an entry",
	}.Handler(), probeHeaderBytes, a.o.Logger)
}

// closeOperators ends the listener last, so that a stop can be watched.
func (a *Attendant) closeOperators(ctx context.Context) error {
	if a.ops == nil {
		return nil
	}
	return a.ops.Stop(ctx)
}

// notReady returns why no new work should come, or "".
func (a *Attendant) notReady() string {
	if a.Load().Leaving {
		return "the agent is leaving"
	}
	return ""
}
