package claimer_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/claimer"
	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/tabler"
)

func TestRowRoundTrip(t *testing.T) {
	is := is.New(t)
	claim := claimOf(1, 300, 1<<63, epoch)
	value, err := claimer.EncodeRow(claim)
	is.NoErr(err)
	decoded, err := claimer.DecodeRow(tabler.Row{Key: claimer.KeyOf(claim.Job), Version: 1, Value: value})
	is.NoErr(err)
	is.Equal(decoded, claim)
}

func TestEncodeRowRejectsInvalidClaims(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *dispatcher.Claim)
		kind   fault.Kind
	}{
		{"team", func(c *dispatcher.Claim) { c.Team = task.Team(strings.Repeat("x", 256)) }, fault.TooLarge},
		{"agents", func(c *dispatcher.Claim) { c.Agents = make([]dispatcher.Peer, 4097) }, fault.TooLarge},
		{"no deadline", func(c *dispatcher.Claim) { c.Deadline = time.Time{} }, fault.Invalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			claim := claimOf(0, 1, 1, epoch)
			tt.change(&claim)
			_, err := claimer.EncodeRow(claim)
			is.Equal(fault.KindOf(err), tt.kind)
		})
	}
}

func FuzzDecodeRow(f *testing.F) {
	claim := claimOf(0, 1, 1, epoch)
	value, err := claimer.EncodeRow(claim)
	if err != nil {
		f.Fatal(err)
	}
	name := claim.Job.String()
	f.Add(name, value)
	f.Add(name, value[:len(value)-1])
	f.Add("x", value)
	f.Add(name, []byte{1})
	f.Add(name, []byte{2})
	f.Fuzz(func(t *testing.T, name string, value []byte) {
		is := is.New(t)
		key := tabler.Key{Table: tabler.Claims, Row: name}
		decoded, err := claimer.DecodeRow(tabler.Row{Key: key, Version: 1, Value: value})
		if err != nil {
			is.True(fault.RemedyOf(err) != "")
			return
		}
		is.Equal(claimer.KeyOf(decoded.Job), key)
		again, err := claimer.EncodeRow(decoded)
		is.NoErr(err)
		decodedAgain, err := claimer.DecodeRow(tabler.Row{Key: key, Version: 1, Value: again})
		is.NoErr(err)
		is.Equal(decodedAgain, decoded)
	})
}
