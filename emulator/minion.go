package emulator

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Headers of requests to the emulated minion and of its responses.
const (
	// TaskHeader is the ID under which the starts of a task are counted.
	TaskHeader = "Task-Id"
	// ServiceTimeHeader is the requested service time in the format of
	// time.ParseDuration. The minion divides it by its speed.
	ServiceTimeHeader = "Service-Time"
	// MinionHeader is the name of the minion that responded.
	MinionHeader = "Minion"
)

const (
	defaultSlots       = 8
	defaultMeanService = 200 * time.Millisecond
	defaultQueueLimit  = 1024
	// minServiceDivisor sets the lower bound of random service times: the mean
	// divided by it.
	minServiceDivisor = 20
	// maxServiceMultiple sets the upper bound of random service times: the mean
	// multiplied by it.
	maxServiceMultiple = 20
	// maxRequestBytes limits the body of a request.
	maxRequestBytes = 16 << 20
)

// MinionFault is a way in which a minion fails.
type MinionFault string

// The faults of a minion, with their names in the control API.
const (
	// Healthy stands for no fault.
	Healthy MinionFault = ""
	// FailAll responds to each request immediately with status 500.
	FailAll MinionFault = "fail-all"
	// Hang starts each request and never responds.
	Hang MinionFault = "hang"
	// Straggle multiplies each service time by stragglerFactor.
	Straggle MinionFault = "slow"
	// Truncate cuts off each response in the middle of its body.
	Truncate MinionFault = "truncate"
)

// stragglerFactor is the ratio of service times under Straggle to normal ones.
const stragglerFactor = 10

// MinionOptions configure a Minion.
type MinionOptions struct {
	// Name is reported in each response.
	Name string
	// Slots is the number of requests that are served concurrently; 0 for 8.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot; 0 for
	// 1024. The minion responds to further ones with status 503.
	QueueLimit int
	// MeanService is the mean of the exponentially distributed service times of
	// requests without ServiceTimeHeader; 0 for 200 ms.
	MeanService time.Duration
	// Speed divides all service times; 0 for 1.
	Speed float64
	// Seed makes the random service times reproducible.
	Seed uint64
}

// Minion is an HTTP back end that counts how often each task was started.
type Minion struct {
	options MinionOptions
	// slots holds a token for each request being served.
	slots  chan struct{}
	mu     sync.Mutex
	random *rand.Rand
	fault  MinionFault
	// waiting is the number of requests that wait for a slot.
	waiting int
	// running is the number of requests being served.
	running int
	// starts counts the starts of each task ID.
	starts map[string]int
}

// MinionResponse is the body of a successful response.
type MinionResponse struct {
	Minion string
	Method string
	Path   string
	Task   string
	// Starts is the number of starts of the task here, including this one.
	Starts int
	Body   string
}

// responseJSON is the JSON form of MinionResponse.
type responseJSON struct {
	Minion string `json:"minion"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Task   string `json:"task"`
	Starts int    `json:"start"`
	Body   string `json:"body"`
}

// NewMinion returns a Minion.
func NewMinion(options MinionOptions) *Minion {
	setDefault(&options.Slots, defaultSlots)
	setDefault(&options.QueueLimit, defaultQueueLimit)
	setDefault(&options.MeanService, defaultMeanService)
	setDefault(&options.Speed, 1)
	return &Minion{
		options: options,
		slots:   make(chan struct{}, options.Slots),
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		starts:  map[string]int{},
	}
}

// SetFault replaces the current fault; Healthy clears it.
func (m *Minion) SetFault(f MinionFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Starts returns the number of starts of each task.
func (m *Minion) Starts() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.starts)
}

// Running returns the number of requests being served.
func (m *Minion) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running
}

// ServeHTTP serves one request: it waits for a slot, counts the start, waits
// for the service time and responds. A request that its caller cancels frees
// its slot.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, "the body was cut off or is too large", http.StatusBadRequest)
		return
	}
	service, err := m.serviceTime(r.Header.Get(ServiceTimeHeader))
	if err != nil {
		http.Error(w, "malformed "+ServiceTimeHeader, http.StatusBadRequest)
		return
	}
	if !m.acquireSlot(r) {
		http.Error(w, "too many requests wait", http.StatusServiceUnavailable)
		return
	}
	defer m.releaseSlot()
	f, starts := m.countStart(r.Header.Get(TaskHeader))
	if !m.waitServiceTime(r, f, service) {
		return
	}
	response, _ := json.Marshal(responseJSON{ // Strings and integers always marshal.
		Minion: m.options.Name, Method: r.Method, Path: r.URL.RequestURI(),
		Task: r.Header.Get(TaskHeader), Starts: starts, Body: string(body),
	})
	w.Header().Set(MinionHeader, m.options.Name)
	writeResponse(w, f, append(response, '\n'))
}

// DecodeMinionResponse decodes the body of a successful response.
func DecodeMinionResponse(body []byte) (MinionResponse, error) {
	var decoded responseJSON
	err := json.Unmarshal(body, &decoded)
	return MinionResponse(decoded), err
}

func writeResponse(w http.ResponseWriter, f MinionFault, response []byte) {
	switch f {
	case FailAll:
		http.Error(w, "the minion is broken", http.StatusInternalServerError)
	case Truncate:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(response[:len(response)/2]) // The connection is closed next.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(response) // The client detects a closed connection itself.
	}
}

// acquireSlot waits for a slot. It returns false if too many requests wait or
// the caller cancels the request.
func (m *Minion) acquireSlot(r *http.Request) bool {
	select {
	case m.slots <- struct{}{}:
		return true
	default:
	}
	if !m.addWaiting() {
		return false
	}
	defer m.removeWaiting()
	select {
	case m.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (m *Minion) releaseSlot() {
	m.mu.Lock()
	m.running--
	m.mu.Unlock()
	<-m.slots
}

func (m *Minion) addWaiting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting >= m.options.QueueLimit {
		return false
	}
	m.waiting++
	return true
}

func (m *Minion) removeWaiting() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waiting--
}

func (m *Minion) countStart(task string) (MinionFault, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running++
	if task != "" {
		m.starts[task]++
	}
	return m.fault, m.starts[task]
}

// waitServiceTime waits for the service time, and returns false if the caller
// cancels the request before its end.
func (m *Minion) waitServiceTime(r *http.Request, f MinionFault, service time.Duration) bool {
	switch f {
	case FailAll:
		return true
	case Hang:
		<-r.Context().Done()
		return false
	case Straggle:
		service *= stragglerFactor
	}
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// serviceTime returns the requested service time, or a random one if none is
// requested, divided by the minion's speed.
func (m *Minion) serviceTime(requested string) (time.Duration, error) {
	if requested != "" {
		service, err := time.ParseDuration(requested)
		return time.Duration(float64(service) / m.options.Speed), err
	}
	m.mu.Lock()
	drawn := m.random.ExpFloat64()
	m.mu.Unlock()
	drawn = min(max(drawn, 1.0/minServiceDivisor), maxServiceMultiple)
	return time.Duration(drawn * float64(m.options.MeanService) / m.options.Speed), nil
}
