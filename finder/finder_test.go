package finder_test

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/finder"
)

// localJobs are the jobs that one entry runs.
type localJobs map[string]bool

// Known implements finder.Jobs.
func (l localJobs) Known(id string) bool { return l[id] }

// Cancel implements finder.Jobs.
func (l localJobs) Cancel(id string) bool {
	known := l[id]
	delete(l, id)
	return known
}

var (
	second = netip.MustParseAddrPort("10.0.0.2:7720")
	third  = netip.MustParseAddrPort("10.0.0.3:7720")
)

// fakePeers stands in for the other entries.
type fakePeers struct {
	mu           sync.Mutex
	jobs         map[netip.AddrPort]localJobs
	unresponsive map[netip.AddrPort]bool
	requests     int
}

func (p *fakePeers) ask(ctx context.Context, entry netip.AddrPort, job string, cancel bool) (bool, error) {
	p.mu.Lock()
	p.requests++
	unresponsive := p.unresponsive[entry]
	p.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return false, errors.New("silent")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if cancel {
		return p.jobs[entry].Cancel(job), nil
	}
	return p.jobs[entry].Known(job), nil
}

func newFinder(local localJobs, p *fakePeers) *finder.Finder {
	return finder.New(finder.Options{
		Jobs: local, Ask: p.ask, Log: slog.New(slog.DiscardHandler),
		Others: func() []netip.AddrPort { return []netip.AddrPort{second, third} },
	})
}

// Guards against a DELETE that is answered with 410 by entries other than the
// one that runs the job.
func TestJobOfAnotherEntryIsFoundAndCancelled(t *testing.T) {
	is := is.New(t)
	p := &fakePeers{jobs: map[netip.AddrPort]localJobs{second: {}, third: {"a": true}}}
	f := newFinder(localJobs{}, p)
	known, err := f.Known(t.Context(), "a")
	is.NoErr(err)
	is.True(known)
	known, err = f.Cancel(t.Context(), "a")
	is.NoErr(err)
	is.True(known)
	is.True(!p.jobs[third]["a"])
	known, err = f.Cancel(t.Context(), "a")
	is.NoErr(err)
	is.True(!known) // All entries have answered that they run no such job.
}

func TestLocalJobIsCancelledWithoutAskingPeers(t *testing.T) {
	is := is.New(t)
	p := &fakePeers{}
	f := newFinder(localJobs{"a": true}, p)
	known, err := f.Cancel(t.Context(), "a")
	is.NoErr(err)
	is.True(known)
	is.Equal(p.requests, 0)
}

// An entry that can't be reached may run the job, so the job can't be reported
// as unknown.
func TestUnresponsiveEntryMakesTheAnswerUncertain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &fakePeers{jobs: map[netip.AddrPort]localJobs{third: {"b": true}}, unresponsive: map[netip.AddrPort]bool{second: true}}
		f := newFinder(localJobs{}, p)
		asked := time.Now()
		_, err := f.Cancel(t.Context(), "a")
		is.Equal(fault.KindOf(err), fault.Uncertain)
		is.True(time.Since(asked) < time.Second)
		known, err := f.Cancel(t.Context(), "b") // Found despite the unresponsive entry.
		is.NoErr(err)
		is.True(known)
		time.Sleep(time.Second)
	})
}
