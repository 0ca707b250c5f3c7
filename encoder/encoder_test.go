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
	at      = time.Date(2026, 5, 1, 9, 30, 0, 123, time.UTC)
	process = task.Process{Name: "entry-1", Incarnation: 9}
	start   = task.Start{
		Task: task.ID{Job: task.JobID{1, 2}, Index: 1299}, Attempt: 2, Generation: 3,
		Team: "t\xff", Pool: "desk", Deadline: at,
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
		Zone: "cartago", Worker: "w", Rack: "r", Pools: []string{"desk"}, Load: load, Expires: at,
	}
	fence = dispatcher.Fence{Agent: dispatcher.Peer{Process: process}, Job: start.Task.Job, Generation: 2, Deadline: at}
	sent  = []dispatcher.AttemptRef{{Task: start.Task, Attempt: 1, Deadline: at}}
	asked = dispatcher.AnswerRequested{Team: "t\xff", Job: start.Task.Job, Digest: task.Digest{5}, Deadline: at}
)

// carry sends a message through its bytes, as a connection does.
func carry[M proto.Message](t *testing.T, m, empty M) M {
	t.Helper()
	is := is.New(t)
	data, err := proto.Marshal(m)
	is.NoErr(err)
	is.NoErr(proto.Unmarshal(data, empty))
	return empty
}

func TestRoundTrips(t *testing.T) {
	is := is.New(t)
	gotStart, err := encoder.StartFromWire(carry(t, encoder.StartToWire(start), &v1.Start{}))
	is.NoErr(err)
	is.Equal(gotStart, start)
	gotReports, err := encoder.ReportsFromWire(encoder.ReportsToWire(reports))
	is.NoErr(err)
	is.Equal(gotReports, reports)
	gotAnnouncement, err := encoder.AnnouncementFromWire(carry(t, encoder.AnnouncementToWire(announcement), &v1.AnnounceRequest{}))
	is.NoErr(err)
	is.Equal(gotAnnouncement, announcement)
	gotFence, err := encoder.FenceFromWire(carry(t, encoder.FenceToWire(fence), &v1.FenceRequest{}))
	is.NoErr(err)
	is.Equal(gotFence, fence)
	to, gotSent, err := encoder.SettleFromWire(carry(t, encoder.SettleToWire(process, sent), &v1.SettleRequest{}))
	is.NoErr(err)
	is.Equal(to, process)
	is.Equal(gotSent, sent)
	to, gotAsked, err := encoder.FetchFromWire(carry(t, encoder.FetchToWire(process, asked), &v1.FetchRequest{}))
	is.NoErr(err)
	is.Equal(to, process)
	is.Equal(gotAsked, asked)
	for _, a := range []dispatcher.Answer{
		{Outcome: task.Complete, Responses: []task.Response{response, response}},
		{Outcome: task.MayHaveRun, Reason: "r", Remedy: "m", Status: 504},
	} {
		got, err := encoder.AnswerFromWire(carry(t, encoder.AnswerToWire(a), &v1.Answer{}))
		is.NoErr(err)
		is.Equal(got, a)
	}
}

func TestStartDecodingChecksEverything(t *testing.T) {
	for name, spoil := range map[string]func(*v1.Start){
		"short job":       func(m *v1.Start) { m.Job = m.Job[1:] },
		"negative index":  func(m *v1.Start) { m.Index = -1 },
		"no attempt":      func(m *v1.Start) { m.Attempt = 0 },
		"no pool":         func(m *v1.Start) { m.Pool = "" },
		"no deadline":     func(m *v1.Start) { m.Deadline = nil },
		"wrong deadline":  func(m *v1.Start) { m.Deadline.Nanos = -1 },
		"wide team":       func(m *v1.Start) { m.Team = "\u0100" },
		"no request":      func(m *v1.Start) { m.Request = nil },
		"no method":       func(m *v1.Start) { m.Request.Method = "" },
		"method in two":   func(m *v1.Start) { m.Request.Method = "A B" },
		"relative path":   func(m *v1.Start) { m.Request.Path = "a" },
		"path with blank": func(m *v1.Start) { m.Request.Path = "/ HTTP/1.1" },
		"path with break": func(m *v1.Start) { m.Request.Path = "/\r\n" },
		"host with break": func(m *v1.Start) { m.Request.Host = "a\nb" },
		"header injected": func(m *v1.Start) { m.Request.Header[0].Values[0] = "a\r\nB: c" },
		"header unnamed":  func(m *v1.Start) { m.Request.Header[0].Name = "" },
		"header doubled":  func(m *v1.Start) { m.Request.Header = append(m.Request.Header, m.Request.Header[0]) },
	} {
		t.Run(name, func(t *testing.T) {
			m := encoder.StartToWire(start)
			spoil(m)
			_, err := encoder.StartFromWire(m)
			checkInvalid(t, err)
		})
	}
}

func TestDecodingRefuses(t *testing.T) {
	finished := encoder.ReportToWire(reports[0])
	finished.State = v1.TaskState_TASK_STATE_RUNNING
	busy := encoder.ReportToWire(reports[1])
	busy.Refusal = 99
	complete := &v1.Answer{Outcome: "complete"}
	nowhere := encoder.AnnouncementToWire(announcement)
	nowhere.Address = "0.0.0.0:80"
	uneven := encoder.SettleToWire(process, sent)
	uneven.Deadlines = nil
	for name, decode := range map[string]func() error{
		"response of a running task": func() error { _, err := encoder.ReportFromWire(finished); return err },
		"unknown refusal":            func() error { _, err := encoder.ReportFromWire(busy); return err },
		"report of nothing":          func() error { _, err := encoder.ReportFromWire(nil); return err },
		"complete without responses": func() error { _, err := encoder.AnswerFromWire(complete); return err },
		"unspecified address":        func() error { _, err := encoder.AnnouncementFromWire(nowhere); return err },
		"attempts without deadlines": func() error { _, _, err := encoder.SettleFromWire(uneven); return err },
		"process without run":        func() error { _, err := encoder.ProcessFromWire(&v1.Process{Name: "a"}); return err },
		"negative load":              func() error { _, err := encoder.LoadFromWire(&v1.Load{Queued: -1}); return err },
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

// FuzzEntryFrame checks that what decodes from an entry survives a second trip.
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
			again, err := encoder.StartFromWire(carry(t, encoder.StartToWire(got), &v1.Start{}))
			is.New(t).NoErr(err)
			is.New(t).Equal(again, got)
		}
	})
}

// FuzzAgentFrame does the same for an agent's reports.
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
			again, err := encoder.ReportFromWire(carry(t, encoder.ReportToWire(got), &v1.Report{}))
			is.New(t).NoErr(err)
			is.New(t).Equal(again, got)
		}
	})
}

// FuzzAnnouncement does the same for announcements.
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
		again, err := encoder.AnnouncementFromWire(carry(t, encoder.AnnouncementToWire(got), &v1.AnnounceRequest{}))
		is.New(t).NoErr(err)
		is.New(t).Equal(again, got)
	})
}
