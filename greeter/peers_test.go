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

// largestAnswer caps the answer of another entry here.
const largestAnswer = 4 << 10

// newPeers returns peers at a closed address, at the owner's, and the asker
// itself, which must not be asked.
func newPeers(t *testing.T, o *owner, log *bytes.Buffer, registry metrics.Registry) *greeter.Peers {
	t.Helper()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := closed.Close(); err != nil {
		t.Fatal(err)
	}
	asker := task.Process{Name: "entry-2", Incarnation: 8}
	return greeter.NewPeers(greeter.PeersOptions{
		Self: asker,
		Entries: func() []dispatcher.Peer {
			return []dispatcher.Peer{
				{Process: task.Process{Name: "entry-3", Incarnation: 1}, Address: netip.MustParseAddrPort(closed.Addr().String())},
				{Process: self, Address: o.address},
				{Process: asker, Address: o.address},
			}
		},
		AnswerBytes: largestAnswer,
		Log:         slog.New(slog.NewTextHandler(log, nil)),
		Metrics:     registry,
	})
}

func askPeers(t *testing.T, o *owner, have uint64, log *bytes.Buffer) []follower.Offer {
	t.Helper()
	p := newPeers(t, o, log, nil)
	return slices.Collect(p.Ask(context.Background(), func() uint64 { return have }))
}

func TestPeersOfferWhatIsNewer(t *testing.T) {
	is := is.New(t)
	o := newOwner(t)
	c, err := historian.NewConfiguration(5, nil, []router.Pool{{Name: "desk"}})
	is.NoErr(err)
	o.snapshot = historian.NewSnapshot(c)
	offers := askPeers(t, o, 4, &bytes.Buffer{})
	is.Equal(len(offers), 1)
	is.Equal(offers[0], follower.Offer{From: self.Name, Snapshot: o.snapshot})

	is.Equal(len(askPeers(t, o, 5, &bytes.Buffer{})), 0)
	is.Equal(len(o.heard), 0)
	is.Equal(len(askPeers(t, o, 6, &bytes.Buffer{})), 0)
	is.Equal(<-o.heard, uint64(6)) // The asker knows a newer revision.
}

func TestOversizedOfferIsRefused(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	o := newOwner(t)
	o.snapshot = historian.Snapshot{Revision: 5, Value: make([]byte, largestAnswer)}
	is.Equal(len(askPeers(t, o, 4, &log)), 0)
	is.True(strings.Contains(log.String(), "Got no configuration from another entry"))
	is.True(strings.Contains(log.String(), "resource_exhausted"))
}

func TestSilentPeersAreAskedLast(t *testing.T) {
	is := is.New(t)
	o := newOwner(t)
	o.snapshot = historian.NewSnapshot(historian.Configuration{Revision: 5})
	registry := metrics.NewRegistry()
	p := newPeers(t, o, &bytes.Buffer{}, registry)
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
	is.Equal(asked.Count()-before, int64(rounds)) // The first one asked had an offer.
}
