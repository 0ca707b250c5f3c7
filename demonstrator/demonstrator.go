// Package demonstrator runs a small but complete system in one process: an
// emulated table service of the platform, one entry, three agents, and three
// emulated minions of different speeds.
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
	poolName       = "ascenso-desk"
	slotsPerMinion = 8
	// pollInterval is the pause between two checks for readiness.
	pollInterval = 20 * time.Millisecond
	// headerTimeout limits the transfer of a request's header to a minion.
	headerTimeout = 10 * time.Second
)

// speeds are the speeds of the minions, which divide their service times.
var speeds = []float64{2, 1, 0.5}

// zones are the availability zones of the agents.
var zones = []string{"cartago", "heredia", "alajuela"}

// loopback is an address whose port the system chooses.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// Options configure a System.
type Options struct {
	// Callers is the address of the callers' listener; port 0 selects a free
	// port.
	Callers netip.AddrPort
	// MeanService is the mean service time of a minion of speed 1.
	MeanService time.Duration
	// Log is optional.
	Log *slog.Logger
}

// System is a running demonstration system.
type System struct {
	table   *emulator.Table
	entry   *entry.Entry
	agents  []*attendant.Attendant
	minions []*minion
}

// minion is an emulated minion with its HTTP server.
type minion struct {
	*emulator.Minion

	name    string
	address netip.AddrPort
	server  *http.Server
	done    chan struct{}
}

// New starts a system and waits until it is ready or ctx ends.
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

// Entry returns the only entry of the system.
func (s *System) Entry() *entry.Entry { return s.entry }

// Starts returns the number of starts of each task at all minions.
func (s *System) Starts() map[string]int {
	starts := make(map[string]int)
	for _, m := range s.minions {
		for task, count := range m.Starts() {
			starts[task] += count
		}
	}
	return starts
}

// Close stops the entry gracefully, and then the agents and minions. Once the
// only entry has stopped, nothing can fetch the results that the agents still
// hold, so the agents don't wait for that.
func (s *System) Close(ctx context.Context) error {
	var err error
	if s.entry != nil {
		err = s.entry.Close(ctx)
	}
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	for _, a := range s.agents {
		_ = a.Close(cancelled) // The error lists results that were not fetched, which is expected here.
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
	return s.waitReady(ctx)
}

// publish publishes the routes and pools of the demonstration.
func (s *System) publish(ctx context.Context) error {
	token := historian.Token(fmt.Sprintf("demo-%d", time.Now().UnixNano()))
	p := publisher.New(publisher.Options{
		Table: s.table,
		Now:   time.Now,
		Token: func() historian.Token { return token },
		Pause: waitPollInterval,
	})
	changes := historian.Diff(historian.Configuration{}, historian.Configuration{
		Routes: []router.Route{
			{Name: "holds", PathPrefix: "/holds", Pool: poolName},
			{Name: "waivers", PathPrefix: "/waivers", Pool: poolName, Idempotent: true},
		},
		Pools: []router.Pool{{Name: poolName, SlotsPerMinion: slotsPerMinion}},
	})
	_, err := p.Publish(ctx, publisher.Edit{
		Author:  publisher.Author{Who: "agatevalve demo", Why: "first configuration"},
		Changes: changes,
	})
	return err
}

func (s *System) addAgent(index int, speed float64, o Options) error {
	name := fmt.Sprintf("minion-%d", index+1)
	m, err := newMinion(emulator.MinionOptions{Name: name, Slots: slotsPerMinion, MeanService: o.MeanService, Speed: speed, Seed: uint64(index + 1)})
	if err != nil {
		return err
	}
	s.minions = append(s.minions, m)
	settings := loader.DefaultAgent()
	settings.Name = fmt.Sprintf("agent-%d", index+1)
	settings.Zone = zones[index]
	settings.Rack = fmt.Sprintf("rack-%d", index+1)
	settings.Worker = fmt.Sprintf("worker-%d", index+1)
	settings.Listen = loopback
	settings.Minion = m.address
	settings.Pools = []string{poolName}
	settings.Slots = slotsPerMinion
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
	m.server = &http.Server{Handler: m, ReadHeaderTimeout: headerTimeout}
	go func() {
		defer close(m.done)
		_ = m.server.Serve(listener) // Always returns an error, http.ErrServerClosed after Close.
	}()
	return m, nil
}

// waitRegistered returns when agents can find the entry.
func (s *System) waitRegistered(ctx context.Context) error {
	for {
		members, err := registrar.List(ctx, s.table)
		if err == nil && len(members) > 0 {
			return nil
		}
		if waitPollInterval(ctx) != nil {
			return errNotReady()
		}
	}
}

// waitReady returns when the entry is ready and connected to all agents.
func (s *System) waitReady(ctx context.Context) error {
	client := dialer.New(dialer.Options{})
	defer client.Close()
	status := agatevalvev1connect.NewEntryServiceClient(client, "http://"+s.entry.Internal().String())
	for {
		response, err := status.Status(ctx, connect.NewRequest(&v1.StatusRequest{}))
		if err == nil && response.Msg.GetReady() && response.Msg.GetRevision() > 0 && len(response.Msg.GetAgents()) == len(s.agents) {
			return nil
		}
		if waitPollInterval(ctx) != nil {
			return errNotReady()
		}
	}
}

func errNotReady() error {
	return fault.New(fault.Unavailable, "look at the log for what is missing", "the system did not become ready in time")
}

func waitPollInterval(ctx context.Context) error {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}
