package coupler

import (
	"context"
	"errors"
	"net/netip"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"agatevalve/common/fault"
	"agatevalve/dialer"
	"agatevalve/subscriber"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

// peerTimeout is the timeout for connecting to another entry, and for the whole
// request for its configuration.
const peerTimeout = 200 * time.Millisecond

// FetchConfiguration asks entries in turn for a configuration or a decision on
// evacuated zones that is newer than the known ones, and announces the address self
// of this entry to them. If none has a newer one, it returns the empty change and
// the error of the last request.
func FetchConfiguration(ctx context.Context, self netip.AddrPort, entries []netip.AddrPort, known subscriber.Versions) (subscriber.Change, error) {
	err := error(fault.New(fault.Unavailable, "check the settings of this VM", "no other entry is known"))
	for _, address := range entries {
		var change subscriber.Change
		if change, err = fetchFrom(ctx, self, address, known); err == nil && (change.Document.Version > known.Document || change.Zones.Version > known.Zones) {
			return change, nil
		}
	}
	return subscriber.Change{}, err
}

// FindJob asks an entry whether it runs a job, and stops the job there if cancel
// is set. An entry that refuses connections has ended and runs no job.
func FindJob(ctx context.Context, address netip.AddrPort, job string, cancel bool) (bool, error) {
	client := dialer.New(dialer.Options{ConnectTimeout: peerTimeout})
	defer client.Close()
	service := agatevalvev1connect.NewRunServiceClient(client, "http://"+address.String(), dialer.WithoutCompression())
	response, err := service.Find(ctx, connect.NewRequest(&v1.FindRequest{Job: job, Cancel: cancel}))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	if err != nil {
		return false, fault.Wrap(err, fault.Uncertain, "check the entry at "+address.String(), "ask for a job")
	}
	return response.Msg.GetKnown(), nil
}

// fetchFrom requests the configuration and the zones of one entry. The change is
// empty where they are not newer than the known ones.
func fetchFrom(ctx context.Context, self, address netip.AddrPort, known subscriber.Versions) (subscriber.Change, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client := dialer.New(dialer.Options{ConnectTimeout: peerTimeout})
	defer client.Close()
	service := agatevalvev1connect.NewRunServiceClient(
		client, "http://"+address.String(), connect.WithReadMaxBytes(maxFrameBytes), dialer.WithoutCompression(),
	)
	response, err := service.Newest(ctx, connect.NewRequest(&v1.NewestRequest{Version: known.Document, ZonesVersion: known.Zones, From: self.String()}))
	if err != nil {
		return subscriber.Change{}, fault.Wrap(err, fault.Unavailable, "check the entry at "+address.String(), "ask for the newest configuration")
	}
	change := subscriber.Change{Zones: zonesFromWire(response.Msg.GetZones())}
	if len(response.Msg.GetDocument()) > 0 {
		change.Document = subscriber.Document{Version: response.Msg.GetVersion(), Content: response.Msg.GetDocument()}
	}
	return change, nil
}
