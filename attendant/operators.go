package attendant

import (
	"context"

	"agatevalve/exposer"
	"agatevalve/listener"
)

// probeHeaderBytes caps the request header on the operators' listener.
const probeHeaderBytes = 16 << 10

// openOperators opens the operators' listener, if it has an address in the
// settings.
func (a *Attendant) openOperators() error {
	at := a.options.Settings.Operators
	if !at.IsValid() {
		return nil
	}
	var err error
	a.operators, err = listener.Open("operators", at)
	return err
}

// serveOperators serves health, readiness and metrics, if the listener is open.
func (a *Attendant) serveOperators() {
	if a.operators == nil {
		return
	}
	a.operators.Serve(exposer.Probes{
		Registry:       a.options.Metrics,
		NotReadyReason: a.notReady,
		Refresh:        func(context.Context) {}, // The core loop updates the gauges after each batch.
		NotFoundHint:   "send requests and jobs to an entry",
	}.Handler(), probeHeaderBytes, a.options.Logger)
}

// closeOperators closes the operators' listener. It is the last step of a
// shutdown, so that operators can observe the rest.
func (a *Attendant) closeOperators(ctx context.Context) error {
	if a.operators == nil {
		return nil
	}
	return a.operators.Stop(ctx)
}

// notReady returns why the agent takes no new work, or "".
func (a *Attendant) notReady() string {
	if a.Load().Leaving {
		return "the agent is leaving"
	}
	return ""
}
