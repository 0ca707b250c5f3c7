package coupler

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"agatevalve/common/clock"
	"agatevalve/common/ring"
	"agatevalve/common/work"
	"agatevalve/dialer"
	"agatevalve/encoder"
	"agatevalve/supervisor"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

// entryLink opens links to one address, one at a time.
type entryLink struct {
	client  *Client
	address netip.AddrPort
	cancel  context.CancelFunc

	mu sync.Mutex
	// entry is the name of the entry's incarnation at the last link; "" before the
	// first. linkNumber, queue and closeLink are those of the open link; linkNumber
	// is 0 while none is open.
	entry      string
	linkNumber uint64
	queue      *ring.Ring[supervisor.Command]
	closeLink  context.CancelCauseFunc
	// connectingSince is the time of the start, or of the end of the last link.
	connectingSince time.Time
	// retiring is true once the core was told that the open link is not needed.
	retiring bool
}

func (l *entryLink) isOpen() bool {
	open, _ := l.state()
	return open
}

// state returns whether a link is open, and otherwise since when attempts to
// connect have been made.
func (l *entryLink) state() (open bool, connectingSince time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.linkNumber != 0 {
		return true, time.Time{}
	}
	return false, l.connectingSince
}

// setRetiring records whether the open link is still needed, and returns the event
// for the core if this has changed.
func (l *entryLink) setRetiring(retiring bool) (ev supervisor.LinkRetiring, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.linkNumber == 0 || l.retiring == retiring {
		return supervisor.LinkRetiring{}, false
	}
	l.retiring = retiring
	return supervisor.LinkRetiring{Entry: l.entry, Link: l.linkNumber, Retiring: retiring}, true
}

// enqueue queues a command if an open link leads to the entry, and reports whether
// one does.
func (l *entryLink) enqueue(entry string, command supervisor.Command) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.linkNumber == 0 || l.entry != entry {
		return false
	}
	if !l.queue.Offer(command) {
		l.closeLink(errUnresponsive) // The queue is full, so the entry does not read.
	}
	return true
}

// cut closes the open link if it has this number, and reports whether it was
// retired.
func (l *entryLink) cut(link uint64) (retired bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.linkNumber != link || l.closeLink == nil {
		return false
	}
	l.closeLink(errors.New("the agent cut the link"))
	return l.retiring
}

// keepConnected opens a new link, after a backoff, whenever the last one is
// closed.
func (l *entryLink) keepConnected(ctx context.Context) {
	backoff, disconnectedAt := initialBackoff, time.Now()
	for ctx.Err() == nil {
		if l.connectAndServe(ctx) {
			backoff, disconnectedAt = initialBackoff, time.Now()
		}
		timer := time.NewTimer(backoff/2 + rand.N(backoff))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
		backoff = min(2*backoff, maxBackoff)
		if time.Since(disconnectedAt) < earlyPeriod {
			backoff = min(backoff, earlyMaxBackoff)
		}
	}
}

// connectAndServe opens a link and serves it until it is closed. It reports
// whether the entry had answered with a valid first frame.
func (l *entryLink) connectAndServe(parent context.Context) bool {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	client := dialer.New(dialer.Options{ConnectTimeout: connectTimeout, PingAfter: transportPingDelay})
	defer client.Close()
	service := agatevalvev1connect.NewRunServiceClient(
		client, "http://"+l.address.String(), connect.WithReadMaxBytes(maxFrameBytes), dialer.WithoutCompression(),
	)
	stop := context.AfterFunc(ctx, client.Close)
	defer stop()
	hb := newHeartbeat(cancel)
	defer hb.stop()
	hb.frameReceived(true)
	stream := service.Link(ctx)
	// Send reports only that the stream has ended; Receive returns the cause.
	_ = stream.Send(&v1.RunReports{From: encoder.ProcessToWire(l.client.options.Self), Zone: l.client.options.Zone})
	first, err := stream.Receive()
	if err != nil {
		return l.handleConnectError(err)
	}
	entry, err := incarnationName(first.GetFrom())
	if err != nil {
		l.client.options.Log.Warn("coupler: Received an invalid frame from an entry", "entry", l.address, "error", err)
		return false
	}
	l.serve(ctx, cancel, stream, hb, entry, first)
	return true
}

// handleConnectError notifies the core that the entry is gone if its address
// refuses connections. It always returns false.
func (l *entryLink) handleConnectError(err error) bool {
	l.mu.Lock()
	entry := l.entry
	l.mu.Unlock()
	if entry != "" && errors.Is(err, syscall.ECONNREFUSED) {
		l.client.options.Enqueue(supervisor.LinkClosed{Entry: entry, Gone: true})
	}
	return false
}

// agentStream is the agent's end of a link's stream.
type agentStream = connect.BidiStreamForClient[v1.RunReports, v1.RunOrders]

