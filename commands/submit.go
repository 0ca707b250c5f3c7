package commands

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"agatevalve/common/fault"
)

const (
	// submitMediaType is the content type of a job.
	submitMediaType = "application/vnd.agatevalve.job+json"
	// maxJobBytes is the maximum size of a job file; entries have limits of their
	// own.
	maxJobBytes = 256 << 20
	// maxAnswerBytes is the size at which an answer is truncated.
	maxAnswerBytes = 1 << 30
	// submitProgressInterval is the interval between progress messages.
	submitProgressInterval = 2 * time.Second
	// submitGracePeriod is the time after the deadline in which the answer may
	// still arrive.
	submitGracePeriod = time.Second
)

// SubmitCommand sends a job and prints its answer.
type SubmitCommand struct {
	File     string         `arg:"" help:"Job file (JSON): {\"tasks\":[{\"method\":\"POST\",\"path\":\"/holds/1\",\"body\":\"text\"}]}; - reads standard input."`
	Entry    netip.AddrPort `help:"Address of an entry's listener for callers." required:"" placeholder:"IP:PORT"`
	Path     string         `help:"Path of the job, which the routes match; tasks without a path get it." required:"" placeholder:"PATH"`
	Host     string         `help:"Host of the job, which the routes match." placeholder:"HOST"`
	Team     string         `help:"Team that the job counts for." placeholder:"TEAM"`
	Key      string         `help:"Idempotency key: the same key and file give the same answer and run nothing twice. A new one is made and printed when absent."`
	Deadline time.Time      `help:"Absolute deadline in RFC 3339, such as 2026-01-02T15:04:05Z; the entry's default when absent."`
}

// Help describes the exit codes of the command.
func (*SubmitCommand) Help() string {
	return `Exit codes: 0 complete, and the answer is printed; 1 it ran and failed; 2 not run, since the input is wrong; 3 not run, since the key belongs to another job; 4 not run, and a later try may succeed; 5 it may have run: do as the remedy says, mostly submit the same file again with the same key.`
}

// Run submits the job, and retries until an entry has answered. The idempotency
// key makes it safe to send the job again after a lost connection.
func (s *SubmitCommand) Run(c *console) error {
	if !s.Deadline.IsZero() && !s.Deadline.After(time.Now()) {
		return fault.New(fault.Invalid, "name a time ahead, and check the clock", "the deadline %s has passed", s.Deadline.Format(time.RFC3339))
	}
	body, err := readJob(s.File)
	if err != nil {
		return err
	}
	if s.Key == "" {
		s.Key = string(newToken())
	}
	ctx, cancel := s.newContext(c)
	defer cancel()
	c.printToStderr("submit: Sent %d bytes under key %s", len(body), s.Key)
	stop := c.startProgress(s.Deadline)
	answer, err := s.sendUntilAnswered(ctx, body)
	stop()
	if err != nil {
		return err
	}
	c.printToStderr("submit: Job %s was answered with %s", answer.job, http.StatusText(answer.status))
	if answer.status == http.StatusOK {
		return c.print("%s", answer.body)
	}
	return answer.asError()
}

// newContext returns a context that ends submitGracePeriod after the deadline, or
// on SIGINT or SIGTERM. Without a deadline, --timeout applies.
func (s *SubmitCommand) newContext(c *console) (context.Context, context.CancelFunc) {
	if s.Deadline.IsZero() {
		return c.newContext()
	}
	withDeadline := *c
	withDeadline.flags.Timeout = time.Until(s.Deadline) + submitGracePeriod
	return withDeadline.newContext()
}

// readJob reads a job from a file, or from the standard input if path is -.
func readJob(path string) ([]byte, error) {
	const remedy = "name a job file that can be read"
	in := io.Reader(os.Stdin)
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, fault.Wrap(err, fault.NotFound, remedy, "job file %s", path)
		}
		defer func() { _ = file.Close() }() // Nothing was written, so an error does not matter.
		in = file
	}
	body, err := io.ReadAll(io.LimitReader(in, maxJobBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.NotFound, remedy, "job file %s", path)
	}
	if len(body) > maxJobBytes {
		return nil, fault.New(fault.TooLarge, "split the job", "the job has more than %d bytes", maxJobBytes)
	}
	return body, nil
}

