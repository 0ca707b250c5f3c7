package main

import (
	"slices"
	"time"
)

// otherKind submits a job that needs a label. The disruption: the only minion with it
// loses power and starts again as another kind, and the entry is cut off for 0.3 s as it
// comes back.
func otherKind(w *world, trouble bool) verdict {
	links := newGate()
	d, ok := deploy(w, links, func(n int) string {
		if n == 0 {
			return "a"
		}
		return "b"
	})
	if !ok {
		return invalid
	}
	const id = "5c0e7a21d94b36f8"
	if trouble {
		first := d.minions[0]
		w.log.line("the machine of %s loses power", first.id)
		first.setDark()
		time.Sleep(2900 * time.Millisecond)
		w.log.line("%s is cut off from all other machines", d.entries[0])
		links.cut()
		time.Sleep(20 * time.Millisecond)
		first.crash()
		if _, err := w.startMinion("i-7f3a91d0", 11, zones[0], "b", "r1-0"); err != nil {
			w.log.line("couldn't start: %v", err)
			return invalid
		}
		time.Sleep(150 * time.Millisecond)
	}
	answered := make(chan response, 1)
	go func() { answered <- w.call("POST", 1, id, job(100, "a"), 1500*time.Millisecond) }()
	if trouble {
		time.Sleep(130 * time.Millisecond)
		links.heal()
		w.log.line("the cut has ended after 0.3 s")
	}
	<-answered
	time.Sleep(time.Second)
	for _, s := range w.startsOf(id) {
		if !slices.Contains(s.Labels, "a") {
			w.log.line("ROUTE: task %s run %d was started on %s, whose labels %v lack the required label a", s.Task, s.Run, s.Minion, s.Labels)
			return broken
		}
	}
	return held
}
