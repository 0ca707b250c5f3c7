// Command standin-3 runs the cases of the third review: it starts the project's programs
// as processes, and imitates clients, minions and the platform.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// errUnable is the error of a case that could not run.
var errUnable = errors.New("the case could not run")

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(c *cluster, trouble bool) (violations []string, err error){}

func main() {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil || os.Args[4] != "yes" && os.Args[4] != "no" {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE ROOT RECORD yes|no (with the disruption or without)")
		os.Exit(unable)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3], os.Args[4] == "yes"))
}

func play(name, root, record string, trouble bool) int {
	c, err := newCluster(root, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer c.close()
	violations, err := cases[name](c, trouble)
	switch {
	case err != nil:
		c.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return unable
	case len(violations) > 0:
		for _, v := range violations {
			c.add("BROKEN %s", v)
			fmt.Println("broken:", v)
		}
		return broken
	}
	c.add("the rule held")
	fmt.Println("the rule held")
	return held
}
