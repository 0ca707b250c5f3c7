package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"agatevalve/common/work"
	"agatevalve/emulator"
	"agatevalve/platform/imitator"
)

const (
	host    = "desk.example"
	prefix  = "/hold/"
	service = "desk"

	callersPort   = 8161
	readinessPort = 8167
	registryPort  = 8166
	minionPort    = 8165
	linkPort      = 7720
	storePort     = 8169
	// heartbeatInterval is heartbeat_ms of the settings.
	heartbeatInterval = 1500 * time.Millisecond
	// reportRetry is the pause after a status report that was not acknowledged.
	reportRetry = 100 * time.Millisecond
	// advanceInterval is the interval at which minions end runs that are due.
	advanceInterval = 2 * time.Millisecond
	maxLease        = time.Second
)

// bounds are the figures of the small deployment that claim.txt names.
const bounds = `bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.stable_ms=3000
bounds.ack_ms=4000
bounds.sync_s=4
bounds.drain_ms=2000
bounds.grace_s=6
bounds.lost_slack_ms=200
bounds.apply_ms=2000
bounds.hold_max_ms=1000
bounds.stop_ms=50
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.far_x=1.5
bounds.retry_ms=1300
orders=call
heartbeat_ms=1500
`

// run is one run of a task at a minion. ended is zero while it goes on.
type run struct {
	minion         string
	run            work.Run
	started, ended time.Time
}

// cluster is a small deployment: the project's programs as processes, and stand-ins of
// the platform and the minions in this process.
type cluster struct {
	*recorder

	root, dir string
	net       string // The first three parts of all addresses.
	store     *store
	ctx       context.Context
	cancel    context.CancelFunc
	// processes holds all programs, entries those that are entries, and links the
	// proxies through which other processes connect to these.
	processes, entries []*process
	links              []*proxy

	mu   sync.Mutex // Also the lock of the minions.
	runs []*run
	// workOf returns the duration of a task.
	workOf func(work.Task) time.Duration
}

// process is one of the project's programs on a machine of its own.
type process struct {
	c        *cluster
	node, ip string
	args     []string
	settings string
	// turnedAway makes the store answer this machine with status 503.
	turnedAway atomic.Bool
	mu         sync.Mutex
	cmd        *exec.Cmd
	ended      chan struct{}
	closed     bool
}

func newCluster(root, record string) (*cluster, error) {
	r, err := newRecorder(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		recorder: r, root: root, dir: dir, net: fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250)), store: newStore(),
		workOf: func(work.Task) time.Duration { return time.Second },
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, nil
}

// close ends all processes that the cluster started.
func (c *cluster) close() {
	c.cancel()
	for _, p := range c.processes {
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		p.kill(syscall.SIGCONT)
		p.kill(syscall.SIGKILL)
		p.wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println(c.dir)
	}
}

func (c *cluster) ip(n int) string { return fmt.Sprintf("%s%d", c.net, n) }

// serve serves a handler until the cluster is closed.
func (c *cluster) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(c.ctx, func() { _ = server.Close() })
	return nil
}

// route is a queue of the manifest.
type route struct {
	name, prefix string
	timeout      time.Duration
}

// holdRoute is the queue of the cases that need one only.
var holdRoute = route{name: "hold", prefix: prefix, timeout: 30 * time.Second}

// putManifest writes the operator's manifest.
func (c *cluster) putManifest(version int, routes ...route) {
	rows := []any{}
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": "r-" + r.name, "host": host, "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": r.timeout.Milliseconds(),
			"slo_ms": 60, "priority": 0, "service": service, "attempts": 4, "stretch": 1.6,
		})
	}
	document, _ := json.Marshal(map[string]any{
		"version": version, "routes": rows,
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": true, "spare": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	c.store.put("op", "config", base64.StdEncoding.EncodeToString(document))
	c.add("manifest %d is acknowledged: %v", version, routes)
}

// addProcess prepares a program on the machine with a number.
func (c *cluster) addProcess(node string, number int, extra string, seeds []string, args ...string) (*process, error) {
	p := &process{c: c, node: node, ip: c.ip(number), args: args}
	storeAddress := fmt.Sprintf("%s:%d", c.ip(100+number), storePort) // Each machine has its own way to the store.
	err := c.serve(storeAddress, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.turnedAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		c.store.ServeHTTP(w, r)
	}))
	if err != nil {
		return nil, err
	}
	p.settings = fmt.Sprintf("node=%s\nip=%s\nzone=cartago\nregion=valle-central\nzones.cartago=valle-central\nport_range=%d,%d\nplatform.addr=%s\nplatform.form=table\n%s%s",
		node, p.ip, linkPort, linkPort+15, storeAddress, bounds, extra)
	if len(seeds) > 0 {
		p.settings += "seeds=" + strings.Join(seeds, ",") + "\n"
	}
	c.processes = append(c.processes, p)
	return p, nil
}

// seed returns the control address of the entry with a number.
func (c *cluster) seed(n int) string { return fmt.Sprintf("%s:%d", c.ip(10+n), registryPort) }

