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

// askWithin bounds the question to one entry.
const askWithin = 200 * time.Millisecond

// Newest asks entries in turn for a configuration that is newer than version,
// and tells them of the asker. The document is empty when those that answered
// have none.
func Newest(ctx context.Context, from netip.AddrPort, entries []netip.AddrPort, version int64) (subscriber.Document, error) {
	err := error(fault.New(fault.Unavailable, "check the settings of this VM", "no other entry is known"))
	for _, address := range entries {
		var document subscriber.Document
		if document, err = newestOf(ctx, from, address, version); err == nil && document.Version > version {
			return document, nil
		}
	}
	return subscriber.Document{}, err
}

// Find asks an entry whether it runs a job, and has it stopped when cancel is
// set. An entry where nothing listens any more runs none.
func Find(ctx context.Context, address netip.AddrPort, job string, cancel bool) (bool, error) {
	client := dialer.New(dialer.Options{ConnectWithin: askWithin})
	defer client.Close()
	service := agatevalvev1connect.NewRunServiceClient(client, "http://"+address.String(), dialer.Plain())
	response, err := service.Find(ctx, connect.NewRequest(&v1.FindRequest{Job: job, Cancel: cancel}))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	if err != nil {
		return false, fault.Wrap(err, fault.Uncertain, "check the entry at "+address.String(), "ask for a job")
	}
	return response.Msg.GetKnown(), nil
}

func newestOf(ctx context.Context, from, address netip.AddrPort, version int64) (subscriber.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	client := dialer.New(dialer.Options{ConnectWithin: askWithin})
	defer client.Close()
	service := agatevalvev1connect.NewRunServiceClient(
		client, "http://"+address.String(), connect.WithReadMaxBytes(messageBytes), dialer.Plain(),
	)
	response, err := service.Newest(ctx, connect.NewRequest(&v1.NewestRequest{Version: version, From: from.String()}))
	if err != nil {
		return subscriber.Document{}, fault.Wrap(err, fault.Unavailable, "check the entry at "+address.String(), "ask for the newest configuration")
	}
	if len(response.Msg.GetDocument()) == 0 {
		return subscriber.Document{}, nil
	}
	return subscriber.Document{Version: response.Msg.GetVersion(), Content: response.Msg.GetDocument()}, nil
}
