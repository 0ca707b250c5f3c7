package launcher

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"agatevalve/common/clock"
	"agatevalve/common/work"
	"agatevalve/coupler"
	"agatevalve/finder"
	"agatevalve/jobber"
	"agatevalve/listener"
	"agatevalve/platform"
	"agatevalve/registrar"
	"agatevalve/relayer"
	"agatevalve/scheduler"
	"agatevalve/screener"
	"agatevalve/subscriber"
)

// balancerDelay is how long the load balancer may take to notice that an entry is
// not ready. It needs two readiness probes, which it sends once per second.
const balancerDelay = 2300 * time.Millisecond

// callerKeepAlive makes a caller that can't be reached for 2 s count as gone, before
// a long job outlives by much that its caller has submitted it at another entry.
// Shorter times than a second can't be set.
var callerKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1}

// answerReserve is the time before the end of a graceful stop by which all callers
// have been answered. It covers the interval of up to 500 ms at which http.Server
// checks whether connections are still in use.
const answerReserve = 800 * time.Millisecond

// announceTimeout is the timeout for all requests with which a new entry announces
// itself to the others.
const announceTimeout = time.Second

// entryProcess is a running entry.
type entryProcess struct {
	*process

	jobs           *jobber.Jobber
	linkServer     *coupler.Server
	relayer        *relayer.Relayer
	relayClient    *coupler.RelayClient
	relayServer    *coupler.RelayServer
	subscriber     *subscriber.Subscriber
	registrar      *registrar.Registrar
	callerListener *listener.Listener
	leaving        atomic.Bool
	// entries are the link addresses of this entry, which is first, and of the
	// others; seeds are those from the settings.
	entries atomic.Pointer[[]netip.AddrPort]
	seeds   atomic.Pointer[[]netip.AddrPort]
	// listed is true once the entries have been read from the store.
	listed atomic.Bool
	// mu is held while entries is changed.
	mu sync.Mutex
}

// RunEntry runs an entry until the process receives a signal to stop.
func RunEntry() error {
	p, err := newProcess("entry")
	if err != nil {
		return err
	}
	e := &entryProcess{process: p}
	e.reload(p.settings)
	e.setPeers(nil)
	if err := e.start(); err != nil {
		return p.finish(err)
	}
	p.waitForStop(e.reload)
	return p.finish(e.stop())
}

func (e *entryProcess) reload(settings platform.Settings) {
	seeds := linkAddresses(settings)
	e.seeds.Store(&seeds)
}

func (e *entryProcess) start() error {
	s := e.settings
	e.jobs = jobber.New(jobber.Options{
		Core:     scheduler.Options{Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), RemoteDataFactor: s.RemoteDataFactor},
		Send:     func(link uint64, command scheduler.Command) { e.linkServer.Send(link, command) },
		TaskName: platform.TaskName, Log: e.log, Metrics: e.metrics,
	})
	e.linkServer = coupler.NewServer(coupler.ServerOptions{
		Self: e.self, Enqueue: e.jobs.Enqueue, Entries: e.knownEntries,
		CurrentDocument: func() subscriber.Document { return e.subscriber.Document() },
		CurrentZones:    func() work.Zones { return e.subscriber.Zones() }, EntryStarted: e.addPeer, Log: e.log,
		HasJob: e.jobs.Known, CancelJob: e.jobs.Cancel,
	})
	store := platform.NewStoreClient(s.StoreAddress)
	e.subscriber = subscriber.New(subscriber.Options{
		Source: platform.NewOperatorFeed(store, e.log), Compile: platform.Compile, FetchNewer: e.fetchConfiguration,
		ZonesChanged: func(zones work.Zones) { e.jobs.Enqueue(scheduler.ZonesChanged{Zones: zones}) },
		Log:          e.log, Metrics: e.metrics,
	})
	e.startRelayer()
	links := http.NewServeMux()
	links.Handle("/", e.linkServer.Handler())
	e.relayServer.Handle(links)
	linkAddress := s.LinkAddress(s.Address)
	if s.LinkListenAddress.IsValid() {
		linkAddress = s.LinkListenAddress
	}
	if _, err := e.serve("links", linkAddress, links, (*listener.Listener).BufferReads); err != nil {
		return err
	}
	if _, err := e.serve("readiness", s.ReadinessAddress, platform.NewReadinessHandler(e.ready)); err != nil {
		return err
	}
	if s.RegistryAddress.IsValid() {
		// Minions report to the agent on their VM, never to an entry.
		refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		if _, err := e.serve("registry", s.RegistryAddress, refuse); err != nil {
			return err
		}
	}
	if err := e.serveMetrics(); err != nil {
		return err
	}
	screen := screener.New(screener.Options{Jobs: e.relayer, ResubmitDelay: s.ResubmitDelay, Log: e.log, Metrics: e.metrics})
	jobHandler := platform.NewJobHandler(platform.JobHandlerOptions{
		Jobs: screen, Finder: finder.New(finder.Options{
			Jobs: e.jobs, Others: func() []netip.AddrPort { return e.knownEntries()[1:] }, Ask: coupler.FindJob, Log: e.log,
		}),
		Configuration: e.subscriber.Configuration, Leaving: e.leaving.Load, Log: e.log,
	})
	callers, err := e.serve("callers", s.CallersAddress, screen.Handler(jobHandler), func(l *listener.Listener) {
		l.SetConnContext(screen.ConnContext)
		l.SetKeepAlive(callerKeepAlive)
	})
	e.callerListener = callers
	if err != nil {
		return err
	}
	e.registrar = registrar.New(registrar.Options{
		Table:  store,
		Member: registrar.Member{Process: e.self, Address: s.LinkAddress(s.Address), Zone: s.Zone},
		OnList: e.updatePeers, Log: e.log,
	})
	return nil
}

