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

// entryNodeFormat is the format of entries' node names.
const entryNodeFormat = "front-%d"

// entry is an entry process with the load balancer's state of it.
type entry struct {
	*process

	// proxy is the proxy through which callers connect, and links that of agents and
	// other entries.
	proxy, links *proxy
	mu           sync.Mutex
	// failedProbes counts consecutive failed readiness probes.
	failedProbes int
}

// startEntry starts an entry and its readiness probes.
func (h *harness) startEntry(i int, store netip.AddrPort, seeds []netip.AddrPort) error {
	address := h.address(1, i)
	p, err := newProxy(netip.AddrPortFrom(h.address(2, i), callersPort), netip.AddrPortFrom(address, callersPort))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "end what listens there", "open a proxy")
	}
	linkListenAddress := netip.AddrPortFrom(h.address(2, 25+i), firstPort)
	links, err := newProxy(netip.AddrPortFrom(address, firstPort), linkListenAddress)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "end what listens there", "open a proxy")
	}
	started, err := h.startProcess(imitator.VM{
		Node: fmt.Sprintf(entryNodeFormat, i), Zone: "a", Address: address, CallersPort: callersPort, ReadinessPort: readinessPort, RegistryPort: registryPort,
		FirstPort: firstPort, LinkListenAddress: linkListenAddress, Seeds: seeds, Store: store,
	}, h.options.EntryShare, h.options.Entry, "serve", "--on-platform")
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "check the path of the program", "start an entry")
	}
	e := &entry{process: started, proxy: p, links: links}
	h.entries = append(h.entries, e)
	go h.probeReadiness(e)
	return nil
}

// probeReadiness probes the readiness of an entry until the soak test ends.
func (h *harness) probeReadiness(e *entry) {
	client := &http.Client{Timeout: readinessInterval / 2}
	for h.ctx.Err() == nil {
		ready := imitator.Ready(h.ctx, client, netip.AddrPortFrom(e.vm.Address, readinessPort))
		e.mu.Lock()
		if e.failedProbes++; ready {
			e.failedProbes = 0
		}
		e.mu.Unlock()
		select {
		case <-h.ctx.Done():
		case <-time.After(readinessInterval):
		}
	}
}

// inRotation reports whether the load balancer sends new connections to the
// entry. Two consecutive failed probes take it out of rotation.
func (e *entry) inRotation() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.failedProbes < 2
}
