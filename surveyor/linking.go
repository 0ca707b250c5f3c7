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
	// briskPing and briskSilence take the place of the times of an idle link, to
	// measure many pings.
	briskPing    = 2 * time.Millisecond
	briskSilence = 50 * time.Millisecond
	// pingFor is how long the pings of many links are measured, and at least
	// leastPingFor in a small survey.
	pingFor      = 3 * time.Second
	leastPingFor = 600 * time.Millisecond
	// bursts is how many bursts of one size are sent.
	bursts = 200
	// pingsSent is the linker's metric of pings.
	pingsSent = "link-pings-sent"
	// linkedAgents is how many agents share the links of one measurement.
	linkedAgents = 10
	// agentSlots let a whole burst run at once.
	agentSlots = 64
)

var (
	requestBody  = []byte(`{"tower":"basilica","slot":"2026-12-04T10:30","party":6,"guide":17}`)
	responseBody = []byte(`{"hold":"confirmed","until":"2026-12-04T10:45"}`)
)

// newAgent starts an agent. With an empty table it knows no entry, and
// announces itself to none.
func newAgent(i int, minion netip.AddrPort, table tabler.Table) (*attendant.Attendant, error) {
	settings := loader.DefaultAgent()
	settings.Name = fmt.Sprintf("ascenso-desk-%04d", i)
	settings.Zone = zone
	settings.Listen = netip.MustParseAddrPort(loopback)
	settings.Minion = minion
	settings.Pools = []string{poolName}
	settings.Slots = agentSlots
	return attendant.New(attendant.Options{Settings: settings, Table: table, Logger: silentLog()})
}

func closeAgents(agents []*attendant.Attendant) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, a := range agents {
		_ = a.Close(ctx) // It names the results that were left, which nobody wants.
	}
}

func peerOf(a *attendant.Attendant) dispatcher.Peer {
	return dispatcher.Peer{Process: a.Process(), Address: a.Address()}
}

// answering is a stand-in minion that answers at once.
func answering(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(responseBody) // A caller that has gone needs no answer.
}

// side is the entry's side of links, without a core.
type side struct {
	linker   *linker.Linker
	events   *ring.Ring[dispatcher.Event]
	registry metrics.Registry
	done     chan struct{}
	// ended is told each result.
	ended chan dispatcher.Ended
	// results counts them.
	results atomic.Int64
}

func newSide(name string, idlePing, silentAfter time.Duration) *side {
	const eventRing = 4096
	s := &side{
		events:   ring.New[dispatcher.Event](eventRing),
		registry: metrics.NewRegistry(),
		done:     make(chan struct{}),
		ended:    make(chan dispatcher.Ended, eventRing),
	}
	s.linker = linker.New(linker.Options{
		Self:          task.Process{Name: name, Incarnation: 1 << 60},
		Events:        s.events,
		Metrics:       s.registry,
		IdlePingAfter: idlePing,

		ProbeTimeout: silentAfter,
	})
	go func() {
		defer close(s.done)
		for open := true; open; {
			<-s.events.Ready()
			var events []dispatcher.Event
			events, open = s.events.TakeAll(nil)
			s.note(events)
		}
	}()
	return s
}

func (s *side) note(events []dispatcher.Event) {
	for _, ev := range events {
		if e, ok := ev.(dispatcher.Ended); ok {
			s.results.Add(1)
			s.ended <- e
		}
	}
}

func (s *side) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, s.registry).Count()
}

func (s *side) close() {
	s.linker.Close()
	s.events.Close()
	<-s.done
}

// line is one link through a relay that counts its bytes.
type line struct {
	minion *server
	agent  *attendant.Attendant
	relay  *relay
	side   *side
	peer   dispatcher.Peer
}

