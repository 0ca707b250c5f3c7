// Command standin plays the cases of the review against the project's own
// programs. It starts these as separate processes on loopback addresses, and
// stands in for the platform's store, the minions, the operator and the clients.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort    = 8161
	readyPort    = 8167
	controlPort  = 8166
	firstPort    = 7720
	lastPort     = 7735
	minionPort   = 8165
	storePort    = 8169
	serviceName  = "huvo11a"
	hostName     = "nony24.example"
	routePrefix  = "/lohu930/"
	cancelLimit  = 3 * time.Second // cancel_ms
	drainLimit   = 2 * time.Second // drain_ms
	resendDelay  = 1300 * time.Millisecond
	readyTimeout = 20 * time.Second
)

var zones = []string{"cartago", "heredia", "alajuela"}

// errNotReady means that the system did not come up.
var errNotReady = errors.New("the system did not get ready")

// startRecord is a run that a minion started.
type startRecord struct {
	minion         string
	task           string
	number         int
	started, ended time.Time
	how            string
}

// world is one installation.
type world struct {
	start  time.Time
	block  string
	dir    string
	root   string
	store  *store
	file   *os.File
	server *http.Server

	mu        sync.Mutex
	processes []*process
	starts    []*startRecord
	open      map[string]*startRecord
}

// newWorld starts the store, and opens the record at a path.
func newWorld(root, recordPath string) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{start: time.Now(), dir: dir, root: root, file: file, store: newStore(), open: make(map[string]*startRecord)}
	for range 20 {
		w.block = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		if err := w.serveStore(); err == nil {
			return w, nil
		}
	}
	return nil, errors.New("found no free addresses")
}

// serveStore serves the store at an address for each front machine and one for
// all others, so that it can turn single machines away.
func (w *world) serveStore() error {
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	for front := range len(zones) + 1 {
		var config net.ListenConfig
		listener, err := config.Listen(context.Background(), "tcp", w.storeAddress(front).String())
		if err != nil {
			_ = w.server.Close()
			return err
		}
		go func() { _ = w.server.Serve(listener) }() // Ends with the world.
	}
	return nil
}

// storeAddress returns the address of the store for a front machine, by its
// number from 1, or for all others.
func (w *world) storeAddress(front int) netip.AddrPort {
	if front < 1 || front > len(zones) {
		front = 0
	}
	return w.address(200+front, storePort)
}

func (w *world) address(host, port int) netip.AddrPort {
	return netip.MustParseAddrPort(w.block + strconv.Itoa(host) + ":" + strconv.Itoa(port))
}

func (w *world) since() float64 { return time.Since(w.start).Seconds() }

// record writes a line to the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked(format, args...)
}

func (w *world) recordLocked(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", w.since()) + strings.ReplaceAll(fmt.Sprintf(format, args...), w.dir, "DIR")
	_, _ = fmt.Fprintln(w.file, line) // Without a record the case still counts.
}

func (w *world) runStarted(m *minion, r *minionRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &startRecord{minion: m.o.id, task: r.task, number: r.number, started: time.Now()}
	w.starts = append(w.starts, s)
	w.open[m.o.id+m.born.String()+runKey(r.task, r.number)] = s
	w.recordLocked("minion %s starts %s run %d", m.o.id, r.task, r.number)
}

func (w *world) runEnded(m *minion, r *minionRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := m.o.id + m.born.String() + runKey(r.task, r.number)
	if s := w.open[key]; s != nil {
		s.ended, s.how = time.Now(), how
		delete(w.open, key)
	}
	w.recordLocked("minion %s ends %s run %d: %s", m.o.id, r.task, r.number, how)
}

// startsOf returns what the minions started.
func (w *world) startsOf(keep func(*startRecord) bool) []startRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var kept []startRecord
	for _, s := range w.starts {
		if keep(s) {
			kept = append(kept, *s)
		}
	}
	return kept
}

