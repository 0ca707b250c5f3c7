package greeter

import (
	"context"
	"iter"
	"log/slog"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/rcrowley/go-metrics"

	"agatevalve/common/task"
	"agatevalve/dialer"
	"agatevalve/dispatcher"
	"agatevalve/follower"
	"agatevalve/historian"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

const (
	// peerTimeout bounds one call to another entry, with the set-up of its
	// connection.
	peerTimeout = 300 * time.Millisecond
	// maxPeerAnswerBytes limits the size of the response: the largest snapshot
	// and 1 KiB for the other fields.
	maxPeerAnswerBytes = historian.MaxSnapshotBytes + 1<<10
)

// PeersOptions are the dependencies of Peers.
type PeersOptions struct {
	// Entries returns the entries as last listed; the list may include this
	// entry.
	Entries func() []dispatcher.Peer
	// Self identifies this entry, which is skipped.
	Self task.Process
	// MaxAnswerBytes limits the size of one response; 0 stands for the default.
	MaxAnswerBytes int
	Log            *slog.Logger
	Metrics        metrics.Registry
}

// Peers fetches the configuration in force from other entries. It isn't safe
// for concurrent use.
type Peers struct {
	o      PeersOptions
	asked  metrics.Counter
	failed metrics.Counter
	// unresponsive holds the entries whose last call failed. Only the goroutine
	// that runs Ask uses it.
	unresponsive map[task.Process]struct{}
}

var _ follower.Peers = (*Peers)(nil)

// NewPeers returns Peers. It opens no connection yet.
func NewPeers(o PeersOptions) *Peers {
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = maxPeerAnswerBytes
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return &Peers{
		o:            o,
		asked:        metrics.GetOrRegisterCounter("peers-asked", o.Metrics),
		failed:       metrics.GetOrRegisterCounter("peers-unanswered", o.Metrics),
		unresponsive: make(map[task.Process]struct{}),
	}
}

// Ask implements follower.Peers.
func (p *Peers) Ask(ctx context.Context, have func() uint64) iter.Seq[follower.Offer] {
	return func(yield func(follower.Offer) bool) {
		for _, peer := range p.shuffledEntries() {
			if ctx.Err() != nil {
				return
			}
			revision := have()
			response, err := p.fetchConfiguration(ctx, peer, revision)
			if err != nil {
				p.recordFailure(peer.Process, err)
				continue
			}
			delete(p.unresponsive, peer.Process)
			if len(response.GetSnapshot()) == 0 && response.GetRevision() <= revision {
				continue // Its revision isn't newer.
			}
			if !yield(follower.Offer{From: peer.Process.Name, Snapshot: snapshotFromWire(response)}) {
				return
			}
		}
	}
}

// shuffledEntries returns the entries to call, in random order, so that entries
// which lost the store at the same time don't all call the same one.
// Unresponsive entries come last, where their timeouts delay no other response.
func (p *Peers) shuffledEntries() []dispatcher.Peer {
	var responsive, unresponsive []dispatcher.Peer
	stillListed := make(map[task.Process]struct{})
	for _, peer := range p.o.Entries() {
		if peer.Process == p.o.Self {
			continue
		}
		if _, ok := p.unresponsive[peer.Process]; ok {
			unresponsive = append(unresponsive, peer)
			stillListed[peer.Process] = struct{}{}
			continue
		}
		responsive = append(responsive, peer)
	}
	p.unresponsive = stillListed // This drops the entries that are no longer listed.
	shuffle(responsive)
	shuffle(unresponsive)
	return append(responsive, unresponsive...)
}

func shuffle(peers []dispatcher.Peer) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// fetchConfiguration calls one entry over a new connection.
func (p *Peers) fetchConfiguration(ctx context.Context, peer dispatcher.Peer, have uint64) (*v1.ConfigurationResponse, error) {
	p.asked.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	client := dialer.New(dialer.Options{ConnectTimeout: peerTimeout})
	defer client.Close()
	service := agatevalvev1connect.NewEntryServiceClient(
		client, "http://"+peer.Address.String(), connect.WithReadMaxBytes(p.o.MaxAnswerBytes), dialer.WithoutCompression(),
	)
	response, err := service.Configuration(ctx, connect.NewRequest(&v1.ConfigurationRequest{Revision: have}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// recordFailure counts a failed call, and logs the first one of a series of
// failures.
func (p *Peers) recordFailure(peer task.Process, err error) {
	p.failed.Inc(1)
	if _, known := p.unresponsive[peer]; known {
		return
	}
	p.unresponsive[peer] = struct{}{}
	p.o.Log.Warn("greeter: Got no configuration from another entry", "from", peer.Name, "error", err)
}

func snapshotToWire(s historian.Snapshot) *v1.ConfigurationResponse {
	return &v1.ConfigurationResponse{Revision: s.Revision, Snapshot: s.Value, Digest: s.Digest[:]}
}

// snapshotFromWire validates nothing. The check of the snapshot's digest, which
// comes later, also finds a digest of the wrong length.
func snapshotFromWire(m *v1.ConfigurationResponse) historian.Snapshot {
	s := historian.Snapshot{Revision: m.GetRevision(), Value: m.GetSnapshot()}
	copy(s.Digest[:], m.GetDigest())
	return s
}