func newLine(ctx context.Context, idlePing, silentAfter time.Duration) (*line, error) {
	l := &line{}
	var err error
	if l.minion, err = serve(ctx, http.HandlerFunc(answering)); err != nil {
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
	l.side = newSide(entryProcess.Name, idlePing, silentAfter)
	l.peer = dispatcher.Peer{Process: l.agent.Process(), Address: l.relay.address}
	return l, l.burst(ctx, 0, 1)
}

func (l *line) close() {
	l.side.close()
	closeAgents([]*attendant.Attendant{l.agent})
	l.relay.close()
	l.minion.close()
}

// idleLinks measures the pings of a link without work.
func (s *survey) idleLinks(ctx context.Context) ([]Slope, error) {
	l, err := newLine(ctx, briskPing, briskSilence)
	if err != nil {
		return nil, err
	}
	defer l.close()
	slope := Slope{
		Name: "ping-bytes", Unit: unitBytes, Per: "ping",
		Method: "bytes both ways of a ping with its pong and load, on an idle link, through a relay",
	}
	return collect([]Slope{slope}, s.sizes(20, 40, 80, 160), func(n int) ([]float64, error) {
		target := l.side.count(pingsSent) + int64(n)
		before := l.relay.traffic.bytes.Load()
		err := await(ctx, func() bool { return l.side.count(pingsSent) >= target })
		return []float64{float64(l.relay.traffic.bytes.Load() - before)}, err
	})
}

// links measures what open links hold, and what their pings take, at both ends
// together.
func (s *survey) links(ctx context.Context) ([]Slope, error) {
	agents, closeAll, err := newAgents(ctx, linkedAgents, fastTable())
	defer closeAll()
	if err != nil {
		return nil, err
	}
	memory := Slope{
		Name: "link-memory", Unit: unitBytes, Per: "link",
		Method: "live heap and stacks of both ends of an idle link, of which each belongs to another process",
	}
	pings := Slope{
		Name: "ping-time", Unit: unitTime, Per: "ping",
		Method: fmt.Sprintf("processor time of both ends of many links that ping as fast as their progress checks let them, for %v", pingFor),
	}
	for _, n := range s.sizes(50, 100, 200, 300) {
		var sides []*side
		bytes, err := held(func() ([]*side, error) {
			sides = linkAll(agents, n)
			return sides, awaitLinks(ctx, sides, n)
		})
		if err != nil {
			closeSides(sides)
			return nil, err
		}
		memory.Points = append(memory.Points, Point{Size: float64(n), Cost: bytes})
		point, err := pingAll(sides, max(leastPingFor, time.Duration(s.scale*float64(pingFor))))
		closeSides(sides)
		if err != nil {
			return nil, err
		}
		pings.Points = append(pings.Points, point)
	}
	return []Slope{memory, pings}, nil
}

// pingAll lets links ping for a while, and returns the processor time against
// the pings.
func pingAll(sides []*side, length time.Duration) (Point, error) {
	count := func() (pings int64) {
		for _, s := range sides {
			pings += s.count(pingsSent)
		}
		return pings
	}
	before := count()
	spent, err := used(func() error { time.Sleep(length); return nil })
	return Point{Size: float64(count() - before), Cost: spent}, err
}

// linkAll opens n links from as few entries as the agents allow.
func linkAll(agents []*attendant.Attendant, n int) []*side {
	var sides []*side
	for i := range n {
		if i%len(agents) == 0 {
			sides = append(sides, newSide(fmt.Sprintf("entry-%02d", i/len(agents)), briskPing, linker.DefaultProbeTimeout))
		}
		start := startOf(i, 0, time.Now().Add(patience))
		sides[i/len(agents)].linker.Send(peerOf(agents[i%len(agents)]), start)
	}
	return sides
}

// newAgents starts agents beside one stand-in minion. The returned function
// closes what was started, after an error too.
func newAgents(ctx context.Context, n int, table tabler.Table) ([]*attendant.Attendant, func(), error) {
	minion, err := serve(ctx, http.HandlerFunc(answering))
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

// closeSides closes all sides at once, because each waits for its agents.
func closeSides(sides []*side) {
	var group sync.WaitGroup
	for _, s := range sides {
		group.Go(s.close)
	}
	group.Wait()
}

// awaitLinks waits until each of n links has brought the result of its one
// start.
func awaitLinks(ctx context.Context, sides []*side, n int) error {
	return await(ctx, func() bool {
		results := int64(0)
		for _, s := range sides {
			results += s.results.Load()
		}
		return results >= int64(n)
	})
}

// agents measures what whole agents hold.
func (s *survey) agents(ctx context.Context) ([]Slope, error) {
	slope := Slope{
		Name: "agent-memory", Unit: unitBytes, Per: "agent",
		Method: fmt.Sprintf("live heap and stacks of idle agents with %d slots and no link, without the runtime and the program text of a process", agentSlots),
	}
	return collect([]Slope{slope}, s.sizes(25, 50, 100, 200), func(n int) ([]float64, error) {
		closeAll := func() {}
		defer func() { closeAll() }()
		bytes, err := held(func() (agents []*attendant.Attendant, err error) {
			agents, closeAll, err = newAgents(ctx, n, fastTable())
			return agents, err
		})
		return []float64{bytes}, err
	})
}

// linkStarts measures bursts of starts over one link, to the acknowledgement of
// their results.
func (s *survey) linkStarts(ctx context.Context) ([]Slope, error) {
	l, err := newLine(ctx, linker.DefaultIdlePingAfter, linker.DefaultProbeTimeout)
	if err != nil {
		return nil, err
	}
	defer l.close()
	slopes := []Slope{
		{
			Name: "start-bytes", Unit: unitBytes, Per: "start of a burst",
			Method: fmt.Sprintf("bytes both ways of starts, results and acknowledgements on one link, with bodies of %d and %d bytes, mean of %d bursts",
				len(requestBody), len(responseBody), bursts),
		},
		{
			Name: "start-time", Unit: unitTime, Per: "start of a burst",
			Method: "processor time of the entry's link, the relay, the agent, its calls to the minion, and a stand-in minion that answers at once",
		},
	}
	job := 0
	return collect(slopes, s.sizes(1, 4, 16, 64), func(n int) ([]float64, error) {
		before := l.relay.traffic.bytes.Load()
		spent, err := used(func() error {
			for range bursts {
				job++
				if err := l.burst(ctx, job, n); err != nil {
					return err
				}
			}
			return nil
		})
		bytes := float64(l.relay.traffic.bytes.Load() - before)
		return []float64{bytes / bursts, spent / bursts}, err
	})
}

// burst sends n starts and waits for their results.
func (l *line) burst(ctx context.Context, job, n int) error {
	for i := range n {
		l.side.linker.Send(l.peer, startOf(job, i, time.Now().Add(patience)))
	}
	timer := time.NewTimer(patience)
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
			return errPatience()
		}
	}
	return nil
}

func startOf(job, index int, deadline time.Time) task.Start {
	return task.Start{
		Task:       task.ID{Job: task.KeyedJobID("climbs", task.Key(fmt.Sprint(job))), Index: index},
		Attempt:    1,
		Generation: 1,
		Team:       "climbs",
		Pool:       poolName,
		Deadline:   deadline,
		Request:    requestOf(),
	}
}

func requestOf() task.Request {
	return task.Request{
		Method: http.MethodPost,
		Path:   "/holds/confirm",
		Host:   "desk.example",
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   requestBody,
	}
}
