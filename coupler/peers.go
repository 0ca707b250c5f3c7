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

// FetchConfiguration asks entries in turn for a configuration that is newer than
// version, and announces the address self of this entry to them. If none has a
// newer one, it returns an empty document and the error of the last request.
func FetchConfiguration(ctx context.Context, self netip.AddrPort, entries []netip.AddrPort, version int64) (subscriber.Document, error) {
	err := error(fault.New(fault.Unavailable, "check the settings of this VM", "no other entry is known"))
	for _, address := range entries {
		var document subscriber.Document
		if document, err = fetchFrom(ctx, self, address, version); err == nil && document.Version > version {
			return document, nil
		}
	}
	return subscriber.Document{}, err
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

// fetchFrom requests the configuration of one entry. The document is empty if it
// is not newer than version.
func fetchFrom(ctx context.Context, self, address netip.AddrPort, version int64) (subscriber.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client := dialer.New(dialer.Options{ConnectTimeout: peerTimeout})
	defer client.Close()
	service := agatevalvev1connect.NewRunServiceClient(
		client, "http://"+address.String(), connect.WithReadMaxBytes(maxFrameBytes), dialer.WithoutCompression(),
	)
	response, err := service.Newest(ctx, connect.NewRequest(&v1.NewestRequest{Version: version, From: self.String()}))
	if err != nil {
		return subscriber.Document{}, fault.Wrap(err, fault.Unavailable, "check the entry at "+address.String(), "ask for the newest configuration")
	}
	if len(response.Msg.GetDocument()) == 0 {
		return subscriber.Document{}, nil
	}
	return subscriber.Document{Version: response.Msg.GetVersion(), Content: response.Msg.GetDocument()}, nil
}
