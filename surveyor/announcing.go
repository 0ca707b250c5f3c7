package surveyor

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/announcer"
	"agatevalve/attendant"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/emulator"
	"agatevalve/entry"
	"agatevalve/loader"
	"agatevalve/registrar"
	"agatevalve/tabler"
)

const (
	poolName = "ascenso-desk"
	zone     = "cartago"
	slots    = 8
	// farFuture is longer than any survey, for deadlines, expiries and intervals
	// that must not elapse during one.
	farFuture = time.Hour
)

var entryProcess = task.Process{Name: "entry-01", Incarnation: 1 << 60}

// fastTable returns an emulated table service without noticeable latency or rate
// limits, for measurements that don't depend on its speed.
func fastTable() *emulator.Table {
	const perSecond = 1_000_000
	return emulator.NewTable(emulator.Options{
		WriteLatency: 1, ReadLatency: 1, WritesPerSecond: perSecond, ReadsPerSecond: perSecond,
	})
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// agentProcess returns the process identity of the i-th simulated agent.
func agentProcess(i int) task.Process {
	return task.Process{Name: fmt.Sprintf("ascenso-desk-%04d", i), Incarnation: 1<<60 + task.Incarnation(i)}
}

// newAnnouncement returns an announcement of the i-th simulated agent. Three
// agents share a rack.
func newAnnouncement(i int) dispatcher.Announcement {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 9010)
	return dispatcher.Announcement{
		Peer:    dispatcher.Peer{Process: agentProcess(i), Address: address},
		Zone:    zone,
		Worker:  fmt.Sprintf("worker-%04d", i),
		Rack:    fmt.Sprintf("rack-%03d", i/3),
		Pools:   []string{poolName},
		Load:    dispatcher.Load{Slots: slots, Running: 3, Revision: 2600},
		Expires: time.Now().Add(announcer.Lifetime),
	}
}

// newEntry starts a complete entry on the loopback interface, without a stop
// notice.
func newEntry(table tabler.Table) (*entry.Entry, error) {
	limits := loader.DefaultLimits()
	limits.StopNotice = 0
	address := netip.MustParseAddrPort(loopbackAddress)
	return entry.New(entry.Options{
		Settings: loader.Entry{
			Name: entryProcess.Name, Zone: zone, Callers: address, Operators: address, Internal: address, Limits: limits,
		},
		Table: table,
	})
}

// agentAnnouncer announces a running agent to an entry with a separate announcer
// of the production code, whose announcements the survey triggers.
type agentAnnouncer struct {
	announcer *announcer.Announcer
	// replies receives the revision from each reply of the entry.
	replies chan uint64
}

// newAgentAnnouncer returns after the reply to the first announcement.
func newAgentAnnouncer(ctx context.Context, agent *attendant.Attendant, to registrar.Member) (*agentAnnouncer, error) {
	table := fastTable()
	if _, err := table.Commit(ctx, registrationWrites(to)); err != nil {
		return nil, err
	}
	a := &agentAnnouncer{replies: make(chan uint64, 1)}
	self := newAnnouncement(1)
	self.Peer = peerOf(agent)
	a.announcer = announcer.New(announcer.Options{
		Self:       self,
		Load:       func() dispatcher.Load { return self.Load },
		OnRevision: func(revision uint64) { a.replies <- revision },
		Table:      table,
		Logger:     discardLogger(),
		Metrics:    metrics.NewRegistry(),

		ListInterval: farFuture,
	})
	if err := receive(ctx, a.replies); err != nil {
		a.close()
		return nil, err
	}
	return a, nil
}

// announce announces the agent n times, and waits for each reply.
func (a *agentAnnouncer) announce(ctx context.Context, n int) error {
	for range n {
		a.announcer.AnnounceNow()
		if err := receive(ctx, a.replies); err != nil {
			return err
		}
	}
	return nil
}

