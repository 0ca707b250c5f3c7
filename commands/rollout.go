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
	// rolloutTimeout bounds the wait until all live entries report a revision.
	rolloutTimeout = 10 * time.Second
	// rolloutPollInterval is the interval at which the membership list is polled.
	rolloutPollInterval = 250 * time.Millisecond
	// rolloutProgressInterval is the interval between progress messages.
	rolloutProgressInterval = 2 * time.Second
)

// rolloutStatus tells which live entries use a revision, as they report it.
type rolloutStatus struct {
	// live is the number of live entries.
	live int
	// behind lists the live entries that still use an older revision.
	behind []wireEntryBehind
}

// awaitRollout waits until every live entry reports the revision or a later
// one. On timeout, its error names the entries that don't. The status is the
// last one that could be read.
func (c *console) awaitRollout(ctx context.Context, s *store, revision uint64) (rolloutStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	nextProgress := time.Now().Add(rolloutProgressInterval)
	var status rolloutStatus
	for {
		latest, err := readRolloutStatus(ctx, s, revision)
		if err == nil {
			status = latest
		}
		if err == nil && len(status.behind) == 0 {
			return status, nil
		}
		if ctx.Err() != nil || sleep(ctx, rolloutPollInterval) != nil {
			return status, errRolloutUnconfirmed(status.behind, err, revision)
		}
		if time.Now().After(nextProgress) {
			nextProgress = nextProgress.Add(rolloutProgressInterval)
			c.printToStderr("waiting for %s", describeEntriesBehind(status.behind, err))
		}
	}
}

// sleep waits for d, or returns the error of ctx once ctx has ended.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// readRolloutStatus reads the status of a revision from the membership list.
func readRolloutStatus(ctx context.Context, s *store, revision uint64) (rolloutStatus, error) {
	members, err := registrar.List(ctx, s)
	if err != nil {
		return rolloutStatus{}, err
	}
	live := registrar.Live(members, time.Now())
	status := rolloutStatus{live: len(live)}
	for _, m := range live {
		if m.Revision < revision {
			status.behind = append(status.behind, wireEntryBehind{m.Process.Name, m.Address.String(), m.Revision})
		}
	}
	return status, nil
}

// describeEntriesBehind formats the entries that are behind, or the error that
// kept them from being listed.
func describeEntriesBehind(behind []wireEntryBehind, err error) string {
	if len(behind) == 0 && err != nil {
		return "entries that could not be listed: " + err.Error()
	}
	descriptions := make([]string, 0, len(behind))
	for _, b := range behind {
		descriptions = append(descriptions, fmt.Sprintf("%s (%s, at revision %d)", b.Entry, b.Address, b.Revision))
	}
	return strings.Join(descriptions, ", ")
}

// errRolloutUnconfirmed reports that a published revision may not be in use at
// some entries.
func errRolloutUnconfirmed(behind []wireEntryBehind, err error, revision uint64) error {
	const remedy = "the revision stays published; see agatevalve status, and the logs of the entries named"
	return fault.New(fault.Uncertain, remedy, "revision %d is published, and not known to be in force at %s",
		revision, describeEntriesBehind(behind, err))
}
