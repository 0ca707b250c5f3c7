package commands

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"agatevalve/common/fault"
	"agatevalve/connector"
	"agatevalve/historian"
	"agatevalve/publisher"
)

// retryInterval is the time between two attempts of a call that failed or whose
// outcome is unknown.
const retryInterval = 200 * time.Millisecond

// console gives commands the shared flags, the output streams and the store.
type console struct {
	flags  sharedFlags
	stdout io.Writer
	stderr io.Writer
}

func newConsole(flags sharedFlags, stdout, stderr io.Writer) *console {
	return &console{flags: flags, stdout: stdout, stderr: stderr}
}

// wantsJSON reports whether --format asks for JSON.
func (c *console) wantsJSON() bool { return c.flags.Format == "json" }

// newContext returns a context that ends after --timeout, or on SIGINT or
// SIGTERM.
func (c *console) newContext() (context.Context, context.CancelFunc) {
	interrupted, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(interrupted, c.flags.Timeout)
	return ctx, func() {
		cancel()
		stop()
	}
}

// store is a client of the table service, with the reader and the writer of the
// configuration that use it.
type store struct {
	*connector.Client
	historian *historian.Historian
	publisher *publisher.Publisher
}

// openStore creates a client of the table service. The caller closes it.
func (c *console) openStore() (*store, error) {
	if !c.flags.Store.IsValid() {
		return nil, fault.New(fault.Invalid, "give --store IP:PORT or set AGATEVALVE_STORE", "no store is named")
	}
	client := connector.New(connector.Options{Store: c.flags.Store})
	return &store{
		Client:    client,
		historian: historian.New(client),
		publisher: publisher.New(publisher.Options{
			Table: client, Now: time.Now, Token: newToken, Pause: waitBeforeRetry,
		}),
	}, nil
}

// withStore runs a function with a client of the table service, which is closed
// afterwards, and with the context of the command.
func (c *console) withStore(run func(ctx context.Context, s *store) error) error {
	s, err := c.openStore()
	if err != nil {
		return err
	}
	defer s.Close()
	ctx, cancel := c.newContext()
	defer cancel()
	return run(ctx, s)
}

// newToken returns a random token of 64 bits, in hexadecimal.
func newToken() historian.Token {
	var token [8]byte
	_, _ = rand.Read(token[:]) // crypto/rand.Read never returns an error.
	return historian.Token(hex.EncodeToString(token[:]))
}

// waitBeforeRetry waits for retryInterval, or returns the error of ctx once ctx
// has ended.
func waitBeforeRetry(ctx context.Context) error {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// print formats text to the standard output.
func (c *console) print(format string, args ...any) error {
	_, err := fmt.Fprintf(c.stdout, format, args...)
	return err
}

// printToStderr prints a line to the standard error: progress, a warning or an
// error.
func (c *console) printToStderr(format string, args ...any) {
	_, _ = fmt.Fprintf(c.stderr, format+"\n", args...) // The standard output holds the result.
}

// printJSON prints a value as indented JSON.
func (c *console) printJSON(value any) error {
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// printTable prints rows in aligned columns; the first row is the heading.
func (c *console) printTable(rows [][]string) error {
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.TrimRight(strings.Join(row, "\t"), "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// wireError is the JSON form of an error, printed to the standard error.
type wireError struct {
	Error  string `json:"error"`
	Kind   string `json:"kind"`
	Remedy string `json:"remedy"`
	Code   int    `json:"exit-code"`
}

// printError prints an error with its remedy, and returns the exit code for it.
func (c *console) printError(err error) int {
	code := fault.ExitCode(err)
	remedy := fault.RemedyOf(err)
	if remedy == "" {
		remedy = "report this with the command line"
	}
	text := messageWithoutRemedy(err)
	if c.wantsJSON() {
		encoder := json.NewEncoder(c.stderr)
		encoder.SetEscapeHTML(false)
		_ = encoder.Encode(wireError{text, fault.KindOf(err).String(), remedy, code}) // The exit code still reports the error.
		return code
	}
	c.printToStderr("agatevalve: %s\nremedy: %s", text, remedy)
	return code
}

// messageWithoutRemedy returns the message of an error without its remedy.
func messageWithoutRemedy(err error) string {
	return strings.TrimSuffix(err.Error(), "; "+fault.RemedyOf(err))
}

// errUsage wraps an error of kong with a remedy that refers to the help of the
// command that was to be run.
func errUsage(err error) error {
	command := "agatevalve"
	var parseErr *kong.ParseError
	if errors.As(err, &parseErr) && parseErr.Context != nil && parseErr.Context.Selected() != nil {
		command = parseErr.Context.Selected().FullPath()
	}
	return fault.New(fault.Invalid, "see "+command+" --help", "%s", err)
}
