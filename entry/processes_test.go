package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/emulator"
)

const (
	tasks = 100
	// deadlineAfter is the deadline of the jobs here. It is later than the time
	// that a planned stop may take.
	deadlineAfter = time.Minute
)

type answer struct {
	status int
	job    string
	body   string
}

func jobOf(name string) string {
	var list []string
	for i := range tasks {
		list = append(list, fmt.Sprintf(`{"path":"/holds/%d","body":"%s %d"}`, i, name, i))
	}
	return `{"tasks":[` + strings.Join(list, ",") + `]}`
}

func submit(t *testing.T, address, key, body string) answer {
	t.Helper()
	request, err := jobRequest(address, key, body)
	if err != nil {
		t.Error(err)
		return answer{}
	}
	return do(t, request)
}

func jobRequest(address, key, body string) (*http.Request, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/holds", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/vnd.agatevalve.job+json")
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Agatevalve-Team", "cartago-desk")
	request.Header.Set("Agatevalve-Deadline", time.Now().Add(deadlineAfter).Format(time.RFC3339Nano))
	return request, nil
}

func do(t *testing.T, request *http.Request) answer {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Error(err)
	}
	return answer{response.StatusCode, response.Header.Get("Agatevalve-Job"), string(body)}
}

// checkOnce fails the test unless each task of a job was started once.
func checkOnce(t *testing.T, s *system, job string) {
	t.Helper()
	starts := s.starts()
	for i := range tasks {
		if n := starts[fmt.Sprintf("%s-%d", job, i)]; n != 1 {
			t.Errorf("task %d of job %s started %d times", i, job, n)
		}
	}
}

func TestJobThroughTwoEntriesRunsOnce(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)

	// One after the other.
	first := submit(t, s.callers(0), "job-1", jobOf("one"))
	is.Equal(first.status, http.StatusOK)
	second := submit(t, s.callers(1), "job-1", jobOf("one"))
	is.Equal(second, first) // The same answer, byte for byte.
	checkOnce(t, s, first.job)

	// Another body under the key is refused everywhere.
	is.Equal(submit(t, s.callers(0), "job-1", jobOf("two")).status, http.StatusUnprocessableEntity)
	is.Equal(submit(t, s.callers(1), "job-1", jobOf("two")).status, http.StatusUnprocessableEntity)

	// Through both entries at once, several times.
	var group sync.WaitGroup
	answers := make([]answer, 8)
	for i := range answers {
		group.Go(func() { answers[i] = submit(t, s.callers(i%2), "job-2", jobOf("three")) })
	}
	group.Wait()
	for _, a := range answers {
		is.Equal(a.status, http.StatusOK)
		is.Equal(a, answers[0])
	}
	checkOnce(t, s, answers[0].job)

	checkStops(t, s)
}

// checkStops stops all processes while a request runs.
func checkStops(t *testing.T, s *system) {
	t.Helper()
	is := is.New(t)
	started := len(s.starts())
	slow := make(chan answer)
	go func() {
		request, err := http.NewRequest(http.MethodPost, "http://"+s.callers(0)+"/holds", strings.NewReader("slow"))
		if err != nil {
			t.Error(err)
		}
		request.Header.Set(emulator.ServiceTimeHeader, "3s")
		slow <- do(t, request)
	}()
	s.await("the slow request has started", func() bool { return len(s.starts()) > started })
	stopped := make(chan int)
	go func() { stopped <- s.entries[0].stop(t) }()
	s.await("entry-1 is not ready", func() bool {
		status, _ := get("http://" + s.operators(0) + "/readyz")
		return status != http.StatusOK
	})
	is.Equal((<-slow).status, http.StatusOK) // The stop cut nothing.
	is.Equal(<-stopped, 0)

	// The other entry goes on.
	is.Equal(submit(t, s.callers(1), "job-3", jobOf("four")).status, http.StatusOK)
	is.Equal(s.entries[1].stop(t), 0)
	var group sync.WaitGroup
	for _, a := range s.agents {
		group.Go(func() {
			if code := a.stop(t); code != 0 {
				t.Errorf("%s ended with %d", a.name, code)
			}
		})
	}
	group.Wait()
	is.Equal(s.platform.stop(t), 0)
}

