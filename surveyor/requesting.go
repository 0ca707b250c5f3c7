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
	// concurrentCallers is the number of callers that send requests concurrently.
	concurrentCallers = 16
	// requestAgents is the number of agents that serve the requests.
	requestAgents = 4
)

// requests measures single requests without an idempotency key through a
// complete entry.
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
	defer func() { _ = e.Close(ctx) }() // No request is in flight.
	if err := waitUntil(ctx, func() bool { return e.Ready() }); err != nil {
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
	transport := &http.Transport{MaxIdleConnsPerHost: concurrentCallers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	if err := waitUntil(ctx, func() bool { return sendRequest(ctx, client, relay.address.String()) == nil }); err != nil {
		return nil, err
	}
	slopes := []Slope{
		{
			Name: "request-bytes", Unit: unitBytes, SizeUnit: "request",
			Method: fmt.Sprintf("bytes both ways at the callers' connections for single keyless requests with bodies of %d and %d bytes, through a relay", len(requestBody), len(responseBody)),
		},
		{
			Name: "request-time", Unit: unitMicroseconds, SizeUnit: "request",
			Method: fmt.Sprintf("processor time of %d callers, the relay, the whole entry, %d agents and the stand-in minion together", concurrentCallers, len(agents)),
		},
	}
	return collect(slopes, s.scaleSizes(400, 800, 1600, 3200), func(n int) ([]float64, error) {
		before := relay.traffic.bytes.Load()
		cpuTime, err := measureProcessorTime(func() error { return sendRequests(ctx, client, relay.address.String(), n) })
		return []float64{float64(relay.traffic.bytes.Load() - before), cpuTime}, err
	})
}

// sendRequests sends n requests from concurrentCallers goroutines, and returns
// the first error.
func sendRequests(ctx context.Context, client *http.Client, address string, n int) error {
	pending := make(chan struct{}, n)
	for range n {
		pending <- struct{}{}
	}
	close(pending)
	errs := make(chan error, n)
	var group sync.WaitGroup
	for range concurrentCallers {
		group.Go(func() {
			for range pending {
				if err := sendRequest(ctx, client, address); err != nil {
					errs <- err
				}
			}
		})
	}
	group.Wait()
	close(errs)
	return <-errs
}

// sendRequest sends one request, and checks the status and body of its response.
func sendRequest(ctx context.Context, client *http.Client, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/holds/confirm", bytes.NewReader(requestBody))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // The body is read to its end.
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || !bytes.Equal(body, responseBody) {
		return fmt.Errorf("status %d: %s", response.StatusCode, body)
	}
	return nil
}
