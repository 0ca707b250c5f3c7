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

// retryPause is the time between two tries of a call with an unknown fate.
const retryPause = 200 * time.Millisecond

// console is what commands need to talk to people, programs and the store.
type console struct {
	root   root
	stdout io.Writer
	stderr io.Writer
}

func newConsole(r root, stdout, stderr io.Writer) *console {
	return &console{root: r, stdout: stdout, stderr: stderr}
}

// json reports whether the output is for programs.
func (c *console) json() bool { return c.root.Format == "json" }

// context returns a context that ends with the timeout or an interrupt.
func (c *console) context() (context.Context, context.CancelFunc) {
	interrupted, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(interrupted, c.root.Timeout)
	return ctx, func() {
		cancel()
		stop()
	}
}

// store is a connection to the table service.
type store struct {
	*connector.Client
	historian *historian.Historian
	publisher *publisher.Publisher
}

// store connects to the table service. The caller closes it.
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

// withStore runs a function with a connection and a context.
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

func newToken() historian.Token {
	var token [8]byte
	_, _ = rand.Read(token[:]) // crypto/rand.Read never returns an error.
	return historian.Token(hex.EncodeToString(token[:]))
}

func pause(ctx context.Context) error {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// print writes text to the output.
func (c *console) print(format string, args ...any) error {
	_, err := fmt.Fprintf(c.stdout, format, args...)
	return err
}

// note writes a line of progress or warning for people.
func (c *console) note(format string, args ...any) {
	_, _ = fmt.Fprintf(c.stderr, format+"\n", args...) // Progress is not a result.
}

// encode writes a wire struct as indented JSON.
func (c *console) encode(wire any) error {
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(wire)
}

// table writes rows in columns; the first row is the heading.
func (c *console) table(rows [][]string) error {
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.TrimRight(strings.Join(row, "\t"), "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

type wireError struct {
	Error  string `json:"error"`
	Kind   string `json:"kind"`
	Remedy string `json:"remedy"`
	Code   int    `json:"exit-code"`
}

// fail prints an error with its remedy and returns the exit code.
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
		_ = encoder.Encode(wireError{text, fault.KindOf(err).String(), remedy, code}) // The code still tells.
		return code
	}
	c.note("agatevalve: %s\nremedy: %s", text, remedy)
	return code
}

// describe returns what went wrong, without the remedy.
func describe(err error) string {
	return strings.TrimSuffix(err.Error(), "; "+fault.RemedyOf(err))
}

// errUsage names the command whose help tells what is wrong.
func errUsage(err error) error {
	command := "agatevalve"
	var parse *kong.ParseError
	if errors.As(err, &parse) && parse.Context != nil && parse.Context.Selected() != nil {
		command = parse.Context.Selected().FullPath()
	}
	return fault.New(fault.Invalid, "see "+command+" --help", "%s", err)
}
