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
	// farAhead is a deadline that no survey reaches.
	farAhead = time.Hour
)

var entryProcess = task.Process{Name: "entry-01", Incarnation: 1 << 60}

// fastTable returns a table service that answers almost at once, where its
// speed isn't the matter.
func fastTable() *emulator.Table {
	const perSecond = 1_000_000
	return emulator.NewTable(emulator.Options{
		WriteLatency: 1, ReadLatency: 1, WritesPerSecond: perSecond, ReadsPerSecond: perSecond,
	})
}

func silentLog() *slog.Logger { return slog.New(slog.DiscardHandler) }

func agentProcess(i int) task.Process {
	return task.Process{Name: fmt.Sprintf("ascenso-desk-%04d", i), Incarnation: 1<<60 + task.Incarnation(i)}
}

func announcementOf(i int) dispatcher.Announcement {
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

// newEntry starts a whole entry.
func newEntry(table tabler.Table) (*entry.Entry, error) {
	limits := loader.DefaultLimits()
	limits.StopNotice = 0
	address := netip.MustParseAddrPort(loopback)
	return entry.New(entry.Options{
		Settings: loader.Entry{
			Name: entryProcess.Name, Zone: zone, Callers: address, Operators: address, Internal: address, Limits: limits,
		},
		Table: table,
	})
}

// herald announces one running agent to an entry, as the agent's own announcer
// does it.
type herald struct {
	announcer *announcer.Announcer
	heard     chan uint64
}

func newHerald(ctx context.Context, agent *attendant.Attendant, to registrar.Member) (*herald, error) {
	table := fastTable()
	if _, err := table.Commit(ctx, registration(to)); err != nil {
		return nil, err
	}
	h := &herald{heard: make(chan uint64, 1)}
	self := announcementOf(1)
	self.Peer = peerOf(agent)
	h.announcer = announcer.New(announcer.Options{
		Self:       self,
		Load:       func() dispatcher.Load { return self.Load },
		OnRevision: func(revision uint64) { h.heard <- revision },
		Table:      table,
		Logger:     silentLog(),
		Metrics:    metrics.NewRegistry(),

		ListInterval: farAhead,
	})
	if err := take(ctx, h.heard); err != nil {
		h.close()
		return nil, err
	}
	return h, nil
}

// announce announces the agent n times.
func (h *herald) announce(ctx context.Context, n int) error {
	for range n {
		h.announcer.AnnounceNow()
		if err := take(ctx, h.heard); err != nil {
			return err
		}
	}
	return nil
}

// close lets the answer of an announcement under way in.
func (h *herald) close() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.announcer.Close()
	}()
	for {
		select {
		case <-h.heard:
		case <-done:
			return
		}
	}
}

// announcements measures an agent that announces itself to an entry, which has
// a link to it.
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
	defer func() { _ = e.Close(ctx) }() // Nothing is in flight.
	relay, err := newRelay(ctx, e.Internal())
	if err != nil {
		return nil, err
	}
	defer relay.close()
	slopes := []Slope{
		{
			Name: "announcement-bytes", Unit: unitBytes, Per: "announcement",
			Method: "bytes both ways at the entry's connection, over an open connection through a relay",
		},
		{
			Name: "announcement-time", Unit: unitTime, Per: "announcement",
			Method: "processor time of the agent's announcer and of the whole entry together, without the relay",
		},
	}
	return collect(slopes, s.sizes(200, 400, 800, 1600), func(n int) ([]float64, error) {
		_, bytes, err := announceTo(ctx, n, agents[0], e.Self(), relay.address, &relay.traffic)
		if err != nil {
			return nil, err
		}
		spent, _, err := announceTo(ctx, n, agents[0], e.Self(), e.Internal(), &relay.traffic)
		return []float64{bytes, spent}, err
	})
}

// announceTo announces an agent n times at an address of an entry, and returns
// the processor time and the bytes that a relay saw.
func announceTo(
	ctx context.Context, n int, agent *attendant.Attendant, to task.Process, address netip.AddrPort, seen *traffic,
) (spent, bytes float64, err error) {
	h, err := newHerald(ctx, agent, registrar.Member{
		Process: to, Address: address, Zone: zone, Expires: time.Now().Add(farAhead),
	})
	if err != nil {
		return 0, 0, err
	}
	defer h.close()
	before := seen.bytes.Load()
	spent, err = used(func() error { return h.announce(ctx, n) })
	return spent, float64(seen.bytes.Load() - before), err
}

// take takes one item.
func take[T any](ctx context.Context, items <-chan T) error {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-items:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return errPatience()
	}
}

func newCore() *dispatcher.Core {
	const plenty = 1 << 30
	return dispatcher.New(dispatcher.Options{
		Self:        entryProcess,
		Address:     netip.MustParseAddrPort("10.0.0.1:8002"),
		Zone:        zone,
		QueueTasks:  plenty,
		KeepAnswers: farAhead,
		KeepBytes:   plenty,
		AnswerBytes: plenty,
		Random:      rand.New(rand.NewPCG(1, 1)),
	})
}

// entryAgents measures what the core of an entry keeps of each agent.
func (s *survey) entryAgents(context.Context) ([]Slope, error) {
	slope := Slope{
		Name: "entry-agent-memory", Unit: unitBytes, Per: "agent",
		Method: "live heap of the entry's core, without the link and the latest announcement that is kept for operators",
	}
	return collect([]Slope{slope}, s.sizes(250, 500, 1000, 2000), func(n int) ([]float64, error) {
		bytes, err := held(func() (*dispatcher.Core, error) {
			core := newCore()
			now := time.Now()
			for i := range n {
				core.Step(now, dispatcher.Announced{Announcement: announcementOf(i)})
			}
			return core, nil
		})
		return []float64{bytes}, err
	})
}
