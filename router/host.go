package router

import (
	"cmp"
	"slices"
	"strings"
)

// hostRoutes holds the routes with the same host.
type hostRoutes struct {
	// maxSegments is the number of segments of the longest prefix in segments.
	maxSegments int
	// segments holds the routes that match whole segments by path prefix; "" stands
	// for "/".
	segments map[string]*prefixRoutes
	// literal holds the routes that match literally by path prefix.
	literal map[string]*prefixRoutes
	// literalLengths describes the prefixes in literal, the longest first.
	literalLengths []prefixLength
}

// prefixLength describes the literal prefixes of one length.
type prefixLength struct {
	bytes int
	// lastBytes is true for the last byte of each prefix. Most paths differ there, so
	// that they need not be hashed.
	lastBytes [256]bool
}

// prefixRoutes holds the routes with the same host, path prefix and PrefixMatch.
type prefixRoutes struct {
	// byMethod holds the routes that name a method.
	byMethod []methodPlan
	// anyMethod is the route for all other methods, or nil.
	anyMethod *Plan
}

// methodPlan is the plan of a route that names a method.
type methodPlan struct {
	method string
	plan   *Plan
}

func newHostRoutes() *hostRoutes {
	return &hostRoutes{segments: make(map[string]*prefixRoutes), literal: make(map[string]*prefixRoutes)}
}

// add adds the plan of a route.
func (h *hostRoutes) add(plan *Plan) {
	prefix, byPrefix := plan.Route.requiredPrefix(), h.segments
	if plan.Route.PrefixMatch == Literal {
		byPrefix = h.literal
		h.addLength(prefix)
	} else {
		h.maxSegments = max(h.maxSegments, strings.Count(prefix, "/"))
	}
	p := byPrefix[prefix]
	if p == nil {
		p = &prefixRoutes{}
		byPrefix[prefix] = p
	}
	if plan.Route.Method == "" {
		p.anyMethod = plan
		return
	}
	p.byMethod = append(p.byMethod, methodPlan{plan.Route.Method, plan})
}

// addLength adds the length of a literal prefix.
func (h *hostRoutes) addLength(prefix string) {
	i, found := slices.BinarySearchFunc(h.literalLengths, len(prefix), func(l prefixLength, bytes int) int { return cmp.Compare(bytes, l.bytes) })
	if !found {
		h.literalLengths = slices.Insert(h.literalLengths, i, prefixLength{bytes: len(prefix)})
	}
	if prefix != "" {
		h.literalLengths[i].lastBytes[prefix[len(prefix)-1]] = true
	}
}

// find returns the plan of the most specific route for the path and method, or
// nil.
func (h *hostRoutes) find(path, method string) *Plan {
	switch {
	case h == nil:
		return nil
	case len(h.literal) == 0:
		return h.findSegments(path, method)
	case len(h.segments) == 0:
		return h.findLiteral(path, method)
	}
	literal, segments := h.findLiteral(path, method), h.findSegments(path, method)
	if segments == nil || literal != nil && len(literal.Route.requiredPrefix()) > len(segments.Route.requiredPrefix()) {
		return literal
	}
	return segments
}

// findSegments tries the prefixes of whole segments from the longest to the
// shortest.
func (h *hostRoutes) findSegments(path, method string) *Plan {
	prefix := firstSegments(path, h.maxSegments)
	for {
		if p := h.segments[prefix]; p != nil {
			if plan := p.find(method); plan != nil {
				return plan
			}
		}
		if prefix == "" {
			return nil
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')]
	}
}

// findLiteral tries the literal prefixes from the longest to the shortest.
func (h *hostRoutes) findLiteral(path, method string) *Plan {
	for i := range h.literalLengths {
		l := &h.literalLengths[i]
		if l.bytes > len(path) || l.bytes > 0 && !l.lastBytes[path[l.bytes-1]] {
			continue
		}
		if p := h.literal[path[:l.bytes]]; p != nil {
			if plan := p.find(method); plan != nil {
				return plan
			}
		}
	}
	return nil
}

// find returns the plan of the route for the method, or of the route for any
// method, or nil.
func (p *prefixRoutes) find(method string) *Plan {
	for i := range p.byMethod {
		if p.byMethod[i].method == method {
			return p.byMethod[i].plan
		}
	}
	return p.anyMethod
}

// requiredPrefix returns the text that all paths which match the route begin with.
func (r Route) requiredPrefix() string {
	if r.PrefixMatch == Literal {
		return r.PathPrefix
	}
	return strings.TrimSuffix(r.PathPrefix, "/")
}

// firstSegments returns the first count segments of a path that starts with a
// slash.
func firstSegments(path string, count int) string {
	end := 0
	for range count {
		next := strings.IndexByte(path[end+1:], '/')
		if next < 0 {
			return path
		}
		end += 1 + next
	}
	return path[:end]
}
