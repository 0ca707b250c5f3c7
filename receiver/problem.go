package receiver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"agatevalve/common/task"
)

const (
	problemMediaType = "application/problem+json"
	// problemTypePrefix begins the type of each problem; a name in kebab-case
	// follows.
	problemTypePrefix = "urn:agatevalve:problem:"
)

// problem is a refusal or failure as callers see it, after RFC 9457.
type problem struct {
	status  int
	name    string
	detail  string
	outcome task.Outcome
	remedy  string
	// retryAt is zero when it isn't known when a new try may succeed.
	retryAt time.Time
}

type problemWire struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Remedy  string `json:"remedy"`
	Job     string `json:"job,omitempty"`
}

// notRun returns a refusal of something that never reached the core.
func notRun(status int, name, detail, remedy string) *problem {
	return &problem{status: status, name: name, detail: detail, outcome: task.NotRun, remedy: remedy}
}

// unlessRun keeps the refusal of a keyed request true that would have been taken
// at another time: an earlier one with its key may have run.
func (p *problem) unlessRun(r *http.Request) *problem {
	if r.Header.Get(headerKey) == "" {
		return p
	}
	p.outcome = task.MayHaveRun
	p.detail = "this submission was not run: " + p.detail + "; an earlier one with its key may have been"
	return p
}

func (c *Receiver) refuse(w http.ResponseWriter, p *problem) {
	c.refused.Inc(1)
	boundWrite(w)
	if p.status == http.StatusRequestEntityTooLarge {
		// The rest of the body is unread, so the connection can't go on.
		w.Header().Set("Connection", "close")
	}
	if !p.retryAt.IsZero() {
		w.Header().Set("Retry-After", retryAfter(p.retryAt, time.Now()))
	}
	body, err := json.Marshal(problemWire{
		Type:    problemTypePrefix + p.name,
		Title:   http.StatusText(p.status),
		Status:  p.status,
		Detail:  p.detail,
		Outcome: p.outcome.String(),
		Remedy:  p.remedy,
		Job:     w.Header().Get(headerJob),
	})
	if err != nil {
		c.o.Log.Error("receiver: Could not encode a refusal", "error", err)
		w.WriteHeader(p.status)
		return
	}
	w.Header().Set("Content-Type", problemMediaType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.status)
	_, _ = w.Write(body) // A caller that has left needs no answer.
}

// retryAfter returns whole seconds, at least one.
func retryAfter(at, now time.Time) string {
	wait := max(at.Sub(now), time.Second)
	return strconv.Itoa(int((wait + time.Second - 1) / time.Second))
}
