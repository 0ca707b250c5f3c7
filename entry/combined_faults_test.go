package entry_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// startSystemWithRunningJob submits a job through entry-1 and returns once
// agent-1 runs tasks of it. The job is expected to get no answer, because the
// test kills the entry.
func startSystemWithRunningJob(t *testing.T) *system {
	t.Helper()
	s := startSystem(t)
	request, err := jobRequest(s.callersAddress(0), "job-1", jobTaking(longTask))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			t.Errorf("the killed entry answered with %d", response.StatusCode)
			_ = response.Body.Close()
		}
	}()
	t.Cleanup(func() { <-done })
	s.awaitRunning()
	return s
}

// kill ends an entry with SIGKILL.
func (s *system) kill(number int) {
	s.t.Helper()
	if err := s.entries[number].command.Process.Kill(); err != nil {
		s.t.Fatal(err)
	}
	<-s.entries[number].done
}

// checkTakenOver checks the answer of the surviving entry: it must be complete,
// or say what may have run. A resubmission must get the same answer.
func checkTakenOver(t *testing.T, s *system, a answer) {
	t.Helper()
	is := is.New(t)
	checkStartedAtMostOnce(t, s)
	is.True(s.metricIsPositive(1, "jobs_taken_over"))
	if a.status != http.StatusOK {
		t.Logf("the job ended with %d: %s", a.status, a.body)
		is.True(strings.Contains(a.body, "may-have-run") || strings.Contains(a.body, `"failed"`))
		return
	}
	checkStartedOnce(t, s, a.job)
	is.Equal(submit(t, s.callersAddress(1), "job-1", jobTaking(longTask)), a)
	checkStartedOnce(t, s, a.job)
}

// TestJobIsTakenOverAfterAStoreOutage kills the owner of a running job while
// the table service is down. The service recovers once the other entry has
// failed to claim the job.
func TestJobIsTakenOverAfterAStoreOutage(t *testing.T) {
	s := startSystemWithRunningJob(t)
	s.requestFault(http.MethodPost, `{"kind":"down"}`)
	s.kill(0)
	again := s.submitAsync(1, jobTaking(longTask))
	s.await("the other entry can't claim the job", func() bool { return s.metricIsPositive(1, "claim_store_failures") })
	s.requestFault(http.MethodDelete, "")
	checkTakenOver(t, s, <-again)
}

// TestJobIsTakenOverAfterAnAgentFreeze freezes an agent that runs tasks, kills
// their owner, and thaws the agent once the other entry has failed to fence it.
func TestJobIsTakenOverAfterAnAgentFreeze(t *testing.T) {
	is := is.New(t)
	s := startSystemWithRunningJob(t)
	frozen := s.agents[0].command.Process
	is.NoErr(frozen.Signal(syscall.SIGSTOP))
	s.kill(0)
	again := s.submitAsync(1, jobTaking(longTask))
	s.await("the other entry fails to fence the agent", func() bool { return s.metricIsPositive(1, "link_inquiry_errors") })
	is.NoErr(frozen.Signal(syscall.SIGCONT))
	checkTakenOver(t, s, <-again)
}
