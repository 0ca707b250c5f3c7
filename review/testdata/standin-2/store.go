package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store, as the platform's pages describe it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int    `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in of the platform's table store.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	version int
	began   time.Time
	// refused holds the nodes that the store turns away with 503, by the loopback
	// address from which their calls come.
	refused map[string]bool
	changed chan struct{}
}

func newStore() *store {
	return &store{rows: make(map[string]row), began: time.Now(), refused: make(map[string]bool), changed: make(chan struct{})}
}

// refuse turns the calls from an address away, or serves them again.
func (s *store) refuse(address string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[address] = on
}

func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: value, Ver: s.version})
}

// set stores a row and wakes the feeds. The lock is held.
func (s *store) set(r row) {
	s.rows[r.id()] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves the store for one machine, so that calls can be told apart by machine.
func (s *store) handler(machine string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refused := s.refused[machine]
		s.mu.Unlock()
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	body, _ := json.Marshal(map[string]any{"rows": rows, "has_more": more, "ver": s.version, "now_ms": time.Since(s.began).Milliseconds() + 1})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expect []row `json:"expect_rev"`
		Puts   []row `json:"puts"`
		Remove []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range slices.Concat(tx.Puts, tx.Remove) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	conflict := false
	var current []row
	for _, e := range tx.Expect {
		have, found := s.rows[e.id()]
		version := have.Ver
		if !found || have.Deleted {
			version = 0
		} else {
			current = append(current, have)
		}
		conflict = conflict || version != e.Ver
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, p := range tx.Puts {
		p.Ver, p.Deleted = s.version, false
		s.set(p)
	}
	for _, p := range tx.Remove {
		s.set(row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.version, Deleted: true})
	}
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, r := range s.rows {
		if r.Table == q.Get("table") && r.Part == q.Get("part") && !r.Deleted && r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to")) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.Atoi(q.Get("after"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		var rows []row
		for _, r := range s.rows {
			if r.Table == q.Get("table") && r.Ver > after {
				rows = append(rows, r)
			}
		}
		if len(rows) > 0 || ended {
			slices.SortFunc(rows, func(a, b row) int { return a.Ver - b.Ver })
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
