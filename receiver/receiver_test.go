package receiver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/loader"
	"agatevalve/receiver"
	"agatevalve/router"
	"agatevalve/waiter"
)

const (
	jobMediaType = "application/vnd.agatevalve.job+json"
)

// fakeDispatcher stands in for the dispatcher: it records the events and
// answers each submission with a function.
type fakeDispatcher struct {
	events  *ring.Ring[dispatcher.Event]
	waiters *waiter.Registry
	// answer returns the reply to a submission; false sends no reply.
	answer func(dispatcher.Submission) (dispatcher.Answer, bool)

	mu        sync.Mutex
	submitted []dispatcher.Submission
	cancelled chan dispatcher.Ticket
	arrived   chan dispatcher.Submission
}

func (c *fakeDispatcher) run(ctx context.Context) {
	var events []dispatcher.Event
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.events.Ready():
		}
		events, _ = c.events.TakeAll(events[:0])
		for _, ev := range events {
			c.handle(ev)
		}
	}
}

func (c *fakeDispatcher) handle(ev dispatcher.Event) {
	switch e := ev.(type) {
	case dispatcher.Submitted:
		c.mu.Lock()
		c.submitted = append(c.submitted, e.Submission)
		c.mu.Unlock()
		if answer, ok := c.answer(e.Submission); ok {
			c.waiters.Deliver(dispatcher.Reply{Ticket: e.Submission.Ticket, Known: true, Answer: answer})
		}
		c.arrived <- e.Submission
	case dispatcher.WaitCancelled:
		c.cancelled <- e.Ticket
	}
}

func (c *fakeDispatcher) submissionCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.submitted)
}

// echo answers each task with its method, path and body.
func echo(s dispatcher.Submission) (dispatcher.Answer, bool) {
	answer := dispatcher.Answer{Outcome: task.Complete}
	for _, r := range s.Tasks {
		answer.Responses = append(answer.Responses, task.Response{
			Status: http.StatusOK,
			Header: http.Header{"X-Path": {r.Path}, "Connection": {"close"}},
			Body:   []byte(r.Method + " " + string(r.Body)),
		})
	}
	return answer, true
}

func smallLimits() loader.Limits {
	limits := loader.DefaultLimits()
	limits.HeaderBytes = 1 << 10
	limits.BodyBytes = 2 << 10
	limits.JobTasks = 3
	limits.AnswerBytes = 4 << 10
	limits.MaxDeadline = time.Hour
	return limits
}

// startServer serves a receiver with one route, /holds, and a fake dispatcher.
func startServer(t *testing.T, limits loader.Limits, answer func(dispatcher.Submission) (dispatcher.Answer, bool)) (*fakeDispatcher, *httptest.Server) {
	t.Helper()
	table, err := router.Compile(7,
		[]router.Route{{Name: "holds", PathPrefix: "/holds", Pool: "desk"}},
		[]router.Pool{{Name: "desk"}},
	)
	if err != nil {
		t.Fatal(err)
	}
	c := &fakeDispatcher{
		events:    ring.New[dispatcher.Event](64),
		waiters:   waiter.New(),
		answer:    answer,
		cancelled: make(chan dispatcher.Ticket, 64),
		arrived:   make(chan dispatcher.Submission, 64),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.run(ctx)
	}()
	server := httptest.NewServer(receiver.New(receiver.Options{
		Limits:  limits,
		Events:  c.events,
		Waiters: c.waiters,
		Table:   func() *router.Table { return table },
	}))
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-done
	})
	return c, server
}

// reply holds the status and header of a response.
type reply struct {
	StatusCode int
	Header     http.Header
}

