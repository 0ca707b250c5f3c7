package linker_test

import (
	"net/http"
	"testing"

	"agatevalve/common/ring"
	"agatevalve/common/task"
	"agatevalve/dispatcher"
	"agatevalve/linker"
)

// BenchmarkRoundTrip measures a start and its result over a link. The entry and
// the agent run in this process.
func BenchmarkRoundTrip(b *testing.B) {
	fake := &fakeAgent{process: agent, discardStarts: true}
	events := ring.New[dispatcher.Event](1024)
	l := linker.New(linker.Options{Self: self, Events: events})
	defer l.Close()
	peer := dispatcher.Peer{Process: agent, Address: fake.serve(b)}
	var taken []dispatcher.Event
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		start := testStart(i)
		start.Request = task.Request{Method: http.MethodPost, Path: "/holds", Header: http.Header{"Accept": {"*/*"}}, Body: []byte("{}")}
		if !l.Send(peer, start) {
			b.Fatal("the start was not sent")
		}
		for ended := false; !ended; {
			<-events.Ready()
			taken, _ = events.TakeAll(taken[:0])
			for _, ev := range taken {
				_, isEnded := ev.(dispatcher.Ended)
				ended = ended || isEnded
			}
		}
	}
}