// TestKilledOwnerIsReplaced kills the entry that owns a running job, and sends
// the job again through the other one.
func TestKilledOwnerIsReplaced(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		request, err := jobRequest(s.callers(0), "job-1", slowJob())
		if err != nil {
			t.Error(err)
			return
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			t.Errorf("the killed entry answered with %d", response.StatusCode)
			_ = response.Body.Close()
		}
	}()
	s.await("some tasks have started", func() bool { return len(s.starts()) > tasks/10 })
	is.NoErr(s.entries[0].command.Process.Kill())
	<-gone
	began := time.Now()
	second := submit(t, s.callers(1), "job-1", slowJob())
	t.Logf("the second entry answered with %d after %s", second.status, time.Since(began))
	checkOnceAtMost(t, s)
	if second.status == http.StatusOK {
		checkOnce(t, s, second.job)
		is.Equal(submit(t, s.callers(1), "job-1", slowJob()), second)
		return
	}
	// Honest otherwise: tasks that may have been on their way when their owner
	// died can't be excluded.
	t.Logf("the job ended with %d: %s", second.status, second.body)
	is.True(strings.Contains(second.body, "may-have-run") || strings.Contains(second.body, `"failed"`))
}

// slowJob has tasks that take long enough to be met in the middle.
func slowJob() string { return jobTaking("100ms") }

// jobTaking has tasks that each take a service time at a minion of speed 1.
func jobTaking(service string) string {
	var list []string
	for i := range tasks {
		list = append(list, fmt.Sprintf(`{"header":{"%s":["%s"]},"body":"slow %d"}`, emulator.ServiceTimeHeader, service, i))
	}
	return `{"tasks":[` + strings.Join(list, ",") + `]}`
}

func checkOnceAtMost(t *testing.T, s *system) {
	t.Helper()
	for id, count := range s.starts() {
		if count > 1 {
			t.Errorf("task %s started %d times", id, count)
		}
	}
}

// TestFrozenAgentIsSettled freezes an agent in the middle of a job until its
// entry has given the link up, and thaws it.
func TestFrozenAgentIsSettled(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	answers := make(chan answer)
	go func() { answers <- submit(t, s.callers(0), "job-1", slowJob()) }()
	s.await("some tasks have started", func() bool { return len(s.starts()) > tasks/10 })
	frozen := s.agents[0].command.Process
	is.NoErr(frozen.Signal(syscall.SIGSTOP))
	s.await("the entry gives the link up", func() bool {
		_, body := get("http://" + s.operators(0) + "/metrics")
		return strings.Contains(body, "agatevalve_links_silent_total") && !strings.Contains(body, "agatevalve_links_silent_total 0\n")
	})
	is.NoErr(frozen.Signal(syscall.SIGCONT))
	first := <-answers
	is.Equal(first.status, http.StatusOK)
	checkOnce(t, s, first.job)
	is.Equal(submit(t, s.callers(1), "job-1", slowJob()), first)
}

// TestFrozenOwnerIsReplaced freezes the entry that owns a running job, has the
// other one take the job over, and thaws the first, which knows nothing of it.
func TestFrozenOwnerIsReplaced(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	answers := make(chan answer)
	go func() { answers <- submit(t, s.callers(0), "job-1", slowJob()) }()
	s.await("some tasks have started", func() bool { return len(s.starts()) > tasks/10 })
	frozen := s.entries[0].command.Process
	is.NoErr(frozen.Signal(syscall.SIGSTOP))
	second := submit(t, s.callers(1), "job-1", slowJob())
	is.NoErr(frozen.Signal(syscall.SIGCONT))
	first := <-answers
	t.Logf("the first entry answered with %d, the second with %d", first.status, second.status)
	is.Equal(second.status, http.StatusOK)
	checkOnce(t, s, second.job)
	if first.status == http.StatusOK {
		is.Equal(first, second)
		return
	}
	is.True(!strings.Contains(first.body, "not-run")) // The job did run.
}
