package surveyor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"agatevalve/claimer"
	"agatevalve/common/fault"
	"agatevalve/common/task"
	"agatevalve/connector"
	"agatevalve/dispatcher"
	"agatevalve/emulator"
	"agatevalve/historian"
	"agatevalve/registrar"
	"agatevalve/tabler"
)

const (
	// peakStarts is the rate of task starts that claims are measured at.
	peakStarts = 64_000
	// claimsFor is how long the claims of one figure are offered, and at least
	// leastClaimsFor in a small survey.
	claimsFor      = 2 * time.Second
	leastClaimsFor = 50 * time.Millisecond
	// readsTimed is how many reads one figure of the store covers.
	readsTimed = 200
)

// store is a table service behind a connection whose traffic is counted.
type store struct {
	*server

	table  *emulator.Table
	client *connector.Client
}

func newStore(ctx context.Context) (*store, error) {
	s := &store{table: fastTable()}
	var err error
	if s.server, err = serve(ctx, emulator.Handler(s.table)); err != nil {
		return nil, err
	}
	s.client = connector.New(connector.Options{Store: s.address})
	return s, nil
}

func (s *store) close() {
	s.client.Close()
	s.server.close()
}

// measured returns the bytes and the processor time of one of n calls.
func (s *store) measured(n int, call func() error) (bytes, spent float64, err error) {
	before := s.traffic.bytes.Load()
	spent, err = used(func() error {
		for range n {
			if err := call(); err != nil {
				return err
			}
		}
		return nil
	})
	return float64(s.traffic.bytes.Load()-before) / float64(n), spent / float64(n), err
}

func memberOf(i int) registrar.Member {
	a := announcementOf(i)
	return registrar.Member{
		Process: task.Process{Name: fmt.Sprintf("entry-%02d", i), Incarnation: 1<<63 + task.Incarnation(i)},
		Address: a.Peer.Address, Zone: zone, Revision: 2600, Expires: time.Now().Add(farAhead),
	}
}

func registration(m registrar.Member) []tabler.Write {
	return []tabler.Write{{Key: registrar.KeyOf(m.Process), Unconditional: true, Value: registrar.EncodeRow(m)}}
}

// membership measures the list of entries and its renewal over HTTP.
func (s *survey) membership(ctx context.Context) ([]Slope, error) {
	slopes := []Slope{
		{
			Name: "list-bytes", Unit: unitBytes, Per: "entry in the list",
			Method: "bytes both ways of one list of the entries, over an open connection to the stand-in of the table service",
		},
		{
			Name: "list-time", Unit: unitTime, Per: "entry in the list",
			Method: "processor time of one list, the stand-in's included",
		},
		{
			Name: "renewal-bytes", Unit: unitBytes, Per: "entry in the list",
			Method: "bytes both ways of one renewal of a registration",
		},
		{
			Name: "renewal-time", Unit: unitTime, Per: "entry in the list",
			Method: "processor time of one renewal, the stand-in's included",
		},
	}
	return collect(slopes, s.sizes(4, 8, 16, 32), func(n int) ([]float64, error) {
		st, err := newStore(ctx)
		if err != nil {
			return nil, err
		}
		defer st.close()
		for i := range n {
			if _, err := st.client.Commit(ctx, registration(memberOf(i))); err != nil {
				return nil, err
			}
		}
		listBytes, listTime, err := st.measured(readsTimed, func() error {
			members, err := registrar.List(ctx, st.client)
			if err == nil && len(members) != n {
				return fault.New(fault.Internal, "report this", "%d of %d entries are listed", len(members), n)
			}
			return err
		})
		if err != nil {
			return nil, err
		}
		renewalBytes, renewalTime, err := st.measured(readsTimed, func() error {
			_, err := st.client.Commit(ctx, registration(memberOf(0)))
			return err
		})
		return []float64{listBytes, listTime, renewalBytes, renewalTime}, err
	})
}

// polls measures the reads of the configuration's head.
func (s *survey) polls(ctx context.Context) ([]Slope, error) {
	st, err := newStore(ctx)
	if err != nil {
		return nil, err
	}
	defer st.close()
	if err := publish(ctx, st.table, 1, changeOf(1)); err != nil {
		return nil, err
	}
	source := historian.New(st.client)
	slopes := []Slope{
		{
			Name: "poll-bytes", Unit: unitBytes, Per: "poll",
			Method: "bytes both ways of one read of the configuration's head, over an open connection",
		},
		{
			Name: "poll-time", Unit: unitTime, Per: "poll",
			Method: "processor time of one read of the head, the stand-in's included",
		},
	}
	return collect(slopes, s.sizes(200, 400, 800, 1600), func(n int) ([]float64, error) {
		bytes, spent, err := st.measured(n, func() error {
			_, err := source.Head(ctx)
			return err
		})
		return []float64{bytes * float64(n), spent * float64(n)}, err
	})
}

