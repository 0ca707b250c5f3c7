package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxLease is the longest lease that a minion grants (bounds.hold_max_ms).
const maxLease = time.Second

// runKey names a run of a task.
type runKey struct {
	Task string
	Run  int
}

// activeRun is a run that is under way.
type activeRun struct {
	work      time.Duration
	cpu       int
	startedAt time.Time
}

// minion is one lifetime of a minion. It guards its capacity.
type minion struct {
	id, address string
	labels      []string
	cpu         int
	registry    string
	service     string
	zone        string
	log         *record
	bornAt      time.Time

	mu       sync.Mutex
	fence    int64
	lease    time.Time
	runs     map[runKey]*activeRun
	highest  map[string]int
	ended    [][]any
	lastEnd  int
	draining bool
	// dark is true while the machine is silent: nothing is read and nothing answered.
	dark bool
	seq  int
	// starts lists what this lifetime has begun, and ends what has ended there.
	starts []startedRun
	ends   []endedRun

	listener net.Listener
	server   *http.Server
	stop     chan struct{}
	stopped  sync.Once
}

// startedRun is a start that a minion has carried out.
type startedRun struct {
	Task   string
	Run    int
	At     time.Time
	Minion string
	Labels []string
}

// endedRun is a run of a task from its start to its end.
type endedRun struct {
	task, minion string
	run          int
	from, to     time.Time
}

// history returns the runs of a job; those under way end now.
func (m *minion) history(id string) []endedRun {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.advance(now)
	runs := append([]endedRun(nil), m.ends...)
	for key, r := range m.runs {
		runs = append(runs, endedRun{task: key.Task, minion: m.id, run: key.Run, from: r.startedAt, to: now})
	}
	return slices.DeleteFunc(runs, func(r endedRun) bool { return !strings.HasPrefix(r.task, id+".") })
}

// taskSpec is the spec of the tasks of these tests.
type taskSpec struct {
	MS  int `json:"ms"`
	CPU int `json:"cpu"`
}

// startMinion begins a lifetime of a minion.
func startMinion(id, address, registry, service, zone string, labels []string, log *record) (*minion, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	m := &minion{
		id: id, address: address, labels: labels, cpu: 8000, registry: registry, service: service, zone: zone, log: log, bornAt: time.Now(),
		runs: make(map[runKey]*activeRun), highest: make(map[string]int), listener: l, stop: make(chan struct{}),
	}
	m.server = &http.Server{Handler: m}
	go func() { _ = m.server.Serve(l) }()
	go m.tick()
	go m.report()
	return m, nil
}

func (m *minion) clock(now time.Time) int64 { return now.Sub(m.bornAt).Milliseconds() + 1 }

// crash ends the lifetime. Nothing is sent.
func (m *minion) crash() {
	m.stopped.Do(func() { close(m.stop) })
	m.mu.Lock()
	m.advance(time.Now())
	for key := range m.runs {
		m.log.line("minion %s: run %s/%d died with it", m.id, key.Task, key.Run)
	}
	m.runs = make(map[runKey]*activeRun)
	m.mu.Unlock()
	_ = m.server.Close()
}

// setDark makes the minion's machine silent: it runs nothing any more, and its address
// doesn't answer.
func (m *minion) setDark() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	m.dark = true
	m.runs = make(map[runKey]*activeRun)
}

// tick ends the runs that are due.
func (m *minion) tick() {
	for {
		select {
		case <-m.stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		m.mu.Lock()
		m.advance(time.Now())
		m.mu.Unlock()
	}
}

// advance ends the runs that are due. The lock is held.
func (m *minion) advance(now time.Time) {
	for key, r := range m.runs {
		switch doneAt := r.startedAt.Add(r.work); {
		case doneAt.Before(m.lease) && !now.Before(doneAt):
			m.end(key, "done")
		case !now.Before(m.lease):
			m.end(key, "lapsed")
		}
	}
}

// end ends a run. The lock is held.
func (m *minion) end(key runKey, how string) {
	m.ends = append(m.ends, endedRun{task: key.Task, minion: m.id, run: key.Run, from: m.runs[key].startedAt, to: time.Now()})
	delete(m.runs, key)
	m.highest[key.Task] = max(m.highest[key.Task], key.Run)
	m.lastEnd++
	m.ended = append(m.ended, []any{m.lastEnd, key.Task, key.Run, how, ""})
	m.log.line("minion %s: run %s/%d ended %s", m.id, key.Task, key.Run, how)
}

// running returns the tasks under way.
func (m *minion) running() []runKey {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	var keys []runKey
	for key := range m.runs {
		keys = append(keys, key)
	}
	return keys
}

// started returns what was begun.
func (m *minion) started() []startedRun {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]startedRun(nil), m.starts...)
}

// minionOrder is the body of all calls.
type minionOrder struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Fence int64  `json:"fence"`
	Acked int    `json:"acked_upto"`
	Wait  int64  `json:"wait_ms"`
}

