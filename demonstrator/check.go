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
	// taskSeparator separates job ID and task index in the task ID that a
	// minion receives.
	taskSeparator = "-"
	checkTeam     = "cartago-desk"
	requestCount  = 20
	jobTaskCount  = 100
	// requestTimeout is the deadline of each request of the check.
	requestTimeout = 30 * time.Second
)

// check holds the state of one check.
type check struct {
	system *System
	out    io.Writer
	// requestIDs and jobID are the IDs that the entry assigned.
	requestIDs []string
	jobID      string
	// failures counts the failed expectations.
	failures int
}

// Check sends requests and a job, resubmits the job, and compares answers and
// task starts with what the system guarantees. It prints the results to out.
func (s *System) Check(ctx context.Context, out io.Writer) error {
	c := &check{system: s, out: out}
	if err := c.sendRequests(ctx); err != nil {
		return err
	}
	if err := c.sendJob(ctx); err != nil {
		return err
	}
	c.checkStarts()
	if c.failures > 0 {
		return fault.New(fault.Internal, "report what was printed", "%d promises were broken", c.failures)
	}
	return nil
}

// sendRequests sends requests that each run one task.
func (c *check) sendRequests(ctx context.Context) error {
	succeeded := 0
	for range requestCount {
		a, err := c.send(ctx, "", []byte("{}"))
		if err != nil {
			return err
		}
		c.requestIDs = append(c.requestIDs, a.jobID)
		if a.status == http.StatusOK {
			succeeded++
		}
	}
	c.expect(succeeded == requestCount, "%d of %d requests were answered with 200", succeeded, requestCount)
	return nil
}

// sendJob submits a job, the same job again, and a different job with the same
// idempotency key.
func (c *check) sendJob(ctx context.Context) error {
	key := fmt.Sprintf("check-%d", time.Now().UnixNano())
	bodies := make([][]byte, 0, 3)
	for _, tasks := range []int{jobTaskCount, jobTaskCount, 1} {
		body, err := jobBody(tasks)
		if err != nil {
			return err
		}
		bodies = append(bodies, body)
	}
	answers := make([]reply, 0, len(bodies))
	for _, body := range bodies {
		a, err := c.send(ctx, key, body)
		if err != nil {
			return err
		}
		answers = append(answers, a)
	}
	first, second, other := answers[0], answers[1], answers[2]
	c.jobID = first.jobID
	equal := bytes.Equal(first.body, second.body)
	c.expect(first.status == http.StatusOK, "the job of %d tasks was answered with %d, in %d bytes", jobTaskCount, first.status, len(first.body))
	c.expect(second.status == http.StatusOK, "the same job was answered again with %d", second.status)
	c.expect(equal, "both answers are equal byte for byte: %t", equal)
	c.expect(other.status == http.StatusUnprocessableEntity, "another body under the same key was answered with %d", other.status)
	return nil
}

// checkStarts compares the number of task starts at the minions with what was
// sent. The agents build the ID of each task from its job ID and index.
func (c *check) checkStarts() {
	startedOnce := make(map[string]int)
	startedAgain := 0
	for id, count := range c.system.Starts() {
		job, _, _ := strings.Cut(id, taskSeparator)
		if count == 1 {
			startedOnce[job]++
		} else {
			startedAgain++
		}
	}
	requests := 0
	for _, job := range c.requestIDs {
		requests += startedOnce[job]
	}
	c.expect(requests == requestCount, "%d of %d requests started once", requests, requestCount)
	c.expect(startedOnce[c.jobID] == jobTaskCount, "%d of %d tasks of the job started once", startedOnce[c.jobID], jobTaskCount)
	c.expect(startedAgain == 0, "%d tasks started more than once", startedAgain)
	for _, m := range c.system.minions {
		_, _ = fmt.Fprintf(c.out, "      %s started %d tasks\n", m.name, len(m.Starts())) // A failed write of the report has no remedy.
	}
}

// expect prints one expectation and counts it as a failure unless it holds.
func (c *check) expect(holds bool, format string, args ...any) {
	mark := "ok  "
	if !holds {
		mark = "FAIL"
		c.failures++
	}
	_, _ = fmt.Fprintf(c.out, "%s  %s\n", mark, fmt.Sprintf(format, args...)) // A failed write of the report has no remedy.
}

// reply is the response to one submission.
type reply struct {
	status int
	// jobID is the ID that the entry assigned.
	jobID string
	body  []byte
}

// send submits a job if key is set, and a single request otherwise.
func (c *check) send(ctx context.Context, key string, body []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	url := "http://" + c.system.entry.Callers().String() + "/holds"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return reply{}, fault.Wrap(err, fault.Internal, "report this", "make a request")
	}
	request.Header.Set("Agatevalve-Team", checkTeam)
	request.Header.Set("Agatevalve-Deadline", time.Now().Add(requestTimeout).UTC().Format(time.RFC3339Nano))
	if key != "" {
		request.Header.Set("Content-Type", jobMediaType)
		request.Header.Set("Idempotency-Key", `"`+key+`"`)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, fault.Wrap(err, fault.Unavailable, "look at the log", "send to %s", url)
	}
	defer func() { _ = response.Body.Close() }() // The body has been read completely.
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, fault.Wrap(err, fault.Internal, "report this", "the answer was cut")
	}
	return reply{status: response.StatusCode, jobID: response.Header.Get("Agatevalve-Job"), body: content}, nil
}

type jobJSON struct {
	Tasks []taskJSON `json:"tasks"`
}

type taskJSON struct {
	Body string `json:"body"`
}

func jobBody(count int) ([]byte, error) {
	var job jobJSON
	for i := range count {
		job.Tasks = append(job.Tasks, taskJSON{Body: fmt.Sprintf("hold %d", i)})
	}
	return json.Marshal(job)
}
