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
	// minionsTable holds what each agent last heard of its minion, so that an
	// agent that starts again need not wait for the next status report.
	minionsTable = "minions"
	// rememberWithin bounds one call to the store.
	rememberWithin = time.Second
	// rememberAgain is the pause after one that failed.
	rememberAgain = 500 * time.Millisecond
)

type wireMemory struct {
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

// memory keeps the newest description of a minion in the store.
type memory struct {
	mu sync.Mutex
	// wanted is what the store should hold, and written what it holds.
	wanted, written []byte
	changed         chan struct{}
}

func newMemory() *memory { return &memory{changed: make(chan struct{}, 1)} }

// remember has a description written soon, if it is new.
func (m *memory) remember(minion work.Minion) error {
	content, err := encodeMemory(minion)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.wanted = content
	fresh := string(m.wanted) != string(m.written)
	m.mu.Unlock()
	if fresh {
		select {
		case m.changed <- struct{}{}:
		default:
		}
	}
	return nil
}

// keepMemory writes what is to be remembered until ctx ends.
func (a *agentProcess) keepMemory(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.memory.changed:
		}
		if !a.writeMemory(ctx) {
			time.AfterFunc(rememberAgain, func() {
				select {
				case a.memory.changed <- struct{}{}:
				default:
				}
			})
		}
	}
}

func (a *agentProcess) writeMemory(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, rememberWithin)
	defer cancel()
	a.memory.mu.Lock()
	content := a.memory.wanted
	a.memory.mu.Unlock()
	key := tabler.Key{Table: minionsTable, Row: a.settings.Node}
	if _, err := a.store.Commit(ctx, []tabler.Write{{Key: key, Unconditional: true, Value: content}}); err != nil {
		a.log.Info("launcher: Could not remember the minion", "error", err)
		return false
	}
	a.memory.mu.Lock()
	a.memory.written = content
	a.memory.mu.Unlock()
	return true
}

// recall tells the core of the minion that the store remembers. The first
// renewal names that lifetime, so another one is found out before any start.
func (a *agentProcess) recall() {
	ctx, cancel := context.WithTimeout(context.Background(), rememberWithin)
	defer cancel()
	rows, err := a.store.Read(ctx, []tabler.Key{{Table: minionsTable, Row: a.settings.Node}})
	if err != nil {
		a.log.Info("launcher: Could not recall the minion", "error", err)
		return
	}
	for _, r := range rows {
		minion, err := decodeMemory(r.Value)
		if err != nil {
			a.log.Warn("launcher: Dropped what the store remembers of the minion", "error", err)
			continue
		}
		a.minder.Enqueue(supervisor.MinionRestored{Minion: minion})
	}
}

func encodeMemory(m work.Minion) ([]byte, error) {
	return json.Marshal(wireMemory{
		Name: m.Name, Incarnation: m.Incarnation, Service: m.Service, Zone: m.Zone, Labels: m.Labels,
		CPUMillis: m.Room.CPU, MemoryMB: m.Room.Memory, Accelerators: m.Room.Accelerators, Draining: m.Draining,
	})
}

func decodeMemory(content []byte) (work.Minion, error) {
	var w wireMemory
	if err := json.Unmarshal(content, &w); err != nil {
		return work.Minion{}, fault.Wrap(err, fault.Invalid, "the next status report replaces it", "read the row of the minion")
	}
	if w.Name == "" || w.CPUMillis <= 0 {
		return work.Minion{}, fault.New(fault.Invalid, "the next status report replaces it", "the row of the minion has no name or room")
	}
	return work.Minion{
		Name: w.Name, Incarnation: w.Incarnation, Service: w.Service, Zone: w.Zone, Labels: w.Labels,
		Room:     work.Room{CPU: w.CPUMillis, Memory: w.MemoryMB, Accelerators: w.Accelerators},
		Draining: w.Draining,
	}, nil
}