// sendRequest sends a request and reads the whole body. A | in a header value
// separates the values of a repeated field.
func sendRequest(t *testing.T, method, url string, header map[string]string, body string) (reply, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range header {
		request.Header[name] = strings.Split(value, "|")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return reply{response.StatusCode, response.Header}, string(content)
}

func TestSingleRequestRoundTrip(t *testing.T) {
	is := is.New(t)
	c, server := startServer(t, smallLimits(), echo)
	header := map[string]string{"Agatevalve-Team": "desk", "Connection": "X-Hop", "X-Hop": "1", "X-Kept": "2"}
	response, content := sendRequest(t, http.MethodPost, server.URL+"/holds/1?day=2", header, "hello")
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(content, "POST hello")
	is.Equal(response.Header.Get("X-Path"), "/holds/1?day=2")
	is.Equal(response.Header.Get("Content-Length"), "10")
	s := <-c.arrived
	is.Equal(s.Team, task.Team("desk"))
	is.Equal(s.Plan.Revision, uint64(7))
	is.Equal(s.Job.String(), response.Header.Get("Agatevalve-Job"))
	is.Equal(s.Tasks[0].Header.Get("X-Kept"), "2")
	is.Equal(s.Tasks[0].Header.Get("X-Hop"), "") // Connection names it, so it is hop-by-hop.
}

func TestJobRoundTrip(t *testing.T) {
	is := is.New(t)
	c, server := startServer(t, smallLimits(), echo)
	body := `{"tasks":[{"method":"PUT","path":"/x?y=1","header":{"k":["v","w"]},"body":" a\u00e9 "},{"body-base64":"/w=="},{}]}`
	header := map[string]string{"Content-Type": jobMediaType + "; charset=utf-8", "Idempotency-Key": `"k-1"`}
	response, content := sendRequest(t, http.MethodPost, server.URL+"/holds/many", header, body)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(response.Header.Get("Content-Type"), "application/vnd.agatevalve.job-answer+json")
	is.Equal(response.Header.Get("Content-Length"), strconv.Itoa(len(content)))
	var answer struct {
		Job   string
		Tasks []struct {
			Status     int
			Header     http.Header
			Body       *string
			BodyBase64 []byte `json:"body-base64"`
		}
	}
	is.NoErr(json.Unmarshal([]byte(content), &answer))
	is.Equal(answer.Job, task.KeyedJobID("", "k-1").String())
	is.Equal(answer.Job, response.Header.Get("Agatevalve-Job"))
	is.Equal(len(answer.Tasks), 3)
	is.Equal(*answer.Tasks[0].Body, "PUT  aé ")
	is.Equal(answer.Tasks[1].Body, nil)
	is.Equal(answer.Tasks[1].BodyBase64, []byte("POST \xff"))
	is.Equal(answer.Tasks[2].Header.Get("X-Path"), "/holds/many")
	s := <-c.arrived
	is.Equal(s.Tasks[0].Header["K"], []string{"v", "w"})
	is.Equal(s.Tasks[0].Path, "/x?y=1")
}

func TestDigestDistinguishesSubmissions(t *testing.T) {
	is := is.New(t)
	c, server := startServer(t, smallLimits(), echo)
	digest := func(method, path, contentType, body string) task.Digest {
		sendRequest(t, method, server.URL+path, map[string]string{"Content-Type": contentType}, body)
		return (<-c.arrived).Digest
	}
	first := digest("POST", "/holds/1", jobMediaType, `{"tasks":[{}]}`)
	is.Equal(first, digest("POST", "/holds/1", jobMediaType, `{"tasks":[{}]}`))
	is.True(first != digest("POST", "/holds/2", jobMediaType, `{"tasks":[{}]}`))
	is.True(first != digest("POST", "/holds/1", jobMediaType, `{"tasks":[{} ]}`))
	is.True(first != digest("POST", "/holds/1", "application/json", `{"tasks":[{}]}`))
	is.True(digest("POST", "/holds", "", "") != digest("PUT", "/holds", "", ""))
}

func TestFailuresKeepTheirOutcome(t *testing.T) {
	cases := []struct {
		name       string
		answer     dispatcher.Answer
		status     int
		outcome    string
		retryAfter string
	}{
		{"refused", dispatcher.Answer{Outcome: task.NotRun, Status: 429, Reason: "full", Remedy: "wait", RetryAt: time.Now().Add(-time.Second)}, 429, "not-run", "1"},
		{"failed", dispatcher.Answer{Outcome: task.Failed, Status: 502, Reason: "broken", Remedy: "look"}, 502, "failed", ""},
		{"in doubt", dispatcher.Answer{Outcome: task.MayHaveRun, Reason: "lost", Remedy: "look"}, 504, "may-have-run", ""},
		{"too few responses", dispatcher.Answer{Outcome: task.Complete}, 502, "failed", ""},
		{"bad status", dispatcher.Answer{Outcome: task.Complete, Responses: []task.Response{{Status: 101}}}, 502, "failed", ""},
		{"answer too large", dispatcher.Answer{Outcome: task.Complete, Responses: []task.Response{{Status: 200, Body: make([]byte, 5000)}}}, 502, "failed", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, server := startServer(t, smallLimits(), func(dispatcher.Submission) (dispatcher.Answer, bool) { return tc.answer, true })
			response, content := sendRequest(t, http.MethodGet, server.URL+"/holds", nil, "")
			var p problem
			is.NoErr(json.Unmarshal([]byte(content), &p))
			is.Equal(response.StatusCode, tc.status)
			is.Equal(p.Outcome, tc.outcome)
			is.True(p.Remedy != "")
			is.Equal(response.Header.Get("Retry-After"), tc.retryAfter)
		})
	}
}

