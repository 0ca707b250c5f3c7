package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"agatevalve/common/fault"
)

const (
	jobMediaType = "application/vnd.agatevalve.job+json"
	// taskSeparator stands between job and index in the id that a minion sees.
	taskSeparator = "-"
	checkTeam     = "cartago-desk"
	requests      = 20
	jobTasks      = 100
	// checkWithin is the deadline of each request of the check.
	checkWithin = 30 * time.Second
)

// check holds what one check has seen so far.
type check struct {
	system *System
	out    io.Writer
	// singles and job are the ids of what was sent.
	singles []string
	job     string
	// faults counts what was not as promised.
	faults int
}

// Check sends requests and a job, resubmits the job, and compares answers and
// starts with what is promised. It prints what it saw.
func (s *System) Check(ctx context.Context, out io.Writer) error {
	c := &check{system: s, out: out}
	if err := c.sendSingles(ctx); err != nil {
		return err
	}
	if err := c.sendJob(ctx); err != nil {
		return err
	}
	c.countStarts()
	if c.faults > 0 {
		return fault.New(fault.Internal, "report what was printed", "%d promises were broken", c.faults)
	}
	return nil
}

// sendSingles sends requests that each run one task.
func (c *check) sendSingles(ctx context.Context) error {
	complete := 0
	for range requests {
		a, err := c.send(ctx, "", []byte("{}"))
		if err != nil {
			return err
		}
		c.singles = append(c.singles, a.job)
		if a.status == http.StatusOK {
			complete++
		}
	}
	c.see(complete == requests, "%d of %d requests were answered with 200", complete, requests)
	return nil
}

// sendJob submits a job, the same again, and another under the same key.
func (c *check) sendJob(ctx context.Context) error {
	key := fmt.Sprintf("check-%d", time.Now().UnixNano())
	bodies := make([][]byte, 0, 3)
	for _, tasks := range []int{jobTasks, jobTasks, 1} {
		body, err := jobBody(tasks)
		if err != nil {
			return err
		}
		bodies = append(bodies, body)
	}
	answers := make([]answer, 0, len(bodies))
	for _, body := range bodies {
		a, err := c.send(ctx, key, body)
		if err != nil {
			return err
		}
		answers = append(answers, a)
	}
	first, second, other := answers[0], answers[1], answers[2]
	c.job = first.job
	equal := bytes.Equal(first.body, second.body)
	c.see(first.status == http.StatusOK, "the job of %d tasks was answered with %d, in %d bytes", jobTasks, first.status, len(first.body))
	c.see(second.status == http.StatusOK, "the same job was answered again with %d", second.status)
	c.see(equal, "both answers are equal byte for byte: %t", equal)
	c.see(other.status == http.StatusUnprocessableEntity, "another body under the same key was answered with %d", other.status)
	return nil
}

// countStarts compares the minions' counts with what was sent. The agents name
// each task by its job and index.
func (c *check) countStarts() {
	once := make(map[string]int)
	again := 0
	for id, count := range c.system.Starts() {
		job, _, _ := strings.Cut(id, taskSeparator)
		if count == 1 {
			once[job]++
		} else {
			again++
		}
	}
	singles := 0
	for _, job := range c.singles {
		singles += once[job]
	}
	c.see(singles == requests, "%d of %d requests started once", singles, requests)
	c.see(once[c.job] == jobTasks, "%d of %d tasks of the job started once", once[c.job], jobTasks)
	c.see(again == 0, "%d tasks started more than once", again)
	for _, m := range c.system.minions {
		_, _ = fmt.Fprintf(c.out, "      %s started %d tasks\n", m.name, len(m.Starts())) // Output is for people.
	}
}

func (c *check) see(holds bool, format string, args ...any) {
	mark := "ok  "
	if !holds {
		mark = "FAIL"
		c.faults++
	}
	_, _ = fmt.Fprintf(c.out, "%s  %s\n", mark, fmt.Sprintf(format, args...)) // Output is for people.
}

// answer is what came back for one submission.
type answer struct {
	status int
	// job is the id that the entry gave.
	job  string
	body []byte
}

// send sends a job when key is set, and a request otherwise.
func (c *check) send(ctx context.Context, key string, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, checkWithin)
	defer cancel()
	url := "http://" + c.system.entry.Callers().String() + "/holds"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return answer{}, fault.Wrap(err, fault.Internal, "report this", "make a request")
	}
	request.Header.Set("Agatevalve-Team", checkTeam)
	request.Header.Set("Agatevalve-Deadline", time.Now().Add(checkWithin).UTC().Format(time.RFC3339Nano))
	if key != "" {
		request.Header.Set("Content-Type", jobMediaType)
		request.Header.Set("Idempotency-Key", `"`+key+`"`)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, fault.Wrap(err, fault.Unavailable, "look at the log", "send to %s", url)
	}
	defer func() { _ = response.Body.Close() }() // The body was read whole.
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}, fault.Wrap(err, fault.Internal, "report this", "the answer was cut")
	}
	return answer{status: response.StatusCode, job: response.Header.Get("Agatevalve-Job"), body: content}, nil
}

type jobWire struct {
	Tasks []taskWire `json:"tasks"`
}

type taskWire struct {
	Body string `json:"body"`
}

func jobBody(tasks int) ([]byte, error) {
	var job jobWire
	for i := range tasks {
		job.Tasks = append(job.Tasks, taskWire{Body: fmt.Sprintf("hold %d", i)})
	}
	return json.Marshal(job)
}
