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
	// tasks is the number of tasks per job.
	tasks = 100
	// jobTimeout is the time until the deadline of a job. It is longer than a
	// graceful shutdown may take.
	jobTimeout = time.Minute
)

// answer is the response to a job, with its ID.
type answer struct {
	status int
	job    string
	body   string
}

// newJob returns a job whose tasks have distinct paths and bodies.
func newJob(name string) string {
	var list []string
	for i := range tasks {
		list = append(list, fmt.Sprintf(`{"path":"/holds/%d","body":"%s %d"}`, i, name, i))
	}
	return `{"tasks":[` + strings.Join(list, ",") + `]}`
}

// submit sends a job under an idempotency key and waits for the answer.
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
	request.Header.Set("Agatevalve-Deadline", time.Now().Add(jobTimeout).Format(time.RFC3339Nano))
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

// checkStartedOnce fails the test unless each task of the job was started
// exactly once.
func checkStartedOnce(t *testing.T, s *system, job string) {
	t.Helper()
	starts := s.startCounts()
	for i := range tasks {
		if n := starts[fmt.Sprintf("%s-%d", job, i)]; n != 1 {
			t.Errorf("task %d of job %s started %d times", i, job, n)
		}
	}
}

func TestJobThroughTwoEntriesRunsOnce(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)

	// Submit through one entry after the other.
	first := submit(t, s.callersAddress(0), "job-1", newJob("one"))
	is.Equal(first.status, http.StatusOK)
	second := submit(t, s.callersAddress(1), "job-1", newJob("one"))
	is.Equal(second, first) // The same answer, byte for byte.
	checkStartedOnce(t, s, first.job)

	// Both entries refuse another body under the same key.
	is.Equal(submit(t, s.callersAddress(0), "job-1", newJob("two")).status, http.StatusUnprocessableEntity)
	is.Equal(submit(t, s.callersAddress(1), "job-1", newJob("two")).status, http.StatusUnprocessableEntity)

	// Submit through both entries concurrently, several times.
	var group sync.WaitGroup
	answers := make([]answer, 8)
	for i := range answers {
		group.Go(func() { answers[i] = submit(t, s.callersAddress(i%2), "job-2", newJob("three")) })
	}
	group.Wait()
	for _, a := range answers {
		is.Equal(a.status, http.StatusOK)
		is.Equal(a, answers[0])
	}
	checkStartedOnce(t, s, answers[0].job)

	checkGracefulStop(t, s)
}

