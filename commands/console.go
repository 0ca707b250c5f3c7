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

// retryPause is the time between two attempts of a call that failed or whose
// outcome is unknown.
const retryPause = 200 * time.Millisecond

// console gives commands the shared flags, the output streams and the store.
type console struct {
	root   root
	stdout io.Writer
	stderr io.Writer
}

func newConsole(r root, stdout, stderr io.Writer) *console {
	return &console{root: r, stdout: stdout, stderr: stderr}
}

// json reports whether --format asks for JSON.
func (c *console) json() bool { return c.root.Format == "json" }

// context returns a context that ends after --timeout, or on SIGINT or SIGTERM.
func (c *console) context() (context.Context, context.CancelFunc) {
	interrupted, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(interrupted, c.root.Timeout)
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

// store creates a client of the table service. The caller closes it.
func (c *console) store() (*store, error) {
	if !c.root.Store.IsValid() {
		return nil, fault.New(fault.Invalid, "give --store IP:PORT or set AGATEVALVE_STORE", "no store is named")
	}
	client := connector.New(connector.Options{Store: c.root.Store})
	return &store{
		Client:    client,
		historian: historian.New(client),
		publisher: publisher.New(publisher.Options{
			Table: client, Now: time.Now, Token: newToken, Pause: pause,
		}),
	}, nil
}

// withStore runs a function with a client of the table service, which is closed
// afterwards, and with the context of the command.
func (c *console) withStore(run func(ctx context.Context, s *store) error) error {
	s, err := c.store()
	if err != nil {
		return err
	}
	defer s.Close()
	ctx, cancel := c.context()
	defer cancel()
	return run(ctx, s)
}

// newToken returns a random token of 64 bits, in hexadecimal.
func newToken() historian.Token {
	var token [8]byte
	_, _ = rand.Read(token[:]) // crypto/rand.Read never returns an error.
	return historian.Token(hex.EncodeToString(token[:]))
}

// pause waits before a call is repeated, or returns the error of ctx once ctx
// has ended.
func pause(ctx context.Context) error {
	timer := time.NewTimer(retryPause)
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

// note prints a line to the standard error: progress, a warning or an error.
func (c *console) note(format string, args ...any) {
	_, _ = fmt.Fprintf(c.stderr, format+"\n", args...) // The standard output holds the result.
}

// encode prints a value as indented JSON.
func (c *console) encode(wire any) error {
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(wire)
}

// table prints rows in aligned columns; the first row is the heading.
func (c *console) table(rows [][]string) error {
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

// fail prints an error with its remedy, and returns the exit code for it.
func (c *console) fail(err error) int {
	code := fault.ExitCode(err)
	remedy := fault.RemedyOf(err)
	if remedy == "" {
		remedy = "report this with the command line"
	}
	text := describe(err)
	if c.json() {
		encoder := json.NewEncoder(c.stderr)
		encoder.SetEscapeHTML(false)
		_ = encoder.Encode(wireError{text, fault.KindOf(err).String(), remedy, code}) // The exit code still reports the error.
		return code
	}
	c.note("agatevalve: %s\nremedy: %s", text, remedy)
	return code
}

// describe returns the message of an error without its remedy.
func describe(err error) string {
	return strings.TrimSuffix(err.Error(), "; "+fault.RemedyOf(err))
}

// errUsage wraps an error of kong with a remedy that refers to the help of the
// command that was to be run.
func errUsage(err error) error {
	command := "agatevalve"
	var parse *kong.ParseError
	if errors.As(err, &parse) && parse.Context != nil && parse.Context.Selected() != nil {
		command = parse.Context.Selected().FullPath()
	}
	return fault.New(fault.Invalid, "see "+command+" --help", "%s", err)
}
