package launcher

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"agatevalve/coupler"
	"agatevalve/finder"
	"agatevalve/jobber"
	"agatevalve/listener"
	"agatevalve/platform"
	"agatevalve/registrar"
	"agatevalve/scheduler"
	"agatevalve/subscriber"
)

// rotationWithin is how long the balancer may need to notice that an entry is
// not ready: two questions, one each second.
const rotationWithin = 2300 * time.Millisecond

// announceWithin bounds the calls by which a new entry tells the others of itself.
const announceWithin = time.Second

// entryProcess is a running entry.
type entryProcess struct {
	*process

	jobs       *jobber.Jobber
	hub        *coupler.Hub
	subscriber *subscriber.Subscriber
	keeper     *registrar.Registrar
	callers    *listener.Listener
	leaving    atomic.Bool
	// others are the links of other entries, and seeds those of the settings.
	others atomic.Pointer[[]netip.AddrPort]
	seeds  atomic.Pointer[[]netip.AddrPort]
}

// RunEntry runs an entry until it is told to stop.
func RunEntry() error {
	p, err := newProcess("entry")
	if err != nil {
		return err
	}
	e := &entryProcess{process: p}
	e.reload(p.settings)
	if err := e.start(); err != nil {
		return p.finish(err)
	}
	p.wait(e.reload)
	return p.finish(e.stop())
}

func (e *entryProcess) reload(settings platform.Settings) {
	seeds := links(settings)
	e.seeds.Store(&seeds)
}

func (e *entryProcess) start() error {
	s := e.settings
	e.jobs = jobber.New(jobber.Options{
		Core: scheduler.Options{Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))},
		Send: func(link uint64, command scheduler.Command) { e.hub.Send(link, command) },
		Log:  e.log, Metrics: e.metrics,
	})
	e.hub = coupler.NewHub(coupler.HubOptions{
		Self: e.self, Events: e.jobs.Enqueue, Entries: e.entries,
		Newest: func() subscriber.Document { return e.subscriber.Document() }, Met: e.met, Log: e.log,
		Known: e.jobs.Known, Cancel: e.jobs.Cancel,
	})
	store := platform.NewStore(s.Store)
	e.subscriber = subscriber.New(subscriber.Options{
		Source: platform.NewFeed(store), Compile: platform.Compile, Ask: e.ask, Log: e.log, Metrics: e.metrics,
	})
	if _, err := e.serve("links", s.Link(s.Address), e.hub.Handler()); err != nil {
		return err
	}
	if _, err := e.serve("readiness", s.Readiness, platform.Readiness(e.ready)); err != nil {
		return err
	}
	if s.Registry.IsValid() {
		// Reports of minions belong to the agents beside them.
		refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		if _, err := e.serve("registry", s.Registry, refuse); err != nil {
			return err
		}
	}
	if err := e.serveMetrics(); err != nil {
		return err
	}
	callers, err := e.serve("callers", s.Callers, platform.NewCallers(platform.CallersOptions{
		Jobs: e.jobs, Finder: finder.New(finder.Options{
			Jobs: e.jobs, Others: func() []netip.AddrPort { return e.entries()[1:] }, Ask: coupler.Find, Log: e.log,
		}),
		Configuration: e.subscriber.Configuration, Leaving: e.leaving.Load, Log: e.log,
	}))
	e.callers = callers
	if err != nil {
		return err
	}
	e.keeper = registrar.New(registrar.Options{
		Table:  store,
		Member: registrar.Member{Process: e.self, Address: s.Link(s.Address), Zone: s.Zone},
		OnList: e.list, Log: e.log,
	})
	return nil
}

// list takes the entries that are registered.
func (e *entryProcess) list(members []registrar.Member) {
	var others []netip.AddrPort
	for _, m := range members {
		if m.Address.Addr() != e.settings.Address {
			others = append(others, m.Address)
		}
	}
	slices.SortFunc(others, netip.AddrPort.Compare)
	others = slices.Compact(others)
	first := e.others.Load() == nil
	e.others.Store(&others)
	if first {
		e.announce(others)
	}
}

// met adds an entry that has just started, before the store lists it.
func (e *entryProcess) met(address netip.AddrPort) {
	known := e.entries()
	if slices.Contains(known, address) {
		return
	}
	others := append(slices.Clone(known[1:]), address)
	e.others.Store(&others)
	e.log.Info("launcher: Met an entry", "address", address)
}

// announce tells the other entries of this one, and through them all agents.
func (e *entryProcess) announce(others []netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), announceWithin)
	defer cancel()
	for _, a := range others {
		if _, err := coupler.Newest(ctx, e.settings.Link(e.settings.Address), []netip.AddrPort{a}, math.MaxInt64); err != nil {
			e.log.Info("launcher: An entry did not answer", "address", a, "error", err)
		}
	}
}

// entries returns this entry and those that it knows of.
func (e *entryProcess) entries() []netip.AddrPort {
	own := []netip.AddrPort{e.settings.Link(e.settings.Address)}
	if others := e.others.Load(); others != nil {
		return append(own, *others...)
	}
	return own
}

// ask asks other entries for a newer configuration.
func (e *entryProcess) ask(ctx context.Context, version int64) (subscriber.Document, error) {
	var others []netip.AddrPort
	for _, a := range append(e.entries(), *e.seeds.Load()...) {
		if a.Addr() != e.settings.Address && !slices.Contains(others, a) {
			others = append(others, a)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return coupler.Newest(ctx, e.settings.Link(e.settings.Address), others, version)
}

// ready reports whether this entry can serve callers.
func (e *entryProcess) ready() bool {
	_, configured := e.subscriber.Configuration()
	return configured && !e.leaving.Load() && e.jobs.UsableAgents() > 0
}

// stop lets the balancer turn away, answers what has come, and ends.
func (e *entryProcess) stop() error {
	deadline := time.Now().Add(e.stopWithin())
	e.leaving.Store(true)
	time.Sleep(rotationWithin)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := e.callers.Stop(ctx)
	e.subscriber.Close()
	e.jobs.Close()
	closed := make(chan struct{})
	go func() { // The store may be away; the row expires by itself.
		defer close(closed)
		e.keeper.Close()
	}()
	select {
	case <-closed:
	case <-ctx.Done():
	}
	e.stopServing()
	return err
}
