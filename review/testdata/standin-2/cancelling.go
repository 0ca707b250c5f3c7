package main

import (
	"net/http"
	"syscall"
	"time"
)

// cancelUntilAcked cancels a job at an entry until that is acknowledged, and returns the
// time of the ack.
func cancelUntilAcked(w *world, entry int, id string) (time.Time, bool) {
	var last response
	acked := await(8*time.Second, func() bool {
		last = w.call("DELETE", entry, id, "", time.Second)
		if last.err == nil && (last.status/100 == 2 || last.status == 410) {
			return true
		}
		time.Sleep(300 * time.Millisecond)
		return false
	})
	return last.at, acked
}

// restartedEntry cancels a job at an entry that does not run it. The disruption: the
// store turns that entry's machine away, and its process is killed and starts again.
func restartedEntry(w *world, trouble bool) verdict {
	d, ok := deploy(w, nil, anyKind)
	if !ok {
		return invalid
	}
	entries := d.entries
	const id = "5c0e7a21d94b36f8"
	if trouble {
		w.log.line("the store turns %s away", entries[1])
		w.store.refuse(entries[1], true)
		time.Sleep(300 * time.Millisecond)
		w.log.line("%s is killed", entries[1])
		_ = w.process(entries[1]).Kill()
		time.Sleep(300 * time.Millisecond)
		if err := w.restart(entries[1], "entry"); err != nil {
			return invalid
		}
		go w.call("POST", 1, id, job(taskMS, ""), callerTime)
		if !await(7*time.Second, func() bool { return w.isReady(2) }) {
			w.log.line("the entry is not in rotation during the outage")
			w.store.refuse(entries[1], false)
			return held
		}
		w.log.line("%s is in rotation again", entries[1])
	}
	if !trouble {
		go w.call("POST", 1, id, job(taskMS, ""), callerTime)
	}
	if !await(3*time.Second, func() bool { return w.runningOf(id) == 1 }) {
		return invalid
	}
	_, acked := cancelUntilAcked(w, 2, id)
	if !acked {
		return invalid
	}
	if trouble {
		w.store.refuse(entries[1], false)
		w.log.line("the store serves %s again: the end of all disturbance", entries[1])
	}
	calmFrom := time.Now()
	time.Sleep(time.Until(calmFrom.Add(stableTime + cancelTime + stopTime + grain)))
	if w.runningOf(id) > 0 {
		w.log.line("UNASKED: the task of the cancelled job runs on %.3f s after the end of all disturbance", time.Since(calmFrom).Seconds())
		return broken
	}
	return held
}

// frozenEntry submits a job over a channel that the client has used before, and cancels
// it at the other entry. The disruption: the first entry stands still in between.
func frozenEntry(w *world, trouble bool) verdict {
	d, ok := deploy(w, nil, anyKind)
	if !ok {
		return invalid
	}
	entries := d.entries
	const id = "5c0e7a21d94b36f8"
	client := &http.Client{Transport: &http.Transport{}}
	first := w.callOver(client, w.address(1, portFront), "POST", "1b0e7a21d94b36f9", job(50, ""), 1500*time.Millisecond)
	if first.err != nil || first.status != http.StatusOK {
		return invalid
	}
	time.Sleep(200 * time.Millisecond)
	frozenAt := time.Now()
	if trouble {
		w.log.line("%s freezes", entries[0])
		if w.process(entries[0]).Signal(syscall.SIGSTOP) != nil {
			return invalid
		}
	}
	time.Sleep(100 * time.Millisecond)
	go w.callOver(client, w.address(1, portFront), "POST", id, job(taskMS, ""), callerTime)
	acks := make(chan bool, 1)
	go func() {
		time.Sleep(time.Until(frozenAt.Add(freezeTime - 200*time.Millisecond)))
		_, acked := cancelUntilAcked(w, 2, id)
		acks <- acked
	}()
	time.Sleep(time.Until(frozenAt.Add(freezeTime)))
	if trouble {
		_ = w.process(entries[0]).Signal(syscall.SIGCONT)
		w.log.line("%s wakes: the end of all disturbance", entries[0])
	}
	calmFrom := time.Now()
	if !<-acks {
		return invalid
	}
	time.Sleep(time.Until(calmFrom.Add(stableTime + cancelTime + stopTime + grain)))
	if w.runningOf(id) > 0 {
		w.log.line("UNASKED: the task of the cancelled job runs on %.3f s after the end of all disturbance", time.Since(calmFrom).Seconds())
		return broken
	}
	return held
}
