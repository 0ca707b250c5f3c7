package surveyor

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"

	"agatevalve/historian"
	"agatevalve/router"
)

const (
	// callers is how many callers send requests at once.
	callers = 16
	// requestAgents is how many agents serve them.
	requestAgents = 4
)

// requests measures single keyless requests through a whole entry.
func (s *survey) requests(ctx context.Context) ([]Slope, error) {
	table := fastTable()
	routes := []router.Route{{Name: "holds", PathPrefix: "/holds", Pool: poolName}}
	pools := []router.Pool{{Name: poolName}}
	changes := historian.Diff(historian.Configuration{}, historian.Configuration{Routes: routes, Pools: pools})
	if err := publish(ctx, table, 1, changes); err != nil {
		return nil, err
	}
	e, err := newEntry(table)
	if err != nil {
		return nil, err
	}
	defer func() { _ = e.Close(ctx) }() // Nothing is in flight.
	if err := await(ctx, func() bool { return e.Ready() }); err != nil {
		return nil, err
	}
	agents, closeAll, err := newAgents(ctx, requestAgents, table)
	defer closeAll()
	if err != nil {
		return nil, err
	}
	relay, err := newRelay(ctx, e.Callers())
	if err != nil {
		return nil, err
	}
	defer relay.close()
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	if err := await(ctx, func() bool { return call(ctx, client, relay.address.String()) == nil }); err != nil {
		return nil, err
	}
	slopes := []Slope{
		{
			Name: "request-bytes", Unit: unitBytes, Per: "request",
			Method: fmt.Sprintf("bytes both ways at the callers' connections for single keyless requests with bodies of %d and %d bytes, through a relay", len(requestBody), len(responseBody)),
		},
		{
			Name: "request-time", Unit: unitTime, Per: "request",
			Method: fmt.Sprintf("processor time of %d callers, the relay, the whole entry, %d agents and the stand-in minion together", callers, len(agents)),
		},
	}
	return collect(slopes, s.sizes(400, 800, 1600, 3200), func(n int) ([]float64, error) {
		before := relay.traffic.bytes.Load()
		spent, err := used(func() error { return callMany(ctx, client, relay.address.String(), n) })
		return []float64{float64(relay.traffic.bytes.Load() - before), spent}, err
	})
}

// callMany sends n requests from several callers at once, and returns the
// first error.
func callMany(ctx context.Context, client *http.Client, address string, n int) error {
	work := make(chan struct{}, n)
	for range n {
		work <- struct{}{}
	}
	close(work)
	failed := make(chan error, n)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range work {
				if err := call(ctx, client, address); err != nil {
					failed <- err
				}
			}
		})
	}
	group.Wait()
	close(failed)
	return <-failed
}

func call(ctx context.Context, client *http.Client, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/holds/confirm", bytes.NewReader(requestBody))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // It is read to its end.
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || !bytes.Equal(body, responseBody) {
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return nil
}
