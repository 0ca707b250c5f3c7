package entry_test

import (
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"agatevalve/emulator"
)

// storeErrors matches the metric of failed calls to the table service when it
// is above 0.
var storeErrors = regexp.MustCompile(`agatevalve_store_errors_total [1-9]`)

// requestFault calls the emulated table service to set a fault, or to clear
// all.
func (s *system) requestFault(method, body string) {
	s.t.Helper()
	url := "http://" + s.addresses["127.0.0.1:7000"] + emulator.FaultsPath
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		s.t.Fatalf("the request to set or clear a fault failed with status %d", response.StatusCode)
	}
}

// submitThroughBoth submits one job through both entries concurrently and calls
// during meanwhile. Both answers must be complete and equal, and each task must
// have started exactly once.
func (s *system) submitThroughBoth(key string, during func()) {
	s.t.Helper()
	var group sync.WaitGroup
	answers := make([]answer, 2)
	for i := range answers {
		group.Go(func() { answers[i] = submit(s.t, s.callersAddress(i), key, newJob(key)) })
	}
	during()
	group.Wait()
	if answers[0] != answers[1] || answers[0].status != http.StatusOK {
		s.t.Errorf("%s: the entries answered with %d and %d", key, answers[0].status, answers[1].status)
	}
	checkStartedOnce(s.t, s, answers[0].job)
}

// TestStoreFaultsDoNotRepeatStarts submits jobs through both entries while the
// emulated table service is down, is slow, or loses its replies.
func TestStoreFaultsDoNotRepeatStarts(t *testing.T) {
	s := startSystem(t)
	s.requestFault(http.MethodPost, `{"kind":"down"}`)
	s.submitThroughBoth("down", func() {
		s.await("both entries have failed to call the table service", func() bool {
			_, first := get("http://" + s.operatorsAddress(0) + "/metrics")
			_, second := get("http://" + s.operatorsAddress(1) + "/metrics")
			return storeErrors.MatchString(first) && storeErrors.MatchString(second)
		})
		s.requestFault(http.MethodDelete, "")
	})

	s.requestFault(http.MethodPost, `{"kind":"slow","delay":"300ms"}`)
	s.submitThroughBoth("slow", func() {})
	s.requestFault(http.MethodDelete, "")

	s.requestFault(http.MethodPost, `{"kind":"lose-replies","on":"writes"}`)
	s.submitThroughBoth("lost", func() {})
	s.requestFault(http.MethodDelete, "")
}

// TestConcurrentEditsConflict applies two edits of the same base revision
// concurrently, while a job is submitted. Exactly one edit must be refused as a
// conflict, so that none is overwritten unnoticed.
func TestConcurrentEditsConflict(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	data, err := os.ReadFile(filepath.Join(s.directory, "routes-and-pools.json"))
	is.NoErr(err)
	var group sync.WaitGroup
	outputs := make([]string, 2)
	failed := make([]bool, 2)
	s.submitThroughBoth("race", func() {
		for i, slots := range []string{"7", "6"} {
			name := "edit-" + slots + ".json"
			content := strings.Replace(string(data), `"slots-per-minion": 8`, `"slots-per-minion": `+slots, 1)
			is.NoErr(os.WriteFile(filepath.Join(s.directory, name), []byte(content), fileMode))
			command := s.command("agatevalve", "--store", s.addresses["127.0.0.1:7000"], "config", "apply", name,
				"--base", "1", "--who", "ana", "--why", "race")
			group.Go(func() {
				output, err := command.CombinedOutput()
				outputs[i], failed[i] = string(output), err != nil
			})
		}
		group.Wait()
	})
	t.Logf("the output of both commands:\n%s\n%s", outputs[0], outputs[1])
	is.True(failed[0] != failed[1]) // Exactly one edit is applied; the other one conflicts.
}

// TestSilentStoreConnectionIsReplaced blackholes the open connections of one
// entry to the table service; new connections work. The entry must replace
// them.
func TestSilentStoreConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	store := s.addresses["127.0.0.1:7000"]
	r := newRelay(t, store)
	is.Equal(s.entries[0].stop(t), 0)
	path := filepath.Join(s.directory, "entry-1.json")
	data, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(strings.Contains(string(data), store))
	is.NoErr(os.WriteFile(path, []byte(strings.ReplaceAll(string(data), store, r.address())), fileMode))
	s.entries[0] = s.start("agatevalve", "serve", "entry-1.json")
	s.awaitReady(0)
	s.submitThroughBoth("before", func() {})
	is.True(r.blackholeOpen() > 0)
	s.submitThroughBoth("silent", func() {})
}

// TestKilledAgentDoesNotRepeatStarts kills an agent in the middle of a job
// submitted through both entries, and starts a new one in its place.
func TestKilledAgentDoesNotRepeatStarts(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	var group sync.WaitGroup
	answers := make([]answer, 2)
	for i := range answers {
		group.Go(func() { answers[i] = submit(t, s.callersAddress(i), "job-1", slowJob()) })
	}
	s.await("more than a tenth of the tasks have started", func() bool { return len(s.startCounts()) > tasks/10 })
	is.NoErr(s.agents[0].command.Process.Kill())
	<-s.agents[0].done
	s.agents[0] = s.start("agatevalve-agent", "agent-1.json") // The new agent knows none of the tasks.
	group.Wait()
	checkStartedAtMostOnce(t, s)
	for _, a := range answers {
		t.Logf("answered with %d", a.status)
		if a.status == http.StatusOK {
			checkStartedOnce(t, s, a.job)
			continue
		}
		is.True(!strings.Contains(a.body, "not-run")) // The job has run.
	}
	is.Equal(answers[0].status, answers[1].status)
}
