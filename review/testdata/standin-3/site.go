package main

import (
	"fmt"
	"time"
)

// The machines of the deployment, as in the site file that claim.txt names.
const (
	entryCount = 3
	agentCount = 11
	rackSize   = 3
	// cancelBound, stopBound, stableTime and applyBound are bounds of the settings.
	cancelBound = 3 * time.Second
	stopBound   = 50 * time.Millisecond
	stableTime  = 3 * time.Second
	applyBound  = 2 * time.Second
)

// kinds are the kinds of the minions in turn.
var kinds = []string{"a", "a", "b"}

// startSite starts the whole deployment, and waits until all machines are in touch.
func (c *cluster) startSite() error {
	c.putManifest(1, holdRoute)
	var seeds []string
	for n := range entryCount {
		seeds = append(seeds, c.seed(n))
	}
	for n := range entryCount {
		if err := c.addEntry(n, seeds); err != nil {
			return err
		}
	}
	for n := range agentCount {
		if err := c.addAgent(n, []string{kinds[n%len(kinds)], fmt.Sprintf("r1-%d", n/rackSize)}, seeds); err != nil {
			return err
		}
	}
	for _, p := range c.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, e := range c.entries {
		if !await(15*time.Second, e.ready) {
			return fmt.Errorf("%w: %s is not ready", errUnable, e.node)
		}
	}
	time.Sleep(stableTime + time.Second)
	return nil
}
