package linker_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"agatevalve/dispatcher"
	"agatevalve/encoder"
	"agatevalve/linker"
	v1 "agatevalve/wire/agatevalvev1"
)

// testAnnouncement returns an announcement of an agent with 8 slots.
func testAnnouncement(peer dispatcher.Peer) dispatcher.Announcement {
	return dispatcher.Announcement{
		Peer:    peer,
		Zone:    "cartago",
		Pools:   []string{"ascenso-desk"},
		Load:    dispatcher.Load{Slots: 8},
		Expires: time.Now().Add(testTimeout),
	}
}

func TestUnreachableAgentIsNotAnnounced(t *testing.T) {
	silentListener, err := net.Listen("tcp", "127.0.0.1:0") // It accepts connections and never sends.
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silentListener.Close() })
	f := newFixture(t, linker.Options{ProbeTimeout: 50 * time.Millisecond})
	peer := dispatcher.Peer{Process: agent, Address: netip.MustParseAddrPort(silentListener.Addr().String())}
	f.is.True(f.linker.HandleAnnouncement(context.Background(), testAnnouncement(peer)))
	for range 3 {
		await[dispatcher.LinkLost](f) // The linker reconnects without a new announcement.
	}
	for _, ev := range f.received {
		if _, ok := ev.(dispatcher.Announced); ok {
			t.Errorf("the core got an announcement of an unreachable agent: %+v", ev)
		}
	}
}

func TestAgentIsMarkedLeavingWhileItsLinkIsBroken(t *testing.T) {
	errCut := errors.New("the link is cut")
	fake := &fakeAgent{process: agent}
	fake.onFrame = func(frame *v1.EntryFrame) error {
		if len(frame.GetStarts()) > 0 {
			return errCut
		}
		return nil
	}
	f := newFixture(t, linker.Options{})
	peer := dispatcher.Peer{Process: agent, Address: fake.serve(t)}
	f.is.True(f.linker.HandleAnnouncement(context.Background(), testAnnouncement(peer)))
	f.is.True(!await[dispatcher.Announced](f).Announcement.Load.Leaving)
	f.is.True(f.linker.Send(peer, testStart(0)))
	f.is.True(await[dispatcher.Announced](f).Announcement.Load.Leaving)
	await[dispatcher.LinkLost](f)
	f.is.True(!await[dispatcher.Announced](f).Announcement.Load.Leaving)
	fake.locked(func() { f.is.True(fake.linksOpened >= 2) })
}

func TestAnnouncementIsForwardedOverAnOpenLink(t *testing.T) {
	fake := &fakeAgent{process: agent}
	f := newFixture(t, linker.Options{ProbeTimeout: testTimeout})
	peer := dispatcher.Peer{Process: agent, Address: fake.serve(t)}
	f.is.True(f.linker.HandleAnnouncement(context.Background(), testAnnouncement(peer)))
	await[dispatcher.Announced](f)
	second := testAnnouncement(peer)
	second.Load.Running = 5
	f.is.True(f.linker.HandleAnnouncement(context.Background(), second))
	f.is.Equal(await[dispatcher.Announced](f).Announcement.Load.Running, 5)
	fake.locked(func() { f.is.Equal(fake.linksOpened, 1) })
}

// The announcement that waits for the link may predate the agent's drain.
func TestLoadOfFirstFrameReplacesOlderAnnouncement(t *testing.T) {
	fake := &fakeAgent{process: agent}
	fake.makeAnswer = func(*v1.EntryFrame) *v1.AgentFrame {
		return &v1.AgentFrame{From: encoder.ProcessToWire(agent), Load: &v1.Load{Slots: 8, Leaving: true}}
	}
	f := newFixture(t, linker.Options{ProbeTimeout: testTimeout})
	peer := dispatcher.Peer{Process: agent, Address: fake.serve(t)}
	f.is.True(f.linker.HandleAnnouncement(context.Background(), testAnnouncement(peer)))
	f.is.True(await[dispatcher.Announced](f).Announcement.Load.Leaving)
}
