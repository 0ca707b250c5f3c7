package testscripts_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"agatevalve/commands"
	"agatevalve/emulator"
)

const (
	// listenWithin bounds the start of a process.
	listenWithin = 20 * time.Second
	dialPause    = 20 * time.Millisecond
	writeMode    = 0o600
	// directoryMode is that of the directories that scripts use.
	directoryMode = 0o700
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"agatevalve": func() { os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs each script in a directory of its own, with platform.json
// for a stand-in on a free port of 127.0.0.1.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../examples")
	if err != nil {
		t.Fatal(err)
	}
	programs := buildPrograms(t)
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			store, err := ports.Free()
			if err != nil {
				return err
			}
			env.Setenv("AGATEVALVE_STORE", store.String())
			env.Setenv("AGATEVALVE_WHO", "ana")
			env.Setenv("EXAMPLES", examples)
			env.Setenv("PROGRAMS", programs)
			env.Setenv("PATH", env.Getenv("PATH")+string(os.PathListSeparator)+programs)
			if err := copyExamples(env, examples); err != nil {
				return err
			}
			return writeSettings(env, store)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"exits":              exits,
			"listening":          listening,
			"fault":              switchFault,
			"entry":              startEntry,
			"agent":              startAgent,
			"fetch":              fetch,
			"shows":              shows,
			"documented":         documented,
			"documented-metrics": documentedMetrics,
		},
	})
}

// ports are those of this package; entry takes others at the same time.
var ports = emulator.NewPorts(26000, 32000)

// buildPrograms builds both programs as the pages say, and returns where. The
// scripts run agatevalve from the test's own binary, which may look for races.
func buildPrograms(t *testing.T) string {
	t.Helper()
	directory := t.TempDir() + string(filepath.Separator)
	arguments := strings.Fields(strings.Replace(buildCommand, "bin/", directory, 1))
	build := exec.CommandContext(t.Context(), arguments[0], arguments[1:]...)
	build.Dir = ".."
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", buildCommand, err, output)
	}
	return directory
}

// writeSettings writes settings files with free addresses, which stand in
// variables too.
func writeSettings(env *testscript.Env, store netip.AddrPort) error {
	addresses := map[string]netip.AddrPort{"STORE": store}
	for _, name := range []string{"CALLERS", "OPERATORS", "INTERNAL", "AGENT"} {
		address, err := ports.Free()
		if err != nil {
			return err
		}
		addresses[name] = address
		env.Setenv(name, address.String())
	}
	files := map[string]string{
		"platform.json": `{
  "listen": "$STORE",
  "write-takes": "1ms"
}`,
		"entry.json": `{
  "name": "entry-1", "zone": "cartago",
  "callers": "$CALLERS", "operators": "$OPERATORS", "internal": "$INTERNAL",
  "store": "$STORE",
  "limits": {"stop-notice": "0s"}
}`,
	}
	for name, text := range files {
		text = os.Expand(text, func(key string) string { return addresses[key].String() })
		if err := os.WriteFile(filepath.Join(env.WorkDir, name), []byte(text), writeMode); err != nil {
			return err
		}
	}
	return nil
}

// exits runs a command and compares its exit code: exits CODE COMMAND ARGS.
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND ARGS")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var exit *exec.ExitError
		if !errors.As(err, &exit) {
			ts.Fatalf("%v", err)
		}
		got = exit.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// listening waits until an address accepts connections: listening ADDRESS.
func listening(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: listening ADDRESS")
	}
	deadline := time.Now().Add(listenWithin)
	for time.Now().Before(deadline) {
		connection, err := net.DialTimeout("tcp", args[0], time.Second)
		if err == nil {
			_ = connection.Close()
			return
		}
		time.Sleep(dialPause)
	}
	ts.Fatalf("%s does not accept connections", args[0])
}

// shows runs a command until its output holds a match: shows REGEXP COMMAND ARGS.
func shows(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: shows REGEXP COMMAND ARGS")
	}
	wanted, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	deadline := time.Now().Add(listenWithin)
	for time.Now().Before(deadline) {
		ts.Check(ts.Exec(args[1], args[2:]...))
		if wanted.MatchString(ts.ReadFile("stdout")) {
			return
		}
		time.Sleep(dialPause)
	}
	ts.Fatalf("%s is not shown", args[0])
}

// fetch sends a GET until the answer has a status and holds a text:
// fetch URL STATUS TEXT.
func fetch(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: fetch URL STATUS TEXT")
	}
	deadline := time.Now().Add(listenWithin)
	last := ""
	for time.Now().Before(deadline) {
		status, body, err := get(args[0])
		if err == nil && strconv.Itoa(status) == args[1] && strings.Contains(body, args[2]) {
			return
		}
		last = fmt.Sprint(status, " ", body, " ", err)
		time.Sleep(dialPause)
	}
	ts.Fatalf("%s answers %s", args[0], last)
}

func get(url string) (int, string, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0, "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// switchFault switches a fault of the stand-in on, or all off:
// fault KIND OPERATIONS COUNT, or fault none.
func switchFault(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 && len(args) != 1 {
		ts.Fatalf("usage: fault KIND OPERATIONS COUNT, or fault none")
	}
	method, body := http.MethodDelete, ""
	if len(args) == 3 {
		method, body = http.MethodPost, fmt.Sprintf(`{"kind":%q,"on":%q,"count":%s}`, args[0], args[1], args[2])
	}
	url := "http://" + ts.Getenv("AGATEVALVE_STORE") + emulator.FaultsPath
	request, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	ts.Check(err)
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		ts.Fatalf("fault refused: %s", response.Status)
	}
}
