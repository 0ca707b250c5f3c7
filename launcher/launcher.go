// Package launcher assembles and runs an entry or an agent on the users' platform,
// and shuts it down gracefully.
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
	// maxHeaderBytes is the maximum size of a request's headers.
	maxHeaderBytes = 32 << 10
	// settingsReloadInterval is the interval at which the settings file is read
	// again, since it may change without a signal.
	settingsReloadInterval = 3 * time.Second
	// metricsPortOffset is added to the first of agatevalve's ports to get the
	// metrics port. The deploy file uses the same port.
	metricsPortOffset = 1
	// stopReserve is the part of the stop timeout that is reserved for the exit of
	// the process.
	stopReserve = 500 * time.Millisecond
	// defaultStopTimeout is the stop timeout if the settings have none.
	defaultStopTimeout = 6 * time.Second
)

// process is the part that entry and agent have in common.
type process struct {
	settings  platform.Settings
	self      task.Process
	recorder  *recorder.Recorder
	log       *slog.Logger
	metrics   metrics.Registry
	listeners []*listener.Listener
}

// newProcess reads the settings and creates the logger and the metrics.
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

// newIncarnation returns a number from the clock and random bits. It is never 0,
// and later starts of a process get higher ones unless the VM's clock was set back.
func newIncarnation() task.Incarnation {
	var salt [2]byte
	_, _ = rand.Read(salt[:]) // crypto/rand.Read never returns an error.
	return task.Incarnation(uint64(time.Now().UnixMilli())<<16 | uint64(binary.BigEndian.Uint16(salt[:])))
}

// serve starts an HTTP server at an address, after configure if any is given. The
// caller stops it with stopServing.
func (p *process) serve(name string, address netip.AddrPort, handler http.Handler, configure ...func(*listener.Listener)) (*listener.Listener, error) {
	l, err := listener.Open(name, address)
	if err != nil {
		return nil, err
	}
	for _, apply := range configure {
		apply(l)
	}
	l.Serve(handler, maxHeaderBytes, p.log)
	p.listeners = append(p.listeners, l)
	return l, nil
}

// serveMetrics serves the metrics of the process.
func (p *process) serveMetrics() error {
	address := netip.AddrPortFrom(p.settings.Address, p.settings.FirstPort+metricsPortOffset)
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", exposer.Handler(p.metrics))
	_, err := p.serve("metrics", address, mux)
	return err
}

// stopServing closes all listeners without a wait. The requests that need an answer
// must have been answered before.
func (p *process) stopServing() {
	for _, l := range p.listeners {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = l.Stop(ctx) // Connections still open are of processes that reconnect.
	}
}

// stopTimeout returns the maximum duration of a graceful shutdown.
func (p *process) stopTimeout() time.Duration {
	timeout := p.settings.StopGracePeriod
	if timeout <= 0 {
		timeout = defaultStopTimeout
	}
	return timeout - stopReserve
}

// waitForStop waits for a signal to stop. Meanwhile it reads the settings again, on
// SIGHUP and at intervals, and passes them to reload.
func (p *process) waitForStop(reload func(platform.Settings)) {
	stopSignals := make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	ticker := time.NewTicker(settingsReloadInterval)
	defer ticker.Stop()
	for {
		select {
		case sig := <-stopSignals:
			p.log.Info("launcher: Stopping", "signal", sig.String())
			return
		case <-reloadSignals:
			p.log.Info("launcher: Reloading the settings")
			p.reloadSettings(reload)
		case <-ticker.C:
			p.reloadSettings(reload)
		}
	}
}

// reloadSettings reads the settings again and passes them to reload. If the file
// can't be read, the current settings remain in use.
func (p *process) reloadSettings(reload func(platform.Settings)) {
	settings, err := platform.ReadSettings()
	if err != nil {
		p.log.Warn("launcher: Could not reload the settings, the current ones remain in use", "error", err)
		return
	}
	reload(settings)
}

// finish logs the end of the process, flushes the log, and returns err.
func (p *process) finish(err error) error {
	if err != nil && !errors.Is(err, context.Canceled) {
		p.log.Error("launcher: Failed", "error", err)
	}
	p.log.Info("launcher: Stopped", "lines-dropped", p.recorder.Dropped())
	p.recorder.Close()
	return err
}

// linkAddresses returns the link addresses of the entries in the settings, which
// name the entries by the addresses of their registries.
func linkAddresses(settings platform.Settings) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, a := range settings.Seeds {
		addresses = append(addresses, settings.LinkAddress(a.Addr()))
	}
	return addresses
}
