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
	// dialTimeout bounds the connection set-up to the minion, which runs on the
	// same machine.
	dialTimeout = time.Second
	// maxHeaderBytes caps the header of a minion's response.
	maxHeaderBytes = 64 << 10
	// maxStatus is the highest valid HTTP status.
	maxStatus = 599
	// taskIDHeader carries the ID of the task, which is the same for all its
	// attempts.
	taskIDHeader = "Task-Id"
	// maxReasonBytes caps the failure reason of a task.
	maxReasonBytes = 512
)

// MinionClient sends tasks to the HTTP server beside the agent.
//
// It opens a connection for each task. The minion may close a kept-alive
// connection just before a request is sent: net/http then resends a request
// without a body, which may start the task twice, and fails one with a body,
// which may not have run.
type MinionClient struct {
	address   netip.AddrPort
	transport *http.Transport
	// maxBytes caps the body of one response.
	maxBytes int
}

// NewMinionClient returns a client that accepts response bodies of at most
// maxBytes.
func NewMinionClient(address netip.AddrPort, maxBytes int) *MinionClient {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &MinionClient{
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

// dialError is an error that occurred before anything of the request was sent.
type dialError struct{ error }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.error }

// Run sends a task and returns the event of its result.
func (m *MinionClient) Run(ctx context.Context, s task.Start) runner.Event {
	response, err := m.call(ctx, s)
	var dial *dialError
	switch {
	case err == nil:
		return runner.MinionAnswered{Task: s.Task, Attempt: s.Attempt, Response: response}
	case errors.As(err, &dial):
		return runner.MinionUnreached{Task: s.Task, Attempt: s.Attempt}
	}
	return runner.MinionFailed{Task: s.Task, Attempt: s.Attempt, Reason: failureReason(err)}
}

// call sends a task and reads the whole response.
func (m *MinionClient) call(ctx context.Context, s task.Start) (task.Response, error) {
	request, err := m.request(ctx, s)
	if err != nil {
		return task.Response{}, err
	}
	response, err := m.transport.RoundTrip(request)
	if err != nil {
		return task.Response{}, err
	}
	defer func() { _ = response.Body.Close() }() // The connection is not reused.
	if err := checkDelimited(response); err != nil {
		return task.Response{}, err
	}
	body, err := m.readBody(response)
	if err != nil {
		return task.Response{}, err
	}
	return task.Response{
		Status: response.StatusCode,
		Header: endToEndHeader(response.Header),
		Body:   body,
	}, nil
}

// request builds the request without http.NewRequest, which would set GetBody
// and so let the transport resend the body.
func (m *MinionClient) request(ctx context.Context, s task.Start) (*http.Request, error) {
	target, err := url.ParseRequestURI(s.Request.Path)
	if err != nil {
		return nil, &dialError{fmt.Errorf("path of the task: %w", err)}
	}
	target.Scheme = "http"
	target.Host = m.address.String()
	header := endToEndHeader(s.Request.Header)
	header.Set(taskIDHeader, s.Task.Job.String()+"-"+strconv.Itoa(s.Task.Index))
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // Stops net/http from adding its own.
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

// readBody reads the whole body within the size limit.
func (m *MinionClient) readBody(response *http.Response) ([]byte, error) {
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

func (m *MinionClient) tooLarge() error {
	return fmt.Errorf("the minion's answer has more than %d bytes; raise the agent's setting result-bytes", m.maxBytes)
}

// checkDelimited returns an error when the status is not a final one, or when
// the body has neither a length nor chunks, so that its end looks like a closed
// connection.
func checkDelimited(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return fmt.Errorf("the minion answered with the status %d, which ends no request", response.StatusCode)
	}
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength < 0 && !chunked {
		return errors.New("the minion's answer has no length; let it send Content-Length or chunks")
	}
	return nil
}

// failureReason returns the text of an error, truncated to maxReasonBytes.
func failureReason(err error) string {
	text := "the minion gave no whole answer: " + err.Error()
	if len(text) > maxReasonBytes {
		text = text[:maxReasonBytes]
	}
	return text
}
