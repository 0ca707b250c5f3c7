// Package finder finds a job at the entry that runs it. The balancer brings a
// caller's question to any entry.
package finder

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"agatevalve/common/fault"
)

// askWithin bounds the question to one entry; several times the way there and
// back between zones.
const askWithin = 400 * time.Millisecond

// Jobs are those that this entry runs.
type Jobs interface {
	// Cancel stops a job, and reports whether it was known.
	Cancel(id string) bool
	// Known reports whether a job is not answered yet.
	Known(id string) bool
}

// Options are the dependencies of a Finder.
type Options struct {
	Jobs Jobs
	// Others returns the addresses of the other entries.
	Others func() []netip.AddrPort
	// Ask asks one entry whether it runs a job, and has it stopped there when
	// cancel is set. It returns false for an entry that proves to be gone.
	Ask func(ctx context.Context, entry netip.AddrPort, job string, cancel bool) (bool, error)
	Log *slog.Logger
}

// Finder answers for all entries. It is safe for concurrent use.
type Finder struct{ o Options }

// New returns a finder.
func New(o Options) *Finder { return &Finder{o: o} }

// Cancel stops a job wherever it runs, and reports whether it was known. A
// fault of kind Uncertain means that an entry which may run it did not answer.
func (f *Finder) Cancel(ctx context.Context, id string) (bool, error) {
	if f.o.Jobs.Cancel(id) {
		return true, nil
	}
	return f.ask(ctx, id, true)
}

// Known reports whether a job runs at any entry; its fault is like Cancel's.
func (f *Finder) Known(ctx context.Context, id string) (bool, error) {
	if f.o.Jobs.Known(id) {
		return true, nil
	}
	return f.ask(ctx, id, false)
}

type reply struct {
	entry netip.AddrPort
	known bool
	err   error
}

func (f *Finder) ask(ctx context.Context, id string, cancel bool) (bool, error) {
	ctx, stop := context.WithTimeout(ctx, askWithin)
	defer stop()
	others := f.o.Others()
	replies := make(chan reply, len(others))
	var asking sync.WaitGroup
	for _, entry := range others {
		asking.Go(func() {
			known, err := f.o.Ask(ctx, entry, id, cancel)
			replies <- reply{entry: entry, known: known, err: err}
		})
	}
	go func() {
		asking.Wait()
		close(replies)
	}()
	var silent error
	for r := range replies {
		if r.known {
			return true, nil
		}
		if r.err != nil {
			f.o.Log.Info("finder: An entry did not answer", "entry", r.entry, "job", id, "cancel", cancel, "error", r.err)
			silent = r.err
		}
	}
	if silent != nil {
		return false, fault.Wrap(silent, fault.Uncertain, "ask again", "not all entries that may run the job have answered")
	}
	return false, nil
}