// claims measures the transactions of claims against the entries that share a
// table service with the platform's rates, for jobs of several sizes.
func (s *survey) claims(context.Context) ([]Slope, error) {
	var slopes []Slope
	length := max(leastClaimsFor, time.Duration(s.scale*float64(claimsFor)))
	for _, tasks := range []int{10, 100, 1300} {
		method := fmt.Sprintf("claims of jobs of %d tasks, offered for %v by that many claimers to one stand-in with 400 writes a second", tasks, length)
		found, err := collect([]Slope{
			{Name: fmt.Sprintf("claim-transactions-%d", tasks), Unit: "transactions a second", Per: "entry", Method: method},
			{Name: fmt.Sprintf("claim-wait-%d", tasks), Unit: "milliseconds", Per: "entry", Method: "mean time to victory of " + method},
		}, s.sizes(4, 8, 16, 32), func(n int) ([]float64, error) {
			return claimAtPeak(n, max(1, int(peakStarts*length.Seconds())/tasks), length)
		})
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, found...)
	}
	return slopes, nil
}

// claimAtPeak offers claims evenly from several entries, and returns the
// transactions a second and the mean wait in milliseconds.
func claimAtPeak(entries, claims int, length time.Duration) ([]float64, error) {
	table := emulator.NewTable(emulator.Options{})
	type victory struct {
		at  time.Time
		won bool
	}
	victories := make(chan victory, claims)
	var claimers []*claimer.Claimer
	defer func() {
		for _, c := range claimers {
			c.Close()
		}
	}()
	for i := range entries {
		claimers = append(claimers, claimer.New(claimer.Options{
			Table:  table,
			Random: rand.New(rand.NewPCG(1, uint64(i))),
			Deliver: func(ev dispatcher.Event) {
				_, won := ev.(dispatcher.ClaimWon)
				victories <- victory{time.Now(), won}
			},
		}))
		claimers[i].SetEntries(entries)
	}
	began := time.Now()
	var offered time.Duration
	for i := range claims {
		time.Sleep(time.Until(began.Add(length * time.Duration(i) / time.Duration(claims))))
		offered += time.Since(began)
		claimers[i%entries].Insert(dispatcher.WriteClaim{Claim: claimOf(i, jobTasks, began.Add(patience))})
	}
	var waited time.Duration
	for range claims {
		v := <-victories
		if !v.won {
			return nil, fault.New(fault.Expired, "run it on an idle machine", "a claim failed")
		}
		waited += v.at.Sub(began)
	}
	mean := (waited - offered) / time.Duration(claims)
	rate := float64(table.Counts().Commits) / time.Since(began).Seconds()
	return []float64{rate, float64(mean) / float64(time.Millisecond)}, nil
}

func claimOf(i, agents int, deadline time.Time) dispatcher.Claim {
	c := dispatcher.Claim{
		Job:          task.KeyedJobID("climbs", task.Key(fmt.Sprint(i))),
		Team:         "climbs",
		Owner:        entryProcess,
		OwnerAddress: announcementOf(0).Peer.Address,
		Generation:   1,
		Token:        uint64(i) + 1,
		Deadline:     deadline,
	}
	for a := range agents {
		c.Agents = append(c.Agents, announcementOf(a).Peer)
	}
	return c
}

// claimRows measures the row of a claim against the agents that it names.
func (s *survey) claimRows(ctx context.Context) ([]Slope, error) {
	st, err := newStore(ctx)
	if err != nil {
		return nil, err
	}
	defer st.close()
	slopes := []Slope{
		{
			Name: "claim-row-bytes", Unit: unitBytes, Per: "agent of the claim",
			Method: "size of the encoded row",
		},
		{
			Name: "claim-wire-bytes", Unit: unitBytes, Per: "agent of the claim",
			Method: "bytes both ways for each claim of a transaction of 16, over an open connection",
		},
		{
			Name: "claim-time", Unit: unitTime, Per: "agent of the claim",
			Method: "processor time for each claim of a transaction of 16, the stand-in's included",
		},
	}
	return collect(slopes, s.sizes(10, 50, 150, 300), func(n int) ([]float64, error) {
		const group = 16
		row, err := claimer.EncodeRow(claimOf(0, n, time.Now()))
		if err != nil {
			return nil, err
		}
		bytes, spent, err := st.measured(readsTimed/group, func() error { return commitClaims(ctx, st.client, group, n) })
		return []float64{float64(len(row)), bytes / group, spent / group}, err
	})
}

func commitClaims(ctx context.Context, table tabler.Table, claims, agents int) error {
	var writes []tabler.Write
	for i := range claims {
		c := claimOf(i, agents, time.Now().Add(farAhead))
		value, err := claimer.EncodeRow(c)
		if err != nil {
			return err
		}
		writes = append(writes, tabler.Write{Key: claimer.KeyOf(c.Job), Unconditional: true, Value: value})
	}
	_, err := table.Commit(ctx, writes)
	return err
}
