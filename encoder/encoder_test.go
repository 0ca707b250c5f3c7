package encoder_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/encoder"
	v1 "agatevalve/wire/agatevalvev1"
)

var (
	testTime = time.Date(2026, 5, 1, 9, 30, 0, 123, time.UTC)
	process  = task.Process{Name: "entry-1", Incarnation: 9}
	start    = task.Start{
		Task: task.ID{Job: task.JobID{1, 2}, Index: 1299}, Attempt: 2, Generation: 3,
		Team: "t\xff", Pool: "desk", Deadline: testTime,
		Request: task.Request{
			Method: "POST", Path: "/a?b=\xe9", Host: "desk.example:80",
			Header: http.Header{"X-Name": {"caf\xe9", "é", ""}}, Body: []byte{0, 1},
		},
	}
	response = task.Response{Status: 201, Header: http.Header{"A": {"b"}}, Body: []byte("c")}
	reports  = []task.Report{
		{Task: start.Task, Attempt: 1, State: task.Finished, Response: response},
		{Task: start.Task, Attempt: 1, State: task.Unstarted, Refusal: task.Busy},
		{Task: start.Task, Attempt: 1, State: task.Broken, Reason: "cut"},
		{Task: start.Task, Attempt: 1, State: task.Running},
		{Task: start.Task, Attempt: 1, State: task.Forgotten},
	}
	load         = dispatcher.Load{Slots: 8, Running: 7, Queued: 2, Leaving: true, Revision: 11}
	announcement = dispatcher.Announcement{
		Peer: dispatcher.Peer{Process: process, Address: netip.MustParseAddrPort("127.0.0.1:9")},
		Zone: "cartago", Worker: "w", Rack: "r", Pools: []string{"desk"}, Load: load, Expires: testTime,
	}
	fence           = dispatcher.Fence{Agent: dispatcher.Peer{Process: process}, Job: start.Task.Job, Generation: 2, Deadline: testTime}
	attempts        = []dispatcher.AttemptRef{{Task: start.Task, Attempt: 1, Deadline: testTime}}
	answerRequested = dispatcher.AnswerRequested{Team: "t\xff", Job: start.Task.Job, Digest: task.Digest{5}, Deadline: testTime}
)

// roundTrip marshals m, unmarshals it into empty and returns empty.
func roundTrip[M proto.Message](t *testing.T, m, empty M) M {
	t.Helper()
	is := is.New(t)
	data, err := proto.Marshal(m)
	is.NoErr(err)
	is.NoErr(proto.Unmarshal(data, empty))
	return empty
}

func TestRoundTrips(t *testing.T) {
	is := is.New(t)
	gotStart, err := encoder.StartFromWire(roundTrip(t, encoder.StartToWire(start), &v1.Start{}))
	is.NoErr(err)
	is.Equal(gotStart, start)
	gotReports, err := encoder.ReportsFromWire(encoder.ReportsToWire(reports))
	is.NoErr(err)
	is.Equal(gotReports, reports)
	gotAnnouncement, err := encoder.AnnouncementFromWire(roundTrip(t, encoder.AnnouncementToWire(announcement), &v1.AnnounceRequest{}))
	is.NoErr(err)
	is.Equal(gotAnnouncement, announcement)
	gotFence, err := encoder.FenceFromWire(roundTrip(t, encoder.FenceToWire(fence), &v1.FenceRequest{}))
	is.NoErr(err)
	is.Equal(gotFence, fence)
	to, gotAttempts, err := encoder.SettleFromWire(roundTrip(t, encoder.SettleToWire(process, attempts), &v1.SettleRequest{}))
	is.NoErr(err)
	is.Equal(to, process)
	is.Equal(gotAttempts, attempts)
	to, gotAnswerRequested, err := encoder.FetchFromWire(roundTrip(t, encoder.FetchToWire(process, answerRequested), &v1.FetchRequest{}))
	is.NoErr(err)
	is.Equal(to, process)
	is.Equal(gotAnswerRequested, answerRequested)
	for _, a := range []dispatcher.Answer{
		{Outcome: task.Complete, Responses: []task.Response{response, response}},
		{Outcome: task.MayHaveRun, Reason: "r", Remedy: "m", Status: 504},
	} {
		got, err := encoder.AnswerFromWire(roundTrip(t, encoder.AnswerToWire(a), &v1.Answer{}))
		is.NoErr(err)
		is.Equal(got, a)
	}
}