// TestMissingReplyIsAnsweredWithGatewayTimeout has a core that never replies,
// for example because it lost the submission. The caller must still get an
// answer by its deadline.
func TestMissingReplyIsAnsweredWithGatewayTimeout(t *testing.T) {
	is := is.New(t)
	limits := smallLimits()
	limits.AnswerWithin = 50 * time.Millisecond
	c, server := startServer(t, limits, func(dispatcher.Submission) (dispatcher.Answer, bool) { return dispatcher.Answer{}, false })
	response, content := sendRequest(t, http.MethodGet, server.URL+"/holds", nil, "")
	is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	is.True(strings.Contains(content, `"may-have-run"`))
	is.Equal(<-c.cancelled, (<-c.arrived).Ticket)
}

func TestDisconnectCancelsTheWait(t *testing.T) {
	is := is.New(t)
	c, server := startServer(t, smallLimits(), func(dispatcher.Submission) (dispatcher.Answer, bool) { return dispatcher.Answer{}, false })
	ctx, disconnect := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/holds", strings.NewReader("x"))
	is.NoErr(err)
	done := make(chan error, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		done <- err
	}()
	s := <-c.arrived
	disconnect()
	is.True(<-done != nil)
	is.Equal(<-c.cancelled, s.Ticket)
	// A late reply is dropped and not delivered to another caller.
	is.True(!c.waiters.Deliver(dispatcher.Reply{Ticket: s.Ticket}))
}

func TestRepliesInReverseOrderReachTheirCallers(t *testing.T) {
	is := is.New(t)
	c, server := startServer(t, smallLimits(), func(dispatcher.Submission) (dispatcher.Answer, bool) { return dispatcher.Answer{}, false })
	const callers = 20
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			want := fmt.Sprintf("body-%d", i)
			_, content := sendRequest(t, http.MethodPost, server.URL+"/holds", nil, want)
			if content != "POST "+want {
				t.Errorf("caller %d got %q", i, content)
			}
		})
	}
	submissions := make([]dispatcher.Submission, 0, callers)
	for range callers {
		submissions = append(submissions, <-c.arrived)
	}
	for i := range submissions {
		s := submissions[callers-1-i]
		answer, _ := echo(s)
		is.True(c.waiters.Deliver(dispatcher.Reply{Ticket: s.Ticket, Known: true, Answer: answer}))
		is.True(!c.waiters.Deliver(dispatcher.Reply{Ticket: s.Ticket, Known: true})) // Each ticket takes exactly one reply.
	}
	group.Wait()
}
