package historian

import (
	"encoding/json"
	"time"

	"agatevalve/common/task"
	"agatevalve/parser"
	"agatevalve/router"
)

// The wire structs hold the JSON form of rows in the tables and in files.

type wireConfiguration struct {
	// Revision stands in files only, where it names the base of an edit.
	Revision uint64      `json:"revision,omitempty"`
	Routes   []wireRoute `json:"routes"`
	Pools    []wirePool  `json:"pools"`
}

type wireRoute struct {
	Name         string `json:"name"`
	Host         string `json:"host,omitempty"`
	PathPrefix   string `json:"path-prefix"`
	Method       string `json:"method,omitempty"`
	Pool         string `json:"pool"`
	Idempotent   bool   `json:"idempotent,omitempty"`
	WasteWeight  int    `json:"waste-weight,omitempty"`
	AnswerWithin string `json:"answer-within,omitempty"`
}

type wirePool struct {
	Name           string      `json:"name"`
	SlotsPerMinion int         `json:"slots-per-minion,omitempty"`
	QueueLimit     int         `json:"queue-limit,omitempty"`
	Quotas         []wireQuota `json:"quotas,omitempty"`
}

type wireQuota struct {
	Team       string `json:"team"`
	Weight     int    `json:"weight"`
	MaxRunning int    `json:"max-running,omitempty"`
}

// Limits of decoding, wide enough that router.Check names what is wrong.
const (
	longestText = 4 * router.LongestPath
	mostNumber  = 1 << 31
)

// FormatConfiguration returns the JSON form of a configuration with its
// revision, indented for people, as DecodeConfiguration reads it.
func FormatConfiguration(c Configuration) []byte {
	w := encodeConfiguration(c)
	w.Revision = c.Revision
	data, err := json.MarshalIndent(w, "", "  ")
	if err != nil {
		panic("historian: wire struct without JSON form: " + err.Error())
	}
	return append(data, '\n')
}

// FormatRoute returns the JSON form of one route for programs.
func FormatRoute(r router.Route) []byte { return marshal(encodeRoute(r)) }

// FormatPool returns the JSON form of one pool for programs.
func FormatPool(p router.Pool) []byte { return marshal(encodePool(p)) }

// DecodeConfiguration reads a configuration from JSON; file stands in errors.
// Its revision is 0 when the text names none.
func DecodeConfiguration(file string, data []byte) (Configuration, error) {
	type tables struct {
		revision uint64
		routes   []router.Route
		pools    []router.Pool
	}
	t, err := parser.Decode(file, data, func(o *parser.Object) tables {
		return tables{
			revision: parser.Optional(o, "revision", 0, parser.Uint64),
			routes:   parser.Required(o, "routes", parser.List(router.MostRoutes, parser.Nested(decodeRoute))),
			pools:    parser.Required(o, "pools", parser.List(router.MostPools, parser.Nested(decodePool))),
		}
	})
	if err != nil {
		return Configuration{}, err
	}
	return NewConfiguration(t.revision, t.routes, t.pools)
}

func encodeConfiguration(c Configuration) wireConfiguration {
	w := wireConfiguration{Routes: make([]wireRoute, 0, len(c.Routes)), Pools: make([]wirePool, 0, len(c.Pools))}
	for _, r := range c.Routes {
		w.Routes = append(w.Routes, encodeRoute(r))
	}
	for _, p := range c.Pools {
		w.Pools = append(w.Pools, encodePool(p))
	}
	return w
}

func encodeRoute(r router.Route) wireRoute {
	w := wireRoute{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Method: r.Method,
		Pool: r.Pool, Idempotent: r.Idempotent, WasteWeight: r.WasteWeight,
	}
	if r.AnswerWithin != 0 {
		w.AnswerWithin = r.AnswerWithin.String()
	}
	return w
}

func encodePool(p router.Pool) wirePool {
	w := wirePool{Name: p.Name, SlotsPerMinion: p.SlotsPerMinion, QueueLimit: p.QueueLimit}
	for _, q := range p.Quotas {
		w.Quotas = append(w.Quotas, wireQuota{Team: string(q.Team), Weight: q.Weight, MaxRunning: q.MaxRunning})
	}
	return w
}

func decodeRoute(o *parser.Object) router.Route {
	text := parser.Text(longestText)
	return router.Route{
		Name:         parser.Required(o, "name", text),
		Host:         parser.Optional(o, "host", "", text),
		PathPrefix:   parser.Required(o, "path-prefix", text),
		Method:       parser.Optional(o, "method", "", text),
		Pool:         parser.Required(o, "pool", text),
		Idempotent:   parser.Optional(o, "idempotent", false, parser.Bool),
		WasteWeight:  parser.Optional(o, "waste-weight", 0, anyInt),
		AnswerWithin: parser.Optional(o, "answer-within", 0, anyDuration),
	}
}

func decodePool(o *parser.Object) router.Pool {
	quotas := parser.List(router.MostQuotas+1, parser.Nested(decodeQuota))
	p := router.Pool{
		Name:           parser.Required(o, "name", parser.Text(longestText)),
		SlotsPerMinion: parser.Optional(o, "slots-per-minion", 0, anyInt),
		QueueLimit:     parser.Optional(o, "queue-limit", 0, anyInt),
		Quotas:         parser.Optional(o, "quotas", nil, quotas),
	}
	if len(p.Quotas) == 0 {
		p.Quotas = nil
	}
	return p
}

func decodeQuota(o *parser.Object) router.Quota {
	return router.Quota{
		Team:       task.Team(parser.Required(o, "team", parser.Text(longestText))),
		Weight:     parser.Required(o, "weight", anyInt),
		MaxRunning: parser.Optional(o, "max-running", 0, anyInt),
	}
}

var (
	anyInt      = parser.Int(-mostNumber, mostNumber)
	anyDuration = parser.Duration(-1000*time.Hour, 1000*time.Hour)
)

// marshal returns the JSON form of a wire struct, which always has one.
func marshal(wire any) []byte {
	data, err := json.Marshal(wire)
	if err != nil {
		panic("historian: wire struct without JSON form: " + err.Error())
	}
	return data
}