func TestStartFromWireRejectsInvalid(t *testing.T) {
	for name, corrupt := range map[string]func(*v1.Start){
		"short job":              func(m *v1.Start) { m.Job = m.Job[1:] },
		"negative index":         func(m *v1.Start) { m.Index = -1 },
		"no attempt":             func(m *v1.Start) { m.Attempt = 0 },
		"no pool":                func(m *v1.Start) { m.Pool = "" },
		"no deadline":            func(m *v1.Start) { m.Deadline = nil },
		"invalid deadline":       func(m *v1.Start) { m.Deadline.Nanos = -1 },
		"team above Latin-1":     func(m *v1.Start) { m.Team = "\u0100" },
		"no request":             func(m *v1.Start) { m.Request = nil },
		"no method":              func(m *v1.Start) { m.Request.Method = "" },
		"method with space":      func(m *v1.Start) { m.Request.Method = "A B" },
		"relative path":          func(m *v1.Start) { m.Request.Path = "a" },
		"path with space":        func(m *v1.Start) { m.Request.Path = "/ HTTP/1.1" },
		"path with line break":   func(m *v1.Start) { m.Request.Path = "/\r\n" },
		"host with line break":   func(m *v1.Start) { m.Request.Host = "a\nb" },
		"header with line break": func(m *v1.Start) { m.Request.Header[0].Values[0] = "a\r\nB: c" },
		"header without name":    func(m *v1.Start) { m.Request.Header[0].Name = "" },
		"duplicate header":       func(m *v1.Start) { m.Request.Header = append(m.Request.Header, m.Request.Header[0]) },
	} {
		t.Run(name, func(t *testing.T) {
			m := encoder.StartToWire(start)
			corrupt(m)
			_, err := encoder.StartFromWire(m)
			checkInvalid(t, err)
		})
	}
}

func TestFromWireRejectsInvalid(t *testing.T) {
	runningWithResponse := encoder.ReportToWire(reports[0])
	runningWithResponse.State = v1.TaskState_TASK_STATE_RUNNING
	unknownRefusal := encoder.ReportToWire(reports[1])
	unknownRefusal.Refusal = 99
	withoutResponses := &v1.Answer{Outcome: "complete"}
	unspecifiedAddress := encoder.AnnouncementToWire(announcement)
	unspecifiedAddress.Address = "0.0.0.0:80"
	withoutDeadlines := encoder.SettleToWire(process, attempts)
	withoutDeadlines.Deadlines = nil
	for name, decode := range map[string]func() error{
		"response of a running task":  func() error { _, err := encoder.ReportFromWire(runningWithResponse); return err },
		"unknown refusal":             func() error { _, err := encoder.ReportFromWire(unknownRefusal); return err },
		"missing report":              func() error { _, err := encoder.ReportFromWire(nil); return err },
		"complete without responses":  func() error { _, err := encoder.AnswerFromWire(withoutResponses); return err },
		"unspecified address":         func() error { _, err := encoder.AnnouncementFromWire(unspecifiedAddress); return err },
		"attempts without deadlines":  func() error { _, _, err := encoder.SettleFromWire(withoutDeadlines); return err },
		"process without incarnation": func() error { _, err := encoder.ProcessFromWire(&v1.Process{Name: "a"}); return err },
		"negative load":               func() error { _, err := encoder.LoadFromWire(&v1.Load{Queued: -1}); return err },
	} {
		t.Run(name, func(t *testing.T) { checkInvalid(t, decode()) })
	}
}

func checkInvalid(t *testing.T, err error) {
	t.Helper()
	is := is.New(t)
	is.True(err != nil)
	is.Equal(fault.KindOf(err), fault.Invalid)
	is.True(fault.RemedyOf(err) != "")
}

// FuzzEntryFrame checks that each start in a frame of an entry either is rejected
// as invalid or stays the same when it is encoded and decoded again.
func FuzzEntryFrame(f *testing.F) {
	seed, err := proto.Marshal(&v1.EntryFrame{Starts: []*v1.Start{encoder.StartToWire(start)}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &v1.EntryFrame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		for _, m := range frame.GetStarts() {
			got, err := encoder.StartFromWire(m)
			if err != nil {
				checkInvalid(t, err)
				continue
			}
			again, err := encoder.StartFromWire(roundTrip(t, encoder.StartToWire(got), &v1.Start{}))
			is.New(t).NoErr(err)
			is.New(t).Equal(again, got)
		}
	})
}

// FuzzAgentFrame checks that each report in a frame of an agent either is
// rejected as invalid or stays the same when it is encoded and decoded again.
func FuzzAgentFrame(f *testing.F) {
	seed, err := proto.Marshal(&v1.AgentFrame{Results: encoder.ReportsToWire(reports)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &v1.AgentFrame{}
		if proto.Unmarshal(data, frame) != nil {
			return
		}
		for _, m := range frame.GetResults() {
			got, err := encoder.ReportFromWire(m)
			if err != nil {
				checkInvalid(t, err)
				continue
			}
			again, err := encoder.ReportFromWire(roundTrip(t, encoder.ReportToWire(got), &v1.Report{}))
			is.New(t).NoErr(err)
			is.New(t).Equal(again, got)
		}
	})
}

// FuzzAnnouncement checks that an announcement either is rejected as invalid or
// stays the same when it is encoded and decoded again.
func FuzzAnnouncement(f *testing.F) {
	seed, err := proto.Marshal(encoder.AnnouncementToWire(announcement))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &v1.AnnounceRequest{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		got, err := encoder.AnnouncementFromWire(m)
		if err != nil {
			checkInvalid(t, err)
			return
		}
		again, err := encoder.AnnouncementFromWire(roundTrip(t, encoder.AnnouncementToWire(got), &v1.AnnounceRequest{}))
		is.New(t).NoErr(err)
		is.New(t).Equal(again, got)
	})
}