// serve sends and receives frames until the link is closed. The first frame of the
// entry has been received already.
func (l *entryLink) serve(ctx context.Context, cancel context.CancelCauseFunc, stream *agentStream, hb *heartbeat, entry string, first *v1.RunOrders) {
	linkNumber := l.client.lastLinkNumber.Add(1)
	queue := ring.New[supervisor.Command](sendQueueSize)
	l.mu.Lock()
	previous := l.entry
	l.entry, l.linkNumber, l.queue, l.closeLink, l.retiring = entry, linkNumber, queue, cancel, false
	l.mu.Unlock()
	if previous != "" && previous != entry {
		l.client.options.Enqueue(supervisor.LinkClosed{Entry: previous, Gone: true})
	}
	l.client.openLinks.Add(1)
	var writer sync.WaitGroup
	writer.Go(func() { cancel(l.writeFrames(ctx, stream, queue, hb)) })
	if l.client.options.Enqueue(supervisor.LinkOpened{Entry: entry, Link: linkNumber}) {
		l.handleFrame(first, entry, linkNumber)
		cancel(l.readFrames(stream, hb, entry, linkNumber))
	}
	writer.Wait()
	l.client.openLinks.Add(-1)
	l.mu.Lock()
	l.linkNumber, l.connectingSince = 0, time.Now()
	l.mu.Unlock()
	l.client.options.Enqueue(supervisor.LinkClosed{Entry: entry, Link: linkNumber})
	l.client.options.Log.Info("coupler: A link was closed", "entry", entry, "link", linkNumber, "cause", context.Cause(ctx))
}

// readFrames handles the entry's frames until the stream ends.
func (l *entryLink) readFrames(stream *agentStream, hb *heartbeat, entry string, linkNumber uint64) error {
	for {
		frame, err := stream.Receive()
		if err != nil {
			return err
		}
		hb.frameReceived(len(frame.GetStarts())+len(frame.GetStops()) > 0)
		if !l.handleFrame(frame, entry, linkNumber) {
			return errors.New("the agent has stopped")
		}
	}
}

// handleFrame passes the content of a frame to the core and the list of entries
// to EntriesReceived. It returns false once the agent has stopped.
func (l *entryLink) handleFrame(frame *v1.RunOrders, entry string, linkNumber uint64) bool {
	now := clock.Now()
	ev := supervisor.FrameReceived{Entry: entry, Link: linkNumber, Acked: frame.GetAcked(), Zones: zonesFromWire(frame.GetZones())}
	for _, s := range frame.GetStarts() {
		order, err := orderFromWire(frame, s, now)
		if err != nil {
			l.client.options.Log.Warn("coupler: Ignored an invalid start order", "entry", entry, "error", err)
			continue
		}
		ev.Orders = append(ev.Orders, order)
	}
	for _, r := range frame.GetStops() {
		run, err := runFromWire(r)
		if err != nil {
			l.client.options.Log.Warn("coupler: Ignored an invalid stop order", "entry", entry, "error", err)
			continue
		}
		ev.Stops = append(ev.Stops, run)
	}
	if len(frame.GetEntries()) > 0 {
		entries, err := addressesFromWire(frame.GetEntries())
		if err != nil {
			l.client.options.Log.Warn("coupler: Ignored an invalid list of entries", "entry", entry, "error", err)
		} else {
			l.client.options.EntriesReceived(l.address, entries)
		}
	}
	return l.client.options.Enqueue(ev)
}

// writeFrames sends queued commands, or a probe if none was queued for a probe
// interval. It sends nothing before the core's snapshot, which is the first frame
// that the entry expects.
func (l *entryLink) writeFrames(ctx context.Context, stream *agentStream, queue *ring.Ring[supervisor.Command], hb *heartbeat) error {
	timer := time.NewTimer(activeProbeInterval)
	defer timer.Stop()
	var commands []supervisor.Command
	snapshotSent := false
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timer.C:
		case <-queue.Ready():
		}
		commands, _ = queue.TakeAll(commands[:0])
		frame := &v1.RunReports{}
		for _, c := range commands {
			snapshotSent = addToFrame(frame, c) || snapshotSent
		}
		clear(commands)
		if !snapshotSent {
			timer.Reset(activeProbeInterval)
			continue
		}
		if err := stream.Send(frame); err != nil {
			return err
		}
		timer.Reset(hb.frameSent(len(frame.GetReports()) > 0))
	}
}

// addToFrame adds a command to a frame, and reports whether it is the snapshot.
func addToFrame(frame *v1.RunReports, command supervisor.Command) bool {
	switch c := command.(type) {
	case supervisor.ReportSnapshot:
		addZones(frame, c.Zones)
		frame.Resumed = true
		frame.Minion, frame.Leaving = minionToWire(c.Minion, c.Usable), c.Leaving
		frame.Load = loadToWire(c.Load)
		for _, r := range c.Reports {
			frame.Reports = append(frame.Reports, reportToWire(r))
		}
		for _, crash := range c.Crashes {
			frame.Crashes = append(frame.Crashes, crashToWire(crash, clock.Now()))
		}
		return true
	case supervisor.ReportRun:
		frame.Reports = append(frame.Reports, reportToWire(c.Report))
	case supervisor.ReportLoad:
		frame.Load, frame.Taken = loadToWire(c.Load), c.OrdersReceived
	case supervisor.ReportCrash:
		frame.Crashes = append(frame.Crashes, crashToWire(c.Crash, clock.Now()))
	case supervisor.ReportZones:
		addZones(frame, c.Zones)
	case supervisor.ReportMinion:
		frame.Minion, frame.Leaving = minionToWire(c.Minion, c.Usable), c.Leaving
	}
	return false
}

// addZones adds a decision on evacuated zones to a frame that has no newer one.
func addZones(frame *v1.RunReports, zones work.Zones) {
	if zones.Version > frame.GetZones().GetVersion() {
		frame.Zones = zonesToWire(zones)
	}
}
