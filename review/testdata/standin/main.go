package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeout is the longest time that a case may take.
const timeout = 110 * time.Second

// errInterrupted means that the case was stopped from outside, or took too long.
var errInterrupted = errors.New("interrupted")

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the cases by name. Each returns what breaks the rule.
var cases = map[string]func(w *world, trouble bool) ([]string, error){
	"cancelled-again": cancelledAgain,
	"late-start":      lateStart,
	"drained-start":   drainedStart,
}

func main() { os.Exit(run()) }

// play plays the case until it ends, a signal comes, or the time is over.
func play(w *world, trouble bool) ([]string, error) {
	type result struct {
		found []string
		err   error
	}
	results := make(chan result, 1)
	go func() {
		found, err := cases[os.Args[1]](w, trouble)
		results <- result{found, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case r := <-results:
		return r.found, r.err
	case <-signals:
	case <-time.After(timeout):
	}
	return nil, errInterrupted
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return notRun
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.record("case %s, trouble %v", os.Args[1], trouble)
	found, err := play(w, trouble)
	if err != nil {
		w.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	for _, f := range found {
		w.record("BROKEN %s", f)
		fmt.Println("BROKEN", f)
	}
	if len(found) > 0 {
		return broken
	}
	w.record("the rule held")
	return held
}
