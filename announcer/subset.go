package announcer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"agatevalve/common/task"
	"agatevalve/registrar"
)

// Subset returns the entries to which an agent announces itself: all of them if
// there are at most size, else half of size from the agent's own availability
// zone and the rest from as many different other zones as possible. The agent
// then stays reachable when zones or regions are cut off from each other. Among
// equals, rendezvous hashing of the names decides: agents are spread evenly
// over the entries, and when an entry leaves, only the agents that had selected
// it select another one.
//
// Source: Thaler, Ravishankar, "Using name-based mappings to increase hit
// rates", IEEE/ACM Transactions on Networking, 1998.
func Subset(agent, zone string, entries []registrar.Member, size int) []registrar.Member {
	ranked := rank(agent, entries)
	s := selection{size: min(size, len(ranked)), selected: make(map[task.Process]bool)}
	s.add(ranked, func(m registrar.Member) bool { return m.Zone == zone && len(s.members) < size/2 })
	seenZones := map[string]bool{zone: true}
	s.add(ranked, func(m registrar.Member) bool {
		isNewZone := !seenZones[m.Zone]
		seenZones[m.Zone] = true
		return isNewZone
	})
	s.add(ranked, func(registrar.Member) bool { return true })
	return s.members
}

// selection collects at most size entries, each once.
type selection struct {
	size     int
	members  []registrar.Member
	selected map[task.Process]bool
}

// add appends the eligible entries in the given order until the selection is
// full.
func (s *selection) add(ranked []registrar.Member, eligible func(registrar.Member) bool) {
	for _, m := range ranked {
		if len(s.members) < s.size && !s.selected[m.Process] && eligible(m) {
			s.selected[m.Process] = true
			s.members = append(s.members, m)
		}
	}
}

// rank sorts the entries by their score for the agent in descending order.
func rank(agent string, entries []registrar.Member) []registrar.Member {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b registrar.Member) int {
		if n := cmp.Compare(score(agent, b.Process.Name), score(agent, a.Process.Name)); n != 0 {
			return n
		}
		return cmp.Compare(a.Process.Name, b.Process.Name)
	})
	return ranked
}

// score hashes both names. The zero byte between them tells "a"+"bc" from
// "ab"+"c".
func score(agent, entry string) uint64 {
	return xxhash.Sum64String(agent + "\x00" + entry)
}
