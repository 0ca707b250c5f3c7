package surveyor

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/attendant"
	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/linker"
	"agatevalve/loader"
	"agatevalve/tabler"
)

const (
	// fastPingInterval and fastProbeTimeout replace the linker's defaults, to
	// measure many pings in a short time.
	fastPingInterval = 2 * time.Millisecond
	fastProbeTimeout = 50 * time.Millisecond
	// pingDuration is the time over which the pings of many links are measured;
	// minPingDuration is its lower limit in a scaled-down survey.
	pingDuration    = 3 * time.Second
	minPingDuration = 600 * time.Millisecond
	// burstsPerSize is the number of bursts that a point averages over.
	burstsPerSize = 200
	// pingsSentMetric is the name of the linker's counter of pings.
	pingsSentMetric = "link-pings-sent"
	// linkedAgents is the number of agents that share the links of a measurement.
	linkedAgents = 10
	// agentSlots is enough to run a whole burst concurrently.
	agentSlots = 64
)

var (
	requestBody  = []byte(`{"tower":"basilica","slot":"2026-12-04T10:30","party":6,"guide":17}`)
	responseBody = []byte(`{"hold":"confirmed","until":"2026-12-04T10:45"}`)
)

// newAgent starts an agent. With an empty table it finds no entry, and announces
// itself to none.
func newAgent(i int, minion netip.AddrPort, table tabler.Table) (*attendant.Attendant, error) {
	settings := loader.DefaultAgent()
	settings.Name = fmt.Sprintf("ascenso-desk-%04d", i)
	settings.Zone = zone
	settings.Listen = netip.MustParseAddrPort(loopbackAddress)
	settings.Minion = minion
	settings.Pools = []string{poolName}
	settings.Slots = agentSlots
	return attendant.New(attendant.Options{Settings: settings, Table: table, Logger: discardLogger()})
}

// closeAgents closes agents without waiting for the acknowledgement of results.
func closeAgents(agents []*attendant.Attendant) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, a := range agents {
		_ = a.Close(ctx) // The error lists unacknowledged results, which don't matter here.
	}
}

func peerOf(a *attendant.Attendant) dispatcher.Peer {
	return dispatcher.Peer{Process: a.Process(), Address: a.Address()}
}

// answerImmediately is the handler of a stand-in minion without service time.
func answerImmediately(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(responseBody) // The agent may have closed the connection.
}

// entrySide is an entry's end of links: a linker without a core.
type entrySide struct {
	linker   *linker.Linker
	events   *ring.Ring[dispatcher.Event]
	registry metrics.Registry
	done     chan struct{}
	// ended receives each result, and results counts them.
	ended   chan dispatcher.Ended
	results atomic.Int64
}

func newEntrySide(name string, pingInterval, probeTimeout time.Duration) *entrySide {
	const eventRing = 4096
	s := &entrySide{
		events:   ring.New[dispatcher.Event](eventRing),
		registry: metrics.NewRegistry(),
		done:     make(chan struct{}),
		ended:    make(chan dispatcher.Ended, eventRing),
	}
	s.linker = linker.New(linker.Options{
		Self:          task.Process{Name: name, Incarnation: 1 << 60},
		Events:        s.events,
		Metrics:       s.registry,
		IdlePingAfter: pingInterval,

		ProbeTimeout: probeTimeout,
	})
	go func() {
		defer close(s.done)
		for open := true; open; {
			<-s.events.Ready()
			var events []dispatcher.Event
			events, open = s.events.TakeAll(nil)
			s.recordResults(events)
		}
	}()
	return s
}

// recordResults counts the results among events and sends them to ended.
func (s *entrySide) recordResults(events []dispatcher.Event) {
	for _, ev := range events {
		if e, ok := ev.(dispatcher.Ended); ok {
			s.results.Add(1)
			s.ended <- e
		}
	}
}

func (s *entrySide) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, s.registry).Count()
}

func (s *entrySide) close() {
	s.linker.Close()
	s.events.Close()
	<-s.done
}

// meteredLink is a link to an agent through a relay that counts its bytes.
type meteredLink struct {
	minion *server
	agent  *attendant.Attendant
	relay  *relay
	side   *entrySide
	peer   dispatcher.Peer
}

