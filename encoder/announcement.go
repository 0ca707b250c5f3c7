package encoder

import (
	"net/netip"

	"agatevalve/common/fault"
	"agatevalve/dispatcher"
	v1 "agatevalve/wire/agatevalvev1"
)

// maxPools is the maximum number of pools of one agent.
const maxPools = 1024

// LoadToWire encodes the load of an agent.
func LoadToWire(l dispatcher.Load) *v1.Load {
	return &v1.Load{
		Slots:    int32(l.Slots),
		Running:  int32(l.Running),
		Queued:   int32(l.Queued),
		Leaving:  l.Leaving,
		Revision: l.Revision,
	}
}

// LoadFromWire decodes the load of an agent. It rejects negative counts.
func LoadFromWire(m *v1.Load) (dispatcher.Load, error) {
	if m == nil {
		return dispatcher.Load{}, missing("load")
	}
	if m.GetSlots() < 0 || m.GetRunning() < 0 || m.GetQueued() < 0 {
		return dispatcher.Load{}, invalid("the load %v holds a negative count", m)
	}
	return dispatcher.Load{
		Slots:    int(m.GetSlots()),
		Running:  int(m.GetRunning()),
		Queued:   int(m.GetQueued()),
		Leaving:  m.GetLeaving(),
		Revision: m.GetRevision(),
	}, nil
}

// AnnouncementToWire encodes an announcement.
func AnnouncementToWire(a dispatcher.Announcement) *v1.AnnounceRequest {
	return &v1.AnnounceRequest{
		From:    ProcessToWire(a.Peer.Process),
		Address: a.Peer.Address.String(),
		Zone:    a.Zone,
		Worker:  a.Worker,
		Rack:    a.Rack,
		Pools:   a.Pools,
		Load:    LoadToWire(a.Load),
		Expires: TimeToWire(a.Expires),
	}
}

// AnnouncementFromWire decodes an announcement. Worker and rack may be empty.
func AnnouncementFromWire(m *v1.AnnounceRequest) (dispatcher.Announcement, error) {
	process, err := ProcessFromWire(m.GetFrom())
	if err != nil {
		return dispatcher.Announcement{}, err
	}
	address, err := AddressFromWire(m.GetAddress())
	if err != nil {
		return dispatcher.Announcement{}, err
	}
	if err := checkPlacement(m); err != nil {
		return dispatcher.Announcement{}, err
	}
	load, err := LoadFromWire(m.GetLoad())
	if err != nil {
		return dispatcher.Announcement{}, err
	}
	expires, err := TimeFromWire("expiry of an announcement", m.GetExpires())
	if err != nil {
		return dispatcher.Announcement{}, err
	}
	return dispatcher.Announcement{
		Peer:    dispatcher.Peer{Process: process, Address: address},
		Zone:    m.GetZone(),
		Worker:  m.GetWorker(),
		Rack:    m.GetRack(),
		Pools:   m.GetPools(),
		Load:    load,
		Expires: expires,
	}, nil
}

// AddressFromWire decodes an ip:port that a process can connect to. It rejects
// unspecified addresses, such as 0.0.0.0, and port 0.
func AddressFromWire(s string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(s)
	if err != nil {
		return netip.AddrPort{}, fault.Wrap(err, fault.Invalid, remedy, "invalid message: the address %q is not ip:port", s)
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		return netip.AddrPort{}, invalid("nobody can connect to the address %q", s)
	}
	return address, nil
}

// checkPlacement checks the zone, the worker, the rack and the pools of an agent.
func checkPlacement(m *v1.AnnounceRequest) error {
	if err := checkName("zone", m.GetZone()); err != nil {
		return err
	}
	if len(m.GetWorker()) > maxNameBytes || len(m.GetRack()) > maxNameBytes {
		return invalid("the worker or the rack has more than %d bytes", maxNameBytes)
	}
	if len(m.GetPools()) == 0 || len(m.GetPools()) > maxPools {
		return invalid("an agent joins 1 to %d pools, not %d", maxPools, len(m.GetPools()))
	}
	for _, p := range m.GetPools() {
		if err := checkName("pool of an announcement", p); err != nil {
			return err
		}
	}
	return nil
}
