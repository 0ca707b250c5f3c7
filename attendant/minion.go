package attendant

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"agatevalve/common/task"
	"agatevalve/runner"
)

const (
	// connectWithin bounds the set-up of a connection to the minion, which is
	// on the same machine.
	connectWithin = time.Second
	// maxHeaderBytes caps the header of a minion's response.
	maxHeaderBytes = 64 << 10
	// maxStatus is the highest status that HTTP defines.
	maxStatus = 599
	// taskIDHeader carries the id of the task, the same for all its attempts.
	taskIDHeader = "Task-Id"
	// maxReasonBytes caps the reason of a broken task.
	maxReasonBytes = 512
)

// Minion is the client of the HTTP server beside the agent.
//
// It opens a connection for each task. A kept one may have been closed by the
// minion a moment ago: net/http then sends a request without body again, which
// may start the task twice, and fails one with a body, which may not have run.
type Minion struct {
	address   netip.AddrPort
	transport *http.Transport
	// maxBytes caps the body of one response.
	maxBytes int
}

// NewMinion returns a client that keeps at most maxBytes of a response body.
func NewMinion(address netip.AddrPort, maxBytes int) *Minion {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: connectWithin}
	return &Minion{
		address:  address,
		maxBytes: maxBytes,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, target string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, target)
				if err != nil {
					return nil, &dialError{err}
				}
				return conn, nil
			},
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
			Protocols:              protocols,
		},
	}
}

// dialError proves that nothing of a request was sent.
type dialError struct{ error }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.error }

// Run sends a task and returns how it ended.
func (m *Minion) Run(ctx context.Context, s task.Start) runner.Event {
	response, err := m.call(ctx, s)
	var dial *dialError
	switch {
	case err == nil:
		return runner.MinionAnswered{Task: s.Task, Attempt: s.Attempt, Response: response}
	case errors.As(err, &dial):
		return runner.MinionUnreached{Task: s.Task, Attempt: s.Attempt}
	}
	return runner.MinionFailed{Task: s.Task, Attempt: s.Attempt, Reason: reasonOf(err)}
}

func (m *Minion) call(ctx context.Context, s task.Start) (task.Response, error) {
	request, err := m.request(ctx, s)
	if err != nil {
		return task.Response{}, err
	}
	response, err := m.transport.RoundTrip(request)
	if err != nil {
		return task.Response{}, err
	}
	defer func() { _ = response.Body.Close() }() // The connection is used once.
	if err := checkWhole(response); err != nil {
		return task.Response{}, err
	}
	body, err := m.readBody(response)
	if err != nil {
		return task.Response{}, err
	}
	return task.Response{
		Status: response.StatusCode,
		Header: endToEnd(response.Header),
		Body:   body,
	}, nil
}

// request builds the request by hand, without GetBody, so that the transport
// has no means to send the body twice.
func (m *Minion) request(ctx context.Context, s task.Start) (*http.Request, error) {
	target, err := url.ParseRequestURI(s.Request.Path)
	if err != nil {
		return nil, &dialError{fmt.Errorf("path of the task: %w", err)}
	}
	target.Scheme = "http"
	target.Host = m.address.String()
	header := endToEnd(s.Request.Header)
	header.Set(taskIDHeader, s.Task.Job.String()+"-"+strconv.Itoa(s.Task.Index))
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // Keeps net/http from adding its own.
	}
	request := &http.Request{
		Method: s.Request.Method,
		URL:    target,
		Host:   s.Request.Host,
		Header: header,
	}
	if len(s.Request.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(s.Request.Body))
		request.ContentLength = int64(len(s.Request.Body))
	}
	return request.WithContext(ctx), nil
}

func (m *Minion) readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength > int64(m.maxBytes) {
		return nil, m.tooLarge()
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(m.maxBytes)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > m.maxBytes {
		return nil, m.tooLarge()
	}
	return body, nil
}

func (m *Minion) tooLarge() error {
	return fmt.Errorf("the minion's answer has more than %d bytes; raise the agent's setting result-bytes", m.maxBytes)
}

// checkWhole returns an error when the end of the body could not be told from
// a connection that was cut.
func checkWhole(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return fmt.Errorf("the minion answered with the status %d, which ends no request", response.StatusCode)
	}
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength < 0 && !chunked {
		return errors.New("the minion's answer has no length; let it send Content-Length or chunks")
	}
	return nil
}

func reasonOf(err error) string {
	text := "the minion gave no whole answer: " + err.Error()
	if len(text) > maxReasonBytes {
		text = text[:maxReasonBytes]
	}
	return text
}
