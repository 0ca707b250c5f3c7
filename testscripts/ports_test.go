package testscripts_test

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
)

const (
	// firstPort and lastPort bound the ports that tests give to processes. They
	// lie below those that the system hands out, so that no connection or
	// listener on port 0 takes one before its process opens it, and apart from
	// those of other packages, whose tests run at the same time.
	firstPort = 26000
	lastPort  = 32000
	// portsPerRun spreads test runs that share a machine.
	portsPerRun = 512
)

// portsGiven counts the ports that were looked at; none is given twice in a row.
var portsGiven atomic.Int64

// freePort returns an address on 127.0.0.1 that nobody listens on.
func freePort() (netip.AddrPort, error) {
	var failure error
	for range lastPort - firstPort {
		offset := int64(os.Getpid())*portsPerRun + portsGiven.Add(1)
		port := firstPort + offset%(lastPort-firstPort)
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			failure = err
			continue
		}
		return netip.MustParseAddrPort(address), listener.Close()
	}
	return netip.AddrPort{}, failure
}
