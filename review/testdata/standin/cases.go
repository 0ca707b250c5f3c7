package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// site is the installation that the cases use: an entry in each zone and minions
// with an agent beside each.
type site struct {
	entries []*process
	agents  []*process
	minions []*minion
}

// startSite starts the entries and as many agents and minions as wanted.
func (w *world) startSite(minions int, change func(i int, o *minionOptions), routes ...route) (*site, error) {
	w.store.put("op", "config", manifest(7, routes...))
	s := &site{}
	for i, zone := range zones {
		node := fmt.Sprintf("front-%d", i+1)
		p, err := w.launch(node, w.settings(node, "front", zone, i+1), "target/agatevalve", "serve", "--on-platform")
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, p)
	}
	for i := range minions {
		zone := zones[i%len(zones)]
		node := fmt.Sprintf("side-%d", i+1)
		app := w.address(100+i, minionPort)
		p, err := w.launch(node, w.settings(node, "side", zone, 50+i, "app="+app.String(), "service="+serviceName), "target/agatevalve-agent", "--on-platform")
		if err != nil {
			return nil, err
		}
		s.agents = append(s.agents, p)
		o := minionOptions{
			world: w, id: fmt.Sprintf("i-%d", i+1), zone: zone, address: app, control: w.address(50+i, controlPort),
			labels: []string{"a", "r1-1"}, cpu: 16000, memory: 65536, firstBeat: 300 * time.Millisecond,
		}
		if change != nil {
			change(i, &o)
		}
		m, err := startMinion(o)
		if err != nil {
			return nil, err
		}
		s.minions = append(s.minions, m)
	}
	return s, w.awaitReady(1, 2, 3)
}

// cancelledAgain cancels jobs, and lets the request that handed each in arrive
// once more, seconds after the 2xx response for its ID.
func cancelledAgain(w *world, trouble bool) ([]string, error) {
	if _, err := w.startSite(3, nil, route{prefix: routePrefix, timeoutMS: 1500, attempts: 3}); err != nil {
		return nil, err
	}
	type cancelled struct {
		id string
		at time.Time
	}
	var all []cancelled
	for i := range 3 {
		id, body := newID(), jobBody(4, 900, 1600, 64)
		answers := make(chan answer, 1)
		go func() { answers <- w.call(i+1, "POST", routePrefix+id, body, 1500*time.Millisecond) }()
		time.Sleep(300 * time.Millisecond)
		ack := w.call((i+1)%3+1, "DELETE", routePrefix+id, nil, 1500*time.Millisecond)
		first := <-answers
		if ack.status != 200 || first.status != 200 || !strings.Contains(first.body, "cancelled") {
			return nil, fmt.Errorf("job %s was not cancelled: %d, %d %s", id, ack.status, first.status, first.body)
		}
		all = append(all, cancelled{id: id, at: ack.at})
		if trouble {
			time.Sleep(time.Until(ack.at.Add(cancelLimit + 2*time.Second)))
			w.call((i+2)%3+1, "POST", routePrefix+id, body, 1500*time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	var found []string
	for _, c := range all {
		for _, s := range w.startsOf(func(s *startRecord) bool { return strings.HasPrefix(s.task, c.id) && s.started.Sub(c.at) > cancelLimit }) {
			found = append(found, fmt.Sprintf("UNASKED: %s run %d starts on %s %.3f s after the cancelling of its job was acknowledged", s.task, s.number, s.minion, s.started.Sub(c.at).Seconds()))
		}
	}
	return found, nil
}

// lateStart kills an agent while a start order of it has no response. The order is
// carried out some time later.
func lateStart(w *world, trouble bool) ([]string, error) {
	const late = 600 * time.Millisecond
	orders := make(chan string, 1)
	var armed atomic.Bool
	change := func(i int, o *minionOptions) {
		if i != 0 {
			return
		}
		o.delayStart = func(task string, _ int) time.Duration {
			if !armed.Swap(false) {
				return 0
			}
			orders <- task
			return late
		}
	}
	s, err := w.startSite(3, change, route{prefix: routePrefix, timeoutMS: 1500, attempts: 3})
	if err != nil {
		return nil, err
	}
	for range 5 {
		armed.Store(trouble)
		for range 20 {
			go w.call(1, "POST", routePrefix+newID(), jobBody(1, 900, 1600, 64), 1500*time.Millisecond)
			select {
			case task := <-orders:
				w.record("the start of %s has no response yet", task)
				if err := s.agents[0].kill(100 * time.Millisecond); err != nil {
					return nil, err
				}
			case <-time.After(200 * time.Millisecond):
				continue
			}
			break
		}
		time.Sleep(4 * time.Second)
	}
	var found []string
	for _, o := range w.overlaps() {
		found = append(found, "TWICE: "+o)
	}
	return found, nil
}

// drainedStart lets a minion crash and start again under its id. Some time later
// it drains, as for a planned end.
func drainedStart(w *world, trouble bool) ([]string, error) {
	s, err := w.startSite(3, nil, route{prefix: routePrefix, timeoutMS: 1500, attempts: 3})
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			go w.call(i%3+1, "POST", routePrefix+newID(), jobBody(2, 300, 1600, 64), 1500*time.Millisecond)
		}
	})
	time.Sleep(16 * time.Second)
	m := s.minions[0]
	if trouble {
		m.end("crashed")
		time.Sleep(time.Second)
		if m, err = startMinion(m.o); err != nil {
			return nil, err
		}
	}
	time.Sleep(5 * time.Second)
	ack := m.drain()
	time.Sleep(6 * time.Second)
	m.leave()
	time.Sleep(2 * time.Second)
	close(stop)
	time.Sleep(2 * time.Second)
	var found []string
	starts := w.startsOf(func(r *startRecord) bool { return r.minion == m.o.id && r.started.Sub(ack) > drainLimit })
	for _, r := range starts {
		found = append(found, fmt.Sprintf("DRAIN: %s run %d starts on %s %.3f s after its report that it drains was acknowledged; it ends %s", r.task, r.number, r.minion, r.started.Sub(ack).Seconds(), r.how))
	}
	return found, nil
}