// updatePeers replaces the peers by the registered entries. If there was no list
// of peers before, it announces this entry to them.
func (e *entryProcess) updatePeers(members []registrar.Member) {
	var peers []netip.AddrPort
	for _, m := range members {
		if m.Address.Addr() != e.settings.Address {
			peers = append(peers, m.Address)
		}
	}
	slices.SortFunc(peers, netip.AddrPort.Compare)
	peers = slices.Compact(peers)
	e.mu.Lock()
	e.setPeers(peers)
	e.mu.Unlock()
	if !e.listed.Swap(true) {
		e.announce(peers)
	}
}

// setPeers replaces the link addresses of the other entries. The caller holds mu,
// except at the start.
func (e *entryProcess) setPeers(peers []netip.AddrPort) {
	entries := append([]netip.AddrPort{e.settings.LinkAddress(e.settings.Address)}, peers...)
	e.entries.Store(&entries)
}

// addPeer adds an entry that has announced itself, before it is read from the
// store.
func (e *entryProcess) addPeer(address netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entries := e.knownEntries()
	if slices.Contains(entries, address) {
		return
	}
	e.setPeers(append(slices.Clone(entries[1:]), address))
	e.log.Info("launcher: Added an entry that announced itself", "address", address)
}

// announce makes this entry known to its peers, which send its address to all
// agents. It requests what is newer than any version, so that nothing is returned.
func (e *entryProcess) announce(peers []netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	newest := subscriber.Versions{Document: math.MaxInt64, Zones: math.MaxUint64}
	for _, a := range peers {
		if _, err := coupler.FetchConfiguration(ctx, e.settings.LinkAddress(e.settings.Address), []netip.AddrPort{a}, newest); err != nil {
			e.log.Info("launcher: Could not announce this entry to another", "address", a, "error", err)
		}
	}
}

// knownEntries returns the link addresses of this entry, which is first, and of
// its peers. The caller must not change them.
func (e *entryProcess) knownEntries() []netip.AddrPort { return *e.entries.Load() }

// fetchConfiguration asks at most limit other entries, or all if limit is 0, in
// random order for a configuration or zones that are newer than the known ones.
func (e *entryProcess) fetchConfiguration(ctx context.Context, known subscriber.Versions, limit int) (subscriber.Change, error) {
	var peers []netip.AddrPort
	for _, a := range slices.Concat(e.knownEntries(), *e.seeds.Load()) {
		if a.Addr() != e.settings.Address && !slices.Contains(peers, a) {
			peers = append(peers, a)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if limit > 0 {
		peers = peers[:min(limit, len(peers))]
	}
	return coupler.FetchConfiguration(ctx, e.settings.LinkAddress(e.settings.Address), peers, known)
}

// ready reports whether this entry can serve callers: it has a configuration and
// a usable agent, and is not stopping.
func (e *entryProcess) ready() bool {
	_, configured := e.subscriber.Configuration()
	return configured && !e.leaving.Load() && e.jobs.UsableAgents() > 0
}

// stop waits until the load balancer sends no more requests, answers those in
// flight, and shuts down.
func (e *entryProcess) stop() error {
	deadline := time.Now().Add(e.stopTimeout())
	e.leaving.Store(true)
	answerBy := deadline.Add(-answerReserve)
	e.jobs.StopAt(clock.Now().Add(time.Until(answerBy)))
	relayStop := time.AfterFunc(time.Until(answerBy), e.relayer.Stop)
	defer relayStop.Stop()
	time.Sleep(balancerDelay)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := e.callerListener.Stop(ctx)
	e.relayServer.Wait(ctx)
	e.relayClient.Close()
	e.subscriber.Close()
	e.jobs.Close()
	closed := make(chan struct{})
	go func() { // The store may be unreachable; the membership row then expires.
		defer close(closed)
		e.registrar.Close()
	}()
	select {
	case <-closed:
	case <-ctx.Done():
	}
	e.stopServing()
	return err
}

// startRelayer assembles what hands jobs to other entries and takes theirs.
func (e *entryProcess) startRelayer() {
	e.relayClient = coupler.NewRelayClient(coupler.RelayClientOptions{Self: e.self, Log: e.log})
	e.relayer = relayer.New(relayer.Options{
		Jobs: e.jobs, Carrier: e.relayClient, Entries: e.knownEntries, Leaving: e.leaving.Load, ProcessorDelay: processorDelay,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: e.log, Metrics: e.metrics,
	})
	e.relayServer = coupler.NewRelayServer(coupler.RelayServerOptions{
		TakeOver: e.relayer.TakeOver, ProcessorMillis: e.settings.ProcessorMillis, Log: e.log,
	})
}

// processorDelay returns the time that a goroutine which is ready to run waits for
// the processor.
func processorDelay() time.Duration {
	yieldedAt := time.Now()
	runtime.Gosched()
	return time.Since(yieldedAt)
}
