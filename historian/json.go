package historian

import (
	"encoding/json"
	"time"

	"agatevalve/common/task"
	"agatevalve/parser"
	"agatevalve/router"
)

// jsonConfiguration is the JSON form of a configuration in snapshot rows and in
// files. The other json types are those of its parts.
type jsonConfiguration struct {
	// Revision is used in files only: it is the revision that the edit is based
	// on.
	Revision uint64      `json:"revision,omitempty"`
	Routes   []jsonRoute `json:"routes"`
	Pools    []jsonPool  `json:"pools"`
}

type jsonRoute struct {
	Name         string `json:"name"`
	Host         string `json:"host,omitempty"`
	PathPrefix   string `json:"path-prefix"`
	Method       string `json:"method,omitempty"`
	Pool         string `json:"pool"`
	Idempotent   bool   `json:"idempotent,omitempty"`
	WasteWeight  int    `json:"waste-weight,omitempty"`
	AnswerWithin string `json:"answer-within,omitempty"`
}

type jsonPool struct {
	Name           string      `json:"name"`
	SlotsPerMinion int         `json:"slots-per-minion,omitempty"`
	QueueLimit     int         `json:"queue-limit,omitempty"`
	Quotas         []jsonQuota `json:"quotas,omitempty"`
}

type jsonQuota struct {
	Team       string `json:"team"`
	Weight     int    `json:"weight"`
	MaxRunning int    `json:"max-running,omitempty"`
}

// Decoding limits are wider than the valid ranges, so that router.Check gets to
// report values out of range.
const (
	maxTextBytes = 4 * router.MaxPathBytes
	maxInteger   = 1 << 31
)

// FormatConfiguration returns the JSON form of a configuration with its
// revision, indented, as DecodeConfiguration reads it.
func FormatConfiguration(c Configuration) []byte {
	w := encodeConfiguration(c)
	w.Revision = c.Revision
	data, err := json.MarshalIndent(w, "", "  ")
	if err != nil {
		panic("historian: marshal JSON: " + err.Error())
	}
	return append(data, '\n')
}

// FormatRoute returns the JSON form of a route, for the output of commands.
func FormatRoute(r router.Route) []byte { return marshal(encodeRoute(r)) }

// FormatPool returns the JSON form of a pool, for the output of commands.
func FormatPool(p router.Pool) []byte { return marshal(encodePool(p)) }

// DecodeConfiguration reads a configuration from JSON. Its errors name the
// given file. The revision is 0 if the text has none.
func DecodeConfiguration(file string, data []byte) (Configuration, error) {
	type document struct {
		revision uint64
		routes   []router.Route
		pools    []router.Pool
	}
	t, err := parser.Decode(file, data, func(o *parser.Object) document {
		return document{
			revision: parser.Optional(o, "revision", 0, parser.Uint64),
			routes:   parser.Required(o, "routes", parser.List(router.MaxRoutes, parser.Nested(decodeRoute))),
			pools:    parser.Required(o, "pools", parser.List(router.MaxPools, parser.Nested(decodePool))),
		}
	})
	if err != nil {
		return Configuration{}, err
	}
	return NewConfiguration(t.revision, t.routes, t.pools)
}

func encodeConfiguration(c Configuration) jsonConfiguration {
	w := jsonConfiguration{Routes: make([]jsonRoute, 0, len(c.Routes)), Pools: make([]jsonPool, 0, len(c.Pools))}
	for _, r := range c.Routes {
		w.Routes = append(w.Routes, encodeRoute(r))
	}
	for _, p := range c.Pools {
		w.Pools = append(w.Pools, encodePool(p))
	}
	return w
}

func encodeRoute(r router.Route) jsonRoute {
	w := jsonRoute{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Method: r.Method,
		Pool: r.Pool, Idempotent: r.Idempotent, WasteWeight: r.WasteWeight,
	}
	if r.AnswerWithin != 0 {
		w.AnswerWithin = r.AnswerWithin.String()
	}
	return w
}

func encodePool(p router.Pool) jsonPool {
	w := jsonPool{Name: p.Name, SlotsPerMinion: p.SlotsPerMinion, QueueLimit: p.QueueLimit}
	for _, q := range p.Quotas {
		w.Quotas = append(w.Quotas, jsonQuota{Team: string(q.Team), Weight: q.Weight, MaxRunning: q.MaxRunning})
	}
	return w
}

func decodeRoute(o *parser.Object) router.Route {
	text := parser.Text(maxTextBytes)
	return router.Route{
		Name:         parser.Required(o, "name", text),
		Host:         parser.Optional(o, "host", "", text),
		PathPrefix:   parser.Required(o, "path-prefix", text),
		Method:       parser.Optional(o, "method", "", text),
		Pool:         parser.Required(o, "pool", text),
		Idempotent:   parser.Optional(o, "idempotent", false, parser.Bool),
		WasteWeight:  parser.Optional(o, "waste-weight", 0, readInt),
		AnswerWithin: parser.Optional(o, "answer-within", 0, readDuration),
	}
}

func decodePool(o *parser.Object) router.Pool {
	quotas := parser.List(router.MaxQuotas+1, parser.Nested(decodeQuota))
	p := router.Pool{
		Name:           parser.Required(o, "name", parser.Text(maxTextBytes)),
		SlotsPerMinion: parser.Optional(o, "slots-per-minion", 0, readInt),
		QueueLimit:     parser.Optional(o, "queue-limit", 0, readInt),
		Quotas:         parser.Optional(o, "quotas", nil, quotas),
	}
	if len(p.Quotas) == 0 {
		p.Quotas = nil
	}
	return p
}

func decodeQuota(o *parser.Object) router.Quota {
	return router.Quota{
		Team:       task.Team(parser.Required(o, "team", parser.Text(maxTextBytes))),
		Weight:     parser.Required(o, "weight", readInt),
		MaxRunning: parser.Optional(o, "max-running", 0, readInt),
	}
}

// readInt and readDuration also accept values out of the valid ranges, which
// router.Check reports.
var (
	readInt      = parser.Int(-maxInteger, maxInteger)
	readDuration = parser.Duration(-1000*time.Hour, 1000*time.Hour)
)

// marshal returns the JSON form of one of the json types, which can always be
// marshalled.
func marshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic("historian: marshal JSON: " + err.Error())
	}
	return data
}
