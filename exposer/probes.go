package exposer

import (
	"context"
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// Probes serves the health, readiness and metrics endpoints of a process.
type Probes struct {
	Registry metrics.Registry
	// NotReadyReason returns the reason why the process should get no new work, or ""
	// if it is ready.
	NotReadyReason func() string
	// Refresh updates the gauges before they are written.
	Refresh func(context.Context)
	// NotFoundHint is appended to the response to requests for other paths. It says
	// where to send them.
	NotFoundHint string
}

// Handler returns a handler for /healthz, /readyz and /metrics that responds with
// status 404 to all other paths.
func (p Probes) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeLine(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := p.NotReadyReason(); reason != "" {
			writeLine(w, http.StatusServiceUnavailable, reason)
			return
		}
		writeLine(w, http.StatusOK, "ready")
	})
	metricsHandler := Handler(p.Registry)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		p.Refresh(r.Context())
		metricsHandler.ServeHTTP(w, r)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeLine(w, http.StatusNotFound, "this listener serves /healthz, /readyz and /metrics only; "+p.NotFoundHint)
	})
	return mux
}

// writeLine writes a plain-text response of one line.
func writeLine(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // It fails only if the client has disconnected.
}
