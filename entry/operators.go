package entry

import (
	"net/http"

	"agatevalve/exposer"
)

// operatorsHandler returns the handler of the operators' listener.
func (e *Entry) operatorsHandler() http.Handler {
	return exposer.Probes{
		Registry:       e.registry,
		NotReadyReason: e.notReady,
		Refresh:        e.updateGauges,
		NotFoundHint:   "send requests and jobs to the callers' listener",
	}.Handler()
}

// notReady returns why new callers should use another entry, or "".
func (e *Entry) notReady() string {
	if e.stopping.Load() {
		return "the entry stops"
	}
	if e.follower.Revision() == 0 {
		return "no configuration is in force yet"
	}
	if !e.follower.Ready() {
		return "the newest known configuration is not in force yet"
	}
	return ""
}
