package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// beatInterval is heartbeat_ms of the settings.
	beatInterval = 1500 * time.Millisecond
	// maxHold is hold_max_ms of the settings.
	maxHold = 1000
	// maxHoldWait is the maximum of wait_ms.
	maxHoldWait = 2000
	// minionStep is the interval at which runs and leases are checked.
	minionStep = 2 * time.Millisecond
)

// minionOptions describe one minion; the description outlives its crashes.
type minionOptions struct {
	world   *world
	id      string
	zone    string
	address netip.AddrPort
	control netip.AddrPort
	labels  []string
	cpu     int64
	memory  int64
	// firstBeat is the pause between the start of the minion and its first status
	// report.
	firstBeat time.Duration
	// delayStart returns how late a start order is carried out, without a
	// response; 0 for at once.
	delayStart func(task string, run int) time.Duration
}

// minionRun is a task at work.
type minionRun struct {
	task    string
	number  int
	started time.Time
	work    time.Duration
	cpu     int64
	memory  int64
}

// minion is one lifetime of a minion, as PROTOCOL.md describes it.
type minion struct {
	o      minionOptions
	born   time.Time
	server *http.Server

	mu       sync.Mutex
	fence    int64
	lease    int64
	runs     map[string]*minionRun
	ended    [][]any
	lastEnd  int
	highest  map[string]int
	seq      int
	draining bool
	down     bool
	stopped  chan struct{}
}

// startMinion begins a lifetime.
func startMinion(o minionOptions) (*minion, error) {
	m := &minion{o: o, born: time.Now(), runs: make(map[string]*minionRun), highest: make(map[string]int), stopped: make(chan struct{})}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", o.address.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.handleStart)
	mux.HandleFunc("POST /v1/run-stop", m.handleStop)
	mux.HandleFunc("POST /v1/hold", m.handleHold)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = m.server.Serve(listener) }() // Ends with the lifetime.
	go m.advance()
	go m.beat()
	o.world.record("minion %s starts, born %d, at %s", o.id, m.born.UnixMilli(), o.address)
	return m, nil
}

// end ends the lifetime, and with it all that runs.
func (m *minion) end(how string) {
	m.mu.Lock()
	m.down = true
	for _, r := range m.sorted() {
		m.o.world.runEnded(m, r, how)
	}
	m.runs = make(map[string]*minionRun)
	close(m.stopped)
	m.mu.Unlock()
	_ = m.server.Close() // Cuts all channels, as the end of a process does.
	m.o.world.record("minion %s ends (%s)", m.o.id, how)
}

func (m *minion) clock(now time.Time) int64 { return now.Sub(m.born).Milliseconds() + 1 }

func (m *minion) sorted() []*minionRun {
	runs := make([]*minionRun, 0, len(m.runs))
	for _, r := range m.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(a, b int) bool { return runs[a].task < runs[b].task })
	return runs
}

