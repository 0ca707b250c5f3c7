package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"agatevalve/dialer"
	"agatevalve/emulator"
	v1 "agatevalve/wire/agatevalvev1"
	"agatevalve/wire/agatevalvev1/agatevalvev1connect"
)

const (
	// awaitTimeout bounds the wait for a condition that must become true.
	awaitTimeout = time.Minute
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	examples     = "../examples"
	fileMode     = 0o600
	// meanService is the mean service time of the emulated minions.
	meanService = 10 * time.Millisecond
)

// process is a started program.
type process struct {
	name    string
	command *exec.Cmd
	output  *lockedBuffer
	// done is closed once the process has ended.
	done chan struct{}
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// stop sends SIGTERM to a process, waits for it to end and returns its exit
// code.
func (p *process) stop(t *testing.T) int {
	t.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.done:
	case <-time.After(awaitTimeout):
		t.Fatalf("%s did not stop", p.name)
	}
	return p.command.ProcessState.ExitCode()
}

// ports are the ports of this package. The package testscripts uses other ones,
// because both may run concurrently.
var ports = emulator.NewPorts(20000, 26000)

// system is the example deployment, as separate processes on free ports of
// 127.0.0.1, with the minions in the test process.
type system struct {
	t         *testing.T
	directory string
	// addresses maps the addresses in the examples to those that are used.
	addresses map[string]string
	platform  *process
	entries   []*process
	agents    []*process
	minions   []*emulator.Minion
}

// startSystem builds both programs and starts all processes of the examples.
// The prepare functions are called once the settings files are written, and may
// edit them.
func startSystem(t *testing.T, prepare ...func(*system)) *system {
	t.Helper()
	s := &system{t: t, directory: t.TempDir(), addresses: make(map[string]string)}
	s.build()
	s.copyExamples()
	for _, p := range prepare {
		p(s)
	}
	for i := range 3 {
		s.startMinion(s.addresses[fmt.Sprintf("127.0.0.1:90%d1", i+1)], i)
	}
	s.platform = s.start("agatevalve", "platform", "platform.json")
	s.awaitListening(s.addresses["127.0.0.1:7000"])
	s.mustRun("agatevalve", "--store", s.addresses["127.0.0.1:7000"], "config", "apply", "routes-and-pools.json",
		"--base", "0", "--who", "ana", "--why", "first")
	for i := range 2 {
		s.entries = append(s.entries, s.start("agatevalve", "serve", fmt.Sprintf("entry-%d.json", i+1)))
	}
	for i := range 2 {
		s.await("an entry is ready", func() bool {
			status, _ := get("http://" + s.operatorsAddress(i) + "/readyz")
			return status == http.StatusOK
		})
	}
	for i := range 3 {
		s.agents = append(s.agents, s.start("agatevalve-agent", fmt.Sprintf("agent-%d.json", i+1)))
	}
	for i := range 2 {
		s.awaitReady(i)
	}
	return s
}

// build compiles both programs.
func (s *system) build() {
	for binary, source := range map[string]string{"agatevalve": "agatevalve", "agatevalve-agent": "agatevalve/agatevalve-agent"} {
		output, err := exec.Command("go", "build", "-o", filepath.Join(s.directory, binary), source).CombinedOutput()
		if err != nil {
			s.t.Fatalf("build %s: %v\n%s", source, err, output)
		}
	}
}

// copyExamples writes the example files with each address replaced by a free
// one.
func (s *system) copyExamples() {
	names := []string{"platform.json", "entry-1.json", "entry-2.json", "agent-1.json", "agent-2.json", "agent-3.json", "routes-and-pools.json"}
	for _, name := range names {
		data, err := os.ReadFile(filepath.Join(examples, name))
		if err != nil {
			s.t.Fatal(err)
		}
		words := strings.Split(string(data), `"`)
		for i, word := range words {
			if address, err := netip.ParseAddrPort(word); err == nil {
				words[i] = s.addressFor(address.String())
			}
		}
		if err := os.WriteFile(filepath.Join(s.directory, name), []byte(strings.Join(words, `"`)), fileMode); err != nil {
			s.t.Fatal(err)
		}
	}
}

