package emulator

import (
	"encoding/json"
	"net/http"

	"agatevalve/common/fault"
)

// Control serves the faults and the counted starts of a Minion. It is apart
// from the minion's own paths, which belong to the callers.
func (m *Minion) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+FaultsPath, m.serveSetFault)
	mux.HandleFunc("DELETE "+FaultsPath, m.serveClearFault)
	mux.HandleFunc("GET "+CountsPath, m.serveStarts)
	return mux
}

func (m *Minion) serveSetFault(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, maxControlBytes)
	if err != nil {
		refuse(w, err)
		return
	}
	var control wireControl
	if err := json.Unmarshal(body, &control); err != nil {
		refuse(w, fault.Wrap(err, fault.Invalid, `send {"kind": "hang"}`, "malformed fault"))
		return
	}
	switch f := MinionFault(control.Kind); f {
	case FailAll, Hang, Straggle, Truncate:
		m.SetFault(f)
		w.WriteHeader(http.StatusNoContent)
	default:
		refuse(w, fault.New(fault.Invalid, "use fail-all, hang, slow or truncate", "unknown fault %q", control.Kind))
	}
}

func (m *Minion) serveClearFault(w http.ResponseWriter, _ *http.Request) {
	m.SetFault(Healthy)
	w.WriteHeader(http.StatusNoContent)
}

func (m *Minion) serveStarts(w http.ResponseWriter, _ *http.Request) {
	body, _ := json.Marshal(m.Starts()) // A map of integers always marshals.
	answer(w, body)
}
