package main

import (
	"fmt"
	"os"
)

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
	found, err := cases[os.Args[1]](w, trouble)
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