// startProgress prints the time waited at an interval, until stop is called.
// stop returns after the last line.
func (c *console) startProgress(deadline time.Time) (stop func()) {
	stopping, stopped := make(chan struct{}), make(chan struct{})
	start := time.Now()
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(submitProgressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stopping:
				return
			case now := <-ticker.C:
				text := fmt.Sprintf("submit: Waited %s", now.Sub(start).Round(time.Second))
				if !deadline.IsZero() {
					text += fmt.Sprintf(", deadline in %s", deadline.Sub(now).Round(time.Second))
				}
				c.printToStderr("%s", text)
			}
		}
	}()
	return func() {
		close(stopping)
		<-stopped
	}
}

// submitAnswer is the HTTP response of an entry.
type submitAnswer struct {
	status int
	job    string
	body   []byte
}

// sendUntilAnswered sends the job, and retries failed attempts until ctx ends.
// Once an attempt may have reached an entry, the job may have run: the error of
// that attempt takes precedence over later failures to connect.
func (s *SubmitCommand) sendUntilAnswered(ctx context.Context, body []byte) (submitAnswer, error) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var uncertainErr error
	for {
		answer, err := s.sendOnce(ctx, client, body)
		if err == nil {
			return answer, nil
		}
		if fault.KindOf(err) == fault.Uncertain {
			uncertainErr = err
		}
		if fault.KindOf(err) == fault.Invalid || waitBeforeRetry(ctx) != nil {
			return submitAnswer{}, cmp.Or(uncertainErr, err)
		}
	}
}

// sendOnce makes one attempt. An error of kind Unavailable means that no
// connection was made, so nothing was sent; Uncertain, that the job may have run.
func (s *SubmitCommand) sendOnce(ctx context.Context, client *http.Client, body []byte) (submitAnswer, error) {
	url := "http://" + s.Entry.String() + s.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return submitAnswer{}, fault.Wrap(err, fault.Invalid, "write a path such as /holds", "path %s", s.Path)
	}
	request.Host = s.Host
	request.Header.Set("Content-Type", submitMediaType)
	request.Header.Set("Idempotency-Key", s.Key)
	if s.Team != "" {
		request.Header.Set("Agatevalve-Team", s.Team)
	}
	if !s.Deadline.IsZero() {
		request.Header.Set("Agatevalve-Deadline", s.Deadline.Format(time.RFC3339Nano))
	}
	remedy := "submit the same file again with --key " + s.Key
	response, err := client.Do(request)
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return submitAnswer{}, fault.Wrap(err, fault.Unavailable, "check that the entry runs and is reachable", "send to %s", url)
	}
	if err != nil {
		return submitAnswer{}, fault.Wrap(err, fault.Uncertain, remedy, "send to %s", url)
	}
	defer func() { _ = response.Body.Close() }() // The body was read, so an error does not matter.
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return submitAnswer{}, fault.Wrap(err, fault.Uncertain, remedy, "the answer was cut")
	}
	return submitAnswer{response.StatusCode, response.Header.Get("Agatevalve-Job"), content}, nil
}

// wireProblem holds the members of a problem document (RFC 9457) that the
// command uses.
type wireProblem struct {
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Remedy  string `json:"remedy"`
}

// asError converts a response other than 200 to an error whose kind gives the exit
// code. An answer that is not a problem document of an entry is uncertain.
func (a submitAnswer) asError() error {
	var problem wireProblem
	if err := json.Unmarshal(a.body, &problem); err != nil || problem.Outcome == "" || problem.Remedy == "" {
		return errors.Join(fault.New(fault.Uncertain, "check that the address is that of an entry's callers", "the answer with status %d is no entry's", a.status), err)
	}
	kind := fault.Uncertain
	switch {
	case problem.Outcome == "not-run" && a.status == http.StatusUnprocessableEntity:
		kind = fault.Conflict
	case problem.Outcome == "not-run" && a.status < http.StatusInternalServerError && a.status != http.StatusTooManyRequests:
		kind = fault.Invalid
	case problem.Outcome == "not-run":
		kind = fault.Unavailable
	case problem.Outcome == "failed":
		kind = fault.Internal
	}
	return fault.New(kind, problem.Remedy, "%s (status %d): %s", problem.Outcome, a.status, problem.Detail)
}
