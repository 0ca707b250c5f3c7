// Package finder finds and cancels jobs across entries. The load balancer sends
// a caller's request to any entry, which may not be the one that runs the job.
package finder

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"agatevalve/common/fault"
)

// peerTimeout bounds the request to each other entry. It is several times the
// round-trip time between zones.
const peerTimeout = 400 * time.Millisecond

// Jobs are the jobs of this entry.
type Jobs interface {
	// Cancel stops a job, and reports whether it was known.
	Cancel(id string) bool
	// Known reports whether a job has not been answered yet.
	Known(id string) bool
}

// Options configure a Finder.
type Options struct {
	Jobs Jobs
	// Others returns the addresses of the other entries.
	Others func() []netip.AddrPort
	// Ask asks another entry whether it runs a job, and also stops the job there
	// if cancel is set. It returns false for an entry that is known to have
	// ended.
	Ask func(ctx context.Context, entry netip.AddrPort, job string, cancel bool) (bool, error)
	Log *slog.Logger
}

// Finder looks for jobs at all entries. It is safe for concurrent use.
type Finder struct{ options Options }

// New returns a Finder.
func New(o Options) *Finder { return &Finder{options: o} }

// Cancel stops a job at whichever entry runs it, and reports whether it was
// known. A fault of kind Uncertain means that an entry that may run it did not
// answer.
func (f *Finder) Cancel(ctx context.Context, id string) (bool, error) {
	if f.options.Jobs.Cancel(id) {
		return true, nil
	}
	return f.askPeers(ctx, id, true)
}

// Known reports whether a job runs at any entry. It returns the same faults as
// Cancel.
func (f *Finder) Known(ctx context.Context, id string) (bool, error) {
	if f.options.Jobs.Known(id) {
		return true, nil
	}
	return f.askPeers(ctx, id, false)
}

// peerReply is the answer of another entry.
type peerReply struct {
	entry netip.AddrPort
	known bool
	err   error
}

// askPeers asks all other entries at the same time, and returns as soon as one
// of them knows the job.
func (f *Finder) askPeers(ctx context.Context, id string, cancel bool) (bool, error) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	others := f.options.Others()
	replies := make(chan peerReply, len(others))
	var requests sync.WaitGroup
	for _, entry := range others {
		requests.Go(func() {
			known, err := f.options.Ask(ctx, entry, id, cancel)
			replies <- peerReply{entry: entry, known: known, err: err}
		})
	}
	go func() {
		requests.Wait()
		close(replies)
	}()
	var unanswered error
	for r := range replies {
		if r.known {
			return true, nil
		}
		if r.err != nil {
			f.options.Log.Info("finder: An entry did not answer", "entry", r.entry, "job", id, "cancel", cancel, "error", r.err)
			unanswered = r.err
		}
	}
	if unanswered != nil {
		return false, fault.Wrap(unanswered, fault.Uncertain, "ask again", "not all entries that may run the job have answered")
	}
	return false, nil
}
