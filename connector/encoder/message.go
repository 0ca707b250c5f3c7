// Package encoder converts the JSON messages of the table service's HTTP protocol
// to the types of package tabler and back. The client and the emulator share it,
// so that both use the same names, paths and limits.
package encoder

import (
	"encoding/json"
	"errors"

	"agatevalve/common/fault"
	"agatevalve/tabler"
)

// Paths of the table service.
const (
	ReadPath   = "/table/read"
	ScanPath   = "/table/scan"
	CommitPath = "/table/commit"
)

// MaxBytes is the maximum size of the body of a message.
const MaxBytes = 16 << 20

const remedy = "compare the versions of agatevalve and of the table service"

type wireKey struct {
	Table string `json:"table"`
	Row   string `json:"row"`
}

type wireRow struct {
	Table   string `json:"table"`
	Row     string `json:"row"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

type wireWrite struct {
	Table  string `json:"table"`
	Row    string `json:"row"`
	Expect uint64 `json:"expect,omitempty"`
	Any    bool   `json:"any,omitempty"`
	Delete bool   `json:"delete,omitempty"`
	Value  []byte `json:"value,omitempty"`
}

type wireScan struct {
	Table  string `json:"table"`
	Prefix string `json:"prefix"`
}

type wireRead struct {
	Keys []wireKey `json:"keys"`
}

type wireCommit struct {
	Writes []wireWrite `json:"writes"`
}

type wireRows struct {
	// Rows is a pointer, so that a response without the field can be rejected.
	Rows *[]wireRow `json:"rows"`
}

type wireResult struct {
	// Applied is a pointer, so that a response without the field can be rejected.
	Applied   *bool     `json:"applied"`
	Conflicts []wireRow `json:"conflicts,omitempty"`
}

type wireFault struct {
	Kind   string `json:"kind"`
	Text   string `json:"text"`
	Remedy string `json:"remedy"`
}

// EncodeRead returns the body of a read request.
func EncodeRead(keys []tabler.Key) ([]byte, error) {
	request := wireRead{Keys: make([]wireKey, 0, len(keys))}
	for _, k := range keys {
		request.Keys = append(request.Keys, wireKey(k))
	}
	return marshal(request)
}

// DecodeRead is the inverse of EncodeRead.
func DecodeRead(body []byte) ([]tabler.Key, error) {
	var request wireRead
	if err := unmarshal(body, &request); err != nil {
		return nil, err
	}
	keys := make([]tabler.Key, 0, len(request.Keys))
	for _, k := range request.Keys {
		keys = append(keys, tabler.Key(k))
	}
	return keys, nil
}

// EncodeScan returns the body of a scan request.
func EncodeScan(table, prefix string) ([]byte, error) {
	return marshal(wireScan{Table: table, Prefix: prefix})
}

// DecodeScan is the inverse of EncodeScan.
func DecodeScan(body []byte) (table, prefix string, err error) {
	var request wireScan
	if err := unmarshal(body, &request); err != nil {
		return "", "", err
	}
	return request.Table, request.Prefix, nil
}

// EncodeCommit returns the body of a commit request.
func EncodeCommit(writes []tabler.Write) ([]byte, error) {
	request := wireCommit{Writes: make([]wireWrite, 0, len(writes))}
	for _, w := range writes {
		request.Writes = append(request.Writes, wireWrite{
			Table: w.Key.Table, Row: w.Key.Row, Expect: uint64(w.Expect),
			Any: w.Unconditional, Delete: w.Delete, Value: w.Value,
		})
	}
	return marshal(request)
}

// DecodeCommit is the inverse of EncodeCommit.
func DecodeCommit(body []byte) ([]tabler.Write, error) {
	var request wireCommit
	if err := unmarshal(body, &request); err != nil {
		return nil, err
	}
	writes := make([]tabler.Write, 0, len(request.Writes))
	for _, w := range request.Writes {
		writes = append(writes, tabler.Write{
			Key:           tabler.Key{Table: w.Table, Row: w.Row},
			Expect:        tabler.Version(w.Expect),
			Unconditional: w.Any, Delete: w.Delete, Value: w.Value,
		})
	}
	return writes, nil
}

// EncodeRows returns the body of the response to a read or scan.
func EncodeRows(rows []tabler.Row) ([]byte, error) {
	list := wireFromRows(rows)
	return marshal(wireRows{Rows: &list})
}

// DecodeRows is the inverse of EncodeRows.
func DecodeRows(body []byte) ([]tabler.Row, error) {
	var response wireRows
	if err := unmarshal(body, &response); err != nil {
		return nil, err
	}
	if response.Rows == nil {
		return nil, fault.New(fault.Invalid, remedy, "the table service sent a response without rows")
	}
	return rowsFromWire(*response.Rows), nil
}

// EncodeResult returns the body of the response to a commit.
func EncodeResult(result tabler.Result) ([]byte, error) {
	return marshal(wireResult{
		Applied:   &result.Applied,
		Conflicts: wireFromRows(result.Conflicts),
	})
}

// DecodeResult is the inverse of EncodeResult. It rejects a result that is applied
// and has conflicts, or is neither applied nor has conflicts.
func DecodeResult(body []byte) (tabler.Result, error) {
	var response wireResult
	if err := unmarshal(body, &response); err != nil {
		return tabler.Result{}, err
	}
	if response.Applied == nil {
		return tabler.Result{}, fault.New(fault.Invalid, remedy, "the table service sent a result without applied")
	}
	if *response.Applied != (len(response.Conflicts) == 0) {
		return tabler.Result{}, fault.New(fault.Invalid, remedy, "the table service sent a result that contradicts itself")
	}
	return tabler.Result{
		Applied:   *response.Applied,
		Conflicts: rowsFromWire(response.Conflicts),
	}, nil
}

// EncodeFault returns the body of the response to a refused request. It contains
// the kind, the text and the remedy of the first fault in the chain of err.
func EncodeFault(err error) []byte {
	refusal := wireFault{Kind: fault.Internal.String(), Text: err.Error(), Remedy: "report this"}
	var first *fault.Error
	if errors.As(err, &first) {
		refusal = wireFault{Kind: first.Kind.String(), Text: first.Text, Remedy: first.Remedy}
	}
	body, _ := json.Marshal(refusal) // Strings always marshal.
	return body
}

// DecodeFault is the inverse of EncodeFault. It returns false if the body is not a
// refusal, or if its kind does not prove that nothing was written.
func DecodeFault(body []byte) (*fault.Error, bool) {
	var refusal wireFault
	if json.Unmarshal(body, &refusal) != nil || refusal.Remedy == "" {
		return nil, false
	}
	for _, kind := range []fault.Kind{fault.Invalid, fault.TooLarge, fault.Unavailable, fault.Denied} {
		if kind.String() == refusal.Kind {
			return fault.New(kind, refusal.Remedy, "the table service refused: %s", refusal.Text), true
		}
	}
	return nil, false
}

func wireFromRows(rows []tabler.Row) []wireRow {
	list := make([]wireRow, 0, len(rows))
	for _, r := range rows {
		list = append(list, wireRow{
			Table: r.Key.Table, Row: r.Key.Row, Version: uint64(r.Version), Value: r.Value,
		})
	}
	return list
}

func rowsFromWire(list []wireRow) []tabler.Row {
	rows := make([]tabler.Row, 0, len(list))
	for _, r := range list {
		rows = append(rows, tabler.Row{
			Key:     tabler.Key{Table: r.Table, Row: r.Row},
			Version: tabler.Version(r.Version),
			Value:   r.Value,
		})
	}
	return rows
}

func marshal(message any) ([]byte, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this", "could not encode a message")
	}
	if len(body) > MaxBytes {
		return nil, fault.New(fault.TooLarge, "send fewer rows at once",
			"a message of %d bytes exceeds %d", len(body), MaxBytes)
	}
	return body, nil
}

func unmarshal(body []byte, message any) error {
	if err := json.Unmarshal(body, message); err != nil {
		return fault.Wrap(err, fault.Invalid, remedy, "malformed message")
	}
	return nil
}
