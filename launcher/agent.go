package launcher

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"agatevalve/common/work"
	"agatevalve/coupler"
	"agatevalve/minder"
	"agatevalve/platform"
	"agatevalve/registrar"
	"agatevalve/supervisor"
)

const (
	// locateEvery is how often an agent without links looks for entries.
	locateEvery = 300 * time.Millisecond
	// listEvery is how often such an agent reads their list in the store.
	listEvery = 900 * time.Millisecond
	// listWithin bounds one such reading.
	listWithin = 700 * time.Millisecond
	// idleEvery is how often a stopping agent looks whether it holds work.
	idleEvery = 20 * time.Millisecond
)

// agentProcess is a running agent.
type agentProcess struct {
	*process

	minder *minder.Minder
	spokes *coupler.Spokes
	store  *platform.StoreClient
	memory *memory
	// seeds, told and stored are the links of entries by settings, by other
	// entries and by the store.
	seeds, told, stored atomic.Pointer[[]netip.AddrPort]
}

// RunAgent runs an agent until it is told to stop.
func RunAgent() error {
	p, err := newProcess("agent")
	if err != nil {
		return err
	}
	a := &agentProcess{process: p, memory: newMemory()}
	none := []netip.AddrPort{}
	a.told.Store(&none)
	a.stored.Store(&none)
	a.reload(p.settings)
	if err := a.start(); err != nil {
		return p.finish(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() { a.locate(ctx) })
	duties.Go(func() {
		a.recall()
		a.keepMemory(ctx)
	})
	p.wait(a.reload)
	a.stop()
	cancel()
	duties.Wait()
	a.spokes.Close()
	a.minder.Close()
	a.stopServing()
	return p.finish(nil)
}

func (a *agentProcess) reload(settings platform.Settings) {
	seeds := links(settings)
	a.seeds.Store(&seeds)
}

func (a *agentProcess) start() error {
	s := a.settings
	a.store = platform.NewStoreClient(s.StoreAddress)
	lease := supervisor.DefaultLease
	if s.MaxLease > 0 {
		lease = min(lease, s.MaxLease)
	}
	a.minder = minder.New(minder.Options{
		Core: supervisor.Options{Lease: lease}, Minion: platform.NewMinionClient(s.MinionAddress),
		Send: func(entry string, command supervisor.Command) { a.spokes.Send(entry, command) },
		Cut:  func(link uint64) { a.spokes.Cut(link) },
		Log:  a.log, Metrics: a.metrics,
	})
	a.spokes = coupler.NewSpokes(coupler.SpokesOptions{
		Self: a.self, Zone: s.Zone, Events: a.minder.Enqueue, Listed: a.listed, Log: a.log,
	})
	a.keep()
	registry := platform.NewReportHandler(platform.ReportHandlerOptions{
		Service: s.Service, HandleReport: a.described,
		HandleDeparture: func(name string) bool { return a.minder.Enqueue(supervisor.MinionDeparted{Name: name}) },
		Log:             a.log,
	})
	if _, err := a.serve("registry", s.RegistryAddress, registry); err != nil {
		return err
	}
	return a.serveMetrics()
}

// described takes a status report of the minion.
func (a *agentProcess) described(m work.Minion) bool {
	if err := a.memory.remember(m); err != nil {
		a.log.Warn("launcher: Could not remember the minion", "error", err)
	}
	return a.minder.Enqueue(supervisor.MinionDescribed{Minion: m})
}

// listed takes the entries that an entry knows of.
func (a *agentProcess) listed(entries []netip.AddrPort) {
	a.told.Store(&entries)
	a.keep()
}

// keep opens links to all entries that are known. Seeds and stored lists may
// be stale, so they count only until an entry has told of the others.
func (a *agentProcess) keep() {
	known := slices.Clone(*a.told.Load())
	if a.spokes.Open() == 0 {
		known = append(known, *a.seeds.Load()...)
		known = append(known, *a.stored.Load()...)
	}
	slices.SortFunc(known, netip.AddrPort.Compare)
	a.spokes.Keep(slices.Compact(known))
}

// locate looks for entries while no link is open.
func (a *agentProcess) locate(ctx context.Context) {
	ticker := time.NewTicker(locateEvery)
	defer ticker.Stop()
	var read time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if a.spokes.Open() > 0 {
			continue
		}
		if time.Since(read) > listEvery {
			read = time.Now()
			a.readList(ctx)
		}
		a.keep()
	}
}

func (a *agentProcess) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listWithin)
	defer cancel()
	members, err := registrar.List(ctx, a.store)
	if err != nil {
		a.log.Info("launcher: Could not list the entries", "error", err)
		return
	}
	var addresses []netip.AddrPort
	for _, m := range registrar.Live(members, time.Now()) {
		addresses = append(addresses, m.Address)
	}
	a.stored.Store(&addresses)
}

// stop lets the runs end that the agent holds.
func (a *agentProcess) stop() {
	a.minder.Leave()
	deadline := time.Now().Add(a.stopWithin())
	time.Sleep(idleEvery)
	for !a.minder.Idle() && time.Now().Before(deadline) {
		time.Sleep(idleEvery)
	}
	time.Sleep(idleEvery) // The last reports leave.
}
