package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// newJobID returns 16 hexadecimal digits.
func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// reply is the response to a client.
type reply struct {
	status int // 0 without a response.
	body   string
	at     time.Time
}

// acknowledges reports whether the response to a cancellation acknowledges it.
func (r reply) acknowledges() bool { return r.status/100 == 2 || r.status == http.StatusGone }

// step is the only step of a job.
type step map[string]any

// call sends a request of a client to an entry and records request and response. A
// channel is used once.
func (c *cluster) call(ctx context.Context, method string, entry *process, path string, body any, patience time.Duration) reply {
	var content []byte
	if body != nil {
		content, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", entry.ip, callersPort, path), bytes.NewReader(content))
	if err != nil {
		return reply{at: time.Now()}
	}
	request.Host = host
	request.Header["Deadline-Ms"] = []string{strconv.FormatInt(patience.Milliseconds(), 10)}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	c.add("client sends %s %s to %s", method, path, entry.node)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		c.add("client gets no response to %s %s from %s: %v", method, path, entry.node, err)
		return reply{at: time.Now()}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		c.add("client gets no whole response to %s %s from %s: %v", method, path, entry.node, err)
		return reply{at: time.Now()}
	}
	c.add("client gets %d %s to %s %s from %s", response.StatusCode, answer, method, path, entry.node)
	return reply{status: response.StatusCode, body: string(answer), at: time.Now()}
}

// submit sends a job of holdRoute, and returns a channel with the response.
func (c *cluster) submit(entry *process, id string, s step, patience time.Duration) <-chan reply {
	return c.submitTo(entry, prefix+id, s, patience)
}

// submitTo sends a job to a path.
func (c *cluster) submitTo(entry *process, path string, s step, patience time.Duration) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		replies <- c.call(c.ctx, http.MethodPost, entry, path, map[string]any{"spec": "task of " + path, "best_effort": true, "steps": []any{s}}, patience)
	}()
	return replies
}

// cancelJob cancels a job of holdRoute.
func (c *cluster) cancelJob(entry *process, id string) reply { return c.cancelAt(entry, prefix+id) }

// cancelAt sends a DELETE.
func (c *cluster) cancelAt(entry *process, path string) reply {
	return c.call(c.ctx, http.MethodDelete, entry, path, nil, 2*time.Second)
}
