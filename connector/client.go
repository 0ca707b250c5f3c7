// Package connector is the HTTP client of the platform's table service.
//
// A commit must never be sent twice unawares, and its error must tell whether
// it may have taken effect. The client therefore sends bodies that net/http
// can't send again, and watches whether the last byte of a body was handed to
// the connection: a service that lacks it can't have acted.
//
// A connection that makes no progress for a while is closed, and the idle ones
// with it, so that the next call opens a new one. The patience of the client
// grows while the service is slow, so that a slow service isn't taken for a
// silent one for ever.
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
	defaultProgress = time.Second
	// idleFor is how long an unused connection is kept.
	idleFor = 30 * time.Second
	// maxConnections bounds the connections to the service.
	maxConnections = 16
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10

	unsentRemedy    = "retry later, or correct the address of the store if it stays so"
	uncertainRemedy = "read the rows to learn whether they were written"
)

var errSilent = errors.New("the connection made no progress")

// Options configure a Client.
type Options struct {
	// Store is the address of the table service.
	Store netip.AddrPort
	// Progress is how long a call may go without sending or receiving a byte;
	// 0 takes the default. It grows while the service is slow.
	Progress time.Duration
	// Dial opens connections; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client is a client of the table service, safe for concurrent use.
type Client struct {
	// store stands in errors.
	store     netip.AddrPort
	base      string
	transport *http.Transport
	patience  *patience
}

// New returns a Client. It opens no connection yet.
func New(options Options) *Client {
	if options.Progress == 0 {
		options.Progress = defaultProgress
	}
	if options.Dial == nil {
		dialer := &net.Dialer{Timeout: options.Progress}
		options.Dial = dialer.DialContext
	}
	return &Client{
		store: options.Store,
		base:  "http://" + options.Store.String(),
		transport: &http.Transport{
			DialContext:            options.Dial,
			DisableCompression:     true,
			MaxConnsPerHost:        maxConnections,
			MaxIdleConnsPerHost:    maxConnections,
			MaxResponseHeaderBytes: maxHeaderBytes,
			IdleConnTimeout:        idleFor,
		},
		patience: newPatience(options.Progress),
	}
}

// Close closes the idle connections. Calls in flight end by themselves.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Read returns the rows that exist among keys.
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

// Scan returns all rows of a table whose names begin with prefix, by name.
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

// Commit applies all writes, or none.
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

// query is a call without effects, so that no failure leaves a doubt.
func (c *Client) query(ctx context.Context, path string, body []byte) ([]tabler.Row, error) {
	reply, err := c.call(ctx, path, body)
	if fault.KindOf(err) == fault.Uncertain {
		return nil, fault.Wrap(err, fault.Unavailable, unsentRemedy, "could not read from the table service")
	}
	if err != nil {
		return nil, err
	}
	return encoder.DecodeRows(reply)
}

// call sends one request and returns the body of a response with status 200.
func (c *Client) call(ctx context.Context, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := c.patience.watch(func() { cancel(errSilent) })
	defer watch.stop()
	sending := newOnceBody(body, watch.touch)

	reply, status, err := c.exchange(ctx, path, sending, watch)
	sent := sending.seal()
	if err != nil {
		if errors.Is(context.Cause(ctx), errSilent) {
			err = errSilent
			c.patience.grow()
			c.transport.CloseIdleConnections()
		}
		if !sent {
			return nil, fault.Wrap(err, fault.Unavailable, unsentRemedy, "could not send to the table service at %s", c.store)
		}
		return nil, fault.Wrap(err, fault.Uncertain, uncertainRemedy, "no reply from the table service at %s", c.store)
	}
	watch.succeed()
	if status == http.StatusOK {
		return reply, nil
	}
	if refusal, ok := encoder.DecodeFault(reply); ok {
		return nil, refusal
	}
	return nil, fault.New(fault.Uncertain, uncertainRemedy, "the table service answered with status %d", status)
}

func (c *Client) exchange(ctx context.Context, path string, body *onceBody, watch *watch) ([]byte, int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, body)
	if err != nil {
		return nil, 0, err
	}
	request.ContentLength = int64(body.size)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, 0, err
	}
	watch.touch()
	defer func() { _ = response.Body.Close() }() // Nothing depends on the rest.
	reply, err := io.ReadAll(&watchedReader{source: io.LimitReader(response.Body, encoder.MaxBytes+1), watch: watch})
	if err != nil {
		return nil, 0, err
	}
	if len(reply) > encoder.MaxBytes {
		return nil, 0, fault.New(fault.TooLarge, "ask for fewer rows", "the response exceeds %d bytes", encoder.MaxBytes)
	}
	return reply, response.StatusCode, nil
}