// checkGracefulStop stops all processes while a request runs. The request must
// complete, and the other entry must go on serving.
func checkGracefulStop(t *testing.T, s *system) {
	t.Helper()
	is := is.New(t)
	started := len(s.startCounts())
	slow := make(chan answer)
	go func() {
		request, err := http.NewRequest(http.MethodPost, "http://"+s.callersAddress(0)+"/holds", strings.NewReader("slow"))
		if err != nil {
			t.Error(err)
		}
		request.Header.Set(emulator.ServiceTimeHeader, "3s")
		slow <- do(t, request)
	}()
	s.await("the slow request has started", func() bool { return len(s.startCounts()) > started })
	stopped := make(chan int)
	go func() { stopped <- s.entries[0].stop(t) }()
	s.await("entry-1 is not ready", func() bool {
		status, _ := get("http://" + s.operatorsAddress(0) + "/readyz")
		return status != http.StatusOK
	})
	is.Equal((<-slow).status, http.StatusOK) // The stop did not cut off the running request.
	is.Equal(<-stopped, 0)

	// The other entry still serves jobs.
	is.Equal(submit(t, s.callersAddress(1), "job-3", newJob("four")).status, http.StatusOK)
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

// TestJobOfAKilledOwnerIsTakenOver kills the entry that owns a running job, and
// resubmits the job through the other entry.
func TestJobOfAKilledOwnerIsTakenOver(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		request, err := jobRequest(s.callersAddress(0), "job-1", slowJob())
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
	s.await("more than a tenth of the tasks have started", func() bool { return len(s.startCounts()) > tasks/10 })
	is.NoErr(s.entries[0].command.Process.Kill())
	<-done
	began := time.Now()
	second := submit(t, s.callersAddress(1), "job-1", slowJob())
	t.Logf("the second entry answered with %d after %s", second.status, time.Since(began))
	checkStartedAtMostOnce(t, s)
	if second.status == http.StatusOK {
		checkStartedOnce(t, s, second.job)
		is.Equal(submit(t, s.callersAddress(1), "job-1", slowJob()), second)
		return
	}
	// Tasks that were in flight when their owner died may have run, so the
	// other entry may report the job as failed or possibly run.
	t.Logf("the job ended with %d: %s", second.status, second.body)
	is.True(strings.Contains(second.body, "may-have-run") || strings.Contains(second.body, `"failed"`))
}

// slowJob returns a job that runs long enough to be interrupted.
func slowJob() string { return jobTaking("100ms") }

// jobTaking returns a job whose tasks each take the service time at a minion of
// speed 1.
func jobTaking(service string) string {
	var list []string
	for i := range tasks {
		list = append(list, fmt.Sprintf(`{"header":{"%s":["%s"]},"body":"slow %d"}`, emulator.ServiceTimeHeader, service, i))
	}
	return `{"tasks":[` + strings.Join(list, ",") + `]}`
}

// checkStartedAtMostOnce fails the test if any task was started twice.
func checkStartedAtMostOnce(t *testing.T, s *system) {
	t.Helper()
	for id, count := range s.startCounts() {
		if count > 1 {
			t.Errorf("task %s started %d times", id, count)
		}
	}
}

// TestJobOnAFrozenAgentCompletes freezes an agent in the middle of a job and
// thaws it once its entry has closed the silent link. The entry must then
// settle the attempts.
func TestJobOnAFrozenAgentCompletes(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	answers := make(chan answer)
	go func() { answers <- submit(t, s.callersAddress(0), "job-1", slowJob()) }()
	s.await("more than a tenth of the tasks have started", func() bool { return len(s.startCounts()) > tasks/10 })
	frozen := s.agents[0].command.Process
	is.NoErr(frozen.Signal(syscall.SIGSTOP))
	s.await("the entry closes the silent link", func() bool {
		_, body := get("http://" + s.operatorsAddress(0) + "/metrics")
		return strings.Contains(body, "agatevalve_links_silent_total") && !strings.Contains(body, "agatevalve_links_silent_total 0\n")
	})
	is.NoErr(frozen.Signal(syscall.SIGCONT))
	first := <-answers
	is.Equal(first.status, http.StatusOK)
	checkStartedOnce(t, s, first.job)
	is.Equal(submit(t, s.callersAddress(1), "job-1", slowJob()), first)
}

// TestJobOfAFrozenOwnerIsTakenOver freezes the entry that owns a running job,
// resubmits the job through the other entry, which takes it over, and thaws the
// first entry, which has not noticed the takeover.
func TestJobOfAFrozenOwnerIsTakenOver(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	answers := make(chan answer)
	go func() { answers <- submit(t, s.callersAddress(0), "job-1", slowJob()) }()
	s.await("more than a tenth of the tasks have started", func() bool { return len(s.startCounts()) > tasks/10 })
	frozen := s.entries[0].command.Process
	is.NoErr(frozen.Signal(syscall.SIGSTOP))
	second := submit(t, s.callersAddress(1), "job-1", slowJob())
	is.NoErr(frozen.Signal(syscall.SIGCONT))
	first := <-answers
	t.Logf("the first entry answered with %d, the second with %d", first.status, second.status)
	is.Equal(second.status, http.StatusOK)
	checkStartedOnce(t, s, second.job)
	if first.status == http.StatusOK {
		is.Equal(first, second)
		return
	}
	is.True(!strings.Contains(first.body, "not-run")) // The job has run.
}
