package emulator_test

import (
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"agatevalve/emulator"
)

func TestPortsAreFreeInRangeAndNotRepeated(t *testing.T) {
	is := is.New(t)
	const first, end = 19900, 19950
	ports := emulator.NewPorts(first, end)
	taken, err := ports.Free()
	is.NoErr(err)
	listener, err := net.Listen("tcp", taken.String())
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	seen := map[netip.AddrPort]bool{taken: true}
	for range 20 {
		address, err := ports.Free()
		is.NoErr(err)
		is.True(!seen[address])
		is.True(address.Port() >= first && address.Port() < end)
		seen[address] = true
	}
	for range 2 * (end - first) {
		address, err := ports.Free()
		is.NoErr(err)
		is.True(address != taken) // This port has a listener.
	}
}
