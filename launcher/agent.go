package launcher

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"agatevalve/common/clock"
	"agatevalve/common/work"
	"agatevalve/coupler"
	"agatevalve/minder"
	"agatevalve/platform"
	"agatevalve/registrar"
	"agatevalve/supervisor"
)

const (
	// discoveryInterval is the interval at which an agent updates its links, and
	// looks for entries while it has none.
	discoveryInterval = 300 * time.Millisecond
	// storeReadInterval is the minimum interval between two reads of the list of
	// entries in the store.
	storeReadInterval = 900 * time.Millisecond
	// storeReadTimeout is the timeout for one such read.
	storeReadTimeout = 700 * time.Millisecond
	// idlePollInterval is the interval at which a stopping agent checks whether it
	// still has runs.
	idlePollInterval = 20 * time.Millisecond
)

// agentProcess is a running agent.
type agentProcess struct {
	*process

	minder       *minder.Minder
	linkClient   *coupler.Client
	store        *platform.StoreClient
	storedMinion *minionRecord
	// seeds and stored are the link addresses of entries from the settings and
	// from the store.
	seeds, stored atomic.Pointer[[]netip.AddrPort]

	mu sync.Mutex
	// reported has the lists of link addresses that entries have sent, by the
	// address of the sender. An entry that has just started, or is cut off from the
	// store, sends an incomplete list.
	reported map[netip.AddrPort][]netip.AddrPort
}

// RunAgent runs an agent until the process receives a signal to stop.
func RunAgent() error {
	p, err := newProcess("agent")
	if err != nil {
		return err
	}
	a := &agentProcess{process: p, storedMinion: newMinionRecord(), reported: make(map[netip.AddrPort][]netip.AddrPort)}
	empty := []netip.AddrPort{}
	a.stored.Store(&empty)
	a.reload(p.settings)
	if err := a.start(); err != nil {
		return p.finish(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { a.discoverEntries(ctx) })
	goroutines.Go(func() {
		a.restoreMinion()
		a.writeMinionUpdates(ctx)
	})
	p.waitForStop(a.reload)
	a.drain()
	cancel()
	goroutines.Wait()
	a.linkClient.Close()
	a.minder.Close()
	a.stopServing()
	return p.finish(nil)
}

func (a *agentProcess) reload(settings platform.Settings) {
	seeds := linkAddresses(settings)
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
		// Each process has a higher token than the last one, unless the time of day was set back.
		Core: supervisor.Options{Lease: lease, FencingToken: clock.Now().UnixMicro()}, Minion: platform.NewMinionClient(s.MinionAddress),
		Send: func(entry string, command supervisor.Command) { a.linkClient.Send(entry, command) },
		Cut:  func(link uint64) { a.linkClient.Cut(link) }, Store: a.storedMinion.update,
		TaskName: platform.TaskName, Log: a.log, Metrics: a.metrics,
	})
	a.linkClient = coupler.NewClient(coupler.ClientOptions{
		Self: a.self, Zone: s.Zone, Enqueue: a.minder.Enqueue, EntriesReceived: a.entriesReceived, Log: a.log,
	})
	a.updateLinks()
	registry := platform.NewReportHandler(platform.ReportHandlerOptions{
		Service: s.Service, HandleReport: func(m work.Minion) bool { return a.minder.Enqueue(supervisor.MinionDescribed{Minion: m}) },
		HandleDeparture: func(name string) bool { return a.minder.Enqueue(supervisor.MinionDeparted{Name: name}) },
		Log:             a.log, Metrics: a.metrics,
	})
	if _, err := a.serve("registry", s.RegistryAddress, registry); err != nil {
		return err
	}
	return a.serveMetrics()
}

// entriesReceived handles a list of live entries that an entry has sent.
func (a *agentProcess) entriesReceived(source netip.AddrPort, entries []netip.AddrPort) {
	a.mu.Lock()
	a.reported[source] = entries
	a.mu.Unlock()
	a.updateLinks()
}

// updateLinks opens links to known entries. The lists from the settings and the
// store may be stale, so they are used only while no link is open.
func (a *agentProcess) updateLinks() {
	addresses := a.reportedEntries()
	if a.linkClient.OpenLinks() == 0 {
		addresses = append(addresses, *a.seeds.Load()...)
		addresses = append(addresses, *a.stored.Load()...)
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	a.linkClient.SetEntries(slices.Compact(addresses))
}

// reportedEntries returns the entries that linked entries have named. Without a
// link it returns those that were named last.
func (a *agentProcess) reportedEntries() []netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.linkClient.OpenLinks() > 0 {
		maps.DeleteFunc(a.reported, func(source netip.AddrPort, _ []netip.AddrPort) bool { return !a.linkClient.IsLinked(source) })
	}
	var addresses []netip.AddrPort
	for _, entries := range a.reported {
		addresses = append(addresses, entries...)
	}
	return addresses
}

// discoverEntries updates the links regularly, and reads the stored list while no
// link is open.
func (a *agentProcess) discoverEntries(ctx context.Context) {
	ticker := time.NewTicker(discoveryInterval)
	defer ticker.Stop()
	var lastRead time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if a.linkClient.OpenLinks() == 0 && time.Since(lastRead) > storeReadInterval {
			lastRead = time.Now()
			a.readStoredEntries(ctx)
		}
		a.updateLinks()
	}
}

// readStoredEntries reads the list of live entries from the store.
func (a *agentProcess) readStoredEntries(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
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

// drain refuses new runs and waits for running ones to end, until the stop timeout.
func (a *agentProcess) drain() {
	a.minder.Leave()
	deadline := time.Now().Add(a.stopTimeout())
	time.Sleep(idlePollInterval)
	for !a.minder.Idle() && time.Now().Before(deadline) {
		time.Sleep(idlePollInterval)
	}
	time.Sleep(idlePollInterval) // Gives the last reports time to be sent.
}
