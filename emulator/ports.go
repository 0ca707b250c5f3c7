package emulator

import (
	"context"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
)

// portsPerProcess separates the ports that processes on the same machine try
// first.
const portsPerProcess = 512

// Ports finds free addresses on 127.0.0.1 for processes that are about to
// start. The range should be below the system's ephemeral ports, so that no
// connection and no listener on port 0 takes a port before its process opens
// it. Ports is safe for concurrent use.
type Ports struct {
	// first and count define the range; concurrent users need disjoint ranges.
	first, count int64
	// probed counts the ports tried so far; the range is used in order, so that
	// a port is repeated only after all others.
	probed atomic.Int64
}

// NewPorts returns the ports from first up to, but not including, end.
func NewPorts(first, end uint16) *Ports {
	return &Ports{first: int64(first), count: int64(end) - int64(first)}
}

// Free returns an address without a listener.
func (p *Ports) Free() (netip.AddrPort, error) {
	var config net.ListenConfig
	var lastErr error
	for range p.count {
		offset := int64(os.Getpid())*portsPerProcess + p.probed.Add(1)
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(p.first+offset%p.count, 10))
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			lastErr = err
			continue
		}
		return netip.MustParseAddrPort(address), listener.Close()
	}
	return netip.AddrPort{}, lastErr
}
