// Command standin-2 plays one case of the second review: it starts the programs of the
// deploy file as processes, with stand-ins of the platform's store, the minions and the
// clients, and judges what these have seen. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// limit is the longest time that a case may take.
const limit = 100 * time.Second

// The bounds of the small site, as the settings have them.
const (
	stableTime = 3000 * time.Millisecond
	cancelTime = 3000 * time.Millisecond
	stopTime   = 50 * time.Millisecond
	grain      = 200 * time.Millisecond // for reading clocks and for the stand-ins' ticks

	freezeTime = 2 * time.Second // The longest one of the site file is 4 s.

	// taskMS is the length of long tasks, that of the example in PROTOCOL.md, and
	// callerTime the time for which their clients wait.
	taskMS     = 7000
	callerTime = 15 * time.Second
)

// verdict is the result of a case.
type verdict int

const (
	held verdict = iota
	broken
	invalid
)

var cases = map[string]func(w *world, trouble bool) verdict{
	"restarted-entry": restartedEntry,
	"frozen-entry":    frozenEntry,
	"other-kind":      otherKind,
	"lease-chain":     leaseChain,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(int(invalid))
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(invalid))
	}
	log := &record{file: file, began: time.Now()}
	w, err := newWorld(log)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(int(invalid))
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	results := make(chan verdict, 1)
	go func() { results <- cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0") }()
	result := invalid
	select {
	case result = <-results:
	case <-signals:
		log.line("ended by a signal")
	case <-time.After(limit):
		log.line("the case took too long")
	}
	w.close()
	text := map[verdict]string{held: "the rule held", broken: "the rule was broken", invalid: "the case couldn't run"}[result]
	log.line("%s", text)
	fmt.Println(text)
	os.Exit(int(result))
}

// zones are those of the small site.
var zones = []string{"cartago", "heredia", "alajuela"}

// minionCount is the number of minions, each with an agent beside it.
const minionCount = 8

// deployment is what deploy has started.
type deployment struct {
	// entries and agents are the names of their machines, and minions the first lifetimes.
	entries, agents []string
	minions         []*minion
}

// deploy starts three entries, and eight minions with their agents, and waits until all
// entries are in rotation and all machines in touch. The links to the first entry pass
// through a proxy if links is not nil.
func deploy(w *world, links *gate, labels func(n int) string) (d deployment, ok bool) {
	fail := func(err error) (deployment, bool) {
		w.log.line("couldn't start: %v", err)
		return d, false
	}
	if links != nil {
		if err := w.proxy(w.address(1, portLinks), w.address(101, portLinks), links); err != nil {
			return fail(err)
		}
	}
	for i, zone := range zones {
		entry, err := w.startEntry(i+1, zone, links != nil && i == 0)
		if err != nil {
			return fail(err)
		}
		d.entries = append(d.entries, entry)
	}
	for i := range minionCount {
		zone := zones[i%len(zones)]
		agent, err := w.startAgent(11+i, zone)
		if err != nil {
			return fail(err)
		}
		d.agents = append(d.agents, agent)
		m, err := w.startMinion(fmt.Sprintf("i-7f3a91c%d", i), 11+i, zone, labels(i), fmt.Sprintf("r1-%d", i/3))
		if err != nil {
			return fail(err)
		}
		d.minions = append(d.minions, m)
	}
	ok = await(15*time.Second, func() bool { return w.isReady(1) && w.isReady(2) && w.isReady(3) })
	time.Sleep(stableTime)
	return d, ok
}

// anyKind gives all minions the same label.
func anyKind(int) string { return "a" }

// job returns the body of a job of one task.
func job(ms int, requires string) string {
	label := ""
	if requires != "" {
		label = fmt.Sprintf(`,"requires":%q`, requires)
	}
	return fmt.Sprintf(`{"spec":"{\"ms\":%d,\"cpu\":1000}","steps":[{"count":1,"cpu":1000,"mem_mb":64,"est_ms":%d%s}],"best_effort":true}`, ms, ms, label)
}
