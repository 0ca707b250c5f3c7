package receiver_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/receiver"
	"agatevalve/router"
	"agatevalve/waiter"
)

// problem is a decoded problem document.
type problem struct {
	Type, Title, Detail, Outcome, Remedy, Job string

	Status int
}

// TestRefusalOfAKeyedRequestSaysMayHaveRun sends a passed deadline and a path
// without a route, which refuse only this submission. An earlier one with the
// same key may have been accepted and run, so the outcome must not be not-run.
func TestRefusalOfAKeyedRequestSaysMayHaveRun(t *testing.T) {
	for path, deadline := range map[string]string{"/holds": "2020-01-02T15:04:05Z", "/elsewhere": ""} {
		is := is.New(t)
		_, server := startServer(t, smallLimits(), echo)
		header := map[string]string{"Idempotency-Key": "k"}
		if deadline != "" {
			header["Agatevalve-Deadline"] = deadline
		}
		_, content := sendRequest(t, "GET", server.URL+path, header, "")
		var p problem
		is.NoErr(json.Unmarshal([]byte(content), &p))
		is.Equal(p.Outcome, "may-have-run")
		is.True(strings.HasPrefix(p.Detail, "this submission was not run: "))
	}
}

func TestBadInputIsRefusedAndNeverSubmitted(t *testing.T) {
	job := func(extra ...string) map[string]string {
		header := map[string]string{"Content-Type": jobMediaType}
		for i := 0; i+1 < len(extra); i += 2 {
			header[extra[i]] = extra[i+1]
		}
		return header
	}
	cases := []struct {
		name   string
		method string
		path   string
		header map[string]string
		body   string
		status int
		detail string
	}{
		{"no route", "GET", "/elsewhere", nil, "", 404, ""},
		{"operator path", "GET", "/metrics", nil, "", 404, "callers only"},
		{"internal path", "POST", "/agatevalve.v1.EntryService/Status", nil, "", 404, "callers only"},
		{"dot segment", "GET", "/holds/%2e%2e/x", nil, "", 400, "dot segment"},
		{"large header", "GET", "/holds", map[string]string{"X-Long": strings.Repeat("x", 2000)}, "", 431, "more than 1024"},
		{"large body", "POST", "/holds", nil, strings.Repeat("x", 3000), 413, "more than 2048"},
		{"deadline without a zone", "GET", "/holds", map[string]string{"Agatevalve-Deadline": "2026-01-02T15:04:05"}, "", 400, "RFC 3339"},
		{"deadline in the past", "GET", "/holds", map[string]string{"Agatevalve-Deadline": "2020-01-02T15:04:05Z"}, "", 400, "passed"},
		{"deadline too far", "GET", "/holds", map[string]string{"Agatevalve-Deadline": "2999-01-02T15:04:05Z"}, "", 400, "too far"},
		{"two deadlines", "GET", "/holds", map[string]string{"Agatevalve-Deadline": "a|b"}, "", 400, "twice"},
		{"two teams", "GET", "/holds", map[string]string{"Agatevalve-Team": "a|b"}, "", 400, "twice"},
		{"empty team", "GET", "/holds", map[string]string{"Agatevalve-Team": ""}, "", 400, "empty"},
		{"long team", "GET", "/holds", map[string]string{"Agatevalve-Team": strings.Repeat("t", 101)}, "", 400, "101 bytes"},
		{"two keys", "GET", "/holds", map[string]string{"Idempotency-Key": "a|b"}, "", 400, "twice"},
		{"open quote", "GET", "/holds", map[string]string{"Idempotency-Key": `"abc`}, "", 400, "quoted"},
		{"empty quoted key", "GET", "/holds", map[string]string{"Idempotency-Key": `""`}, "", 400, "quoted"},
		{"key with a stray quote", "GET", "/holds", map[string]string{"Idempotency-Key": `"a"b"`}, "", 400, "quoted"},
		{"upgrade", "GET", "/holds", map[string]string{"Upgrade": "websocket"}, "", 400, "protocol"},
		{"job by PUT", "PUT", "/holds", job(), `{"tasks":[{}]}`, 405, "PUT"},
		{"empty job", "POST", "/holds", job(), "", 400, "empty"},
		{"not JSON", "POST", "/holds", job(), "{tasks", 400, "line 1|job:1"},
		{"not an object", "POST", "/holds", job(), "[]", 400, "object"},
		{"more after the job", "POST", "/holds", job(), `{"tasks":[{}]}{}`, 400, "JSON"},
		{"no tasks field", "POST", "/holds", job(), `{}`, 400, "missing"},
		{"no tasks", "POST", "/holds", job(), `{"tasks":[]}`, 400, "no tasks"},
		{"too many tasks", "POST", "/holds", job(), `{"tasks":[{},{},{},{}]}`, 400, "4 items"},
		{"unknown field", "POST", "/holds", job(), `{"tasks":[{"verb":"GET"}]}`, 400, "tasks[0].verb: unknown"},
		{"unknown outer field", "POST", "/holds", job(), `{"tasks":[{}],"more":1}`, 400, "more: unknown"},
		{"doubled field", "POST", "/holds", job(), `{"tasks":[{"path":"/a","path":"/b"}]}`, 400, "tasks[0].path: given twice"},
		{"doubled outer field", "POST", "/holds", job(), `{"tasks":[{}],"tasks":[{}]}`, 400, "tasks: given twice"},
		{"wrong type", "POST", "/holds", job(), "{\"tasks\":[{},\n{\"method\":1}]}", 400, "job:2: field tasks[1].method"},
		{"null task", "POST", "/holds", job(), `{"tasks":[null]}`, 400, "tasks[0]"},
		{"bad method", "POST", "/holds", job(), `{"tasks":[{"method":"GE T"}]}`, 400, "method"},
		{"connect", "POST", "/holds", job(), `{"tasks":[{"method":"CONNECT"}]}`, 400, "method"},
		{"relative path", "POST", "/holds", job(), `{"tasks":[{"path":"x"}]}`, 400, "path"},
		{"foreign target", "POST", "/holds", job(), `{"tasks":[{"path":"http://elsewhere/"}]}`, 400, "path"},
		{"dot segment in a task", "POST", "/holds", job(), `{"tasks":[{"path":"/a/../b"}]}`, 400, "dot segment"},
		{"both bodies", "POST", "/holds", job(), `{"tasks":[{"body":"a","body-base64":"YQ=="}]}`, 400, "beside body"},
		{"bad base64", "POST", "/holds", job(), `{"tasks":[{"body-base64":"YQ"}]}`, 400, "base64"},
		{"half a character", "POST", "/holds", job(), `{"tasks":[{"body":"\ud83d"}]}`, 400, "surrogate"},
		{"bad UTF-8", "POST", "/holds", job(), "{\"tasks\":[{\"body\":\"\xff\"}]}", 400, "UTF-8"},
		{"header not a list", "POST", "/holds", job(), `{"tasks":[{"header":{"a":"b"}}]}`, 400, "header"},
		{"doubled header", "POST", "/holds", job(), `{"tasks":[{"header":{"a":[],"a":[]}}]}`, 400, "twice"},
		{"header in two spellings", "POST", "/holds", job(), `{"tasks":[{"header":{"a":[],"A":[]}}]}`, 400, "two spellings"},
		{"bad header name", "POST", "/holds", job(), `{"tasks":[{"header":{"a b":["c"]}}]}`, 400, "valid name"},
		{"header with a line break", "POST", "/holds", job(), `{"tasks":[{"header":{"a":["b\r\nc"]}}]}`, 400, "control character"},
		{"header of the connection", "POST", "/holds", job(), `{"tasks":[{"header":{"connection":["close"]}}]}`, 400, "set by agatevalve"},
		{"large task header", "POST", "/holds", job(), `{"tasks":[{"header":{"a":["` + strings.Repeat("x", 1024) + `"]}}]}`, 400, "1029 bytes"},
	}
	c, server := startServer(t, smallLimits(), echo)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			response, content := sendRequest(t, tc.method, server.URL+tc.path, tc.header, tc.body)
			is.Equal(response.StatusCode, tc.status)
			is.Equal(response.Header.Get("Content-Type"), "application/problem+json")
			is.Equal(response.Header.Get("Content-Length"), strconv.Itoa(len(content)))
			var p problem
			is.NoErr(json.Unmarshal([]byte(content), &p))
			is.Equal(p.Outcome, "not-run")
			is.Equal(p.Status, tc.status)
			is.True(strings.HasPrefix(p.Type, "urn:agatevalve:problem:"))
			is.True(p.Remedy != "")
			is.Equal(p.Job, response.Header.Get("Agatevalve-Job"))
			is.Equal(len(p.Job), 32)
			found := false
			for _, want := range strings.Split(tc.detail, "|") {
				found = found || strings.Contains(p.Detail, want)
			}
			if !found {
				t.Errorf("detail %q does not contain %q", p.Detail, tc.detail)
			}
		})
	}
	is.New(t).Equal(c.submissionCount(), 0) // Nothing was submitted to the core.
}

func TestFullEventQueueIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	table, err := router.Compile(1, []router.Route{{Name: "all", PathPrefix: "/", Pool: "desk"}}, []router.Pool{{Name: "desk"}})
	is.NoErr(err)
	events := ring.New[dispatcher.Event](1)
	is.True(events.Offer(dispatcher.Tick{}))
	handler := receiver.New(receiver.Options{
		Limits: smallLimits(), Events: events, Waiters: waiter.New(), Table: func() *router.Table { return table },
	})
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/x", nil))
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
	is.True(strings.Contains(recorder.Body.String(), `"not-run"`))
	is.Equal(recorder.Header().Get("Retry-After"), "1")
}

func TestBodiesInFlightAreBounded(t *testing.T) {
	is := is.New(t)
	table, err := router.Compile(1, []router.Route{{Name: "all", PathPrefix: "/", Pool: "desk"}}, []router.Pool{{Name: "desk"}})
	is.NoErr(err)
	events := ring.New[dispatcher.Event](4)
	waiters := waiter.New()
	handler := receiver.New(receiver.Options{
		Limits: smallLimits(), Events: events, Waiters: waiters, Table: func() *router.Table { return table }, MaxInFlightBytes: 100,
	})
	first := httptest.NewRecorder()
	var group sync.WaitGroup
	group.Go(func() {
		handler.ServeHTTP(first, httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(strings.Repeat("x", 80))))
	})
	<-events.Ready() // The first request is in flight and reserves 80 of 100 bytes.
	second := httptest.NewRecorder()
	handler.ServeHTTP(second, httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(strings.Repeat("x", 30))))
	is.Equal(second.Code, http.StatusServiceUnavailable)
	is.True(strings.Contains(second.Body.String(), `"not-run"`))
	is.Equal(len(second.Header().Get("Agatevalve-Job")), 32)
	waiting, _ := events.TakeAll(nil)
	is.Equal(len(waiting), 1) // The second request was not submitted.
	waiters.Deliver(dispatcher.Reply{
		Ticket: waiting[0].(dispatcher.Submitted).Submission.Ticket,
		Answer: dispatcher.Answer{Outcome: task.Complete, Responses: []task.Response{{Status: 200}}},
	})
	group.Wait()
	is.Equal(first.Code, http.StatusOK)
}

func TestEntryWithoutConfigurationRefuses(t *testing.T) {
	is := is.New(t)
	handler := receiver.New(receiver.Options{
		Limits: smallLimits(), Events: ring.New[dispatcher.Event](1), Waiters: waiter.New(), Table: func() *router.Table { return nil },
	})
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/x", nil))
	is.Equal(recorder.Code, http.StatusServiceUnavailable)
	is.True(strings.Contains(recorder.Body.String(), `"not-run"`))
}
