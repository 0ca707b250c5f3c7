package receiver_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"unicode/utf8"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/receiver"
	"agatevalve/router"
	"agatevalve/waiter"
)

// echoDispatcher echoes each submission immediately and records the last one.
type echoDispatcher struct {
	waiters *waiter.Registry
	last    *dispatcher.Submission
}

// Offer implements receiver.EventQueue.
func (a *echoDispatcher) Offer(ev dispatcher.Event) bool {
	if e, ok := ev.(dispatcher.Submitted); ok {
		a.last = &e.Submission
		answer, _ := echo(e.Submission)
		a.waiters.Deliver(dispatcher.Reply{Ticket: e.Submission.Ticket, Known: true, Answer: answer})
	}
	return true
}

// Put implements receiver.EventQueue.
func (a *echoDispatcher) Put(_ context.Context, ev dispatcher.Event) bool { return a.Offer(ev) }

// FuzzJob sends arbitrary bytes as a job. The job must either be refused as not
// run without being submitted, or be submitted within the limits with tasks
// that net/http can send.
func FuzzJob(f *testing.F) {
	for _, seed := range []string{
		`{"tasks":[{"method":"PUT","path":"/x?y=1","header":{"k":["v"]},"body":"a"}]}`,
		`{"tasks":[{"body-base64":"/w=="},{}]}`,
		`{"tasks":[{"body":"\ud83d\ude00"}]}`,
		`{"tasks":[{"body":"\ud83d"}]}`,
		`{"tasks":[],"tasks":1}`,
		`[`,
		"",
	} {
		f.Add([]byte(seed))
	}
	table, err := router.Compile(1, []router.Route{{Name: "all", PathPrefix: "/", Pool: "desk"}}, []router.Pool{{Name: "desk"}})
	if err != nil {
		f.Fatal(err)
	}
	limits := smallLimits()
	f.Fuzz(func(t *testing.T, body []byte) {
		core := &echoDispatcher{waiters: waiter.New()}
		handler := receiver.New(receiver.Options{
			Limits: limits, Events: core, Waiters: core.waiters, Table: func() *router.Table { return table },
		})
		request := httptest.NewRequest(http.MethodPost, "/holds", bytes.NewReader(body))
		request.Header.Set("Content-Type", jobMediaType)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if core.last == nil {
			refused := strings.Contains(recorder.Body.String(), `"outcome":"not-run"`)
			if !refused || recorder.Code < 400 || recorder.Code > 499 {
				t.Fatalf("not submitted, but answered with %d instead of a refusal as not run: %s", recorder.Code, recorder.Body)
			}
			return
		}
		if len(core.last.Tasks) < 1 || len(core.last.Tasks) > limits.JobTasks || !utf8.Valid(body) {
			t.Fatalf("submitted %d tasks, outside the limits or from invalid UTF-8", len(core.last.Tasks))
		}
		for _, r := range core.last.Tasks {
			checkSendable(t, r)
		}
	})
}

// checkSendable fails the test unless net/http can send the request.
func checkSendable(t *testing.T, r task.Request) {
	t.Helper()
	request, err := http.NewRequest(r.Method, "http://minion"+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		t.Fatalf("submitted a request that can't be sent: %v", err)
	}
	request.Header = r.Header
	if err := request.Write(&bytes.Buffer{}); err != nil {
		t.Fatalf("submitted a request that can't be sent: %v", err)
	}
}
