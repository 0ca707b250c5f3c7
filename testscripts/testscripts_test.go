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
	// waitTimeout is the timeout of script commands that wait for a state.
	waitTimeout = 20 * time.Second
	// retryInterval is the interval at which they check it.
	retryInterval = 20 * time.Millisecond
	// fileMode is the mode of the files that scripts read.
	fileMode = 0o600
	// directoryMode is the mode of the directories that scripts use.
	directoryMode = 0o700
)

// TestMain makes the test binary run as agatevalve in scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"agatevalve": func() { os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs each script in a directory of its own, with settings files that
// use free addresses.
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
			storeAddress, err := ports.Free()
			if err != nil {
				return err
			}
			env.Setenv("AGATEVALVE_STORE", storeAddress.String())
			env.Setenv("AGATEVALVE_WHO", "ana")
			env.Setenv("EXAMPLES", examples)
			env.Setenv("PROGRAMS", programs)
			env.Setenv("PATH", env.Getenv("PATH")+string(os.PathListSeparator)+programs)
			if err := copyExamples(env, examples); err != nil {
				return err
			}
			return writeSettings(env, storeAddress)
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"exits":              checkExitCode,
			"listening":          waitForListener,
			"fault":              setFault,
			"entry":              startEntry,
			"agent":              startAgent,
			"fetch":              waitForResponse,
			"shows":              waitForOutput,
			"documented":         compareJSONForm,
			"documented-metrics": compareMetrics,
		},
	})
}

// ports allocates ports from a range of this package. The tests of entry run at
// the same time and use another range.
var ports = emulator.NewPorts(26000, 32000)

// buildPrograms builds both programs by buildCommand, and returns their directory.
// Scripts run agatevalve as the test binary instead, which may have the race
// detector enabled.
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

// writeSettings writes platform.json and entry.json with free addresses, and sets
// variables to these addresses.
func writeSettings(env *testscript.Env, storeAddress netip.AddrPort) error {
	addresses := map[string]netip.AddrPort{"STORE": storeAddress}
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
		if err := os.WriteFile(filepath.Join(env.WorkDir, name), []byte(text), fileMode); err != nil {
			return err
		}
	}
	return nil
}

// checkExitCode implements the script command "exits CODE COMMAND ARGS". It runs a
// command and compares its exit code.
func checkExitCode(ts *testscript.TestScript, neg bool, args []string) {
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

// waitForListener implements the script command "listening ADDRESS". It waits until
// the address accepts connections.
func waitForListener(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: listening ADDRESS")
	}
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		connection, err := net.DialTimeout("tcp", args[0], time.Second)
		if err == nil {
			_ = connection.Close()
			return
		}
		time.Sleep(retryInterval)
	}
	ts.Fatalf("%s does not accept connections", args[0])
}

// waitForOutput implements the script command "shows REGEXP COMMAND ARGS". It
// repeats a command until its standard output matches.
func waitForOutput(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: shows REGEXP COMMAND ARGS")
	}
	wanted, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		ts.Check(ts.Exec(args[1], args[2:]...))
		if wanted.MatchString(ts.ReadFile("stdout")) {
			return
		}
		time.Sleep(retryInterval)
	}
	ts.Fatalf("output never matched %s", args[0])
}

// waitForResponse implements the script command "fetch URL STATUS TEXT". It repeats
// a GET until the response has the status and its body contains the text.
func waitForResponse(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: fetch URL STATUS TEXT")
	}
	deadline := time.Now().Add(waitTimeout)
	last := ""
	for time.Now().Before(deadline) {
		status, body, err := get(args[0])
		if err == nil && strconv.Itoa(status) == args[1] && strings.Contains(body, args[2]) {
			return
		}
		last = fmt.Sprint(status, " ", body, " ", err)
		time.Sleep(retryInterval)
	}
	ts.Fatalf("%s: unexpected response %s", args[0], last)
}

// get sends a GET, and returns the status and the body of the response.
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

// setFault implements the script commands "fault KIND OPERATIONS COUNT" and "fault
// none". They inject a fault into the emulated store, or remove all faults.
func setFault(ts *testscript.TestScript, neg bool, args []string) {
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
		ts.Fatalf("setting the fault failed: %s", response.Status)
	}
}
