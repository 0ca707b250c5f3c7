package entry_test

import (
	"net/http"
	"regexp"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

const (
	// Service times of tasks. A job of long tasks takes longer than an entry
	// needs to detect a silent link, and a job of longer tasks takes longer
	// than three attempts to reach its owner.
	longTask   = "1s"
	longerTask = "2s"
)

// submitAsync submits a job in the background and returns the channel of its
// answer.
func (s *system) submitAsync(number int, job string) <-chan answer {
	answers := make(chan answer, 1)
	go func() { answers <- submit(s.t, s.callersAddress(number), "job-1", job) }()
	return answers
}

// metricIsPositive reports whether a metric of an entry is above 0.
func (s *system) metricIsPositive(number int, name string) bool {
	_, body := get("http://" + s.operatorsAddress(number) + "/metrics")
	return regexp.MustCompile("agatevalve_" + name + "(_total)? [1-9]").MatchString(body)
}

// awaitRunning waits until agent-1 has tasks at its minion.
func (s *system) awaitRunning() {
	s.t.Helper()
	s.await("agent-1 runs tasks", func() bool { return s.minions[0].Running() > 0 })
}

// TestJobOverASilentLinkCompletes blackholes the connection from an entry to an
// agent that runs tasks, and resubmits the job through the other entry. The
// first entry must detect the silent link and settle the attempts over a new
// one.
func TestJobOverASilentLinkCompletes(t *testing.T) {
	is := is.New(t)
	var relays []*relay
	s := startSystem(t, func(s *system) { relays = s.relayAgentLinks() })
	answers := s.submitAsync(0, jobTaking(longTask))
	s.awaitRunning()
	is.True(relays[0].blackholeOpen() > 0)
	second := submit(t, s.callersAddress(1), "job-1", jobTaking(longTask))
	first := <-answers
	checkStartedAtMostOnce(t, s)
	is.True(s.metricIsPositive(0, "links_silent"))
	is.True(s.metricIsPositive(1, "owners_asked"))
	is.Equal(first.status, http.StatusOK)
	is.Equal(second, first)
	checkStartedOnce(t, s, first.job)
}

// TestSilentOwnerConnectionIsReplaced blackholes the connection over which an
// entry waits for an answer from the owner of a job. New connections work, so
// the entry must ask again.
func TestSilentOwnerConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	s, r, answers := startSystemAwaitingOwner(t, longTask)
	silenced := r.blackholeOpen()
	is.True(silenced > 0)
	first, second := <-answers[0], <-answers[1]
	checkStartedAtMostOnce(t, s)
	is.True(r.blackholeOpen() > silenced) // The owner was asked again.
	is.Equal(first.status, http.StatusOK)
	is.Equal(second, first)
	checkStartedOnce(t, s, first.job)
}

// TestJobOfAnUnreachableOwnerIsTakenOver blackholes all connections from an
// entry to the owner of a job. The entry must take the job over, although the
// owner is alive.
func TestJobOfAnUnreachableOwnerIsTakenOver(t *testing.T) {
	is := is.New(t)
	s, r, answers := startSystemAwaitingOwner(t, longerTask)
	is.True(r.blackholeAll() > 0)
	first, second := <-answers[0], <-answers[1]
	checkStartedAtMostOnce(t, s)
	is.True(s.metricIsPositive(1, "owners_lost"))
	is.True(s.metricIsPositive(1, "jobs_taken_over"))
	is.Equal(second.status, http.StatusOK)
	is.Equal(first, second)
	checkStartedOnce(t, s, second.job)
}

// startSystemAwaitingOwner submits a job through both entries and returns once
// the second one waits, through the relay, for the answer of the first.
func startSystemAwaitingOwner(t *testing.T, service string) (*system, *relay, []<-chan answer) {
	t.Helper()
	var r *relay
	s := startSystem(t, func(s *system) { r = s.relayAnswerFetches() })
	answers := []<-chan answer{s.submitAsync(0, jobTaking(service))}
	s.awaitRunning()
	answers = append(answers, s.submitAsync(1, jobTaking(service)))
	s.await("the owner is asked", func() bool { return s.metricIsPositive(0, "answers_fetched") })
	return s, r, answers
}

// TestResubmissionDuringAnAgentFreezeIsAnswered freezes an agent that runs
// tasks and resubmits the job through the other entry. It thaws the agent once
// that entry waits for the owner and the owner has closed the silent link.
func TestResubmissionDuringAnAgentFreezeIsAnswered(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	answers := s.submitAsync(0, jobTaking(longTask))
	s.awaitRunning()
	frozen := s.agents[0].command.Process
	is.NoErr(frozen.Signal(syscall.SIGSTOP))
	again := s.submitAsync(1, jobTaking(longTask))
	s.await("the owner is asked and closes the silent link", func() bool {
		return s.metricIsPositive(0, "answers_fetched") && s.metricIsPositive(0, "links_silent")
	})
	is.NoErr(frozen.Signal(syscall.SIGCONT))
	first, second := <-answers, <-again
	checkStartedAtMostOnce(t, s)
	is.Equal(first.status, http.StatusOK)
	is.Equal(second, first)
	checkStartedOnce(t, s, first.job)
}
