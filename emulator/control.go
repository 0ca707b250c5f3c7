package emulator

import (
	"encoding/json"
	"net/http"

	"agatevalve/common/fault"
)

// ControlHandler returns the handler that sets and clears the faults of a Minion
// and reports its counted starts. It is separate from ServeHTTP, whose paths all
// belong to the callers.
func (m *Minion) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+FaultsPath, m.serveSetFault)
	mux.HandleFunc("DELETE "+FaultsPath, m.serveClearFault)
	mux.HandleFunc("GET "+CountsPath, m.serveStarts)
	return mux
}

func (m *Minion) serveSetFault(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, maxControlBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	var request faultJSON
	if err := json.Unmarshal(body, &request); err != nil {
		writeError(w, fault.Wrap(err, fault.Invalid, `send {"kind": "hang"}`, "malformed fault"))
		return
	}
	switch f := MinionFault(request.Kind); f {
	case FailAll, Hang, Straggle, Truncate:
		m.SetFault(f)
		w.WriteHeader(http.StatusNoContent)
	default:
		writeError(w, fault.New(fault.Invalid, "use fail-all, hang, slow or truncate", "unknown fault %q", request.Kind))
	}
}

func (m *Minion) serveClearFault(w http.ResponseWriter, _ *http.Request) {
	m.SetFault(Healthy)
	w.WriteHeader(http.StatusNoContent)
}

func (m *Minion) serveStarts(w http.ResponseWriter, _ *http.Request) {
	body, _ := json.Marshal(m.Starts()) // A map of integers always marshals.
	writeJSON(w, body)
}
