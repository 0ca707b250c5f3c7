package announcer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"agatevalve/common/task"
	"agatevalve/registrar"
)

// Subset returns the entries that an agent announces itself to: all when there
// are at most size, else half of them from the agent's own availability zone and
// the rest from as many other zones as it goes, so that the agent stays in
// reach when zones or regions are cut off from each other. Within that, those
// highest by rendezvous hashing of the names: agents spread their choice evenly,
// and when one entry leaves, only the agents that had chosen it choose another.
//
// Source: Thaler, Ravishankar, "Using name-based mappings to increase hit
// rates", IEEE/ACM Transactions on Networking, 1998.
func Subset(agent, zone string, entries []registrar.Member, size int) []registrar.Member {
	ranked := rank(agent, entries)
	c := choice{size: min(size, len(ranked)), taken: make(map[task.Process]bool)}
	c.take(ranked, func(m registrar.Member) bool { return m.Zone == zone && len(c.members) < size/2 })
	seen := map[string]bool{zone: true}
	c.take(ranked, func(m registrar.Member) bool {
		fresh := !seen[m.Zone]
		seen[m.Zone] = true
		return fresh
	})
	c.take(ranked, func(registrar.Member) bool { return true })
	return c.members
}

// choice collects at most size entries, each once.
type choice struct {
	size    int
	members []registrar.Member
	taken   map[task.Process]bool
}

// take adds the entries that fit, in order, until the choice is full.
func (c *choice) take(ranked []registrar.Member, fits func(registrar.Member) bool) {
	for _, m := range ranked {
		if len(c.members) < c.size && !c.taken[m.Process] && fits(m) {
			c.taken[m.Process] = true
			c.members = append(c.members, m)
		}
	}
}

// rank orders the entries by their score for the agent, the highest first.
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

// score hashes both names. The zero byte keeps "a"+"bc" apart from "ab"+"c".
func score(agent, entry string) uint64 {
	return xxhash.Sum64String(agent + "\x00" + entry)
}
