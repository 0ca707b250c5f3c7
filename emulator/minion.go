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

// Headers of the stand-in minion.
const (
	// TaskHeader names the task, so that its starts can be counted.
	TaskHeader = "Task-Id"
	// ServiceHeader is the service time that a request asks for, in the form
	// of time.ParseDuration, before the minion's speed is applied.
	ServiceHeader = "Service-Time"
	// MinionHeader names the minion in its responses.
	MinionHeader = "Minion"
)

const (
	defaultSlots       = 8
	defaultMeanService = 200 * time.Millisecond
	defaultQueue       = 1024
	// minServicePart bounds a drawn service time, in parts of the mean.
	minServicePart = 20
	// maxServicePart bounds a drawn service time, in multiples of the mean.
	maxServicePart = 20
	// maxMinionBody bounds the body of a request.
	maxMinionBody = 16 << 20
)

// MinionFault is a way in which a stand-in minion fails.
type MinionFault string

// Faults of a minion.
const (
	// Healthy is no fault.
	Healthy MinionFault = ""
	// FailAll answers each request at once with status 500.
	FailAll MinionFault = "fail-all"
	// Hang starts each request and never answers.
	Hang MinionFault = "hang"
	// Straggle multiplies each service time by the straggle factor.
	Straggle MinionFault = "slow"
	// Truncate cuts each response off.
	Truncate MinionFault = "truncate"
)

// straggleFactor is how much slower a minion is under Straggle.
const straggleFactor = 10

// MinionOptions configure a Minion.
type MinionOptions struct {
	// Name stands in each response.
	Name string
	// Slots is how many requests are served at once; 0 takes 8.
	Slots int
	// Queue bounds the requests that wait for a slot; 0 takes 1024. Above it
	// the minion answers with status 503.
	Queue int
	// MeanService is the mean of the exponential service times of requests
	// that name none; 0 takes 200 ms.
	MeanService time.Duration
	// Speed divides all service times; 0 is 1.
	Speed float64
	// Seed makes the service times repeatable.
	Seed uint64
}

// Minion is a back end that counts what it starts.
type Minion struct {
	options MinionOptions
	// slots holds a token for each request being served.
	slots  chan struct{}
	mu     sync.Mutex
	random *rand.Rand
	fault  MinionFault
	// waiting counts the requests that wait for a slot.
	waiting int
	// running counts the requests being served.
	running int
	// starts counts the starts by task id.
	starts map[string]int
}

// MinionAnswer is what a minion says in the body of a response.
type MinionAnswer struct {
	Minion string
	Method string
	Path   string
	Task   string
	// Start is the number of starts of the task here, this one included.
	Start int
	Body  string
}

type wireAnswer struct {
	Minion string `json:"minion"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Task   string `json:"task"`
	Start  int    `json:"start"`
	Body   string `json:"body"`
}

// NewMinion returns a Minion.
func NewMinion(options MinionOptions) *Minion {
	setDefault(&options.Slots, defaultSlots)
	setDefault(&options.Queue, defaultQueue)
	setDefault(&options.MeanService, defaultMeanService)
	setDefault(&options.Speed, 1)
	return &Minion{
		options: options,
		slots:   make(chan struct{}, options.Slots),
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		starts:  map[string]int{},
	}
}

// SetFault switches to a fault, or to Healthy.
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

// ServeHTTP serves one request: it waits for a slot, counts the start, takes
// the service time and answers. A caller that leaves frees its slot.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMinionBody))
	if err != nil {
		http.Error(w, "the body was cut off or is too large", http.StatusBadRequest)
		return
	}
	service, err := m.serviceTime(r.Header.Get(ServiceHeader))
	if err != nil {
		http.Error(w, "malformed "+ServiceHeader, http.StatusBadRequest)
		return
	}
	if !m.enter(r) {
		http.Error(w, "too many requests wait", http.StatusServiceUnavailable)
		return
	}
	defer m.leave()
	f, start := m.start(r.Header.Get(TaskHeader))
	if !m.work(r, f, service) {
		return
	}
	answer, _ := json.Marshal(wireAnswer{ // Strings and integers always marshal.
		Minion: m.options.Name, Method: r.Method, Path: r.URL.RequestURI(),
		Task: r.Header.Get(TaskHeader), Start: start, Body: string(body),
	})
	w.Header().Set(MinionHeader, m.options.Name)
	respond(w, f, append(answer, '\n'))
}

// DecodeAnswer returns what a minion said.
func DecodeAnswer(body []byte) (MinionAnswer, error) {
	var wire wireAnswer
	err := json.Unmarshal(body, &wire)
	return MinionAnswer(wire), err
}

func respond(w http.ResponseWriter, f MinionFault, answer []byte) {
	switch f {
	case FailAll:
		http.Error(w, "the minion is broken", http.StatusInternalServerError)
	case Truncate:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(answer[:len(answer)/2]) // The connection is cut next.
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(answer) // The connection's end is the client's to notice.
	}
}

// enter waits for a slot, and reports false when too many wait or the caller
// leaves.
func (m *Minion) enter(r *http.Request) bool {
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

func (m *Minion) leave() {
	m.mu.Lock()
	m.running--
	m.mu.Unlock()
	<-m.slots
}

func (m *Minion) addWaiting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting >= m.options.Queue {
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

func (m *Minion) start(task string) (MinionFault, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running++
	if task != "" {
		m.starts[task]++
	}
	return m.fault, m.starts[task]
}

// work takes the service time, and reports false when the caller left.
func (m *Minion) work(r *http.Request, f MinionFault, service time.Duration) bool {
	switch f {
	case FailAll:
		return true
	case Hang:
		<-r.Context().Done()
		return false
	case Straggle:
		service *= straggleFactor
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

// serviceTime returns the time that a request takes at the minion's speed.
func (m *Minion) serviceTime(asked string) (time.Duration, error) {
	if asked != "" {
		service, err := time.ParseDuration(asked)
		return time.Duration(float64(service) / m.options.Speed), err
	}
	m.mu.Lock()
	drawn := m.random.ExpFloat64()
	m.mu.Unlock()
	drawn = min(max(drawn, 1.0/minServicePart), maxServicePart)
	return time.Duration(drawn * float64(m.options.MeanService) / m.options.Speed), nil
}
