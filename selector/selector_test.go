package selector_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"agatevalve/selector"
)

var start = time.Unix(1_800_000_000, 0)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7720)
}

func unlinked(n int) []selector.Candidate {
	candidates := make([]selector.Candidate, n)
	for i := range candidates {
		candidates[i].Address = address(i)
	}
	return candidates
}

// agentOf returns a selector of one agent.
func agentOf(i int) *selector.Selector {
	return selector.New(selector.Options{Agent: fmt.Sprintf("side-%d", i)})
}

func TestFewEntriesAreAllLinked(t *testing.T) {
	is := is.New(t)
	for entries := range selector.DefaultDegree + 1 {
		is.Equal(len(agentOf(1).Choose(start, unlinked(entries)).Wanted), entries)
	}
}

func TestLinksOfAnEntryDontGrowWithTheFleet(t *testing.T) {
	for _, size := range []struct{ entries, agents int }{{55, 240}, {205, 920}} {
		t.Run(fmt.Sprint(size.entries), func(t *testing.T) {
			is := is.New(t)
			links := make(map[netip.AddrPort]int)
			for i := range size.agents {
				wanted := agentOf(i).Choose(start, unlinked(size.entries)).Wanted
				is.Equal(len(wanted), selector.DefaultDegree)
				for _, a := range wanted {
					links[a]++
				}
			}
			mean := selector.DefaultDegree * size.agents / size.entries
			for i := range size.entries {
				is.True(links[address(i)] >= mean/2)   // An entry with few agents has little room to choose from.
				is.True(links[address(i)] <= mean*8/5) // One with many pays for their links.
			}
		})
	}
}

func TestAnEntryThatJoinsOrLeavesChangesNoOtherLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(2, 80).Draw(t, "entries")
		s := agentOf(rapid.IntRange(0, 1000).Draw(t, "agent"))
		before := s.Choose(start, unlinked(entries-1)).Wanted
		after := s.Choose(start, unlinked(entries)).Wanted
		joined := address(entries - 1)
		for _, a := range after {
			if a != joined && !slices.Contains(before, a) {
				t.Fatalf("%v was linked when %v joined", a, joined)
			}
		}
		lost := 0
		for _, a := range before {
			if !slices.Contains(after, a) {
				lost++
			}
		}
		if lost > 1 {
			t.Fatalf("%d links were replaced when one entry joined", lost)
		}
	})
}

// fleet plays an agent's links to entries of which some are down: attempts
// connect at once if the entry is up.
type fleet struct {
	selector *selector.Selector
	down     map[netip.AddrPort]bool
	known    []netip.AddrPort
	links    map[netip.AddrPort]selector.Candidate
	now      time.Time
}

func newFleet(entries int) *fleet {
	f := &fleet{selector: agentOf(3), down: make(map[netip.AddrPort]bool), links: make(map[netip.AddrPort]selector.Candidate), now: start}
	for i := range entries {
		f.known = append(f.known, address(i))
	}
	return f
}

// play lets time pass, and returns the number of open links.
func (f *fleet) play(d time.Duration) int {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		var candidates []selector.Candidate
		for _, a := range f.known {
			c, linked := f.links[a]
			if linked && c.Open == f.down[a] {
				c.Open, c.ConnectingSince = !f.down[a], time.Time{}
				if f.down[a] {
					c.ConnectingSince = f.now
				}
				f.links[a] = c
			}
			c.Address = a
			candidates = append(candidates, c)
		}
		choice := f.selector.Choose(f.now, candidates)
		for a, c := range f.links {
			if !c.Open && !slices.Contains(choice.Wanted, a) || slices.Contains(choice.Excess, a) {
				delete(f.links, a)
			}
		}
		for _, a := range choice.Wanted {
			if _, linked := f.links[a]; !linked {
				f.links[a] = selector.Candidate{Address: a, ConnectingSince: f.now}
			}
		}
	}
	open := 0
	for _, c := range f.links {
		if c.Open {
			open++
		}
	}
	return open
}

func TestUnreachableEntriesAreReplaced(t *testing.T) {
	for _, down := range []int{10, 30, 43, 50} {
		t.Run(fmt.Sprint(down), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(55)
			is.Equal(f.play(time.Second), selector.DefaultDegree)
			preferred := f.openLinks()
			for i := range down {
				f.down[address(i)] = true
			}
			is.Equal(f.play(10*time.Second), min(selector.DefaultDegree, 55-down))
			is.True(len(f.links) <= selector.DefaultDegree+6+2) // Attempts to connect are bounded.
			clear(f.down)
			f.play(15 * time.Second)
			is.Equal(f.openLinks(), preferred) // The replacements are released.
		})
	}
}

func (f *fleet) openLinks() []netip.AddrPort {
	var open []netip.AddrPort
	for a, c := range f.links {
		if c.Open {
			open = append(open, a)
		}
	}
	slices.SortFunc(open, netip.AddrPort.Compare)
	return open
}

func TestAListThatIsIncompleteForAMomentClosesNoLink(t *testing.T) {
	is := is.New(t)
	s := agentOf(1)
	candidates := unlinked(55)
	for _, a := range s.Choose(start, candidates).Wanted {
		candidates[slices.IndexFunc(candidates, func(c selector.Candidate) bool { return c.Address == a })].Open = true
	}
	var open []selector.Candidate
	for _, c := range candidates {
		if c.Open {
			open = append(open, c)
		}
	}
	// Links that are open stay candidates when no list names them.
	is.Equal(len(s.Choose(start.Add(time.Minute), open).Excess), 0)
}
