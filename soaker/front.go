package soaker

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"agatevalve/common/fault"
	"agatevalve/platform/imitator"
)

// front is an entry, with the balancer's view of it.
type front struct {
	*program

	proxy *proxy
	mu    sync.Mutex
	// misses counts the questions after readiness that failed on end.
	misses int
}

func (w *world) openFront(i int, store netip.AddrPort, seeds []netip.AddrPort) error {
	at := w.address(1, i)
	p, err := newProxy(netip.AddrPortFrom(w.address(2, i), callersPort), netip.AddrPortFrom(at, callersPort))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "end what listens there", "open a proxy")
	}
	run, err := w.newProgram(imitator.VM{
		Node: fmt.Sprintf("front-%d", i), Zone: "a", Address: at, CallersPort: callersPort, ReadinessPort: readinessPort, RegistryPort: registryPort,
		FirstPort: firstPort, Seeds: seeds, Store: store,
	}, w.o.Entry, "serve", "--on-platform")
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "check the path of the program", "start an entry")
	}
	f := &front{program: run, proxy: p}
	w.entries = append(w.entries, f)
	go w.balance(f)
	return nil
}

// balance asks an entry for its readiness.
func (w *world) balance(f *front) {
	client := &http.Client{Timeout: readyEvery / 2}
	for w.ctx.Err() == nil {
		ready := imitator.Ready(w.ctx, client, netip.AddrPortFrom(f.vm.Address, readinessPort))
		f.mu.Lock()
		if f.misses++; ready {
			f.misses = 0
		}
		f.mu.Unlock()
		select {
		case <-w.ctx.Done():
		case <-time.After(readyEvery):
		}
	}
}

// inRotation reports whether the balancer sends new connections to the entry.
func (f *front) inRotation() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.misses < 2
}
