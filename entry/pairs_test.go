package entry_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// startOwned sends a job through entry-1, and returns once agent-1 runs tasks
// of it. Nobody reads the answer, since the entry is to be killed.
func startOwned(t *testing.T) *system {
	t.Helper()
	s := startSystem(t)
	request, err := jobRequest(s.callers(0), "job-1", jobTaking(longTask))
	if err != nil {
		t.Fatal(err)
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			t.Errorf("the killed entry answered with %d", response.StatusCode)
			_ = response.Body.Close()
		}
	}()
	t.Cleanup(func() { <-gone })
	s.awaitRunning()
	return s
}

// kill ends an entry at once.
func (s *system) kill(number int) {
	s.t.Helper()
	if err := s.entries[number].command.Process.Kill(); err != nil {
		s.t.Fatal(err)
	}
	<-s.entries[number].done
}

// checkTakenOver judges the answer of the entry that was left: complete, or
// honest about what may have run. A further resubmission gets the same.
func checkTakenOver(t *testing.T, s *system, a answer) {
	t.Helper()
	is := is.New(t)
	checkOnceAtMost(t, s)
	is.True(s.counted(1, "jobs_taken_over"))
	if a.status != http.StatusOK {
		t.Logf("the job ended with %d: %s", a.status, a.body)
		is.True(strings.Contains(a.body, "may-have-run") || strings.Contains(a.body, `"failed"`))
		return
	}
	checkOnce(t, s, a.job)
	is.Equal(submit(t, s.callers(1), "job-1", jobTaking(longTask)), a)
	checkOnce(t, s, a.job)
}

// TestOwnerKilledInAStoreOutageIsReplaced kills the owner of a running job
// while the table service is down, which comes back once the other entry has
// met the outage with the same job.
func TestOwnerKilledInAStoreOutageIsReplaced(t *testing.T) {
	s := startOwned(t)
	s.control(http.MethodPost, `{"kind":"down"}`)
	s.kill(0)
	again := s.submitLater(1, jobTaking(longTask))
	s.await("the other entry can't claim the job", func() bool { return s.counted(1, "claim_store_failures") })
	s.control(http.MethodDelete, "")
	checkTakenOver(t, s, <-again)
}

// TestOwnerKilledWhileAnAgentIsFrozenIsReplaced freezes an agent that runs
// tasks, kills their owner, and thaws the agent once the other entry has failed
// to reach it.
func TestOwnerKilledWhileAnAgentIsFrozenIsReplaced(t *testing.T) {
	is := is.New(t)
	s := startOwned(t)
	frozen := s.agents[0].command.Process
	is.NoErr(frozen.Signal(syscall.SIGSTOP))
	s.kill(0)
	again := s.submitLater(1, jobTaking(longTask))
	s.await("the other entry fails to fence the agent", func() bool { return s.counted(1, "link_inquiry_errors") })
	is.NoErr(frozen.Signal(syscall.SIGCONT))
	checkTakenOver(t, s, <-again)
}
