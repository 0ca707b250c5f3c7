package entry_test

import (
	"net/http"
	"regexp"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Service times. A job of long tasks outlasts a link that falls silent, and one
// of longer tasks outlasts three tries to reach its owner.
const (
	longTask   = "1s"
	longerTask = "2s"
)

// submitLater sends a job, and gives its answer.
func (s *system) submitLater(number int, job string) <-chan answer {
	answers := make(chan answer, 1)
	go func() { answers <- submit(s.t, s.callers(number), "job-1", job) }()
	return answers
}

// counted reports whether a figure of an entry is above 0.
func (s *system) counted(number int, name string) bool {
	_, body := get("http://" + s.operators(number) + "/metrics")
	return regexp.MustCompile("agatevalve_" + name + "(_total)? [1-9]").MatchString(body)
}

// awaitRunning waits until agent-1 has tasks at its minion.
func (s *system) awaitRunning() {
	s.t.Helper()
	s.await("agent-1 runs tasks", func() bool { return s.minions[0].Running() > 0 })
}

// TestSilentAgentConnectionIsSettled has the connection from an entry to an
// agent go silent while the agent runs tasks, and sends the job again through
// the other entry.
func TestSilentAgentConnectionIsSettled(t *testing.T) {
	is := is.New(t)
	var relays []*relay
	s := startSystem(t, func(s *system) { relays = s.relayAgent() })
	answers := s.submitLater(0, jobTaking(longTask))
	s.awaitRunning()
	is.True(relays[0].silence() > 0)
	second := submit(t, s.callers(1), "job-1", jobTaking(longTask))
	first := <-answers
	checkOnceAtMost(t, s)
	is.True(s.counted(0, "links_silent"))
	is.True(s.counted(1, "owners_asked"))
	is.Equal(first.status, http.StatusOK)
	is.Equal(second, first)
	checkOnce(t, s, first.job)
}

// TestSilentOwnerConnectionIsReplaced has the connection from an entry to the
// owner of a job go silent while the answer is awaited. A new one works.
func TestSilentOwnerConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	s, r, answers := startAsking(t, longTask)
	silenced := r.silence()
	is.True(silenced > 0)
	first, second := <-answers[0], <-answers[1]
	checkOnceAtMost(t, s)
	is.True(r.silence() > silenced) // The owner was asked again.
	is.Equal(first.status, http.StatusOK)
	is.Equal(second, first)
	checkOnce(t, s, first.job)
}

// TestUnreachableOwnerIsReplaced has all connections from an entry to the owner
// of a job go silent for good, so that the job is taken over from an owner that
// goes on.
func TestUnreachableOwnerIsReplaced(t *testing.T) {
	is := is.New(t)
	s, r, answers := startAsking(t, longerTask)
	is.True(r.mute() > 0)
	first, second := <-answers[0], <-answers[1]
	checkOnceAtMost(t, s)
	is.True(s.counted(1, "owners_lost"))
	is.True(s.counted(1, "jobs_taken_over"))
	is.Equal(second.status, http.StatusOK)
	is.Equal(first, second)
	checkOnce(t, s, second.job)
}

// startAsking sends a job through both entries. When it returns the second one
// waits for the answer of the first, through the relay.
func startAsking(t *testing.T, service string) (*system, *relay, []<-chan answer) {
	t.Helper()
	var r *relay
	s := startSystem(t, func(s *system) { r = s.relayOwner() })
	answers := []<-chan answer{s.submitLater(0, jobTaking(service))}
	s.awaitRunning()
	answers = append(answers, s.submitLater(1, jobTaking(service)))
	s.await("the owner is asked", func() bool { return s.counted(0, "answers_fetched") })
	return s, r, answers
}

// TestResubmissionDuringAFreezeIsAnswered freezes an agent that runs tasks,
// sends the job again through the other entry, and thaws the agent once that
// entry waits for the owner and the owner has given the link up.
func TestResubmissionDuringAFreezeIsAnswered(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	answers := s.submitLater(0, jobTaking(longTask))
	s.awaitRunning()
	frozen := s.agents[0].command.Process
	is.NoErr(frozen.Signal(syscall.SIGSTOP))
	again := s.submitLater(1, jobTaking(longTask))
	s.await("the owner is asked, and gives the link up", func() bool {
		return s.counted(0, "answers_fetched") && s.counted(0, "links_silent")
	})
	is.NoErr(frozen.Signal(syscall.SIGCONT))
	first, second := <-answers, <-again
	checkOnceAtMost(t, s)
	is.Equal(first.status, http.StatusOK)
	is.Equal(second, first)
	checkOnce(t, s, first.job)
}
