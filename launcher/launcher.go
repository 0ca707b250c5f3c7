// Package launcher sets an entry or an agent together on the users' platform
// and stops it in good order.
package launcher

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"agatevalve/common/task"
	"agatevalve/exposer"
	"agatevalve/listener"
	"agatevalve/platform"
	"agatevalve/recorder"
)

const (
	// headerBytes caps the headers of requests.
	headerBytes = 32 << 10
	// rereadEvery is how often the settings file is read again, since it may
	// change without a signal.
	rereadEvery = 3 * time.Second
	// metricsOffset is the metrics port's distance from the first free port. The
	// deploy file names the same.
	metricsOffset = 1
	// stopReserve is kept of the time to stop for the end of the process.
	stopReserve = 500 * time.Millisecond
	// defaultStopWithin is the time to stop where the settings name none.
	defaultStopWithin = 6 * time.Second
)

// process is what entry and agent have in common.
type process struct {
	settings platform.Settings
	self     task.Process
	recorder *recorder.Recorder
	log      *slog.Logger
	metrics  metrics.Registry
	open     []*listener.Listener
}

// newProcess reads the settings and starts the log.
func newProcess(role string) (*process, error) {
	settings, err := platform.ReadSettings()
	if err != nil {
		return nil, err
	}
	r := recorder.New(os.Stdout, 0)
	p := &process{
		settings: settings, self: task.Process{Name: settings.Node, Incarnation: newIncarnation()},
		recorder: r, log: r.Logger(slog.LevelInfo).With("node", settings.Node), metrics: metrics.NewRegistry(),
	}
	p.log.Info("launcher: Started", "role", role, "incarnation", uint64(p.self.Incarnation), "address", settings.Address, "zone", settings.Zone)
	return p, nil
}

// newIncarnation is higher for later starts of a process, as far as the clock
// of the VM allows, and never 0.
func newIncarnation() task.Incarnation {
	var salt [2]byte
	_, _ = rand.Read(salt[:]) // crypto/rand.Read never returns an error.
	return task.Incarnation(uint64(time.Now().UnixMilli())<<16 | uint64(binary.BigEndian.Uint16(salt[:])))
}

// serve opens an address. The caller stops it with stopServing.
func (p *process) serve(name string, at netip.AddrPort, handler http.Handler) (*listener.Listener, error) {
	l, err := listener.Open(name, at)
	if err != nil {
		return nil, err
	}
	l.Serve(handler, headerBytes, p.log)
	p.open = append(p.open, l)
	return l, nil
}

// serveMetrics serves the counters of the process.
func (p *process) serveMetrics() error {
	at := netip.AddrPortFrom(p.settings.Address, p.settings.FirstPort+metricsOffset)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", exposer.Handler(p.metrics))
	_, err := p.serve("metrics", at, mux)
	return err
}

// stopServing closes all addresses at once; nothing waits at them any more.
func (p *process) stopServing() {
	for _, l := range p.open {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = l.Stop(ctx) // What is still open belongs to processes that redial.
	}
}

// stopWithin is the time that an orderly stop may take.
func (p *process) stopWithin() time.Duration {
	within := p.settings.StopGracePeriod
	if within <= 0 {
		within = defaultStopWithin
	}
	return within - stopReserve
}

// wait returns when the process is told to stop. Meanwhile it gives settings
// that have changed to reload.
func (p *process) wait(reload func(platform.Settings)) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	timer := time.NewTicker(rereadEvery)
	defer timer.Stop()
	for {
		select {
		case sig := <-stop:
			p.log.Info("launcher: Stopping", "signal", sig.String())
			return
		case <-changed:
			p.log.Info("launcher: Reading the settings again")
			p.reread(reload)
		case <-timer.C:
			p.reread(reload)
		}
	}
}

// reread keeps the settings in use when the file can't be read.
func (p *process) reread(reload func(platform.Settings)) {
	settings, err := platform.ReadSettings()
	if err != nil {
		p.log.Warn("launcher: Kept the settings in use", "error", err)
		return
	}
	reload(settings)
}

// finish writes the last lines of the log.
func (p *process) finish(err error) error {
	if err != nil && !errors.Is(err, context.Canceled) {
		p.log.Error("launcher: Failed", "error", err)
	}
	p.log.Info("launcher: Stopped", "lines-dropped", p.recorder.Dropped())
	p.recorder.Close()
	return err
}

// links returns where the entries behind some registries serve agents.
func links(settings platform.Settings) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, a := range settings.Seeds {
		addresses = append(addresses, settings.LinkAddress(a.Addr()))
	}
	return addresses
}
