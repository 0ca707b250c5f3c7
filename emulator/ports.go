package emulator

import (
	"context"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
)

// portsPerRun spreads runs of a program that share a machine.
const portsPerRun = 512

// Ports gives addresses on 127.0.0.1 to processes that are about to start. A
// range below the one that the system hands out keeps connections and listeners
// on port 0 from taking a port before its process opens it. It is safe for
// concurrent use.
type Ports struct {
	// first and count are the range; users at the same time need ranges apart.
	first, count int64
	// given counts the ports looked at; none is given twice before all were.
	given atomic.Int64
}

// NewPorts returns the ports from first up to, but not including, end.
func NewPorts(first, end uint16) *Ports {
	return &Ports{first: int64(first), count: int64(end) - int64(first)}
}

// Free returns an address that nobody listens on.
func (p *Ports) Free() (netip.AddrPort, error) {
	var config net.ListenConfig
	var failure error
	for range p.count {
		offset := int64(os.Getpid())*portsPerRun + p.given.Add(1)
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(p.first+offset%p.count, 10))
		listener, err := config.Listen(context.Background(), "tcp", address)
		if err != nil {
			failure = err
			continue
		}
		return netip.MustParseAddrPort(address), listener.Close()
	}
	return netip.AddrPort{}, failure
}
