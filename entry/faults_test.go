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

var storeErrors = regexp.MustCompile(`agatevalve_store_errors_total [1-9]`)

// control calls the control path of the stand-in table service.
func (s *system) control(method, body string) {
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
		s.t.Fatalf("control: status %d", response.StatusCode)
	}
}

// submitTwice sends one job through both entries at once, and calls during
// meanwhile. Both answers must be the same, and each task has started once.
func (s *system) submitTwice(key string, during func()) {
	s.t.Helper()
	var group sync.WaitGroup
	answers := make([]answer, 2)
	for i := range answers {
		group.Go(func() { answers[i] = submit(s.t, s.callers(i), key, jobOf(key)) })
	}
	during()
	group.Wait()
	if answers[0] != answers[1] || answers[0].status != http.StatusOK {
		s.t.Errorf("%s: the entries answered with %d and %d", key, answers[0].status, answers[1].status)
	}
	checkOnce(s.t, s, answers[0].job)
}

// TestStoreFaultsStartNothingTwice resubmits jobs through another entry while
// the stand-in table service is down, slow, and loses its replies.
func TestStoreFaultsStartNothingTwice(t *testing.T) {
	s := startSystem(t)
	s.control(http.MethodPost, `{"kind":"down"}`)
	s.submitTwice("down", func() {
		s.await("both entries have met the outage", func() bool {
			_, first := get("http://" + s.operators(0) + "/metrics")
			_, second := get("http://" + s.operators(1) + "/metrics")
			return storeErrors.MatchString(first) && storeErrors.MatchString(second)
		})
		s.control(http.MethodDelete, "")
	})

	s.control(http.MethodPost, `{"kind":"slow","delay":"300ms"}`)
	s.submitTwice("slow", func() {})
	s.control(http.MethodDelete, "")

	s.control(http.MethodPost, `{"kind":"lose-replies","on":"writes"}`)
	s.submitTwice("lost", func() {})
	s.control(http.MethodDelete, "")
}

// TestRacingOperatorsLoseNoEdit applies two edits of one revision at once,
// while a job is resubmitted.
func TestRacingOperatorsLoseNoEdit(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	data, err := os.ReadFile(filepath.Join(s.directory, "routes-and-pools.json"))
	is.NoErr(err)
	var group sync.WaitGroup
	outputs := make([]string, 2)
	failed := make([]bool, 2)
	s.submitTwice("race", func() {
		for i, slots := range []string{"7", "6"} {
			name := "edit-" + slots + ".json"
			content := strings.Replace(string(data), `"slots-per-minion": 8`, `"slots-per-minion": `+slots, 1)
			is.NoErr(os.WriteFile(filepath.Join(s.directory, name), []byte(content), writeMode))
			command := s.command("agatevalve", "--store", s.addresses["127.0.0.1:7000"], "config", "apply", name,
				"--base", "1", "--who", "ana", "--why", "race")
			group.Go(func() {
				output, err := command.CombinedOutput()
				outputs[i], failed[i] = string(output), err != nil
			})
		}
		group.Wait()
	})
	t.Logf("the operators were told:\n%s\n%s", outputs[0], outputs[1])
	is.True(failed[0] != failed[1]) // One edit stands, and the other is a conflict.
}

// TestSilentStoreConnectionIsReplaced has the connections of one entry to the
// table service go silent for good, while new ones work.
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
	is.NoErr(os.WriteFile(path, []byte(strings.ReplaceAll(string(data), store, r.address())), writeMode))
	s.entries[0] = s.start("agatevalve", "serve", "entry-1.json")
	s.awaitReady(0)
	s.submitTwice("before", func() {})
	is.True(r.silence() > 0)
	s.submitTwice("silent", func() {})
}

// TestKilledAgentStartsNothingTwice kills an agent in the middle of a job that
// goes through both entries, and starts another in its place.
func TestKilledAgentStartsNothingTwice(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	var group sync.WaitGroup
	answers := make([]answer, 2)
	for i := range answers {
		group.Go(func() { answers[i] = submit(t, s.callers(i), "job-1", slowJob()) })
	}
	s.await("some tasks have started", func() bool { return len(s.starts()) > tasks/10 })
	is.NoErr(s.agents[0].command.Process.Kill())
	<-s.agents[0].done
	s.agents[0] = s.start("agatevalve-agent", "agent-1.json") // It knows nothing of the tasks.
	group.Wait()
	checkOnceAtMost(t, s)
	for _, a := range answers {
		t.Logf("answered with %d", a.status)
		if a.status == http.StatusOK {
			checkOnce(t, s, a.job)
			continue
		}
		is.True(!strings.Contains(a.body, "not-run")) // The job did run.
	}
	is.Equal(answers[0].status, answers[1].status)
}
