package launcher

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"agatevalve/common/fault"
	"agatevalve/common/work"
	"agatevalve/supervisor"
	"agatevalve/tabler"
)

const (
	// minionsTable holds the last status report of each agent's minion, so that a
	// restarted agent need not wait for the next one.
	minionsTable = "minions"
	// storeCallTimeout is the timeout for one call to the store.
	storeCallTimeout = time.Second
	// storeRetryDelay is the delay before a failed write is retried.
	storeRetryDelay = 500 * time.Millisecond
)

// minionRow is the stored form of a work.Minion.
type minionRow struct {
	Name         string   `json:"name"`
	Incarnation  uint64   `json:"incarnation"`
	Service      string   `json:"service"`
	Zone         string   `json:"zone"`
	Labels       []string `json:"labels"`
	CPUMillis    int64    `json:"cpu-millis"`
	MemoryMB     int64    `json:"memory-mb"`
	Accelerators int64    `json:"accelerators"`
	Draining     bool     `json:"draining"`
}

// minionRecord holds the latest description of a minion until it is written to the
// store.
type minionRecord struct {
	mu sync.Mutex
	// latest is the encoded description to store, and stored the one that was last
	// written. changed receives a token when a write is due.
	latest, stored []byte
	changed        chan struct{}
}

func newMinionRecord() *minionRecord { return &minionRecord{changed: make(chan struct{}, 1)} }

// update sets the latest description, and schedules a write if it differs from the
// stored one.
func (m *minionRecord) update(minion work.Minion) {
	content := encodeMinion(minion)
	m.mu.Lock()
	m.latest = content
	unsaved := string(m.latest) != string(m.stored)
	m.mu.Unlock()
	if unsaved {
		select {
		case m.changed <- struct{}{}:
		default:
		}
	}
}

// writeMinionUpdates writes changed descriptions to the store until ctx ends, and
// retries failed writes.
func (a *agentProcess) writeMinionUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.storedMinion.changed:
		}
		if !a.writeMinion(ctx) {
			time.AfterFunc(storeRetryDelay, func() {
				select {
				case a.storedMinion.changed <- struct{}{}:
				default:
				}
			})
		}
	}
}

// writeMinion writes the latest description, and reports whether it succeeded.
func (a *agentProcess) writeMinion(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	a.storedMinion.mu.Lock()
	content := a.storedMinion.latest
	a.storedMinion.mu.Unlock()
	key := tabler.Key{Table: minionsTable, Row: a.settings.Node}
	if _, err := a.store.Commit(ctx, []tabler.Write{{Key: key, Unconditional: true, Value: content}}); err != nil {
		a.log.Info("launcher: Could not store the description of the minion", "error", err)
		return false
	}
	a.storedMinion.mu.Lock()
	a.storedMinion.stored = content
	a.storedMinion.mu.Unlock()
	return true
}

// restoreMinion passes the stored description of the minion to the core. The first
// lease renewal names the stored incarnation, so that a minion that has restarted
// since is detected before any start.
func (a *agentProcess) restoreMinion() {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	rows, err := a.store.Read(ctx, []tabler.Key{{Table: minionsTable, Row: a.settings.Node}})
	if err != nil {
		a.log.Info("launcher: Could not read the stored description of the minion", "error", err)
		return
	}
	for _, r := range rows {
		minion, err := decodeMinion(r.Value, a.settings.Service)
		if err != nil {
			a.log.Warn("launcher: Ignored an invalid stored description of the minion", "error", err)
			continue
		}
		a.minder.Enqueue(supervisor.MinionDescriptionRestored{Minion: minion})
	}
}

func encodeMinion(m work.Minion) []byte {
	content, _ := json.Marshal(minionRow{ // Marshalling texts and integers can't fail.
		Name: m.Name, Incarnation: m.Incarnation, Service: m.Service, Zone: m.Zone, Labels: m.Labels,
		CPUMillis: m.Room.CPU, MemoryMB: m.Room.Memory, Accelerators: m.Room.Accelerators, Draining: m.Draining,
	})
	return content
}

// decodeMinion returns the description of a minion of a service that a row holds. The
// row may come from another writer.
func decodeMinion(content []byte, service string) (work.Minion, error) {
	var row minionRow
	if err := json.Unmarshal(content, &row); err != nil {
		return work.Minion{}, fault.Wrap(err, fault.Invalid, "the next status report replaces it", "read the row of the minion")
	}
	minion := work.Minion{
		Name: row.Name, Incarnation: row.Incarnation, Service: row.Service, Zone: row.Zone, Labels: row.Labels,
		Room:     work.Room{CPU: row.CPUMillis, Memory: row.MemoryMB, Accelerators: row.Accelerators},
		Draining: row.Draining,
	}
	problem := minion.Problem()
	switch {
	case minion.Service != service:
		problem = "it is of another service: " + minion.Service
	case minion.Room.CPU <= 0:
		problem = "it has no room"
	}
	if problem != "" {
		return work.Minion{}, fault.New(fault.Invalid, "the next status report replaces it", "read the row of the minion: %s", problem)
	}
	return minion, nil
}
