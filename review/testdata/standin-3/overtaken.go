package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["overtaken"] = overtaken }

const (
	// freezeTime is the length of the freeze, and channelAge the time for which the
	// client's channel has been open before it.
	freezeTime = time.Second
	channelAge = 2 * time.Second
)

// overtaken freezes an entry for a moment. Meanwhile a client submits a job over a
// channel that it had used before, and cancels it over another one.
func overtaken(c *cluster, trouble bool) ([]string, error) {
	c.workOf = longWork
	if err := c.startSite(); err != nil {
		return nil, err
	}
	entry := c.entries[0]
	kept := &http.Client{Transport: &http.Transport{}} // Keeps its channel open.
	url := fmt.Sprintf("http://%s:%d%s", entry.ip, callersPort, prefix)
	if _, err := c.send(kept, http.MethodGet, url, nil, time.Second); err != nil {
		return nil, err
	}
	time.Sleep(channelAge)
	id := newJobID()
	body, _ := json.Marshal(map[string]any{"spec": "task of " + id, "best_effort": true, "steps": []any{longStep()}})
	if trouble {
		entry.kill(syscall.SIGSTOP)
		c.add("%s freezes", entry.node)
		time.AfterFunc(freezeTime, func() {
			entry.kill(syscall.SIGCONT)
			c.add("%s wakes", entry.node)
		})
	}
	pending := make(chan reply, 1)
	go func() {
		r, _ := c.send(kept, http.MethodPost, url+id, body, 20*time.Second)
		pending <- r
	}()
	time.Sleep(300 * time.Millisecond)
	return c.checkGone(entry, id, pending, func() {})
}

// send sends a request with a client that may keep its channel.
func (c *cluster) send(client *http.Client, method, url string, body []byte, patience time.Duration) (reply, error) {
	ctx, cancel := context.WithTimeout(c.ctx, patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(string(body)))
	if err != nil {
		return reply{}, err
	}
	request.Host = host
	request.Header["Deadline-Ms"] = []string{fmt.Sprint(patience.Milliseconds())}
	c.add("client sends %s %s over a channel that it keeps", method, url)
	response, err := client.Do(request)
	if err != nil {
		c.add("client gets no response to %s %s: %v", method, url, err)
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	c.add("client gets %d %s to %s %s", response.StatusCode, answer, method, url)
	return reply{status: response.StatusCode, body: string(answer), at: time.Now()}, err
}
