package exposer

import (
	"context"
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// Probes are what operators and collectors ask of a process.
type Probes struct {
	Registry metrics.Registry
	// NotReady returns why no new work should come, or "".
	NotReady func() string
	// Refresh brings gauges up to date before they are written.
	Refresh func(context.Context)
	// Elsewhere says where other requests belong.
	Elsewhere string
}

// Handler serves /healthz, /readyz and /metrics, and refuses all else.
func (p Probes) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeLine(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := p.NotReady(); reason != "" {
			writeLine(w, http.StatusServiceUnavailable, reason)
			return
		}
		writeLine(w, http.StatusOK, "ready")
	})
	expose := Handler(p.Registry)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		p.Refresh(r.Context())
		expose.ServeHTTP(w, r)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeLine(w, http.StatusNotFound, "this listener serves /healthz, /readyz and /metrics only; "+p.Elsewhere)
	})
	return mux
}

func writeLine(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // A caller that has left needs no answer.
}