// overlaps returns pairs of runs of one task that were at work at the same time.
func (w *world) overlaps() []string {
	all := w.startsOf(func(*startRecord) bool { return true })
	var found []string
	for i, a := range all {
		for _, b := range all[:i] {
			if a.task != b.task {
				continue
			}
			endA, endB := a.ended, b.ended
			if endA.IsZero() {
				endA = time.Now()
			}
			if endB.IsZero() {
				endB = time.Now()
			}
			from, to := later(a.started, b.started), endA
			if endB.Before(to) {
				to = endB
			}
			if to.Sub(from) > 0 {
				found = append(found, fmt.Sprintf("%s: run %d on %s and run %d on %s, both at work for %d ms", a.task, b.number, b.minion, a.number, a.minion, to.Sub(from).Milliseconds()))
			}
		}
	}
	return found
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// process is one of the project's programs on one machine.
type process struct {
	world *world
	node  string
	path  string
	args  []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	closed bool
}

// settings returns the settings file of a machine, like that of a small
// deployment.
func (w *world) settings(node, class, zone string, host int, extra ...string) string {
	address := w.block + strconv.Itoa(host)
	lines := []string{
		"node=" + node, "role=" + class, "machine_class=" + class, "serves=" + map[string]string{"front": "front,control", "side": "side"}[class],
		"ip=" + address, "zone=" + zone, "region=valle-central",
		"zones.cartago=valle-central", "zones.heredia=valle-central", "zones.alajuela=valle-central",
		fmt.Sprintf("listen.control=%s:%d", address, controlPort), fmt.Sprintf("port_range=%d,%d", firstPort, lastPort),
		fmt.Sprintf("seeds=%s,%s,%s", w.address(1, controlPort), w.address(2, controlPort), w.address(3, controlPort)),
		"bootstrap=true", "in_tolerance=false", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=local", "entry=vip", "heartbeat_ms=1500",
		"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing", "tolerate.machines=1", "tolerate.zones=0", "tolerate.regions=0",
		"bounds.stable_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.lost_slack_ms=200", "bounds.apply_ms=2000",
		"bounds.rollback_slack_ms=250", "bounds.max_skew_ms=5000", "bounds.recover_s=12", "bounds.hold_max_ms=1000", "bounds.stop_ms=50",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.finish_s=14", "bounds.status_s=120", "bounds.far_x=1.5", "bounds.retry_ms=1300",
		"orders=call", "platform.addr=" + w.storeAddress(host).String(), "platform.form=table", "platform.writes_per_s=800",
		"platform.reads_per_s=2000", "platform.tx_ms=6.0", "platform.row_bytes=65536", "platform.history_s=20",
	}
	if class == "front" {
		lines = append(lines, fmt.Sprintf("listen.front=%s:%d", address, frontPort), fmt.Sprintf("listen.ready=%s:%d", address, readyPort))
	}
	return strings.Join(append(lines, extra...), "\n") + "\n"
}

// launch starts a program of the deploy file. It gets no environment variables
// but those that DEPLOY.md names.
func (w *world) launch(node, settings string, args ...string) (*process, error) {
	path := filepath.Join(w.dir, node+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p := &process{world: w, node: node, path: path, args: args}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	return p, p.run()
}

// run starts the program once more.
func (p *process) run() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.world.dir, p.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), filepath.Join(p.world.root, p.args[0]), p.args[1:]...)
	cmd.Dir = p.world.root
	cmd.Env = []string{"AGATEVALVE_BOOT=" + p.path}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		cmd.Env = append(cmd.Env, name+"="+os.Getenv(name))
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // The case ends it.
		_ = log.Close()
		close(ended)
	}()
	p.world.record("process %s starts: %s", p.node, strings.Join(p.args, " "))
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.world.record("process %s gets %s", p.node, s)
	_ = p.cmd.Process.Signal(s) // It may have ended.
}

// kill kills the process, and starts it again after a delay.
func (p *process) kill(restartAfter time.Duration) error {
	p.signal(syscall.SIGKILL)
	<-p.ended
	time.Sleep(restartAfter)
	return p.run()
}

// close ends all that the world has started.
func (w *world) close() {
	w.mu.Lock()
	processes := w.processes
	w.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	_ = w.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
	_ = w.file.Close()
}

// route is a queue of the manifest.
type route struct {
	prefix    string
	timeoutMS int
	attempts  int
}

// manifest returns the operator's manifest.
func manifest(version int, routes ...route) []byte {
	rows := []map[string]any{}
	for i, r := range routes {
		rows = append(rows, map[string]any{
			"name": "r-" + strconv.Itoa(i) + "hwrr6x", "host": hostName, "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": r.timeoutMS,
			"slo_ms": 60, "priority": i, "service": serviceName, "attempts": r.attempts, "stretch": 1.6,
		})
	}
	content, err := json.Marshal(map[string]any{
		"version": version, "routes": rows,
		"services": []any{map[string]any{"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": true, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err) // Plain values can always be encoded.
	}
	return content
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	at     time.Time
}

// call sends one request of a client over a channel of its own.
func (w *world) call(entry int, method, path string, body any, deadline time.Duration) answer {
	var reader io.Reader
	if body != nil {
		content, err := json.Marshal(body)
		if err != nil {
			return answer{at: time.Now()}
		}
		reader = bytes.NewReader(content)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+w.address(entry, frontPort).String()+path, reader)
	if err != nil {
		return answer{at: time.Now()}
	}
	request.Host = hostName
	request.Header["Deadline-Ms"] = []string{strconv.FormatInt(deadline.Milliseconds(), 10)}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	w.record("client sends %s %s to front-%d", method, path, entry)
	response, err := client.Do(request)
	if err != nil {
		w.record("client has no answer to %s %s from front-%d", method, path, entry)
		return answer{at: time.Now()}
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	w.record("client gets %d %s for %s %s from front-%d", response.StatusCode, strings.TrimSpace(string(content)), method, path, entry)
	return answer{status: response.StatusCode, body: string(content), at: time.Now()}
}

// jobBody returns a job that need not be stored. Each task works for the time
// given on a minion.
func jobBody(count, workMS, cpu, memory int) map[string]any {
	return map[string]any{
		"spec": fmt.Sprintf("%d %d %d", workMS, cpu, memory), "best_effort": true,
		"steps": []any{map[string]any{"count": count, "cpu": cpu, "mem_mb": memory, "est_ms": workMS}},
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// awaitReady waits until the entries are ready and serve jobs.
func (w *world) awaitReady(entries ...int) error {
	deadline := time.Now().Add(readyTimeout)
	for _, e := range entries {
		for {
			if time.Now().After(deadline) {
				return errNotReady
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address(e, readyPort).String()+"/v1/ready", nil)
			if err != nil {
				cancel()
				return err
			}
			response, err := http.DefaultClient.Do(request)
			if err == nil {
				_ = response.Body.Close()
			}
			cancel()
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // All agents link to all entries.
	return nil
}
