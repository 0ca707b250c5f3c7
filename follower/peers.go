package follower

import (
	"context"
	"iter"
	"time"

	"agatevalve/common/fault"
	"agatevalve/historian"
)

// askWithin bounds the questions of one poll. A poll that hangs, the rest
// after it, and the questions of two polls together stay below 5 s.
const askWithin = 800 * time.Millisecond

// Offer is the configuration in force at another entry.
type Offer struct {
	// From is the name of that entry.
	From     string
	Snapshot historian.Snapshot
}

// Peers asks other entries; greeter.Peers is one.
type Peers interface {
	// Ask asks the other entries for a revision above have, one at a time, until
	// all were asked or ctx ends. It yields what they offer; have may grow
	// meanwhile.
	Ask(ctx context.Context, have func() uint64) iter.Seq[Offer]
}

// ask takes the newest revision that other entries have, since the store can't
// be read. It returns the configuration known then.
func (f *Follower) ask(ctx context.Context, known historian.Configuration) historian.Configuration {
	if f.options.Peers == nil {
		return known
	}
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	for offer := range f.options.Peers.Ask(ctx, f.Revision) {
		next, err := f.take(offer)
		if err != nil {
			f.options.Log.Warn("follower: The configuration of another entry is refused. The last revision stays in force.",
				"from", offer.From, "offered", offer.Snapshot.Revision, "kept", known.Revision, "error", err)
			continue
		}
		f.options.Log.Info("follower: A revision is in force, taken from another entry.",
			"from", offer.From, "revision", next.Revision, "before", known.Revision)
		known = next
	}
	return known
}

// take brings an offered revision into force, if it is sound and newer.
func (f *Follower) take(offer Offer) (historian.Configuration, error) {
	if err := f.admit(offer.Snapshot.Revision); err != nil {
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
	f.swap(table, next)
	return next, nil
}

// admit refuses a revision that is not newer, and the one that was heard of and
// that the store did not have: it may be of a line that the store has lost.
func (f *Follower) admit(revision uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case revision <= f.state.revision:
		return fault.New(fault.Conflict, "replace the entry that offers it",
			"revision %d is not newer than %d", revision, f.state.revision)
	case revision == f.state.denied:
		return fault.New(fault.Conflict, "restore the store, or publish again",
			"revision %d was not in the store", revision)
	}
	return nil
}
