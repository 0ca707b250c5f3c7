package coupler

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"agatevalve/common/task"
	"agatevalve/selector"
	"agatevalve/supervisor"
)

const (
	// connectTimeout is the timeout for connecting to an entry. It is many round
	// trips long, but short enough that an attempt that began before an entry had
	// power doesn't delay the next one, since TCP repeats its first packet only
	// after a second.
	connectTimeout = 150 * time.Millisecond
	// initialBackoff is the first pause, before jitter, between two attempts to
	// connect to an entry. It doubles after each attempt. During the first
	// earlyPeriod without a link it is capped at earlyMaxBackoff, so that an entry
	// that has restarted gets its agents back soon; later it is capped at maxBackoff.
	initialBackoff  = 40 * time.Millisecond
	earlyMaxBackoff = 80 * time.Millisecond
	earlyPeriod     = 5 * time.Second
	maxBackoff      = 300 * time.Millisecond
	// transportPingDelay is the silence after which the HTTP/2 transport sends a
	// ping. Probe frames are more frequent, so that this should never happen.
	transportPingDelay = 5 * time.Second
)

// ClientOptions are the dependencies of a Client.
type ClientOptions struct {
	Self task.Process
	Zone string
	// Enqueue passes the orders of entries to the core. It returns false once the
	// agent has stopped.
	Enqueue func(supervisor.Event) bool
	// EntriesReceived is called with the list of live entries that the entry at the
	// address source has sent.
	EntriesReceived func(source netip.AddrPort, entries []netip.AddrPort)
	// MaxEntries is the number of entries to link to; 0 for the default of package
	// selector.
	MaxEntries int
	Log        *slog.Logger
}

// Client keeps an agent's links, one each to a subset of the entries. It is safe
// for concurrent use.
type Client struct {
	options        ClientOptions
	lastLinkNumber atomic.Uint64

	mu       sync.Mutex
	selector *selector.Selector
	links    map[netip.AddrPort]*entryLink
	// openLinks counts the links over which the entry has sent its first frame.
	openLinks  atomic.Int64
	closed     bool
	goroutines sync.WaitGroup
}

// NewClient returns a client without links.
func NewClient(o ClientOptions) *Client {
	return &Client{
		options: o, links: make(map[netip.AddrPort]*entryLink),
		selector: selector.New(selector.Options{Agent: o.Self.Name, Degree: o.MaxEntries}),
	}
}

// SetEntries names the entries that may be alive. The client opens links to some
// of them, stops attempts to connect to others, and retires open links that are
// not needed any more. It must be called regularly, since the choice depends on
// which entries can be reached.
func (c *Client) SetEntries(entries []netip.AddrPort) {
	for _, ev := range c.updateLinks(entries) {
		c.options.Enqueue(ev)
	}
}

// updateLinks applies the choice of entries, and returns the events for links
// that are no longer needed or needed again.
func (c *Client) updateLinks(entries []netip.AddrPort) []supervisor.LinkRetiring {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	var events []supervisor.LinkRetiring
	choice := c.selector.Choose(time.Now(), c.candidates(entries))
	for address, l := range c.links {
		switch {
		case l.isOpen():
			if ev, changed := l.setRetiring(slices.Contains(choice.Excess, address)); changed {
				events = append(events, ev)
			}
		case !slices.Contains(choice.Wanted, address):
			l.cancel()
			delete(c.links, address)
		}
	}
	for _, address := range choice.Wanted {
		if c.links[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		l := &entryLink{client: c, address: address, cancel: cancel, connectingSince: time.Now()}
		c.links[address] = l
		c.goroutines.Go(func() { l.keepConnected(ctx) })
	}
	return events
}

// candidates returns the given entries and those with an open link, which are
// alive whether or not a list names them.
func (c *Client) candidates(entries []netip.AddrPort) []selector.Candidate {
	candidates := make([]selector.Candidate, 0, len(entries))
	for _, address := range entries {
		candidate := selector.Candidate{Address: address}
		if l := c.links[address]; l != nil {
			candidate.Open, candidate.ConnectingSince = l.state()
		}
		candidates = append(candidates, candidate)
	}
	for address, l := range c.links {
		if open, _ := l.state(); open && !slices.Contains(entries, address) {
			candidates = append(candidates, selector.Candidate{Address: address, Open: true})
		}
	}
	return candidates
}

// OpenLinks returns the number of open links.
func (c *Client) OpenLinks() int { return int(c.openLinks.Load()) }

// IsLinked reports whether a link to the entry at the address is open.
func (c *Client) IsLinked(address netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[address]
	return l != nil && l.isOpen()
}

// Send queues a command for the link to an entry without blocking. Without an
// open link to the entry, the command is dropped.
func (c *Client) Send(entry string, command supervisor.Command) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		if l.enqueue(entry, command) {
			return
		}
	}
}

// Cut closes a link. A new one is then opened, unless the link was retired.
func (c *Client) Cut(link uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, l := range c.links {
		if l.cut(link) {
			l.cancel()
			delete(c.links, address)
		}
	}
}

// Close closes all links and waits for their goroutines.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	for _, l := range c.links {
		l.cancel()
	}
	c.mu.Unlock()
	c.goroutines.Wait()
}
