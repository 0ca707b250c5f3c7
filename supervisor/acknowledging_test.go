package supervisor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/work"
	"agatevalve/supervisor"
)

// Guards against ends that are forgotten before their entry knows them: an entry
// that was away for long confirmed a number that was then used again, and refused
// jobs whose tasks were done.
func TestEndIsKeptBesideAConfirmationFromBeforeALongCut(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.finishRun("before", 1)
	confirmed := ends(b.commands)[0].Number
	b.step(supervisor.FrameReceived{Entry: entry, Link: 1, Acked: confirmed})
	b.step(supervisor.LinkClosed{Entry: entry, Link: 1})
	b.advance(6 * time.Second)

	b.step(supervisor.LinkOpened{Entry: entry, Link: 2})
	b.finishRun("after", 2)
	b.step(supervisor.FrameReceived{Entry: entry, Link: 2, Acked: confirmed}) // The report is on its way.
	b.step(supervisor.LinkClosed{Entry: entry, Link: 2})
	snapshots := find[supervisor.ReportSnapshot](b.step(supervisor.LinkOpened{Entry: entry, Link: 3}))
	is.Equal(len(snapshots), 1)
	is.Equal(len(snapshots[0].Reports), 1) // Without it, the entry takes the run for one that never started.
	is.Equal(snapshots[0].Reports[0].Run, run("after"))
	is.Equal(snapshots[0].Reports[0].State, work.Done)
	is.True(snapshots[0].Reports[0].Number > confirmed)
}

// finishRun orders a run over a link, and steps the core until its end is listed.
func (b *bench) finishRun(job string, link uint64) {
	b.list(nil, nil) // The minion has answered recently enough to be given runs.
	frame := b.order(job, 1000)
	frame.Link = link
	b.step(frame)
	b.step(supervisor.StartAnswered{Run: run(job), Incarnation: 1, Answer: supervisor.StartAccepted})
	b.list(nil, []supervisor.ListedEnd{{Number: link, Run: run(job), State: work.Done}})
}
