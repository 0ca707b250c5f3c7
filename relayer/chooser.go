package relayer

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxPeers is the number of entries that one entry hands jobs to, so that the
	// number of streams between entries grows with their number only.
	maxPeers = 16
	// defaultCapacity is the processor share of an entry that has not told its own,
	// in thousandths of a core.
	defaultCapacity = 100
	// peerBackoff is the time for which an entry that did not take a job is given
	// none.
	peerBackoff = 150 * time.Millisecond
)

// chooser selects the entry for a job: the one with the fewest jobs of this entry
// for its processor share.
type chooser struct {
	random *rand.Rand
	states map[netip.AddrPort]*peerState
}

// peerState is what is known of another entry.
type peerState struct {
	// outstanding counts the jobs that were handed over and have no result, those
	// that were withdrawn too.
	outstanding int
	// capacity is its processor share in thousandths of a core; 0 if unknown.
	capacity int
	// backoffUntil is the time until which it is given no jobs.
	backoffUntil time.Time
}

// choose returns one of the peers, or false if none may be given a job now.
func (c *chooser) choose(now time.Time, peers []netip.AddrPort) (chosen netip.AddrPort, found bool) {
	best := math.Inf(1)
	offset := c.random.IntN(max(len(peers), 1)) // Peers that are alike get jobs in turn.
	for i := range peers {
		p := peers[(i+offset)%len(peers)]
		s := c.state(p)
		if now.Before(s.backoffUntil) {
			continue
		}
		if load := float64(s.outstanding+1) / float64(cmp.Or(s.capacity, defaultCapacity)); load < best {
			chosen, found, best = p, true, load
		}
	}
	return chosen, found
}

func (c *chooser) state(peer netip.AddrPort) *peerState {
	s := c.states[peer]
	if s == nil {
		s = &peerState{}
		c.states[peer] = s
	}
	return s
}

// handedOver records that a job was handed to a peer.
func (c *chooser) handedOver(peer netip.AddrPort) { c.state(peer).outstanding++ }

// returned records the result of a job, or that the peer did not take it.
func (c *chooser) returned(now time.Time, peer netip.AddrPort, taken bool) {
	s := c.state(peer)
	s.outstanding--
	if !taken {
		s.backoffUntil = now.Add(peerBackoff)
	}
}

// avoid gives a peer no jobs for a while, since it can't be reached.
func (c *chooser) avoid(now time.Time, peer netip.AddrPort) {
	c.state(peer).backoffUntil = now.Add(peerBackoff)
}

// forget drops what is known of entries that are no peers any more.
func (c *chooser) forget(peers []netip.AddrPort) {
	for p, s := range c.states {
		if s.outstanding == 0 && !slices.Contains(peers, p) {
			delete(c.states, p)
		}
	}
}

// nearest returns the first entries in the order of a hash of both addresses, so
// that each entry hands jobs to others (rendezvous hashing).
func nearest(self netip.AddrPort, entries []netip.AddrPort) []netip.AddrPort {
	peers := slices.DeleteFunc(slices.Clone(entries), func(e netip.AddrPort) bool { return e == self })
	if len(peers) <= maxPeers {
		return peers
	}
	slices.SortFunc(peers, func(a, b netip.AddrPort) int { return cmp.Compare(rank(self, a), rank(self, b)) })
	return peers[:maxPeers]
}

func rank(self, peer netip.AddrPort) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(self.String() + "/" + peer.String())) // A hash returns no error.
	return h.Sum64()
}