// close closes the announcer. It drains replies meanwhile, so that an
// announcement in flight doesn't block.
func (a *agentAnnouncer) close() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.announcer.Close()
	}()
	for {
		select {
		case <-a.replies:
		case <-done:
			return
		}
	}
}

// announcements measures the announcements of an agent to an entry that has a
// link to the agent.
func (s *survey) announcements(ctx context.Context) ([]Slope, error) {
	agents, closeAll, err := newAgents(ctx, 1, fastTable())
	defer closeAll()
	if err != nil {
		return nil, err
	}
	e, err := newEntry(fastTable())
	if err != nil {
		return nil, err
	}
	defer func() { _ = e.Close(ctx) }() // No request is in flight.
	relay, err := newRelay(ctx, e.Internal())
	if err != nil {
		return nil, err
	}
	defer relay.close()
	slopes := []Slope{
		{
			Name: "announcement-bytes", Unit: unitBytes, SizeUnit: "announcement",
			Method: "bytes both ways at the entry's connection, over an open connection through a relay",
		},
		{
			Name: "announcement-time", Unit: unitMicroseconds, SizeUnit: "announcement",
			Method: "processor time of the agent's announcer and of the whole entry together, without the relay",
		},
	}
	return collect(slopes, s.scaleSizes(200, 400, 800, 1600), func(n int) ([]float64, error) {
		_, bytes, err := announceTo(ctx, n, agents[0], e.Self(), relay.address, &relay.traffic)
		if err != nil {
			return nil, err
		}
		cpuTime, _, err := announceTo(ctx, n, agents[0], e.Self(), e.Internal(), &relay.traffic)
		return []float64{bytes, cpuTime}, err
	})
}

// announceTo announces an agent n times to an address of an entry, and returns
// the processor time in microseconds and the bytes that relayTraffic counted.
func announceTo(
	ctx context.Context, n int, agent *attendant.Attendant, to task.Process, address netip.AddrPort, relayTraffic *traffic,
) (cpuTime, bytes float64, err error) {
	a, err := newAgentAnnouncer(ctx, agent, registrar.Member{
		Process: to, Address: address, Zone: zone, Expires: time.Now().Add(farFuture),
	})
	if err != nil {
		return 0, 0, err
	}
	defer a.close()
	before := relayTraffic.bytes.Load()
	cpuTime, err = measureProcessorTime(func() error { return a.announce(ctx, n) })
	return cpuTime, float64(relayTraffic.bytes.Load() - before), err
}

// receive receives one item, for at most waitTimeout.
func receive[T any](ctx context.Context, items <-chan T) error {
	timer := time.NewTimer(waitTimeout)
	defer timer.Stop()
	select {
	case <-items:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return errWaitTimeout()
	}
}

// newCore returns the core of an entry without effective limits, with a fixed
// random seed.
func newCore() *dispatcher.Core {
	const unlimited = 1 << 30
	return dispatcher.New(dispatcher.Options{
		Self:        entryProcess,
		Address:     netip.MustParseAddrPort("10.0.0.1:8002"),
		Zone:        zone,
		QueueTasks:  unlimited,
		KeepAnswers: farFuture,
		KeepBytes:   unlimited,
		AnswerBytes: unlimited,
		Random:      rand.New(rand.NewPCG(1, 1)),
	})
}

// entryAgents measures the memory that the core of an entry uses for each agent.
func (s *survey) entryAgents(context.Context) ([]Slope, error) {
	slope := Slope{
		Name: "entry-agent-memory", Unit: unitBytes, SizeUnit: "agent",
		Method: "live heap of the entry's core, without the link and the latest announcement that is kept for operators",
	}
	return collect([]Slope{slope}, s.scaleSizes(250, 500, 1000, 2000), func(n int) ([]float64, error) {
		bytes, err := measureMemory(func() (*dispatcher.Core, error) {
			core := newCore()
			now := time.Now()
			for i := range n {
				core.Step(now, dispatcher.Announced{Announcement: newAnnouncement(i)})
			}
			return core, nil
		})
		return []float64{bytes}, err
	})
}
