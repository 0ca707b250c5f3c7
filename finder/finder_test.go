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

// own are the jobs of the entry that is asked.
type own map[string]bool

// Known implements finder.Jobs.
func (o own) Known(id string) bool { return o[id] }

// Cancel implements finder.Jobs.
func (o own) Cancel(id string) bool {
	known := o[id]
	delete(o, id)
	return known
}

var (
	second = netip.MustParseAddrPort("10.0.0.2:7720")
	third  = netip.MustParseAddrPort("10.0.0.3:7720")
)

// peers answer for the other entries.
type peers struct {
	mu        sync.Mutex
	jobs      map[netip.AddrPort]own
	failing   map[netip.AddrPort]bool
	questions int
}

func (p *peers) ask(ctx context.Context, entry netip.AddrPort, job string, cancel bool) (bool, error) {
	p.mu.Lock()
	p.questions++
	failing := p.failing[entry]
	p.mu.Unlock()
	if failing {
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

func newFinder(mine own, p *peers) *finder.Finder {
	return finder.New(finder.Options{
		Jobs: mine, Ask: p.ask, Log: slog.New(slog.DiscardHandler),
		Others: func() []netip.AddrPort { return []netip.AddrPort{second, third} },
	})
}

// A DELETE was answered 410 by entries other than the one that ran the job.
func TestJobIsCancelledAtAnyEntry(t *testing.T) {
	is := is.New(t)
	p := &peers{jobs: map[netip.AddrPort]own{second: {}, third: {"a": true}}}
	f := newFinder(own{}, p)
	known, err := f.Known(t.Context(), "a")
	is.NoErr(err)
	is.True(known)
	known, err = f.Cancel(t.Context(), "a")
	is.NoErr(err)
	is.True(known)
	is.True(!p.jobs[third]["a"])
	known, err = f.Cancel(t.Context(), "a")
	is.NoErr(err)
	is.True(!known) // All have said that they run no such job.
}

func TestOwnJobAsksNobody(t *testing.T) {
	is := is.New(t)
	p := &peers{}
	f := newFinder(own{"a": true}, p)
	known, err := f.Cancel(t.Context(), "a")
	is.NoErr(err)
	is.True(known)
	is.Equal(p.questions, 0)
}

// An entry that can't be reached may run the job, so that it can't be called
// unknown.
func TestSilentEntryLeavesTheAnswerOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &peers{jobs: map[netip.AddrPort]own{third: {"b": true}}, failing: map[netip.AddrPort]bool{second: true}}
		f := newFinder(own{}, p)
		asked := time.Now()
		_, err := f.Cancel(t.Context(), "a")
		is.Equal(fault.KindOf(err), fault.Uncertain)
		is.True(time.Since(asked) < time.Second)
		known, err := f.Cancel(t.Context(), "b") // Found, whoever else is silent.
		is.NoErr(err)
		is.True(known)
		time.Sleep(time.Second)
	})
}
