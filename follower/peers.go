package follower

import (
	"context"
	"iter"
	"time"

	"agatevalve/common/fault"
	"agatevalve/historian"
)

// peerRoundTimeout bounds the requests to other entries after one failed poll.
// A poll that hangs, the delay after it, and the peer requests of two polls
// together stay below 5 s.
const peerRoundTimeout = 800 * time.Millisecond

// Offer is the configuration in force at another entry, as it returned it.
type Offer struct {
	// From is the name of that entry.
	From     string
	Snapshot historian.Snapshot
}

// Peers requests the configuration of other entries; greeter.Peers implements
// it.
type Peers interface {
	// Ask requests a revision above newerThan() from the other entries, one at
	// a time, until all were asked or ctx ends. It yields what they return.
	// newerThan is called for each request, since an adopted offer raises it.
	Ask(ctx context.Context, newerThan func() uint64) iter.Seq[Offer]
}

// queryPeers adopts the newest revision that other entries have while the store
// can't be read. It returns the configuration in force afterwards.
func (f *Follower) queryPeers(ctx context.Context, current historian.Configuration) historian.Configuration {
	if f.options.Peers == nil {
		return current
	}
	ctx, cancel := context.WithTimeout(ctx, peerRoundTimeout)
	defer cancel()
	for offer := range f.options.Peers.Ask(ctx, f.Revision) {
		next, err := f.adopt(offer)
		if err != nil {
			f.options.Log.Warn("follower: The configuration of another entry is refused. The last revision stays in force.",
				"from", offer.From, "offered", offer.Snapshot.Revision, "kept", current.Revision, "error", err)
			continue
		}
		f.options.Log.Info("follower: A revision is in force, taken from another entry.",
			"from", offer.From, "revision", next.Revision, "before", current.Revision)
		current = next
	}
	return current
}

// adopt brings an offered revision into force if it is valid and newer.
func (f *Follower) adopt(offer Offer) (historian.Configuration, error) {
	if err := f.checkOffered(offer.Snapshot.Revision); err != nil {
		return historian.Configuration{}, err
	}
	next, err := offer.Snapshot.Decode()
	if err != nil {
		return historian.Configuration{}, err
	}
	table, err := next.Compile()
	if err != nil {
		return historian.Configuration{}, err
	}
	f.activate(table, next)
	return next, nil
}

// checkOffered refuses a revision that is not newer than the one in force. It
// also refuses an announced revision that the store did not have: it may belong
// to a history that the store has lost.
func (f *Follower) checkOffered(revision uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case revision <= f.state.revision:
		return fault.New(fault.Conflict, "replace the entry that offers it",
			"revision %d is not newer than %d", revision, f.state.revision)
	case revision == f.state.absent:
		return fault.New(fault.Conflict, "restore the store, or publish again",
			"revision %d was not in the store", revision)
	}
	return nil
}