func (m *minion) reply(w http.ResponseWriter, status int, fields map[string]any) {
	fields["clock_ms"], fields["born"] = m.clock(time.Now()), m.bornAt.UnixMilli()
	body, _ := json.Marshal(fields)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	if m.dark {
		m.mu.Unlock()
		<-m.stop
		panic(http.ErrAbortHandler)
	}
	m.mu.Unlock()
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	var o minionOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != m.id {
		m.reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	m.mu.Lock()
	now := time.Now()
	m.advance(now)
	if o.Fence < m.fence {
		m.reply(w, http.StatusConflict, map[string]any{"reason": "fence"})
		m.mu.Unlock()
		return
	}
	m.fence = o.Fence
	switch r.URL.Path {
	case "/v1/run-start":
		m.start(w, o, now)
	case "/v1/run-stop":
		key := runKey{o.Task, o.Run}
		if m.runs[key] != nil {
			m.end(key, "stopped")
		} else {
			m.highest[o.Task] = max(m.highest[o.Task], o.Run)
		}
		m.reply(w, http.StatusOK, map[string]any{})
	case "/v1/hold":
		m.extend(now, o.Until)
		m.hold(w, r, o)
		return
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	m.mu.Unlock()
}

// extend moves the end of the lease, never to an earlier time. The lock is held.
func (m *minion) extend(now time.Time, until int64) {
	if until <= 0 {
		return
	}
	end := m.bornAt.Add(time.Duration(until-1) * time.Millisecond)
	if latest := now.Add(maxLease); end.After(latest) {
		end = latest
	}
	if end.After(m.lease) {
		m.lease = end
	}
}

// start carries out a start. The lock is held.
func (m *minion) start(w http.ResponseWriter, o minionOrder, now time.Time) {
	key := runKey{o.Task, o.Run}
	if m.runs[key] != nil {
		m.extend(now, o.Until)
		m.reply(w, http.StatusOK, map[string]any{})
		return
	}
	if o.Until <= m.clock(now) {
		m.reply(w, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	m.extend(now, o.Until)
	if o.Run <= m.highest[o.Task] {
		m.reply(w, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	var spec taskSpec
	if json.Unmarshal([]byte(o.Spec), &spec) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	used := spec.CPU
	for _, r := range m.runs {
		used += r.cpu
	}
	if used > m.cpu {
		m.reply(w, http.StatusConflict, map[string]any{"reason": "room"})
		return
	}
	m.runs[key] = &activeRun{work: time.Duration(spec.MS) * time.Millisecond, cpu: spec.CPU, startedAt: now}
	m.starts = append(m.starts, startedRun{Task: o.Task, Run: o.Run, At: now, Minion: m.id, Labels: m.labels})
	m.log.line("minion %s (labels %v): run %s/%d started", m.id, m.labels, o.Task, o.Run)
	m.reply(w, http.StatusOK, map[string]any{})
}

// hold lists the runs, after a wait for an end. It gives the lock back.
func (m *minion) hold(w http.ResponseWriter, r *http.Request, o minionOrder) {
	deadline := time.Now().Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for {
		m.advance(time.Now())
		for len(m.ended) > 0 && m.ended[0][0].(int) <= o.Acked {
			m.ended = m.ended[1:]
		}
		if m.dark {
			m.mu.Unlock()
			<-m.stop
			panic(http.ErrAbortHandler)
		}
		if len(m.ended) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil {
			break
		}
		m.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		m.mu.Lock()
	}
	running := []any{}
	for key, r := range m.runs {
		percent := int(100 * time.Since(r.startedAt) / max(r.work, 1))
		running = append(running, []any{key.Task, key.Run, "", min(percent, 99), r.cpu})
	}
	ended := append([][]any{}, m.ended[:min(500, len(m.ended))]...)
	m.reply(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
	m.mu.Unlock()
}

// report sends status reports until the end of the lifetime.
func (m *minion) report() {
	for {
		wait := 1500 * time.Millisecond
		m.mu.Lock()
		dark, state := m.dark, "ready"
		m.seq++
		seq := m.seq
		if m.draining {
			state = "draining"
		}
		m.mu.Unlock()
		if !dark {
			body, _ := json.Marshal(map[string]any{
				"service": m.service, "addr": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
				"capacity": map[string]int{"cpu": m.cpu, "mem_mb": 65536, "gpu": 0}, "labels": m.labels, "clock_ms": m.clock(time.Now()),
				"seq": seq, "born": m.bornAt.UnixMilli(),
			})
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			request, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+m.registry+"/v1/instances/"+m.id, bytes.NewReader(body))
			request.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				_ = response.Body.Close()
			}
			if err != nil || response.StatusCode != http.StatusOK {
				wait = 100 * time.Millisecond
			}
			cancel()
		}
		select {
		case <-m.stop:
			return
		case <-time.After(wait):
		}
	}
}