// addEntry prepares an entry, to which other processes connect through a proxy.
func (c *cluster) addEntry(n int, seeds []string) error {
	listen := fmt.Sprintf("%s:%d", c.ip(200+n), linkPort)
	links, err := c.newProxy(fmt.Sprintf("%s:%d", c.ip(10+n), linkPort), listen)
	if err != nil {
		return err
	}
	ip := c.ip(10 + n)
	extra := fmt.Sprintf("machine_class=front\nserves=front,control\nlisten.front=%s:%d\nlisten.ready=%s:%d\nlisten.control=%s:%d\nlisten.links=%s\nlimits.cpu_share=0.4\nlimits.cores=1\n",
		ip, callersPort, ip, readinessPort, ip, registryPort, listen)
	e, err := c.addProcess(fmt.Sprintf("front-%d", n), 10+n, extra, seeds, "target/agatevalve", "serve", "--on-platform")
	if err != nil {
		return err
	}
	c.entries, c.links = append(c.entries, e), append(c.links, links)
	return nil
}

// addAgent prepares an agent and starts its minion.
func (c *cluster) addAgent(n int, labels []string, seeds []string) error {
	address, registry := fmt.Sprintf("%s:%d", c.ip(50+n), minionPort), fmt.Sprintf("%s:%d", c.ip(30+n), registryPort)
	extra := fmt.Sprintf("machine_class=side\nserves=side\nlisten.control=%s\napp=%s\nservice=%s\nlimits.cpu_share=0.24\nlimits.cores=1\n", registry, address, service)
	if _, err := c.addProcess(fmt.Sprintf("side-%d", n), 30+n, extra, seeds, "target/agatevalve-agent", "--on-platform"); err != nil {
		return err
	}
	return c.startMinion(fmt.Sprintf("i-%d-1", n), address, labels, netip.MustParseAddrPort(registry))
}

// start starts the program.
func (p *process) start() error {
	path := filepath.Join(p.c.dir, p.node+".conf")
	if err := os.WriteFile(path, []byte(p.settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.c.dir, p.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(p.c.root, p.args[0]), p.args[1:]...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.c.root, log, log
	cmd.Env = []string{"AGATEVALVE_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	p.c.add("started %s at %s", p.node, p.ip)
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.cmd = nil
		closed := p.closed
		p.mu.Unlock()
		if !closed {
			p.c.add("%s ended: %v", p.node, err)
		}
		close(ended)
	}()
	return nil
}

// kill sends a signal to the process if it runs.
func (p *process) kill(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) wait() {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// ready reports whether an entry answers the balancer with 200.
func (p *process) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", p.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// await waits until a condition holds, for a time at most.
func await(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// startMinion starts the stand-in of a minion, which reports to the registry of its agent.
func (c *cluster) startMinion(name, address string, labels []string, registry netip.AddrPort) error {
	minion := imitator.NewMinion(&c.mu, emulator.LeasedOptions{
		Minion: work.Minion{
			Name: name, Incarnation: uint64(time.Now().UnixMilli()), Service: service, Zone: "cartago", Labels: labels, Room: work.Room{CPU: 16000, Memory: 65536},
		},
		DurationFactor: 1, MaxLease: maxLease,
		Profile: func(t work.Task) emulator.TaskProfile {
			return emulator.TaskProfile{Room: work.Room{CPU: 1600, Memory: 64}, Work: c.workOf(t)}
		},
		OnStart: func(r work.Run, at time.Time) {
			c.runs = append(c.runs, &run{minion: name, run: r, started: at})
			c.add("run %s.0.0.%d run %d starts on %s", r.Job, r.Index, r.Number, name)
		},
		OnEnd: func(r work.Run, state work.State, at time.Time) {
			for _, o := range c.runs {
				if o.run == r && o.minion == name && o.ended.IsZero() {
					o.ended = at
				}
			}
			c.add("run %s.0.0.%d run %d ends %s on %s", r.Job, r.Index, r.Number, state, name)
		},
	})
	go func() {
		for c.ctx.Err() == nil {
			minion.WithLock(func(l *emulator.LeasedMinion, now time.Time) { l.Advance(now) })
			time.Sleep(advanceInterval)
		}
	}()
	go func() {
		for c.ctx.Err() == nil {
			pause := reportRetry
			if minion.Report(c.ctx, registry) {
				pause = heartbeatInterval
			}
			time.Sleep(pause)
		}
	}()
	return c.serve(address, minion)
}

// activeRuns returns the runs of a job that go on.
func (c *cluster) activeRuns(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := 0
	for _, r := range c.runs {
		if r.run.Job == job && r.ended.IsZero() {
			active++
		}
	}
	return active
}

// startsAfter returns the runs of a job that started after a time.
func (c *cluster) startsAfter(job string, after time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	starts := 0
	for _, r := range c.runs {
		if r.run.Job == job && r.started.After(after) {
			starts++
		}
	}
	return starts
}