// newMeteredLink starts both ends, and opens the link with one start.
func newMeteredLink(ctx context.Context, pingInterval, probeTimeout time.Duration) (*meteredLink, error) {
	l := &meteredLink{}
	var err error
	if l.minion, err = startServer(ctx, http.HandlerFunc(answerImmediately)); err != nil {
		return nil, err
	}
	if l.agent, err = newAgent(1, l.minion.address, fastTable()); err != nil {
		l.minion.close()
		return nil, err
	}
	if l.relay, err = newRelay(ctx, l.agent.Address()); err != nil {
		closeAgents([]*attendant.Attendant{l.agent})
		l.minion.close()
		return nil, err
	}
	l.side = newEntrySide(entryProcess.Name, pingInterval, probeTimeout)
	l.peer = dispatcher.Peer{Process: l.agent.Process(), Address: l.relay.address}
	return l, l.burst(ctx, 0, 1)
}

func (l *meteredLink) close() {
	l.side.close()
	closeAgents([]*attendant.Attendant{l.agent})
	l.relay.close()
	l.minion.close()
}

// idleLinks measures the pings of an idle link.
func (s *survey) idleLinks(ctx context.Context) ([]Slope, error) {
	l, err := newMeteredLink(ctx, fastPingInterval, fastProbeTimeout)
	if err != nil {
		return nil, err
	}
	defer l.close()
	slope := Slope{
		Name: "ping-bytes", Unit: unitBytes, SizeUnit: "ping",
		Method: "bytes both ways of a ping with its pong and load, on an idle link, through a relay",
	}
	return collect([]Slope{slope}, s.scaleSizes(20, 40, 80, 160), func(n int) ([]float64, error) {
		target := l.side.count(pingsSentMetric) + int64(n)
		before := l.relay.traffic.bytes.Load()
		err := waitUntil(ctx, func() bool { return l.side.count(pingsSentMetric) >= target })
		return []float64{float64(l.relay.traffic.bytes.Load() - before)}, err
	})
}

// links measures the memory of open links and the processor time of their pings,
// at both ends together.
func (s *survey) links(ctx context.Context) ([]Slope, error) {
	agents, closeAll, err := newAgents(ctx, linkedAgents, fastTable())
	defer closeAll()
	if err != nil {
		return nil, err
	}
	memory := Slope{
		Name: "link-memory", Unit: unitBytes, SizeUnit: "link",
		Method: "live heap and stacks of both ends of an idle link, of which each belongs to another process",
	}
	pings := Slope{
		Name: "ping-time", Unit: unitMicroseconds, SizeUnit: "ping",
		Method: fmt.Sprintf("processor time of both ends of many links that ping as fast as their progress checks let them, for %v", pingDuration),
	}
	for _, n := range s.scaleSizes(50, 100, 200, 300) {
		var sides []*entrySide
		bytes, err := measureMemory(func() ([]*entrySide, error) {
			sides = openLinks(agents, n)
			return sides, awaitLinks(ctx, sides, n)
		})
		if err != nil {
			closeEntrySides(sides)
			return nil, err
		}
		memory.Points = append(memory.Points, Point{Size: float64(n), Cost: bytes})
		point, err := measurePings(sides, max(minPingDuration, time.Duration(s.scale*float64(pingDuration))))
		closeEntrySides(sides)
		if err != nil {
			return nil, err
		}
		pings.Points = append(pings.Points, point)
	}
	return []Slope{memory, pings}, nil
}

// measurePings waits for duration while the links ping, and returns the processor
// time as a function of the number of pings.
func measurePings(sides []*entrySide, duration time.Duration) (Point, error) {
	count := func() (pings int64) {
		for _, s := range sides {
			pings += s.count(pingsSentMetric)
		}
		return pings
	}
	before := count()
	cpuTime, err := measureProcessorTime(func() error { time.Sleep(duration); return nil })
	return Point{Size: float64(count() - before), Cost: cpuTime}, err
}

// openLinks opens n links by sending one start over each. It uses as few entry
// sides as possible, as each has at most one link to an agent.
func openLinks(agents []*attendant.Attendant, n int) []*entrySide {
	var sides []*entrySide
	for i := range n {
		if i%len(agents) == 0 {
			sides = append(sides, newEntrySide(fmt.Sprintf("entry-%02d", i/len(agents)), fastPingInterval, linker.DefaultProbeTimeout))
		}
		start := newStart(i, 0, time.Now().Add(waitTimeout))
		sides[i/len(agents)].linker.Send(peerOf(agents[i%len(agents)]), start)
	}
	return sides
}

