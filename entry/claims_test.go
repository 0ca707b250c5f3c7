package entry_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/task"
	"agatevalve/emulator"
	"agatevalve/registrar"
	"agatevalve/tabler"
)

// TestEntriesShareTheClaimWriteLimit registers a second entry. The first one
// must count it among those that share the rate of claim writes.
func TestEntriesShareTheClaimWriteLimit(t *testing.T) {
	is := is.New(t)
	table := emulator.NewTable(emulator.Options{})
	other := registrar.Member{
		Process: task.Process{Name: "entry-2", Incarnation: 1}, Address: loopback, Zone: "cartago",
		Expires: time.Now().Add(time.Hour),
	}
	_, err := table.Commit(t.Context(), []tabler.Write{{Key: registrar.KeyOf(other.Process), Unconditional: true, Value: registrar.EncodeRow(other)}})
	is.NoErr(err)
	e := newEntry(t, table)
	defer closeEntry(t, e)
	s := &system{t: t}
	s.await("the claimer counts both entries", func() bool {
		_, body := get("http://" + e.Operators().String() + "/metrics")
		return strings.Contains(body, "\nagatevalve_claim_sharers 2\n")
	})
}
