package announcer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"agatevalve/registrar"
)

// Subset returns the entries that an agent announces itself to: all when there
// are at most size, else the size highest by rendezvous hashing of the names.
// Every agent spreads its choice evenly, and when one entry leaves, only the
// agents that had chosen it choose another.
//
// Source: Thaler, Ravishankar, "Using name-based mappings to increase hit
// rates", IEEE/ACM Transactions on Networking, 1998.
func Subset(agent string, entries []registrar.Member, size int) []registrar.Member {
	type scored struct {
		score  uint64
		member registrar.Member
	}
	all := make([]scored, len(entries))
	for i, e := range entries {
		all[i] = scored{score(agent, e.Process.Name), e}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if n := cmp.Compare(b.score, a.score); n != 0 {
			return n
		}
		return cmp.Compare(a.member.Process.Name, b.member.Process.Name)
	})
	chosen := make([]registrar.Member, min(size, len(all)))
	for i := range chosen {
		chosen[i] = all[i].member
	}
	return chosen
}

// score hashes both names. The zero byte keeps "a"+"bc" apart from "ab"+"c".
func score(agent, entry string) uint64 {
	return xxhash.Sum64String(agent + "\x00" + entry)
}
