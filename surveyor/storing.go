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
	// peakStartsPerSecond is the rate of task starts for which claims are measured.
	peakStartsPerSecond = 64_000
	// claimsDuration is the time over which the claims of one point are submitted;
	// minClaimsDuration is its lower limit in a scaled-down survey.
	claimsDuration    = 2 * time.Second
	minClaimsDuration = 50 * time.Millisecond
	// callsPerPoint is the number of store calls that a point averages over.
	callsPerPoint = 200
)

// store is an emulated table service with a client that accesses it over HTTP.
// The server counts the traffic.
type store struct {
	*server

	table  *emulator.Table
	client *connector.Client
}

func newStore(ctx context.Context) (*store, error) {
	s := &store{table: fastTable()}
	var err error
	if s.server, err = startServer(ctx, emulator.Handler(s.table)); err != nil {
		return nil, err
	}
	s.client = connector.New(connector.Options{Store: s.address})
	return s, nil
}

func (s *store) close() {
	s.client.Close()
	s.server.close()
}

// measureCalls calls call n times, and returns the mean bytes and processor time
// in microseconds of one call.
func (s *store) measureCalls(n int, call func() error) (bytes, cpuTime float64, err error) {
	before := s.traffic.bytes.Load()
	cpuTime, err = measureProcessorTime(func() error {
		for range n {
			if err := call(); err != nil {
				return err
			}
		}
		return nil
	})
	return float64(s.traffic.bytes.Load()-before) / float64(n), cpuTime / float64(n), err
}

// newMember returns the registration of the i-th simulated entry.
func newMember(i int) registrar.Member {
	a := newAnnouncement(i)
	return registrar.Member{
		Process: task.Process{Name: fmt.Sprintf("entry-%02d", i), Incarnation: 1<<63 + task.Incarnation(i)},
		Address: a.Peer.Address, Zone: zone, Revision: 2600, Expires: time.Now().Add(farFuture),
	}
}

// registrationWrites returns the store writes that register an entry.
func registrationWrites(m registrar.Member) []tabler.Write {
	return []tabler.Write{{Key: registrar.KeyOf(m.Process), Unconditional: true, Value: registrar.EncodeRow(m)}}
}

// membership measures listing the entries and renewing a registration over HTTP.
func (s *survey) membership(ctx context.Context) ([]Slope, error) {
	slopes := []Slope{
		{
			Name: "list-bytes", Unit: unitBytes, SizeUnit: "entry in the list",
			Method: "bytes both ways of one list of the entries, over an open connection to the stand-in of the table service",
		},
		{
			Name: "list-time", Unit: unitMicroseconds, SizeUnit: "entry in the list",
			Method: "processor time of one list, the stand-in's included",
		},
		{
			Name: "renewal-bytes", Unit: unitBytes, SizeUnit: "entry in the list",
			Method: "bytes both ways of one renewal of a registration",
		},
		{
			Name: "renewal-time", Unit: unitMicroseconds, SizeUnit: "entry in the list",
			Method: "processor time of one renewal, the stand-in's included",
		},
	}
	return collect(slopes, s.scaleSizes(4, 8, 16, 32), func(n int) ([]float64, error) {
		st, err := newStore(ctx)
		if err != nil {
			return nil, err
		}
		defer st.close()
		for i := range n {
			if _, err := st.client.Commit(ctx, registrationWrites(newMember(i))); err != nil {
				return nil, err
			}
		}
		listBytes, listTime, err := st.measureCalls(callsPerPoint, func() error {
			members, err := registrar.List(ctx, st.client)
			if err == nil && len(members) != n {
				return fault.New(fault.Internal, "report this", "%d of %d entries are listed", len(members), n)
			}
			return err
		})
		if err != nil {
			return nil, err
		}
		renewalBytes, renewalTime, err := st.measureCalls(callsPerPoint, func() error {
			_, err := st.client.Commit(ctx, registrationWrites(newMember(0)))
			return err
		})
		return []float64{listBytes, listTime, renewalBytes, renewalTime}, err
	})
}

// polls measures reads of the configuration's head, its latest revision.
func (s *survey) polls(ctx context.Context) ([]Slope, error) {
	st, err := newStore(ctx)
	if err != nil {
		return nil, err
	}
	defer st.close()
	if err := publish(ctx, st.table, 1, newPoolChange(1)); err != nil {
		return nil, err
	}
	source := historian.New(st.client)
	slopes := []Slope{
		{
			Name: "poll-bytes", Unit: unitBytes, SizeUnit: "poll",
			Method: "bytes both ways of one read of the configuration's head, over an open connection",
		},
		{
			Name: "poll-time", Unit: unitMicroseconds, SizeUnit: "poll",
			Method: "processor time of one read of the head, the stand-in's included",
		},
	}
	return collect(slopes, s.scaleSizes(200, 400, 800, 1600), func(n int) ([]float64, error) {
		bytes, cpuTime, err := st.measureCalls(n, func() error {
			_, err := source.Head(ctx)
			return err
		})
		return []float64{bytes * float64(n), cpuTime * float64(n)}, err
	})
}

