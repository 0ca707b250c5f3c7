package soaker

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/platform/imitator"
)

const (
	// listenerFile and eventsFile are the inherited files of a minion's process: the
	// listening socket and the pipe for its events.
	listenerFile = 3
	eventsFile   = 4
	// advanceInterval is the interval at which a minion's process ends runs that are
	// due.
	advanceInterval = 2 * time.Millisecond
	// maxClockSkew limits the error of the offset between the two clocks.
	maxClockSkew = 20 * time.Microsecond
)

// minionSettings are the first line that a minion's process reads.
type minionSettings struct {
	Minion          work.Minion
	DurationFactor  float64
	AllowOvercommit bool
	// LateEnd is added to the end of stopped runs, for LateEnds.
	LateEnd time.Duration
	// Agent is the address for status reports.
	Agent netip.AddrPort
}

// killDelays are the maximum delays with which a minion carries out the end of a lease
// and the order to stop a run. They are the further lines that a minion's process reads.
type killDelays struct {
	Lapse, Stop time.Duration
}

// minionEvent is a line that a minion's process writes. The lines of all processes of
// a minion, and marks of the reader, share one pipe. Each line is written at once and
// is shorter than PIPE_BUF, so that lines are neither cut nor mixed.
type minionEvent struct {
	Kind string
	Run  work.Run
	// State is the state in which a run ended.
	State work.State
	// At is a time of CLOCK_MONOTONIC in nanoseconds, which is the same for all
	// processes: that of the event, or for eventLease the expiry.
	At int64
	// Mark is the number of a mark.
	Mark int
}

// The kinds of events.
const (
	eventStart = "start"
	eventEnd   = "end"
	eventLease = "lease"
	eventCrash = "crash"
	eventMark  = "mark"
)

// monotonicClock converts between the times of this process and CLOCK_MONOTONIC.
type monotonicClock struct {
	base      time.Time
	monotonic int64
}

// newMonotonicClock reads both clocks until nothing came between.
func newMonotonicClock() monotonicClock {
	for {
		before, base, after := readMonotonic(), time.Now(), readMonotonic()
		if after-before < int64(maxClockSkew) {
			return monotonicClock{base: base, monotonic: before}
		}
	}
}

func readMonotonic() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		panic("soaker: the kernel has no CLOCK_MONOTONIC: " + err.Error()) // All versions have it.
	}
	return ts.Nano()
}

func (c monotonicClock) stamp(at time.Time) int64 { return c.monotonic + int64(at.Sub(c.base)) }

func (c monotonicClock) time(stamp int64) time.Time {
	return c.base.Add(time.Duration(stamp - c.monotonic))
}

// minionProgram is what the process of a minion runs.
type minionProgram struct {
	settings minionSettings
	clock    monotonicClock
	minion   *imitator.Minion
	events   io.Writer
	// crashed is closed when a task has crashed the minion.
	crashed chan struct{}

	// mu is also the lock of the minion.
	mu sync.Mutex
	// profiles holds what the tasks of jobs really need, by job and index.
	profiles map[string][]emulator.TaskProfile
	delays   killDelays
}

// RunMinion runs a minion of a soak test until a task crashes it or the input ends.
// The soak test starts it as a process of its own, with the listening socket and the
// pipe for events as inherited files.
func RunMinion(input io.Reader) error {
	decoder := json.NewDecoder(input)
	p := &minionProgram{
		clock: newMonotonicClock(), events: os.NewFile(eventsFile, "events"), crashed: make(chan struct{}), profiles: make(map[string][]emulator.TaskProfile),
	}
	if err := decoder.Decode(&p.settings); err != nil {
		return err
	}
	listener, err := net.FileListener(os.NewFile(listenerFile, "listener"))
	if err != nil {
		return err
	}
	p.minion = imitator.NewMinion(&p.mu, p.options())
	server := &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	serveErr, inputErr := make(chan error, 1), make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	go func() { inputErr <- p.readDelays(decoder) }()
	go p.sendReports()
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-serveErr:
			return err
		case err := <-inputErr:
			return err
		case <-p.crashed:
			return nil
		case <-ticker.C:
			p.minion.WithLock(func(l *emulator.LeasedMinion, now time.Time) { l.Advance(now) })
		}
	}
}

