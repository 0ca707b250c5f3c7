package loader_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/claimer"
	"agatevalve/common/fault"
	"agatevalve/loader"
)

const entryText = `{
  "name": "entry-1",
  "zone": "cartago",
  "callers": "127.0.0.1:8010",
  "operators": "127.0.0.1:8011",
  "internal": "127.0.0.1:8012",
  "store": "127.0.0.1:7000",
  "limits": {"answer-within": "3s"}
}`

func TestExamples(t *testing.T) {
	is := is.New(t)
	_, err := loader.ReadPlatform("../examples/platform.json")
	is.NoErr(err)
	for _, name := range []string{"entry-1", "entry-2"} {
		e, err := loader.ReadEntry("../examples/" + name + ".json")
		is.NoErr(err)
		is.Equal(e.Name, name)
		is.Equal(e.Limits, loader.DefaultLimits())
	}
	for _, name := range []string{"agent-1", "agent-2", "agent-3"} {
		a, err := loader.ReadAgent("../examples/" + name + ".json")
		is.NoErr(err)
		is.Equal(a.Name, name)
		is.Equal(a.Remember, loader.DefaultAgent().Remember)
	}
}

// TestClaimWritesLeaveStoreCapacity checks the default rate of claim writes for a
// store of 400 writes per second. The sweep deletes claims of a day ago at the rate
// at which they were written, so claims may need twice the limit, and other writers
// need the rest.
func TestClaimWritesLeaveStoreCapacity(t *testing.T) {
	is := is.New(t)
	writes := loader.DefaultLimits().ClaimWritesPerSecond
	is.Equal(writes, claimer.DefaultLimits().FleetCommitsPerSecond)
	is.True(2*writes <= 360)
}

func TestEntryOverridesOneLimit(t *testing.T) {
	is := is.New(t)
	e, err := loader.DecodeEntry("entry.json", []byte(entryText))
	is.NoErr(err)
	want := loader.DefaultLimits()
	want.AnswerWithin = 3 * time.Second
	is.Equal(e.Limits, want)
}

func TestDecodeEntryRejectsInvalid(t *testing.T) {
	cases := []struct{ name, old, replacement, want string }{
		{"unknown", `"zone"`, `"zones"`, "entry.json:3: field zones: unknown field"},
		{"missing", `"zone"`, `"zones"`, "entry.json:1: field zone: missing"},
		{"wrong case", `"zone"`, `"Zone"`, "entry.json:3: field Zone: unknown field"},
		{"doubled", `"zone": "cartago"`, `"zone": "a", "zone": "b"`, "entry.json:3: field zone: given twice"},
		{"wrong type", `"cartago"`, `7`, "entry.json:3: field zone: is a number"},
		{"null", `"cartago"`, `null`, "entry.json:3: field zone: is null"},
		{"blank", `"cartago"`, `" cartago"`, "begins or ends with blanks"},
		{"host name", `127.0.0.1:7000`, `localhost:7000`, "entry.json:7: field store"},
		{"no port", `127.0.0.1:7000`, `127.0.0.1`, "entry.json:7: field store"},
		{"not reachable", `127.0.0.1:8012`, `0.0.0.0:8012`, "entry.json:6: field internal"},
		{"shared port", `8012`, `8010`, "entry.json:6: field internal: has the port of callers"},
		{"duration as number", `"3s"`, `3`, "entry.json:8: field limits.answer-within"},
		{"duration out of range", `"3s"`, `"30h"`, "entry.json:8: field limits.answer-within"},
		{"deadline", `"3s"`, `"6m"`, "exceeds max-deadline"},
		{"syntax", `"cartago",`, `"cartago"`, "entry.json:4: not JSON"},
		{"trailing", `"3s"}` + "\n}", `"3s"}` + "\n} {}", "entry.json:9: not JSON"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(entryText, c.old, c.replacement, 1)
			_, err := loader.DecodeEntry("entry.json", []byte(text))
			is.Equal(fault.KindOf(err), fault.Invalid)
			is.True(fault.RemedyOf(err) != "")
			if !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestDecodeAgentRejectsDuplicatePool(t *testing.T) {
	is := is.New(t)
	text := `{"name":"a","zone":"z","listen":"127.0.0.1:1","store":"127.0.0.1:2",
"minion":"127.0.0.1:3","pools":["p","p"],"slots":0}`
	_, err := loader.DecodeAgent("agent.json", []byte(text))
	is.True(strings.Contains(err.Error(), `agent.json:2: field pools: "p" is given twice`))
	is.True(strings.Contains(err.Error(), "agent.json:2: field slots: 0 is out of range"))
}

func TestMissingFile(t *testing.T) {
	is := is.New(t)
	_, err := loader.ReadEntry("../examples/none.json")
	is.Equal(fault.KindOf(err), fault.NotFound)
}

func FuzzDecodeEntry(f *testing.F) {
	f.Add([]byte(entryText))
	f.Add([]byte(`{"limits": [[]], "name": 1e400}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := loader.DecodeEntry("f", data)
		if err != nil {
			if fault.KindOf(err) != fault.Invalid || fault.RemedyOf(err) == "" {
				t.Fatalf("error without kind invalid or without remedy: %v", err)
			}
			return
		}
		if e.Name == "" || !e.Store.IsValid() || e.Limits.JobTasks < 1 {
			t.Fatalf("accepted invalid settings %+v", e)
		}
	})
}