// addressFor returns the address used in place of one in the examples.
func (s *system) addressFor(example string) string {
	if address, ok := s.addresses[example]; ok {
		return address
	}
	s.addresses[example] = s.freeAddress().String()
	return s.addresses[example]
}

func (s *system) freeAddress() netip.AddrPort {
	address, err := ports.Free()
	if err != nil {
		s.t.Fatal(err)
	}
	return address
}

func (s *system) startMinion(address string, number int) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	minion := emulator.NewMinion(emulator.MinionOptions{
		Name: fmt.Sprintf("minion-%d", number+1), MeanService: meanService, Speed: float64(number + 1), Seed: 1,
	})
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: minion}}
	server.Start()
	s.t.Cleanup(server.Close)
	s.minions = append(s.minions, minion)
}

func (s *system) command(binary string, args ...string) *exec.Cmd {
	c := exec.Command(filepath.Join(s.directory, binary), args...)
	c.Dir = s.directory
	return c
}

// mustRun runs a command that must succeed.
func (s *system) mustRun(binary string, args ...string) {
	s.t.Helper()
	if output, err := s.command(binary, args...).CombinedOutput(); err != nil {
		s.t.Fatalf("%s %v: %v\n%s", binary, args, err, output)
	}
}

// start starts a program, which is killed when the test ends.
func (s *system) start(binary string, args ...string) *process {
	s.t.Helper()
	p := &process{
		name:    strings.Join(append([]string{binary}, args...), " "),
		command: s.command(binary, args...),
		output:  &lockedBuffer{},
		done:    make(chan struct{}),
	}
	p.command.Stdout, p.command.Stderr = p.output, p.output
	if err := p.command.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		_ = p.command.Wait() // The exit status is in ProcessState.
	}()
	s.t.Cleanup(func() {
		_ = p.command.Process.Kill() // It may have ended already.
		<-p.done
		if s.t.Failed() {
			s.t.Logf("%s:\n%s", p.name, p.output)
		}
	})
	return p
}

// await polls until the condition is met, and fails the test after
// awaitTimeout.
func (s *system) await(condition string, isMet func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for !isMet() {
		if time.Now().After(deadline) {
			s.t.Fatalf("condition not met in time: %s", condition)
		}
		time.Sleep(pollInterval)
	}
}

func (s *system) awaitListening(address string) {
	s.t.Helper()
	s.await(address+" listens", func() bool {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
}

// awaitReady waits until an entry is ready and knows all agents.
func (s *system) awaitReady(number int) {
	s.t.Helper()
	s.await(fmt.Sprintf("entry-%d is ready", number+1), func() bool {
		status, body := get("http://" + s.operatorsAddress(number) + "/readyz")
		return status == http.StatusOK && body == "ready\n" && s.agentsKnownBy(number) == len(s.agents)
	})
}

// agentsKnownBy returns the number of agents in an entry's status.
func (s *system) agentsKnownBy(number int) int {
	client := dialer.New(dialer.Options{})
	defer client.Close()
	service := agatevalvev1connect.NewEntryServiceClient(client, "http://"+s.addresses[fmt.Sprintf("127.0.0.1:80%d2", number+1)])
	response, err := service.Status(context.Background(), connect.NewRequest(&v1.StatusRequest{}))
	if err != nil {
		return 0
	}
	return len(response.Msg.GetAgents())
}

func (s *system) callersAddress(number int) string {
	return s.addresses[fmt.Sprintf("127.0.0.1:80%d0", number+1)]
}

func (s *system) operatorsAddress(number int) string {
	return s.addresses[fmt.Sprintf("127.0.0.1:80%d1", number+1)]
}

// startCounts returns how often each task was started, summed over all minions.
func (s *system) startCounts() map[string]int {
	starts := make(map[string]int)
	for _, m := range s.minions {
		for id, count := range m.Starts() {
			starts[id] += count
		}
	}
	return starts
}

// get returns the status and body of a response, or 0 and "" on any error.
func get(url string) (int, string) {
	response, err := http.Get(url)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}
