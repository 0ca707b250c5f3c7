// Package selector chooses the entries that an agent links to. In a large fleet
// each agent links to a bounded number of entries, so that the cost of links
// doesn't grow with the product of entries and agents.
//
// The choice is rendezvous hashing: each agent ranks all entries by a hash of
// both names and takes the first ones. Agents need not agree on the list of
// entries, entries get about equally many agents of all zones, racks and speeds,
// and an entry that joins or leaves changes no other link.
package selector

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultDegree is the number of entries that an agent links to. With fewer
	// entries it links to all of them.
	DefaultDegree = 10
	// patience is the time for which an attempt to connect counts as a link. After
	// it another entry takes its place, while attempts continue.
	patience = 500 * time.Millisecond
	// maxFailing is the maximum number of unreachable entries to which attempts
	// continue.
	maxFailing = 6
	// failureRetention is the time for which other unreachable entries are not
	// tried again, and maxRetries the number of them that are tried at once then.
	failureRetention = 3 * time.Second
	maxRetries       = 2
	// excessPeriod is the time for which a link that is not needed any more is
	// kept, so that lists of entries that differ for a moment close none.
	excessPeriod = 5 * time.Second
)

// Options configure a Selector.
type Options struct {
	// Agent is the name of the agent.
	Agent string
	// Degree is the number of entries to link to; 0 for DefaultDegree.
	Degree int
}

// Candidate is an entry that the agent may link to.
type Candidate struct {
	Address netip.AddrPort
	// Open is true while a link is open.
	Open bool
	// ConnectingSince is the beginning of the attempts to connect; zero if the
	// link is open or there were none.
	ConnectingSince time.Time
}

// Choice is the result for a list of candidates.
type Choice struct {
	// Wanted are the entries to link to, the preferred ones first.
	Wanted []netip.AddrPort
	// Excess are the entries whose open links are not needed any more.
	Excess []netip.AddrPort
}

// Selector holds what one agent has learned about unreachable entries. It is not
// safe for concurrent use.
type Selector struct {
	options Options
	// retryAt has the entries that could not be reached, and the earliest time of
	// their next attempt.
	retryAt map[netip.AddrPort]time.Time
	// excessSince is the time since when an open link has not been needed.
	excessSince map[netip.AddrPort]time.Time
}

// New returns a selector without knowledge of any entry.
func New(o Options) *Selector {
	if o.Degree <= 0 {
		o.Degree = DefaultDegree
	}
	return &Selector{options: o, retryAt: make(map[netip.AddrPort]time.Time), excessSince: make(map[netip.AddrPort]time.Time)}
}

// Choose returns the entries to link to. Unreachable ones are replaced by the
// next in the ranking until they can be reached again.
func (s *Selector) Choose(now time.Time, candidates []Candidate) Choice {
	var choice Choice
	var surplus []netip.AddrPort
	reachable, open, failing, retries := 0, 0, 0, 0
	retryAt := make(map[netip.AddrPort]time.Time)
	for _, c := range s.ranked(candidates) {
		next, failed := s.retryAt[c.Address]
		wanted := false
		switch {
		case c.Open && reachable >= s.options.Degree:
			surplus = append(surplus, c.Address)
		case c.Open:
			reachable++
			open++
			wanted = true
		case !c.ConnectingSince.IsZero() && now.Sub(c.ConnectingSince) >= patience:
			wanted = failing < maxFailing
			failing++
			retryAt[c.Address] = now.Add(failureRetention)
		case failed:
			wanted = !now.Before(next) && retries < maxRetries && reachable < s.options.Degree
			retryAt[c.Address] = next
			if wanted {
				retries++
			}
		case reachable < s.options.Degree:
			reachable++
			wanted = true
		}
		if wanted {
			choice.Wanted = append(choice.Wanted, c.Address)
		}
	}
	s.retryAt = retryAt
	choice.Excess = s.excess(now, surplus, open)
	return choice
}

// excess returns the open links that have not been needed for long. None is
// closed while others are missing.
func (s *Selector) excess(now time.Time, surplus []netip.AddrPort, open int) []netip.AddrPort {
	since := make(map[netip.AddrPort]time.Time, len(surplus))
	var excess []netip.AddrPort
	for _, address := range surplus {
		since[address] = now
		if earlier, known := s.excessSince[address]; known && open >= s.options.Degree {
			since[address] = earlier
		}
		if now.Sub(since[address]) >= excessPeriod {
			excess = append(excess, address)
		}
	}
	s.excessSince = since
	return excess
}

// ranked returns the candidates in the agent's order of preference.
func (s *Selector) ranked(candidates []Candidate) []Candidate {
	ranks := make(map[netip.AddrPort]uint64, len(candidates))
	for _, c := range candidates {
		ranks[c.Address] = xxhash.Sum64String(s.options.Agent + "|" + c.Address.String())
	}
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(ranks[b.Address], ranks[a.Address]), a.Address.Compare(b.Address))
	})
	return sorted
}
