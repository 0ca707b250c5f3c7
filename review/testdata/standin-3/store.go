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

const (
	// readTime and writeTime are the times that the store takes to answer.
	readTime  = 4 * time.Millisecond
	writeTime = 6 * time.Millisecond
)

// feedPollInterval is the interval at which a feed looks for changes.
const feedPollInterval = 5 * time.Millisecond

// row is a row of the store, in its wire format.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	version int64
}

func newStore() *store { return &store{rows: make(map[string]row)} }

// put writes a row; value is in base64.
func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"\x00"+key] = row{Table: table, Key: key, Value: value, Ver: s.version}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/rows-tx":
		time.Sleep(writeTime)
		s.transact(w, r)
	case "/v1/rows-get":
		time.Sleep(readTime)
		q := r.URL.Query()
		s.answer(w, func(o row) bool {
			return o.Table == q.Get("table") && o.Part == q.Get("part") && !o.Deleted && o.Key >= q.Get("from") && (q.Get("to") == "" || o.Key < q.Get("to"))
		})
	case "/v1/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// transact applies a transaction whole or not at all.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expect_rev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, e := range tx.Expected {
		current := s.rows[e.Table+"\x00"+e.Key]
		if current.Deleted {
			current.Ver = 0
		}
		if current.Ver != e.Ver {
			s.mu.Unlock()
			w.WriteHeader(http.StatusPreconditionFailed)
			s.write(w, nil)
			return
		}
	}
	s.version++
	for _, p := range tx.Puts {
		p.Ver = s.version
		s.rows[p.Table+"\x00"+p.Key] = p
	}
	for _, p := range tx.Remove {
		p.Ver, p.Deleted, p.Value = s.version, true, ""
		s.rows[p.Table+"\x00"+p.Key] = p
	}
	s.mu.Unlock()
	s.write(w, nil)
}

// feed answers once a row has changed after a version, or the wait is over.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(min(wait, 30_000)) * time.Millisecond)
	changed := func(o row) bool { return o.Table == q.Get("table") && o.Ver > after }
	for time.Now().Before(deadline) && r.Context().Err() == nil && !s.has(changed) {
		time.Sleep(feedPollInterval)
	}
	s.answer(w, changed)
}

func (s *store) has(wanted func(row) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.rows {
		if wanted(o) {
			return true
		}
	}
	return false
}

// answer sends the rows that are wanted.
func (s *store) answer(w http.ResponseWriter, wanted func(row) bool) {
	s.mu.Lock()
	var rows []row
	for _, o := range s.rows {
		if wanted(o) {
			rows = append(rows, o)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.write(w, rows)
}

func (s *store) write(w http.ResponseWriter, rows []row) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": false, "ver": version, "now_ms": time.Now().UnixMilli()})
}
