// Package connector is the HTTP client of the platform's table service.
//
// A commit must not be resent without the caller's knowledge, and its error must
// say whether it may have been applied. Request bodies therefore can't be resent
// by net/http, and the client records whether the last byte of a body was passed
// to the connection: without it, the service can't have applied the commit.
//
// A connection that makes no progress within a timeout is closed, together with
// all idle ones, so that the next call opens a new one. The timeout doubles when
// it expires, so that a slow service is not treated as a dead one for ever.
package connector

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"agatevalve/common/fault"
	"agatevalve/connector/encoder"
	"agatevalve/tabler"
)

var _ tabler.Table = (*Client)(nil)

const (
	defaultProgressTimeout = time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 30 * time.Second
	// maxConnections is the maximum number of connections to the service.
	maxConnections = 16
	// maxHeaderBytes is the maximum size of the header of a response.
	maxHeaderBytes = 64 << 10

	retryRemedy     = "retry later, or correct the address of the store if it stays so"
	uncertainRemedy = "read the rows to learn whether they were written"
)

var errNoProgress = errors.New("the connection made no progress")

// Options configures a Client.
type Options struct {
	// Store is the address of the table service.
	Store netip.AddrPort
	// ProgressTimeout is the initial and shortest time after which a call fails if
	// no byte was sent or received. The client raises it while the service is
	// slow. 0 means the default.
	ProgressTimeout time.Duration
	// Dial opens connections. If nil, they are opened over TCP, with ProgressTimeout
	// as the timeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client is a client of the table service, safe for concurrent use.
type Client struct {
	// store is the address that errors show.
	store           netip.AddrPort
	baseURL         string
	transport       *http.Transport
	progressTimeout *adaptiveTimeout
}

// New returns a Client. Connections are opened by the first calls.
func New(options Options) *Client {
	if options.ProgressTimeout == 0 {
		options.ProgressTimeout = defaultProgressTimeout
	}
	if options.Dial == nil {
		dialer := &net.Dialer{Timeout: options.ProgressTimeout}
		options.Dial = dialer.DialContext
	}
	return &Client{
		store:   options.Store,
		baseURL: "http://" + options.Store.String(),
		transport: &http.Transport{
			DialContext:            options.Dial,
			DisableCompression:     true,
			MaxConnsPerHost:        maxConnections,
			MaxIdleConnsPerHost:    maxConnections,
			MaxResponseHeaderBytes: maxHeaderBytes,
			IdleConnTimeout:        idleTimeout,
		},
		progressTimeout: newAdaptiveTimeout(options.ProgressTimeout),
	}
}

// Close closes the idle connections. Calls in flight are not interrupted.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Read returns the existing rows among keys.
func (c *Client) Read(ctx context.Context, keys []tabler.Key) ([]tabler.Row, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	body, err := encoder.EncodeRead(keys)
	if err != nil {
		return nil, err
	}
	rows, err := c.query(ctx, encoder.ReadPath, body)
	if err != nil {
		return nil, err
	}
	return rows, checkRead(keys, rows)
}

// Scan returns all rows of a table whose names begin with prefix, sorted by name.
func (c *Client) Scan(ctx context.Context, table, prefix string) ([]tabler.Row, error) {
	body, err := encoder.EncodeScan(table, prefix)
	if err != nil {
		return nil, err
	}
	rows, err := c.query(ctx, encoder.ScanPath, body)
	if err != nil {
		return nil, err
	}
	return rows, checkScan(table, prefix, rows)
}

// Commit applies either all writes, in one transaction, or none.
func (c *Client) Commit(ctx context.Context, writes []tabler.Write) (tabler.Result, error) {
	body, err := encoder.EncodeCommit(writes)
	if err != nil {
		return tabler.Result{}, err
	}
	reply, err := c.call(ctx, encoder.CommitPath, body)
	if err != nil {
		return tabler.Result{}, err
	}
	result, err := encoder.DecodeResult(reply)
	if err == nil {
		err = checkConflicts(writes, result.Conflicts)
	}
	if err != nil {
		return tabler.Result{}, fault.Wrap(err, fault.Uncertain, uncertainRemedy, "the reply to a commit is malformed")
	}
	return result, nil
}

// query is a call that writes nothing. It turns the kind Uncertain into
// Unavailable, since there is no write that may have been applied.
func (c *Client) query(ctx context.Context, path string, body []byte) ([]tabler.Row, error) {
	reply, err := c.call(ctx, path, body)
	if fault.KindOf(err) == fault.Uncertain {
		return nil, fault.Wrap(err, fault.Unavailable, retryRemedy, "could not read from the table service")
	}
	if err != nil {
		return nil, err
	}
	return encoder.DecodeRows(reply)
}

// call sends one request and returns the body of a response with status 200. A
// fault of kind Unavailable means that the request had no effect, and Uncertain
// that it may have had one.
func (c *Client) call(ctx context.Context, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := c.progressTimeout.startWatchdog(func() { cancel(errNoProgress) })
	defer watchdog.stop()
	requestBody := newSingleUseBody(body, watchdog.reset)

	reply, status, err := c.exchange(ctx, path, requestBody, watchdog)
	sentWhole := requestBody.stop()
	if err != nil {
		if errors.Is(context.Cause(ctx), errNoProgress) {
			err = errNoProgress
			c.progressTimeout.increase()
			c.transport.CloseIdleConnections()
		}
		if !sentWhole {
			return nil, fault.Wrap(err, fault.Unavailable, retryRemedy, "could not send to the table service at %s", c.store)
		}
		return nil, fault.Wrap(err, fault.Uncertain, uncertainRemedy, "no reply from the table service at %s", c.store)
	}
	watchdog.recordLatency()
	if status == http.StatusOK {
		return reply, nil
	}
	if refusal, ok := encoder.DecodeFault(reply); ok {
		return nil, refusal
	}
	return nil, fault.New(fault.Uncertain, uncertainRemedy, "the table service answered with status %d", status)
}

// exchange sends a request and returns the body and the status of the response.
// It reports progress to watchdog.
func (c *Client) exchange(ctx context.Context, path string, body *singleUseBody, watchdog *watchdog) ([]byte, int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, body)
	if err != nil {
		return nil, 0, err
	}
	request.ContentLength = int64(body.size)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, 0, err
	}
	watchdog.reset()
	defer func() { _ = response.Body.Close() }() // The body was read or is not needed.
	reply, err := io.ReadAll(&progressReader{source: io.LimitReader(response.Body, encoder.MaxBytes+1), watchdog: watchdog})
	if err != nil {
		return nil, 0, err
	}
	if len(reply) > encoder.MaxBytes {
		return nil, 0, fault.New(fault.TooLarge, "ask for fewer rows", "the response exceeds %d bytes", encoder.MaxBytes)
	}
	return reply, response.StatusCode, nil
}
