package entry

import (
	"net/http"

	"agatevalve/exposer"
)

// operators returns the handler of the operators' listener.
func (e *Entry) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeLine(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := e.notReady(); reason != "" {
			writeLine(w, http.StatusServiceUnavailable, reason)
			return
		}
		writeLine(w, http.StatusOK, "ready")
	})
	expose := exposer.Handler(e.registry)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		e.gauge(r.Context())
		expose.ServeHTTP(w, r)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		writeLine(w, http.StatusNotFound, "this listener serves /healthz, /readyz and /metrics only; send requests and jobs to the callers' listener")
	})
	return mux
}

// notReady returns why no new callers should come, or "".
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

func writeLine(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // A caller that has left needs no answer.
}
