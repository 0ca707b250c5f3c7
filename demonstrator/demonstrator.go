// Package demonstrator runs a whole small system in one process: a stand-in of
// the platform's table service, one entry, three agents, and three stand-in
// minions of different speed.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"agatevalve/attendant"
	"agatevalve/common/fault"
	"agatevalve/dialer"
	"agatevalve/emulator"
	"agatevalve/entry"
	"agatevalve/historian"
	"agatevalve/loader"
	"agatevalve/publisher"
	"agatevalve/registrar"
	"agatevalve/router"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

const (
	poolName = "ascenso-desk"
	slots    = 8
	// pollPause is the pause between two looks at what the system has become.
	pollPause = 20 * time.Millisecond
	// headerWithin bounds the transfer of a request's header to a minion.
	headerWithin = 10 * time.Second
)

// speeds divide the service times of the minions.
var speeds = []float64{2, 1, 0.5}

// zones are the availability zones of the agents.
var zones = []string{"cartago", "heredia", "alajuela"}

// loopback is an address whose port the system chooses.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Options configure a System.
type Options struct {
	// Callers is the callers' listener; port 0 takes a free one.
	Callers netip.AddrPort
	// MeanService is the mean service time of a minion of speed 1.
	MeanService time.Duration
	// Log may be nil.
	Log *slog.Logger
}

// System is a running demonstration.
type System struct {
	table   *emulator.Table
	entry   *entry.Entry
	agents  []*attendant.Attendant
	minions []*minion
}

// minion is a stand-in minion behind a listener.
type minion struct {
	*emulator.Minion

	name    string
	address netip.AddrPort
	server  *http.Server
	done    chan struct{}
}

// New starts a system and waits until it can serve, or ctx ends.
func New(ctx context.Context, o Options) (*System, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	s := &System{table: emulator.NewTable(emulator.Options{})}
	if err := s.start(ctx, o); err != nil {
		return nil, errors.Join(err, s.Close(ctx))
	}
	return s, nil
}

// Entry returns the entry of the system.
func (s *System) Entry() *entry.Entry { return s.entry }

// Starts returns how often each task was started, over all minions.
func (s *System) Starts() map[string]int {
	starts := make(map[string]int)
	for _, m := range s.minions {
		for task, count := range m.Starts() {
			starts[task] += count
		}
	}
	return starts
}

// Close stops the entry gracefully and then the rest. Once the only entry has
// gone nobody can fetch the results that the agents still keep, so the agents
// don't wait for that.
func (s *System) Close(ctx context.Context) error {
	var err error
	if s.entry != nil {
		err = s.entry.Close(ctx)
	}
	ending, cancel := context.WithCancel(ctx)
	cancel()
	for _, a := range s.agents {
		_ = a.Close(ending) // It names the results that were kept, which is expected here.
	}
	for _, m := range s.minions {
		err = errors.Join(err, m.server.Close())
		<-m.done
	}
	return err
}

func (s *System) start(ctx context.Context, o Options) error {
	if err := s.publish(ctx); err != nil {
		return err
	}
	limits := loader.DefaultLimits()
	limits.StopNotice = 0
	var err error
	s.entry, err = entry.New(entry.Options{
		Settings: loader.Entry{
			Name: "entry-1", Zone: zones[0], Callers: o.Callers, Operators: loopback, Internal: loopback, Limits: limits,
		},
		Table: s.table,
		Log:   o.Log,
	})
	if err != nil {
		return err
	}
	if err := s.waitRegistered(ctx); err != nil {
		return err
	}
	for i, speed := range speeds {
		if err := s.addAgent(i, speed, o); err != nil {
			return err
		}
	}
	return s.wait(ctx)
}

// publish brings the demonstration's routes and pools into force.
func (s *System) publish(ctx context.Context) error {
	token := historian.Token(fmt.Sprintf("demo-%d", time.Now().UnixNano()))
	p := publisher.New(publisher.Options{
		Table: s.table,
		Now:   time.Now,
		Token: func() historian.Token { return token },
		Pause: pause,
	})
	changes := historian.Diff(historian.Configuration{}, historian.Configuration{
		Routes: []router.Route{
			{Name: "holds", PathPrefix: "/holds", Pool: poolName},
			{Name: "waivers", PathPrefix: "/waivers", Pool: poolName, Idempotent: true},
		},
		Pools: []router.Pool{{Name: poolName, SlotsPerMinion: slots}},
	})
	_, err := p.Publish(ctx, publisher.Edit{
		Author:  publisher.Author{Who: "agatevalve demo", Why: "first configuration"},
		Changes: changes,
	})
	return err
}

func (s *System) addAgent(number int, speed float64, o Options) error {
	name := fmt.Sprintf("minion-%d", number+1)
	m, err := newMinion(emulator.MinionOptions{Name: name, Slots: slots, MeanService: o.MeanService, Speed: speed, Seed: uint64(number + 1)})
	if err != nil {
		return err
	}
	s.minions = append(s.minions, m)
	settings := loader.DefaultAgent()
	settings.Name = fmt.Sprintf("agent-%d", number+1)
	settings.Zone = zones[number]
	settings.Rack = fmt.Sprintf("rack-%d", number+1)
	settings.Worker = fmt.Sprintf("worker-%d", number+1)
	settings.Listen = loopback
	settings.Minion = m.address
	settings.Pools = []string{poolName}
	settings.Slots = slots
	agent, err := attendant.New(attendant.Options{Settings: settings, Table: s.table, Logger: o.Log})
	if err != nil {
		return err
	}
	s.agents = append(s.agents, agent)
	return nil
}

func newMinion(o emulator.MinionOptions) (*minion, error) {
	listener, err := net.Listen("tcp", loopback.String()) //nolint:noctx // Listening does not wait.
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "free a port on 127.0.0.1", "listen for a minion")
	}
	m := &minion{
		Minion:  emulator.NewMinion(o),
		name:    o.Name,
		address: netip.MustParseAddrPort(listener.Addr().String()),
		done:    make(chan struct{}),
	}
	m.server = &http.Server{Handler: m, ReadHeaderTimeout: headerWithin}
	go func() {
		defer close(m.done)
		_ = m.server.Serve(listener) // Close ends it with an error that says so.
	}()
	return m, nil
}

// waitRegistered returns once agents can find the entry.
func (s *System) waitRegistered(ctx context.Context) error {
	for {
		members, err := registrar.List(ctx, s.table)
		if err == nil && len(members) > 0 {
			return nil
		}
		if pause(ctx) != nil {
			return errNotReady()
		}
	}
}

// wait returns once the entry is ready and knows all agents.
func (s *System) wait(ctx context.Context) error {
	client := dialer.New(dialer.Options{})
	defer client.Close()
	status := agatevalvev1connect.NewEntryServiceClient(client, "http://"+s.entry.Internal().String())
	for {
		response, err := status.Status(ctx, connect.NewRequest(&v1.StatusRequest{}))
		if err == nil && response.Msg.GetReady() && response.Msg.GetRevision() > 0 && len(response.Msg.GetAgents()) == len(s.agents) {
			return nil
		}
		if pause(ctx) != nil {
			return errNotReady()
		}
	}
}

func errNotReady() error {
	return fault.New(fault.Unavailable, "look at the log for what is missing", "the system did not become ready in time")
}

func pause(ctx context.Context) error {
	timer := time.NewTimer(pollPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}
