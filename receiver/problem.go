package receiver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"agatevalve/common/task"
)

const (
	// problemMediaType is the content type of a problem document (RFC 9457).
	problemMediaType = "application/problem+json"
	// problemTypePrefix is the first part of a problem's type URI; a name in
	// kebab-case follows.
	problemTypePrefix = "urn:agatevalve:problem:"
)

// problem is a refusal or failure that is sent as a problem document (RFC
// 9457).
type problem struct {
	status int
	// typeName is the last part of the type URI.
	typeName string
	detail   string
	outcome  task.Outcome
	remedy   string
	// retryAt is zero when it is unknown when a retry may succeed.
	retryAt time.Time
}

// problemWire is the JSON form of a problem.
type problemWire struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Remedy  string `json:"remedy"`
	Job     string `json:"job,omitempty"`
}

// notRun returns the refusal of a request that was not submitted to the core.
func notRun(status int, name, detail, remedy string) *problem {
	return &problem{status: status, typeName: name, detail: detail, outcome: task.NotRun, remedy: remedy}
}

// mayHaveRunIfKeyed sets the outcome to MayHaveRun if the request has an
// idempotency key. It applies to refusals that depend on the time or the
// configuration: an earlier submission with the same key may have been accepted
// and run.
func (p *problem) mayHaveRunIfKeyed(r *http.Request) *problem {
	if r.Header.Get(headerKey) == "" {
		return p
	}
	p.outcome = task.MayHaveRun
	p.detail = "this submission was not run: " + p.detail + "; an earlier one with its key may have been"
	return p
}

// refuse sends a problem document.
func (c *Receiver) refuse(w http.ResponseWriter, p *problem) {
	c.refusals.Inc(1)
	setWriteDeadline(w)
	if p.status == http.StatusRequestEntityTooLarge {
		// The rest of the body is unread, so the connection can't be reused.
		w.Header().Set("Connection", "close")
	}
	if !p.retryAt.IsZero() {
		w.Header().Set("Retry-After", retryAfter(p.retryAt, time.Now()))
	}
	body, err := json.Marshal(problemWire{
		Type:    problemTypePrefix + p.typeName,
		Title:   http.StatusText(p.status),
		Status:  p.status,
		Detail:  p.detail,
		Outcome: p.outcome.String(),
		Remedy:  p.remedy,
		Job:     w.Header().Get(headerJob),
	})
	if err != nil {
		c.options.Log.Error("receiver: Could not encode a problem document", "error", err)
		w.WriteHeader(p.status)
		return
	}
	w.Header().Set("Content-Type", problemMediaType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.status)
	_, _ = w.Write(body) // The caller may have disconnected.
}

// retryAfter returns the value of Retry-After: whole seconds, rounded up, at
// least 1.
func retryAfter(at, now time.Time) string {
	wait := max(at.Sub(now), time.Second)
	return strconv.Itoa(int((wait + time.Second - 1) / time.Second))
}