// options returns the options of the emulated minion.
func (p *minionProgram) options() emulator.LeasedOptions {
	s := p.settings
	return emulator.LeasedOptions{
		Minion: s.Minion, DurationFactor: s.DurationFactor, MaxLease: maxLease, AllowOvercommit: s.AllowOvercommit,
		KillDelay: p.drawKillDelay, Profile: p.profile,
		OnLease: func(expiry time.Time) { p.emit(minionEvent{Kind: eventLease, At: p.clock.stamp(expiry)}) },
		OnStart: func(run work.Run, at time.Time) {
			p.emit(minionEvent{Kind: eventStart, Run: run, At: p.clock.stamp(at)})
		},
		OnEnd: func(run work.Run, state work.State, at time.Time) {
			if state == work.Stopped {
				at = at.Add(s.LateEnd)
			}
			p.emit(minionEvent{Kind: eventEnd, Run: run, State: state, At: p.clock.stamp(at)})
		},
		OnCrash: func(run work.Run, at time.Time) {
			p.emit(minionEvent{Kind: eventCrash, Run: run, At: p.clock.stamp(at)})
			close(p.crashed)
		},
	}
}

// emit writes an event. The lock is held, so that no response precedes the event that
// it follows from.
func (p *minionProgram) emit(e minionEvent) {
	if err := writeEvent(p.events, e); err != nil {
		panic("soaker: the pipe of events has ended: " + err.Error()) // The soak test has ended.
	}
}

func writeEvent(w io.Writer, e minionEvent) error {
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = w.Write(append(line, '\n'))
	return err
}

// readDelays reads killDelays until the input ends.
func (p *minionProgram) readDelays(decoder *json.Decoder) error {
	for {
		var d killDelays
		if err := decoder.Decode(&d); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		p.mu.Lock()
		p.delays = d
		p.mu.Unlock()
	}
}

// drawKillDelay draws the delay of an end. The lock is held.
func (p *minionProgram) drawKillDelay(state work.State) time.Duration {
	limit := p.delays.Stop
	if state == work.Lost {
		limit = p.delays.Lapse
	}
	if limit <= 0 {
		return 0
	}
	return limit/2 + rand.N(limit/2)
}

// profile returns what a task really needs. The lock is held.
func (p *minionProgram) profile(t work.Task) emulator.TaskProfile {
	profiles := p.profiles[t.Job]
	if len(profiles) == 0 {
		return emulator.TaskProfile{Room: work.Room{CPU: 1}, Work: time.Millisecond}
	}
	return profiles[min(t.Index, len(profiles)-1)]
}

// ServeHTTP passes a request to the minion, after it has learnt the profiles of the
// tasks from the spec of the job.
func (p *minionProgram) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	order, isOrder := imitator.ReadOrder(r)
	if isOrder && order.Spec != "" {
		p.learnProfiles(order.Run.Job, order.Spec)
	}
	recorder := &statusRecorder{ResponseWriter: w}
	p.minion.ServeHTTP(recorder, r)
	if isOrder {
		slog.Info("soaker: Carried out an order", "path", r.URL.Path, "run", order.Run.String(), "fencing-token", order.FencingToken, "lease-expiry", order.LeaseExpiry,
			"status", recorder.status, "minion", p.settings.Minion.Name, "incarnation", p.settings.Minion.Incarnation, "client-left", r.Context().Err() != nil)
	}
}

// statusRecorder records the status of a response, for the log.
type statusRecorder struct {
	http.ResponseWriter

	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// learnProfiles records the profiles of a job's tasks.
func (p *minionProgram) learnProfiles(job, spec string) {
	var profiles []emulator.TaskProfile
	if json.Unmarshal([]byte(spec), &profiles) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.profiles[job] = profiles
}

// formatProfiles returns the spec of a job whose tasks have these profiles. All tasks
// after the second are like it.
func formatProfiles(profiles []emulator.TaskProfile) string {
	spec, err := json.Marshal(profiles[:min(2, len(profiles))])
	if err != nil {
		panic("soaker: a profile can't be encoded: " + err.Error()) // It has plain fields only.
	}
	return string(spec)
}

// sendReports sends status reports until the process ends.
func (p *minionProgram) sendReports() {
	for {
		if p.minion.Report(context.Background(), p.settings.Agent) {
			time.Sleep(reportInterval)
		} else {
			time.Sleep(retryInterval)
		}
	}
}
