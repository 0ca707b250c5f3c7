package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// transactionTime is tx_ms of the settings.
	transactionTime = 6 * time.Millisecond
	// maxFeedWait is the maximum of wait_ms.
	maxFeedWait = 30_000
	// rowsPerPage is the maximum number of rows in a response.
	rowsPerPage = 500
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is the platform's metadata store. It keeps the whole history.
type store struct {
	start time.Time

	mu      sync.Mutex
	rows    map[string]row
	changes []row
	ver     uint64
	// refused are the addresses of the store where it answers with 503.
	refused map[string]bool
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: make(map[string]row), refused: make(map[string]bool), changed: make(chan struct{})}
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: value, Ver: s.ver})
	s.notify()
}

func (s *store) apply(r row) {
	if r.Deleted {
		delete(s.rows, rowKey(r.Table, r.Part, r.Key))
	} else {
		s.rows[rowKey(r.Table, r.Part, r.Key)] = r
	}
	s.changes = append(s.changes, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// refuse makes the store answer with 503 at some of its addresses only.
func (s *store) refuse(addresses ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.refused)
	for _, a := range addresses {
		s.refused[a] = true
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	refused := local != nil && s.refused[local.String()]
	s.mu.Unlock()
	switch {
	case refused:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/v1/rows-tx":
		s.transact(w, r)
	case r.URL.Path == "/v1/rows-get":
		s.get(w, r)
	case r.URL.Path == "/v1/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row `json:"expect_rev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(append([]row{}, t.Puts...), t.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(transactionTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	conflict := false
	for _, e := range t.Expected {
		have, exists := s.rows[rowKey(e.Table, e.Part, e.Key)]
		if have.Ver != e.Ver {
			conflict = true
		}
		if exists {
			current = append(current, have)
		}
	}
	if conflict {
		s.respond(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.ver++
	for _, p := range t.Puts {
		p.Ver = s.ver
		s.apply(p)
	}
	for _, p := range t.Remove {
		s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Deleted: true})
	}
	s.notify()
	s.respond(w, http.StatusOK, map[string]any{})
}

// respond sends a response. The caller holds the lock.
func (s *store) respond(w http.ResponseWriter, status int, fields map[string]any) {
	fields["ver"], fields["now_ms"] = s.ver, time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields) // The caller may have left.
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > rowsPerPage {
		limit = rowsPerPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, have := range s.rows {
		if have.Table == q.Get("table") && have.Part == q.Get("part") && have.Key >= q.Get("from") && (q.Get("to") == "" || have.Key < q.Get("to")) {
			rows = append(rows, have)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	more := len(rows) > limit
	s.respond(w, http.StatusOK, map[string]any{"rows": rows[:min(len(rows), limit)], "has_more": more})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(min(wait, maxFeedWait)) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		rows := []row{}
		for _, c := range s.changes {
			if c.Table == q.Get("table") && c.Ver > after {
				rows = append(rows, c)
			}
		}
		changed := s.changed
		if len(rows) > 0 || over {
			s.respond(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