// newAgents starts n agents that share one stand-in minion. The returned function
// closes them and the minion; it must be called after an error too.
func newAgents(ctx context.Context, n int, table tabler.Table) ([]*attendant.Attendant, func(), error) {
	minion, err := startServer(ctx, http.HandlerFunc(answerImmediately))
	if err != nil {
		return nil, func() {}, err
	}
	var agents []*attendant.Attendant
	closeAll := func() {
		closeAgents(agents)
		minion.close()
	}
	for i := range n {
		a, err := newAgent(i, minion.address, table)
		if err != nil {
			return nil, closeAll, err
		}
		agents = append(agents, a)
	}
	return agents, closeAll, nil
}

// closeEntrySides closes all sides concurrently, because each waits for its agents.
func closeEntrySides(sides []*entrySide) {
	var group sync.WaitGroup
	for _, s := range sides {
		group.Go(s.close)
	}
	group.Wait()
}

// awaitLinks waits until n results have arrived: one for the start that opened
// each link.
func awaitLinks(ctx context.Context, sides []*entrySide, n int) error {
	return waitUntil(ctx, func() bool {
		results := int64(0)
		for _, s := range sides {
			results += s.results.Load()
		}
		return results >= int64(n)
	})
}

// agents measures the memory of complete agents.
func (s *survey) agents(ctx context.Context) ([]Slope, error) {
	slope := Slope{
		Name: "agent-memory", Unit: unitBytes, SizeUnit: "agent",
		Method: fmt.Sprintf("live heap and stacks of idle agents with %d slots and no link, without the runtime and the program text of a process", agentSlots),
	}
	return collect([]Slope{slope}, s.scaleSizes(25, 50, 100, 200), func(n int) ([]float64, error) {
		closeAll := func() {}
		defer func() { closeAll() }()
		bytes, err := measureMemory(func() (agents []*attendant.Attendant, err error) {
			agents, closeAll, err = newAgents(ctx, n, fastTable())
			return agents, err
		})
		return []float64{bytes}, err
	})
}

// linkStarts measures bursts of starts over one link, including the
// acknowledgement of their results.
func (s *survey) linkStarts(ctx context.Context) ([]Slope, error) {
	l, err := newMeteredLink(ctx, linker.DefaultIdlePingAfter, linker.DefaultProbeTimeout)
	if err != nil {
		return nil, err
	}
	defer l.close()
	slopes := []Slope{
		{
			Name: "start-bytes", Unit: unitBytes, SizeUnit: "start of a burst",
			Method: fmt.Sprintf("bytes both ways of starts, results and acknowledgements on one link, with bodies of %d and %d bytes, mean of %d bursts",
				len(requestBody), len(responseBody), burstsPerSize),
		},
		{
			Name: "start-time", Unit: unitMicroseconds, SizeUnit: "start of a burst",
			Method: "processor time of the entry's link, the relay, the agent, its calls to the minion, and a stand-in minion that answers at once",
		},
	}
	job := 0
	return collect(slopes, s.scaleSizes(1, 4, 16, 64), func(n int) ([]float64, error) {
		before := l.relay.traffic.bytes.Load()
		cpuTime, err := measureProcessorTime(func() error {
			for range burstsPerSize {
				job++
				if err := l.burst(ctx, job, n); err != nil {
					return err
				}
			}
			return nil
		})
		bytes := float64(l.relay.traffic.bytes.Load() - before)
		return []float64{bytes / burstsPerSize, cpuTime / burstsPerSize}, err
	})
}

// burst sends n starts, waits for their results and acknowledges them.
func (l *meteredLink) burst(ctx context.Context, job, n int) error {
	for i := range n {
		l.side.linker.Send(l.peer, newStart(job, i, time.Now().Add(waitTimeout)))
	}
	timer := time.NewTimer(waitTimeout)
	defer timer.Stop()
	for range n {
		select {
		case e := <-l.side.ended:
			if e.Report.State != task.Finished {
				return fmt.Errorf("a start ended as %d: %s", e.Report.State, e.Report.Reason)
			}
			l.side.linker.Acknowledge(l.peer, dispatcher.AttemptRef{Task: e.Report.Task, Attempt: e.Report.Attempt})
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return errWaitTimeout()
		}
	}
	return nil
}

// newStart returns a start of one task of a job.
func newStart(job, index int, deadline time.Time) task.Start {
	return task.Start{
		Task:       task.ID{Job: task.KeyedJobID("climbs", task.Key(fmt.Sprint(job))), Index: index},
		Attempt:    1,
		Generation: 1,
		Team:       "climbs",
		Pool:       poolName,
		Deadline:   deadline,
		Request:    newRequest(),
	}
}

func newRequest() task.Request {
	return task.Request{
		Method: http.MethodPost,
		Path:   "/holds/confirm",
		Host:   "desk.example",
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   requestBody,
	}
}
