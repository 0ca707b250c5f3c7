package encoder_test

import (
	"testing"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/connector/encoder"
	"agatevalve/tabler"
)

func TestCommitRoundTrip(t *testing.T) {
	is := is.New(t)
	writes := []tabler.Write{
		{Key: tabler.Key{Table: "t", Row: "a"}, Expect: 3, Value: []byte{0, 1}},
		{Key: tabler.Key{Table: "t", Row: "b"}, Unconditional: true, Delete: true},
	}
	body, err := encoder.EncodeCommit(writes)
	is.NoErr(err)
	decoded, err := encoder.DecodeCommit(body)
	is.NoErr(err)
	is.Equal(decoded, writes)
}

func TestFaultKeepsItsKind(t *testing.T) {
	for _, kind := range []fault.Kind{fault.Invalid, fault.TooLarge, fault.Unavailable, fault.Denied} {
		is := is.New(t)
		refusal, ok := encoder.DecodeFault(encoder.EncodeFault(fault.New(kind, "wait", "busy")))
		is.True(ok)
		is.Equal(refusal.Kind, kind)
		is.Equal(refusal.Remedy, "wait")
		is.Equal(refusal.Error(), "the table service refused: busy; wait") // The remedy appears only once.
	}
}

// FuzzDecode runs all decoders on arbitrary input. What they accept must satisfy
// their guarantees; commits and rows must keep their number when they are encoded
// and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"applied": true}`))
	f.Add([]byte(`{"rows": [{"table": "t", "row": "a", "version": 1, "value": "AA=="}]}`))
	f.Add([]byte(`{"writes": [{"table": "t", "row": "a", "expect": 2}], "keys": [{"table": "t", "row": "a"}]}`))
	f.Add([]byte(`{"kind": "unavailable", "text": "busy", "remedy": "wait"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		is := is.New(t)
		if writes, err := encoder.DecodeCommit(body); err == nil {
			encoded, err := encoder.EncodeCommit(writes)
			is.NoErr(err)
			decoded, err := encoder.DecodeCommit(encoded)
			is.NoErr(err)
			is.Equal(len(decoded), len(writes))
		}
		if rows, err := encoder.DecodeRows(body); err == nil {
			encoded, err := encoder.EncodeRows(rows)
			is.NoErr(err)
			decoded, err := encoder.DecodeRows(encoded)
			is.NoErr(err)
			is.Equal(len(decoded), len(rows))
		}
		if result, err := encoder.DecodeResult(body); err == nil {
			is.Equal(result.Applied, len(result.Conflicts) == 0)
		}
		if refusal, ok := encoder.DecodeFault(body); ok {
			is.True(refusal.Remedy != "")
		}
	})
}
