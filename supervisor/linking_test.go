package supervisor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/supervisor"
)

// A link that is not needed any more is closed after its entry has been told and
// its runs have ended, so that no order is lost with it.
func TestRetiredLinkIsClosedOnceItsRunsHaveEnded(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.step(b.order("a", 1000))
	b.step(supervisor.StartAnswered{Run: run("a"), Incarnation: 1, Answer: supervisor.StartAccepted})
	notices := find[supervisor.ReportMinion](b.step(supervisor.LinkRetiring{Entry: entry, Link: 1, Retiring: true}))
	is.Equal(len(notices), 1)
	is.True(notices[0].Leaving)
	is.Equal(ends(b.step(b.order("late", 1000)))[0].Reason, work.ReasonLeaving) // Sent before the notice was read.
	for range 3 {                                                               // The run goes on.
		out := b.advance(400 * time.Millisecond)
		is.Equal(len(find[supervisor.CutLink](out))+len(find[supervisor.StopRun](out)), 0)
		b.step(supervisor.FrameReceived{Entry: entry, Link: 1})
		b.list([]supervisor.ListedRun{{Run: run("a"), Percent: 50}}, nil)
	}
	b.list(nil, []supervisor.ListedEnd{{Number: 1, Run: run("a"), State: work.Done}})
	is.Equal(len(find[supervisor.CutLink](b.advance(100*time.Millisecond))), 0) // The entry may not know the end.
	cuts := find[supervisor.CutLink](b.step(supervisor.FrameReceived{Entry: entry, Link: 1, Acked: 2}))
	is.Equal(cuts, []supervisor.CutLink{{Entry: entry, Link: 1}})
}

func TestLinkThatIsNeededAgainIsKept(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.step(supervisor.LinkRetiring{Entry: entry, Link: 1, Retiring: true})
	is.Equal(len(b.step(supervisor.LinkRetiring{Entry: entry, Link: 1, Retiring: true})), 0) // Already told.
	notices := find[supervisor.ReportMinion](b.step(supervisor.LinkRetiring{Entry: entry, Link: 1}))
	is.Equal(len(notices), 1)
	is.True(!notices[0].Leaving)
	is.Equal(len(find[supervisor.StartRun](b.step(b.order("a", 1000)))), 1)
	is.Equal(len(find[supervisor.CutLink](b.advance(3*time.Second))), 0)
}
