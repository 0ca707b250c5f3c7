package rehearser

import (
	"net/netip"
	"slices"
	"time"

	"agatevalve/selector"
	"agatevalve/supervisor"
)

// linkUpdateInterval is the interval at which agents choose their entries.
const linkUpdateInterval = 300 * time.Millisecond

// linking is the choice of entries of one incarnation of an agent.
type linking struct {
	selector *selector.Selector
	// connectingSince has the beginning of the attempts to connect to entries
	// without an open link, by index.
	connectingSince map[int]time.Time
	// retiring has the entries whose open links are not needed, by index.
	retiring map[int]bool
}

// entryAddress returns the address by which agents rank an entry.
func entryAddress(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(index >> 8), byte(index)}), 7720)
}

func newLinking(agent string, degree int) linking {
	return linking{
		selector:        selector.New(selector.Options{Agent: agent, Degree: degree}),
		connectingSince: make(map[int]time.Time), retiring: make(map[int]bool),
	}
}

// linkPeriodically updates the links until the incarnation ends.
func (a *agentNode) linkPeriodically(incarnation uint64) {
	if a.incarnation != incarnation || a.down {
		return
	}
	if !a.world.now.Before(a.frozenUntil) {
		a.updateLinks()
	}
	a.world.after(linkUpdateInterval, func() { a.linkPeriodically(incarnation) })
}

// updateLinks begins to connect to the chosen entries, and retires links that are
// not needed.
func (a *agentNode) updateLinks() {
	candidates := make([]selector.Candidate, 0, len(a.world.entries))
	for _, e := range a.world.entries {
		candidates = append(candidates, selector.Candidate{
			Address: entryAddress(e.index), Open: a.links[e.name()] != nil, ConnectingSince: a.linking.connectingSince[e.index],
		})
	}
	choice := a.linking.selector.Choose(a.world.now, candidates)
	for _, e := range a.world.entries {
		open := a.links[e.name()]
		_, connecting := a.linking.connectingSince[e.index]
		wanted := slices.Contains(choice.Wanted, entryAddress(e.index))
		excess := slices.Contains(choice.Excess, entryAddress(e.index))
		switch {
		case open != nil && a.linking.retiring[e.index] != excess:
			a.linking.retiring[e.index] = excess
			a.deliver(supervisor.LinkRetiring{Entry: e.name(), Link: open.number, Retiring: excess})
		case open == nil && wanted && !connecting:
			a.linking.connectingSince[e.index] = a.world.now
			a.reconnect(e)
		case open == nil && !wanted:
			delete(a.linking.connectingSince, e.index)
		}
	}
}