// claims measures the transaction rate and the latency of claims as a function
// of the number of entries, for several job sizes. The entries share one
// emulated table service with the rate limits of the platform.
func (s *survey) claims(context.Context) ([]Slope, error) {
	var slopes []Slope
	duration := max(minClaimsDuration, time.Duration(s.scale*float64(claimsDuration)))
	for _, tasks := range []int{10, 100, 1300} {
		method := fmt.Sprintf("claims of jobs of %d tasks, offered for %v by that many claimers to one stand-in with 400 writes a second", tasks, duration)
		found, err := collect([]Slope{
			{Name: fmt.Sprintf("claim-transactions-%d", tasks), Unit: "transactions a second", SizeUnit: "entry", Method: method},
			{Name: fmt.Sprintf("claim-wait-%d", tasks), Unit: "milliseconds", SizeUnit: "entry", Method: "mean time to victory of " + method},
		}, s.scaleSizes(4, 8, 16, 32), func(n int) ([]float64, error) {
			return measureClaims(n, max(1, int(peakStartsPerSecond*duration.Seconds())/tasks), duration)
		})
		if err != nil {
			return nil, err
		}
		slopes = append(slopes, found...)
	}
	return slopes, nil
}

// measureClaims submits claims at a constant rate, in rotation to one claimer for
// each entry, and returns the transactions per second and the mean latency of a
// claim in milliseconds.
func measureClaims(entries, claims int, duration time.Duration) ([]float64, error) {
	table := emulator.NewTable(emulator.Options{})
	type claimResult struct {
		at  time.Time
		won bool
	}
	results := make(chan claimResult, claims)
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
				results <- claimResult{time.Now(), won}
			},
		}))
		claimers[i].SetEntries(entries)
	}
	began := time.Now()
	var totalOffered time.Duration
	for i := range claims {
		time.Sleep(time.Until(began.Add(duration * time.Duration(i) / time.Duration(claims))))
		totalOffered += time.Since(began)
		claimers[i%entries].Insert(dispatcher.WriteClaim{Claim: newClaim(i, jobTasks, began.Add(waitTimeout))})
	}
	var totalFinished time.Duration
	for range claims {
		v := <-results
		if !v.won {
			return nil, fault.New(fault.Expired, "run it on an idle machine", "a claim failed")
		}
		totalFinished += v.at.Sub(began)
	}
	mean := (totalFinished - totalOffered) / time.Duration(claims)
	rate := float64(table.Counts().Commits) / time.Since(began).Seconds()
	return []float64{rate, float64(mean) / float64(time.Millisecond)}, nil
}

// newClaim returns the claim of the i-th job, which names that many agents.
func newClaim(i, agents int, deadline time.Time) dispatcher.Claim {
	c := dispatcher.Claim{
		Job:          task.KeyedJobID("climbs", task.Key(fmt.Sprint(i))),
		Team:         "climbs",
		Owner:        entryProcess,
		OwnerAddress: newAnnouncement(0).Peer.Address,
		Generation:   1,
		Token:        uint64(i) + 1,
		Deadline:     deadline,
	}
	for a := range agents {
		c.Agents = append(c.Agents, newAnnouncement(a).Peer)
	}
	return c
}

// claimRows measures the size and the cost of a claim's row as a function of the
// number of agents that it names.
func (s *survey) claimRows(ctx context.Context) ([]Slope, error) {
	st, err := newStore(ctx)
	if err != nil {
		return nil, err
	}
	defer st.close()
	slopes := []Slope{
		{
			Name: "claim-row-bytes", Unit: unitBytes, SizeUnit: "agent of the claim",
			Method: "size of the encoded row",
		},
		{
			Name: "claim-wire-bytes", Unit: unitBytes, SizeUnit: "agent of the claim",
			Method: "bytes both ways for each claim of a transaction of 16, over an open connection",
		},
		{
			Name: "claim-time", Unit: unitMicroseconds, SizeUnit: "agent of the claim",
			Method: "processor time for each claim of a transaction of 16, the stand-in's included",
		},
	}
	return collect(slopes, s.scaleSizes(10, 50, 150, 300), func(n int) ([]float64, error) {
		const group = 16
		row, err := claimer.EncodeRow(newClaim(0, n, time.Now()))
		if err != nil {
			return nil, err
		}
		bytes, cpuTime, err := st.measureCalls(callsPerPoint/group, func() error { return commitClaims(ctx, st.client, group, n) })
		return []float64{float64(len(row)), bytes / group, cpuTime / group}, err
	})
}

// commitClaims commits claims that name that many agents in one transaction.
func commitClaims(ctx context.Context, table tabler.Table, claims, agents int) error {
	var writes []tabler.Write
	for i := range claims {
		c := newClaim(i, agents, time.Now().Add(farFuture))
		value, err := claimer.EncodeRow(c)
		if err != nil {
			return err
		}
		writes = append(writes, tabler.Write{Key: claimer.KeyOf(c.Job), Unconditional: true, Value: value})
	}
	_, err := table.Commit(ctx, writes)
	return err
}
