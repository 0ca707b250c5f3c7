package commands

import (
	"context"
	"fmt"
	"strings"
	"time"

	"agatevalve/common/fault"
	"agatevalve/registrar"
)

const (
	// awaitWithin bounds the wait until all live entries report a revision.
	awaitWithin = 10 * time.Second
	// awaitPause is the interval at which the membership list is polled.
	awaitPause = 250 * time.Millisecond
	// progressEvery is the interval between progress messages.
	progressEvery = 2 * time.Second
)

// standing is the progress of a revision to the entries, as they report it.
type standing struct {
	// live is the number of live entries.
	live int
	// behind lists the live entries that still use an older revision.
	behind []wireBehind
}

// awaitEverywhere waits until every live entry reports the revision or a later
// one. On timeout, its error names the entries that don't. The status is the
// last one that could be read.
func (c *console) awaitEverywhere(ctx context.Context, s *store, revision uint64) (standing, error) {
	ctx, cancel := context.WithTimeout(ctx, awaitWithin)
	defer cancel()
	next := time.Now().Add(progressEvery)
	var now standing
	for {
		found, err := findStanding(ctx, s, revision)
		if err == nil {
			now = found
		}
		if err == nil && len(now.behind) == 0 {
			return now, nil
		}
		if ctx.Err() != nil || wait(ctx, awaitPause) != nil {
			return now, errNotEverywhere(now.behind, err, revision)
		}
		if time.Now().After(next) {
			next = next.Add(progressEvery)
			c.note("waiting for %s", describeBehind(now.behind, err))
		}
	}
}

// wait waits for d, or returns the error of ctx once ctx has ended.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// findStanding reads the status of a revision from the membership list.
func findStanding(ctx context.Context, s *store, revision uint64) (standing, error) {
	members, err := registrar.List(ctx, s)
	if err != nil {
		return standing{}, err
	}
	live := registrar.Live(members, time.Now())
	found := standing{live: len(live)}
	for _, m := range live {
		if m.Revision < revision {
			found.behind = append(found.behind, wireBehind{m.Process.Name, m.Address.String(), m.Revision})
		}
	}
	return found, nil
}

// describeBehind formats the entries that are behind, or the error that kept
// them from being listed.
func describeBehind(behind []wireBehind, err error) string {
	if len(behind) == 0 && err != nil {
		return "entries that could not be listed: " + err.Error()
	}
	names := make([]string, 0, len(behind))
	for _, b := range behind {
		names = append(names, fmt.Sprintf("%s (%s, at revision %d)", b.Entry, b.Address, b.Revision))
	}
	return strings.Join(names, ", ")
}

func errNotEverywhere(behind []wireBehind, err error, revision uint64) error {
	const remedy = "the revision stays published; see agatevalve status, and the logs of the entries named"
	return fault.New(fault.Uncertain, remedy, "revision %d is published, and not known to be in force at %s",
		revision, describeBehind(behind, err))
}
