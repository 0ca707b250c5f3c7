package greeter_test

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/follower"
	"agatevalve/greeter"
	"agatevalve/historian"
	"agatevalve/router"
)

// maxAnswerBytes limits the size of another entry's response.
const maxAnswerBytes = 4 << 10

// newPeers returns Peers with three entries: one at a closed address, that of
// the fixture, and the requesting entry itself, which must be skipped.
func newPeers(t *testing.T, f *fixture, log *bytes.Buffer, registry metrics.Registry) *greeter.Peers {
	t.Helper()
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := closedListener.Close(); err != nil {
		t.Fatal(err)
	}
	requester := task.Process{Name: "entry-2", Incarnation: 8}
	return greeter.NewPeers(greeter.PeersOptions{
		Self: requester,
		Entries: func() []dispatcher.Peer {
			return []dispatcher.Peer{
				{Process: task.Process{Name: "entry-3", Incarnation: 1}, Address: netip.MustParseAddrPort(closedListener.Addr().String())},
				{Process: self, Address: f.address},
				{Process: requester, Address: f.address},
			}
		},
		MaxAnswerBytes: maxAnswerBytes,
		Log:            slog.New(slog.NewTextHandler(log, nil)),
		Metrics:        registry,
	})
}

// askPeers returns the configurations offered to an entry with revision have.
func askPeers(t *testing.T, f *fixture, have uint64, log *bytes.Buffer) []follower.Offer {
	t.Helper()
	p := newPeers(t, f, log, nil)
	return slices.Collect(p.Ask(context.Background(), func() uint64 { return have }))
}

func TestPeersOfferOnlyNewerConfigurations(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	c, err := historian.NewConfiguration(5, nil, []router.Pool{{Name: "desk"}})
	is.NoErr(err)
	f.snapshot = historian.NewSnapshot(c)
	offers := askPeers(t, f, 4, &bytes.Buffer{})
	is.Equal(len(offers), 1)
	is.Equal(offers[0], follower.Offer{From: self.Name, Snapshot: f.snapshot})

	is.Equal(len(askPeers(t, f, 5, &bytes.Buffer{})), 0)
	is.Equal(len(f.revisions), 0)
	is.Equal(len(askPeers(t, f, 6, &bytes.Buffer{})), 0)
	is.Equal(<-f.revisions, uint64(6)) // The requester has a newer revision than the entry.
}

func TestOversizedConfigurationIsRejected(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	f := newFixture(t)
	f.snapshot = historian.Snapshot{Revision: 5, Value: make([]byte, maxAnswerBytes)}
	is.Equal(len(askPeers(t, f, 4, &log)), 0)
	is.True(strings.Contains(log.String(), "Got no configuration from another entry"))
	is.True(strings.Contains(log.String(), "resource_exhausted"))
}

func TestUnresponsivePeersAreAskedLast(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.snapshot = historian.NewSnapshot(historian.Configuration{Revision: 5})
	registry := metrics.NewRegistry()
	p := newPeers(t, f, &bytes.Buffer{}, registry)
	have := func() uint64 { return 4 }
	is.Equal(len(slices.Collect(p.Ask(context.Background(), have))), 1)
	asked := metrics.GetOrRegisterCounter("peers-asked", registry)
	before := asked.Count()
	const rounds = 16
	for range rounds {
		for range p.Ask(context.Background(), have) {
			break
		}
	}
	is.Equal(asked.Count()-before, int64(rounds)) // The responsive entry was always called first.
}
