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
	// peerWithin bounds one question to another entry.
	peerWithin = 300 * time.Millisecond
	// peerBytes caps the answer to it: the snapshot and some bytes around.
	peerBytes = historian.MaxSnapshotBytes + 1<<10
)

// PeersOptions are the dependencies of Peers.
type PeersOptions struct {
	// Entries returns the entries of the last list, with or without this one.
	Entries func() []dispatcher.Peer
	// Self is not asked.
	Self task.Process
	// AnswerBytes caps one answer; 0 takes the default.
	AnswerBytes int
	Log         *slog.Logger
	Metrics     metrics.Registry
}

// Peers asks other entries for the configuration in force at them. One goroutine
// at a time may ask.
type Peers struct {
	o      PeersOptions
	asked  metrics.Counter
	failed metrics.Counter
	// silent holds those that gave no answer of use when they were last asked.
	// Only the goroutine that asks uses it.
	silent map[task.Process]struct{}
}

var _ follower.Peers = (*Peers)(nil)

// NewPeers returns Peers. It opens no connection yet.
func NewPeers(o PeersOptions) *Peers {
	if o.AnswerBytes == 0 {
		o.AnswerBytes = peerBytes
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return &Peers{
		o:      o,
		asked:  metrics.GetOrRegisterCounter("peers-asked", o.Metrics),
		failed: metrics.GetOrRegisterCounter("peers-unanswered", o.Metrics),
		silent: make(map[task.Process]struct{}),
	}
}

// Ask implements follower.Peers.
func (p *Peers) Ask(ctx context.Context, have func() uint64) iter.Seq[follower.Offer] {
	return func(yield func(follower.Offer) bool) {
		for _, peer := range p.order() {
			if ctx.Err() != nil {
				return
			}
			revision := have()
			response, err := p.ask(ctx, peer, revision)
			if err != nil {
				p.miss(peer.Process, err)
				continue
			}
			delete(p.silent, peer.Process)
			if len(response.GetSnapshot()) == 0 && response.GetRevision() <= revision {
				continue // It has nothing newer.
			}
			if !yield(follower.Offer{From: peer.Process.Name, Snapshot: snapshotFromWire(response)}) {
				return
			}
		}
	}
}

// order returns whom to ask. It is drawn anew each time, so that entries that
// are cut off together don't ask the same one at once. Those that were silent
// come last, where they keep no answer back.
func (p *Peers) order() []dispatcher.Peer {
	var heard, silent []dispatcher.Peer
	listed := make(map[task.Process]struct{})
	for _, peer := range p.o.Entries() {
		if peer.Process == p.o.Self {
			continue
		}
		if _, ok := p.silent[peer.Process]; ok {
			silent = append(silent, peer)
			listed[peer.Process] = struct{}{}
			continue
		}
		heard = append(heard, peer)
	}
	p.silent = listed // Those that are listed no more are forgotten.
	shuffle(heard)
	shuffle(silent)
	return append(heard, silent...)
}

func shuffle(peers []dispatcher.Peer) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

func (p *Peers) ask(ctx context.Context, peer dispatcher.Peer, have uint64) (*v1.ConfigurationResponse, error) {
	p.asked.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, peerWithin)
	defer cancel()
	client := dialer.New(dialer.Options{ConnectWithin: peerWithin})
	defer client.Close()
	service := agatevalvev1connect.NewEntryServiceClient(
		client, "http://"+peer.Address.String(), connect.WithReadMaxBytes(p.o.AnswerBytes), dialer.Plain(),
	)
	response, err := service.Configuration(ctx, connect.NewRequest(&v1.ConfigurationRequest{Revision: have}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// miss notes a question without an answer of use, and tells of the first one.
func (p *Peers) miss(peer task.Process, err error) {
	p.failed.Inc(1)
	if _, silent := p.silent[peer]; silent {
		return
	}
	p.silent[peer] = struct{}{}
	p.o.Log.Warn("greeter: Got no configuration from another entry", "from", peer.Name, "error", err)
}

func snapshotToWire(s historian.Snapshot) *v1.ConfigurationResponse {
	return &v1.ConfigurationResponse{Revision: s.Revision, Snapshot: s.Value, Digest: s.Digest[:]}
}

// snapshotFromWire leaves all checks to the snapshot: a digest of the wrong
// length matches no content.
func snapshotFromWire(m *v1.ConfigurationResponse) historian.Snapshot {
	s := historian.Snapshot{Revision: m.GetRevision(), Value: m.GetSnapshot()}
	copy(s.Digest[:], m.GetDigest())
	return s
}
