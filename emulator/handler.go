package emulator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"agatevalve/common/fault"
	"agatevalve/connector/encoder"
	"agatevalve/tabler"
)

// Paths of the control API of the table service. Minion.ControlHandler serves the same
// paths.
const (
	// FaultsPath accepts POST to inject a fault, and DELETE to clear all
	// faults, or only the kind in the query parameter kind.
	FaultsPath = "/control/faults"
	// CountsPath accepts GET and returns the counted operations.
	CountsPath = "/control/counts"
)

// maxControlBytes limits the body of a control request.
const maxControlBytes = 64 << 10

// faultJSON is the JSON form of a Fault.
type faultJSON struct {
	Kind  string `json:"kind"`
	On    string `json:"on,omitempty"`
	Count int    `json:"count,omitempty"`
	// Delay is in the format of time.ParseDuration.
	Delay string `json:"delay,omitempty"`
}

// countsJSON is the JSON form of Counts.
type countsJSON struct {
	Commits   int `json:"commits"`
	Conflicts int `json:"conflicts"`
	Rows      int `json:"rows"`
	Bytes     int `json:"bytes"`
	Reads     int `json:"reads"`
	Scans     int `json:"scans"`
}

// Handler serves a Table and its control API over HTTP.
func Handler(t *Table) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+encoder.ReadPath, t.serveRead)
	mux.HandleFunc("POST "+encoder.ScanPath, t.serveScan)
	mux.HandleFunc("POST "+encoder.CommitPath, t.serveCommit)
	mux.HandleFunc("POST "+FaultsPath, t.serveSetFault)
	mux.HandleFunc("DELETE "+FaultsPath, t.serveClearFaults)
	mux.HandleFunc("GET "+CountsPath, t.serveCounts)
	return mux
}

func (t *Table) serveRead(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, encoder.MaxBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	keys, err := encoder.DecodeRead(body)
	if err != nil {
		writeError(w, err)
		return
	}
	rows, err := t.Read(r.Context(), keys)
	writeRows(w, rows, err)
}

func (t *Table) serveScan(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, encoder.MaxBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	table, prefix, err := encoder.DecodeScan(body)
	if err != nil {
		writeError(w, err)
		return
	}
	rows, err := t.Scan(r.Context(), table, prefix)
	writeRows(w, rows, err)
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, encoder.MaxBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	writes, err := encoder.DecodeCommit(body)
	if err != nil {
		writeError(w, err)
		return
	}
	result, err := t.Commit(r.Context(), writes)
	if err != nil {
		writeError(w, err)
		return
	}
	response, err := encoder.EncodeResult(result)
	if err != nil {
		panic(http.ErrAbortHandler) // The write took effect, which an error response would deny.
	}
	writeJSON(w, response)
}

func (t *Table) serveSetFault(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, maxControlBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	f, err := decodeFault(body)
	if err == nil {
		err = t.SetFault(f)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Table) serveClearFaults(w http.ResponseWriter, r *http.Request) {
	if kind := r.URL.Query().Get("kind"); kind != "" {
		t.ClearFault(FaultKind(kind))
	} else {
		t.ClearFaults()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *Table) serveCounts(w http.ResponseWriter, _ *http.Request) {
	body, _ := json.Marshal(countsJSON(t.Counts())) // Integers always marshal.
	writeJSON(w, body)
}

func decodeFault(body []byte) (Fault, error) {
	var request faultJSON
	if err := json.Unmarshal(body, &request); err != nil {
		return Fault{}, fault.Wrap(err, fault.Invalid, `send {"kind": "down"}`, "malformed fault")
	}
	f := Fault{Kind: FaultKind(request.Kind), On: Operations(request.On), Count: request.Count}
	if request.Delay == "" {
		return f, nil
	}
	delay, err := time.ParseDuration(request.Delay)
	if err != nil {
		return Fault{}, fault.Wrap(err, fault.Invalid, `write the delay like "50ms"`, "malformed delay")
	}
	f.Delay = delay
	return f, nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.Wrap(err, fault.TooLarge, "send a smaller body", "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "send the whole body", "the body was cut off")
	}
	return body, nil
}

func writeRows(w http.ResponseWriter, rows []tabler.Row, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	body, err := encoder.EncodeRows(rows)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // The client detects a closed connection itself.
}

// writeError sends the error of a call. A call whose effect is uncertain gets
// no response at all, as if the service had lost it.
func writeError(w http.ResponseWriter, err error) {
	kind := fault.KindOf(err)
	if kind == fault.Uncertain {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusBadRequest
	switch kind {
	case fault.Unavailable:
		status = http.StatusServiceUnavailable
	case fault.TooLarge:
		status = http.StatusRequestEntityTooLarge
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoder.EncodeFault(err)) // The client detects a closed connection itself.
}
