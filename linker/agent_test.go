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

func announcementOf(peer dispatcher.Peer) dispatcher.Announcement {
	return dispatcher.Announcement{
		Peer:    peer,
		Zone:    "cartago",
		Pools:   []string{"ascenso-desk"},
		Load:    dispatcher.Load{Slots: 8},
		Expires: time.Now().Add(patience),
	}
}

func TestAgentThatCannotBeReachedIsNotAnnounced(t *testing.T) {
	hole, err := net.Listen("tcp", "127.0.0.1:0") // It accepts and says nothing.
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = hole.Close() })
	b := newBench(t, linker.Options{SilentAfter: 50 * time.Millisecond})
	peer := dispatcher.Peer{Process: agent, Address: netip.MustParseAddrPort(hole.Addr().String())}
	b.is.True(b.linker.Meet(context.Background(), announcementOf(peer)))
	for range 3 {
		await[dispatcher.LinkLost](b) // It is tried again by itself.
	}
	for _, ev := range b.seen {
		if _, ok := ev.(dispatcher.Announced); ok {
			t.Errorf("the core heard of the agent: %+v", ev)
		}
	}
}

func TestBrokenLinkKeepsNewTasksAwayUntilItOpensAgain(t *testing.T) {
	cut := errors.New("the link is cut")
	fake := &fakeAgent{process: agent}
	fake.before = func(frame *v1.EntryFrame) error {
		if len(frame.GetStarts()) > 0 {
			return cut
		}
		return nil
	}
	b := newBench(t, linker.Options{})
	peer := dispatcher.Peer{Process: agent, Address: fake.listen(t)}
	b.is.True(b.linker.Meet(context.Background(), announcementOf(peer)))
	b.is.True(!await[dispatcher.Announced](b).Announcement.Load.Leaving)
	b.is.True(b.linker.Send(peer, startOf(0)))
	b.is.True(await[dispatcher.Announced](b).Announcement.Load.Leaving)
	await[dispatcher.LinkLost](b)
	b.is.True(!await[dispatcher.Announced](b).Announcement.Load.Leaving)
	fake.count(func() { b.is.True(fake.links >= 2) })
}

func TestAnnouncementsPassOverAnOpenLink(t *testing.T) {
	fake := &fakeAgent{process: agent}
	b := newBench(t, linker.Options{SilentAfter: patience})
	peer := dispatcher.Peer{Process: agent, Address: fake.listen(t)}
	b.is.True(b.linker.Meet(context.Background(), announcementOf(peer)))
	await[dispatcher.Announced](b)
	second := announcementOf(peer)
	second.Load.Running = 5
	b.is.True(b.linker.Meet(context.Background(), second))
	b.is.Equal(await[dispatcher.Announced](b).Announcement.Load.Running, 5)
	fake.count(func() { b.is.Equal(fake.links, 1) })
}

// The announcement that waits for a link may be older than the agent's drain.
func TestOpenedLinkTellsOfALeavingAgentAtOnce(t *testing.T) {
	fake := &fakeAgent{process: agent}
	fake.reply = func(*v1.EntryFrame) *v1.AgentFrame {
		return &v1.AgentFrame{From: encoder.ProcessToWire(agent), Load: &v1.Load{Slots: 8, Leaving: true}}
	}
	b := newBench(t, linker.Options{SilentAfter: patience})
	peer := dispatcher.Peer{Process: agent, Address: fake.listen(t)}
	b.is.True(b.linker.Meet(context.Background(), announcementOf(peer)))
	b.is.True(await[dispatcher.Announced](b).Announcement.Load.Leaving)
}