// advance ends the runs that are done, and all when the lease has run out.
func (m *minion) advance() {
	for {
		select {
		case <-m.stopped:
			return
		case <-time.After(minionStep):
		}
		m.mu.Lock()
		now := time.Now()
		for _, r := range m.sorted() {
			switch {
			case now.Sub(r.started) >= r.work:
				m.finish(r, "done")
			case m.clock(now) > m.lease:
				m.finish(r, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// finish lists the end of a run. The caller holds the lock.
func (m *minion) finish(r *minionRun, how string) {
	delete(m.runs, runKey(r.task, r.number))
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.lastEnd++
	m.ended = append(m.ended, []any{m.lastEnd, r.task, r.number, how, ""})
	m.o.world.runEnded(m, r, how)
}

func runKey(task string, number int) string { return task + "#" + strconv.Itoa(number) }

type orderBody struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until_ms"`
	Fence int64  `json:"fence"`
	Acked int    `json:"acked_upto"`
	Wait  int64  `json:"wait_ms"`
}

// decode reads an order. It answers what is malformed, or for another lifetime.
func (m *minion) decode(w http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != m.o.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	return o, true
}

func (m *minion) answer(w http.ResponseWriter, status int, fields map[string]any) {
	fields["clock_ms"] = m.clock(time.Now())
	fields["born"] = m.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields) // The caller may have left.
}

// checkFence reports whether an order may be carried out. The caller holds the
// lock.
func (m *minion) checkFence(o orderBody) bool {
	if o.Fence < m.fence {
		return false
	}
	m.fence = o.Fence
	return true
}

func (m *minion) extend(until int64) {
	m.lease = max(m.lease, min(until, m.clock(time.Now())+maxHold))
}

func (m *minion) handleStart(w http.ResponseWriter, r *http.Request) {
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	if m.o.delayStart != nil {
		if delay := m.o.delayStart(o.Task, o.Run); delay > 0 {
			m.o.world.record("minion %s will carry out the start of %s run %d %s late, without a response", m.o.id, o.Task, o.Run, delay)
			time.Sleep(delay)
			status, reason := m.start(o)
			m.o.world.record("minion %s carried out the late start of %s run %d: %d %s", m.o.id, o.Task, o.Run, status, reason)
			panic(http.ErrAbortHandler) // No response.
		}
	}
	status, reason := m.start(o)
	fields := map[string]any{}
	if reason != "" {
		fields["reason"] = reason
	}
	m.answer(w, status, fields)
}

// start carries out a start order.
func (m *minion) start(o orderBody) (status int, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch {
	case m.down:
		return 0, "down"
	case !m.checkFence(o):
		return http.StatusConflict, "fence"
	case m.runs[runKey(o.Task, o.Run)] != nil:
		return http.StatusOK, ""
	case o.Until <= m.clock(now):
		return http.StatusConflict, "late"
	}
	m.extend(o.Until)
	if o.Run <= m.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	need := m.o.world.need(o.Spec)
	cpu, memory := need.cpu, need.memory
	for _, run := range m.runs {
		cpu, memory = cpu+run.cpu, memory+run.memory
	}
	if cpu > m.o.cpu || memory > m.o.memory {
		return http.StatusConflict, "room"
	}
	run := &minionRun{task: o.Task, number: o.Run, started: now, work: need.work, cpu: need.cpu, memory: need.memory}
	m.runs[runKey(o.Task, o.Run)] = run
	m.o.world.runStarted(m, run)
	return http.StatusOK, ""
}

func (m *minion) handleStop(w http.ResponseWriter, r *http.Request) {
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.checkFence(o) {
		m.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	if run := m.runs[runKey(o.Task, o.Run)]; run != nil {
		m.finish(run, "stopped")
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	m.answer(w, http.StatusOK, map[string]any{})
}

func (m *minion) handleHold(w http.ResponseWriter, r *http.Request) {
	o, ok := m.decode(w, r)
	if !ok {
		return
	}
	deadline := time.Now().Add(time.Duration(min(o.Wait, maxHoldWait)) * time.Millisecond)
	for first := true; ; first = false {
		m.mu.Lock()
		if first {
			if !m.checkFence(o) {
				m.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
				m.mu.Unlock()
				return
			}
			if o.Until > 0 {
				m.extend(o.Until)
			}
			for len(m.ended) > 0 && m.ended[0][0].(int) <= o.Acked {
				m.ended = m.ended[1:]
			}
		}
		if len(m.ended) > 0 || !time.Now().Before(deadline) || r.Context().Err() != nil || m.down {
			running := [][]any{}
			for _, run := range m.sorted() {
				percent := int(100 * time.Since(run.started) / run.work)
				running = append(running, []any{run.task, run.number, "", percent, run.cpu})
			}
			m.answer(w, http.StatusOK, map[string]any{"running": running, "ended": m.ended[:min(len(m.ended), 500)]})
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
		time.Sleep(minionStep)
	}
}

// beat sends status reports until the lifetime ends.
func (m *minion) beat() {
	time.Sleep(m.o.firstBeat)
	for {
		pause := beatInterval
		if !m.report() {
			pause = 200 * time.Millisecond
		}
		select {
		case <-m.stopped:
			return
		case <-time.After(pause):
		}
	}
}

// report sends one status report, and says whether it was acknowledged.
func (m *minion) report() bool {
	m.mu.Lock()
	if m.down {
		m.mu.Unlock()
		return false
	}
	m.seq++
	state, seq := "ready", m.seq
	if m.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": serviceName, "addr": m.o.address.String(), "zone": m.o.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": map[string]any{"cpu": m.o.cpu, "mem_mb": m.o.memory, "gpu": 0}, "labels": m.o.labels,
		"clock_ms": m.clock(time.Now()), "born": m.born.UnixMilli(), "seq": seq,
	}
	m.mu.Unlock()
	status := m.o.world.put(m.o.control, m.o.id, body)
	m.o.world.record("minion %s reported %s, seq %d: %d", m.o.id, state, seq, status)
	return status == http.StatusOK
}

// drain reports that the minion drains until that is acknowledged, and returns
// the time of the acknowledgement.
func (m *minion) drain() time.Time {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for !m.report() {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Now()
}

// leave deregisters the minion and ends it.
func (m *minion) leave() {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodDelete, "http://"+m.o.control.String()+"/v1/instances/"+m.o.id, nil)
	if err == nil {
		if response, err := (&http.Client{Timeout: time.Second}).Do(request); err == nil {
			_ = response.Body.Close()
			m.o.world.record("minion %s deregistered: %d", m.o.id, response.StatusCode)
		}
	}
	m.end("left")
}

// put sends a status report and returns the status; 0 without a response.
func (w *world) put(control netip.AddrPort, id string, body map[string]any) int {
	content, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control.String()+"/v1/instances/"+id, bytes.NewReader(content))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// taskNeed is what a task really needs.
type taskNeed struct {
	cpu, memory int64
	work        time.Duration
}

// need reads what a task needs from its spec, such as "900 1600 64": work in
// milliseconds, thousandths of a core, megabytes.
func (w *world) need(spec string) taskNeed {
	var work, cpu, memory int64
	if _, err := fmt.Sscan(strings.TrimSpace(spec), &work, &cpu, &memory); err != nil {
		return taskNeed{cpu: 100, memory: 1, work: 100 * time.Millisecond}
	}
	return taskNeed{cpu: cpu, memory: memory, work: time.Duration(work) * time.Millisecond}
}
