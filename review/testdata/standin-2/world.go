package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record writes record.txt: one line for each thing that was sent, answered or run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// world is a small deployment on loopback addresses.
type world struct {
	log     *record
	dir     string
	prefix  string
	port    int
	store   *store
	runs    map[string]string
	mu      sync.Mutex
	procs   map[string]*exec.Cmd
	minions []*minion
	servers []io.Closer
}

const service = "huvo11a"

// host names of routes and their prefixes.
const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
)

// newWorld starts the store and writes the first manifest.
func newWorld(log *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{log: log, dir: dir, store: newStore(), runs: make(map[string]string), procs: make(map[string]*exec.Cmd)}
	if err := w.readDeployFile("deploy/system.toml"); err != nil {
		return nil, err
	}
	if err := w.chooseAddresses(); err != nil {
		return nil, err
	}
	w.putManifest(1)
	return w, nil
}

// putManifest writes a manifest with one queue, as the operator does.
func (w *world) putManifest(version int) {
	w.store.put("op", "config", []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-3hwrr6x","host":%q,"path_prefix":%q,"kind":"non_idempotent",`+
		`"timeout_ms":1500,"slo_ms":60,"priority":0,"service":%q,"attempts":3,"stretch":1.6}],"services":[{"name":%q,"rejects_overload":true}],`+
		`"limits":{"max_body_bytes":262144}}`, version, routeHost, routePrefix, service, service)))
}

// readDeployFile reads the commands of the roles.
func (w *world) readDeployFile(path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	role := ""
	for line := range strings.Lines(string(content)) {
		line = strings.TrimSpace(line)
		if name, found := strings.CutPrefix(line, "[roles."); found {
			role = strings.TrimSuffix(name, "]")
		}
		if value, found := strings.CutPrefix(line, "run = "); found {
			w.runs[role] = strings.Trim(value, `"`)
		}
	}
	if w.runs["entry"] == "" || w.runs["agent"] == "" {
		return errors.New("the deploy file has no roles entry and agent")
	}
	return nil
}

// chooseAddresses picks loopback addresses and ports that are free.
func (w *world) chooseAddresses() error {
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 30+rand.IntN(200), 1+rand.IntN(250))
		w.port = 20000 + 20*rand.IntN(600)
		if w.areFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (w *world) areFree() bool {
	for _, host := range []int{1, 2, 3, 11, 12, 13, 14, 15, 16, 17, 18, 101, 200} {
		for offset := range 12 {
			l, err := net.Listen("tcp", w.address(host, offset))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// address returns the address of a machine with an offset to the first port.
func (w *world) address(host, offset int) string {
	return fmt.Sprintf("%s%d:%d", w.prefix, host, w.port+offset)
}

// Offsets of ports.
const (
	portLinks = 0 // and the metrics after it
	portFront = 4
	portReady = 5
	portCtl   = 6
	portApp   = 7
)

// serveStore serves the store for one machine, and returns the address.
func (w *world) serveStore(machine string, offset int) (string, error) {
	address := w.address(200, offset)
	return address, w.serve(address, w.store.handler(machine))
}

func (w *world) serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(l) }()
	return nil
}

// settings returns the settings of a machine, as DEPLOY.md shows them.
func (w *world) settings(node, class, zone string, host int, store string, extra ...string) string {
	lines := []string{
		"node=" + node, "role=" + class, "machine_class=" + class, fmt.Sprintf("ip=%s%d", w.prefix, host), "zone=" + zone, "region=valle-central",
		"zones.cartago=valle-central", "zones.heredia=valle-central", "zones.alajuela=valle-central", fmt.Sprintf("port_range=%d,%d", w.port, w.port+3),
		"seeds=" + w.address(1, portCtl) + "," + w.address(2, portCtl) + "," + w.address(3, portCtl), "bootstrap=true", "in_tolerance=false", "limits.cpu_share=0.4", "limits.cores=1",
		"limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=local", "entry=vip", "heartbeat_ms=1500",
		"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing", "tolerate.machines=1", "tolerate.zones=0", "tolerate.regions=0",
		"bounds.stable_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=6", "bounds.lost_slack_ms=200", "bounds.apply_ms=2000",
		"bounds.hold_max_ms=1000", "bounds.stop_ms=50", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.retry_ms=1300", "bounds.far_x=1.5",
		"orders=call", "platform.addr=" + store, "platform.form=table", "platform.writes_per_s=800", "platform.reads_per_s=2000", "platform.row_bytes=65536",
	}
	return strings.Join(append(lines, extra...), "\n") + "\n"
}

// startEntry starts an entry at host number n (1 to 3). With a proxied link address the
// entry listens at another address than the one that agents know.
func (w *world) startEntry(n int, zone string, proxied bool) (string, error) {
	node := fmt.Sprintf("front-%s-%d", zone, n)
	store, err := w.serveStore(node, n)
	if err != nil {
		return "", err
	}
	extra := []string{
		"serves=front,control", "listen.front=" + w.address(n, portFront), "listen.ready=" + w.address(n, portReady), "listen.control=" + w.address(n, portCtl),
	}
	if proxied {
		extra = append(extra, "listen.links="+w.address(100+n, portLinks))
	}
	return node, w.start(node, "entry", w.settings(node, "front", zone, n, store, extra...))
}

// startAgent starts an agent at host number n (11 to 18).
func (w *world) startAgent(n int, zone string) (string, error) {
	node := fmt.Sprintf("side-%s-%d", zone, n)
	store, err := w.serveStore(node, n-7)
	if err != nil {
		return "", err
	}
	return node, w.start(node, "agent", w.settings(node, "side", zone, n, store,
		"serves=side", "listen.control="+w.address(n, portCtl), "app="+w.address(n, portApp), "service="+service))
}

// startMinion starts a lifetime of the minion beside an agent.
func (w *world) startMinion(id string, n int, zone string, labels ...string) (*minion, error) {
	m, err := startMinion(id, w.address(n, portApp), w.address(n, portCtl), service, zone, labels, w.log)
	if err == nil {
		w.minions = append(w.minions, m)
		w.log.line("minion %s with labels %v began at %s", id, labels, m.address)
	}
	return m, err
}

// start writes the settings of a process and starts it.
func (w *world) start(node, role, settings string) error {
	path := filepath.Join(w.dir, node+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	return w.restart(node, role)
}

// restart starts the process of a machine with the settings that were written.
func (w *world) restart(node, role string) error {
	words := strings.Fields(w.runs[role])
	output, err := os.OpenFile(filepath.Join(w.dir, node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "AGATEVALVE_BOOT=" + filepath.Join(w.dir, node+".conf")}
	if err := cmd.Start(); err != nil {
		return err
	}
	w.mu.Lock()
	w.procs[node] = cmd
	w.mu.Unlock()
	w.log.line("%s: started %q", node, w.runs[role])
	go func() { _ = cmd.Wait(); _ = output.Close() }()
	return nil
}

// process returns the process of a machine.
func (w *world) process(node string) *os.Process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.procs[node].Process
}

// close ends all that the case started.
func (w *world) close() {
	w.mu.Lock()
	for _, p := range w.procs {
		_ = p.Process.Kill()
	}
	w.mu.Unlock()
	for _, m := range w.minions {
		m.crash()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs are kept in", w.dir)
	}
}

// response is what a client got.
type response struct {
	status int
	body   string
	err    error
	at     time.Time
}

func (r response) String() string {
	if r.err != nil {
		return "no answer"
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", r.status, r.body))
}

// call sends one request of a client on a channel of its own.
func (w *world) call(method string, entry int, id, body string, deadline time.Duration) response {
	return w.callOver(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, w.address(entry, portFront), method, id, body, deadline)
}

// callOver sends one request over the channel that a client keeps, if it has one.
func (w *world) callOver(client *http.Client, address, method, id, body string, deadline time.Duration) response {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+routePrefix+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return response{err: err}
	}
	request.Host = routeHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	w.log.line("client: %s %s to %s", method, routePrefix+id, address)
	answer, err := client.Do(request)
	r := response{err: err, at: time.Now()}
	if err == nil {
		content, readErr := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		r.status, r.body, r.err, r.at = answer.StatusCode, string(content), readErr, time.Now()
	}
	w.log.line("client: %s %s at %s got: %s", method, routePrefix+id, address, r)
	return r
}

// isReady asks an entry as the balancer does.
func (w *world) isReady(entry int) bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + w.address(entry, portReady) + "/v1/ready")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// startsOf returns the starts of the tasks of a job.
func (w *world) startsOf(id string) []startedRun {
	var starts []startedRun
	for _, m := range w.minions {
		for _, s := range m.started() {
			if strings.HasPrefix(s.Task, id+".") {
				starts = append(starts, s)
			}
		}
	}
	return starts
}

// runningOf returns how many runs of a job are under way.
func (w *world) runningOf(id string) int {
	count := 0
	for _, m := range w.minions {
		for _, key := range m.running() {
			if strings.HasPrefix(key.Task, id+".") {
				count++
			}
		}
	}
	return count
}

// gate is a proxy that can hold all that passes through it, as a cut link does, and pass
// it on when the cut has ended.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// proxy passes connections from one address on to another through a gate.
func (w *world) proxy(from, to string, g *gate) error {
	l, err := net.Listen("tcp", from)
	if err != nil {
		return err
	}
	w.servers = append(w.servers, l)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				g.wait()
				target, err := net.Dial("tcp", to)
				if err != nil {
					if tcp, ok := conn.(*net.TCPConn); ok {
						_ = tcp.SetLinger(0)
					}
					_ = conn.Close()
					return
				}
				go g.pass(target, conn)
				g.pass(conn, target)
			}()
		}
	}()
	return nil
}

// pass copies in one direction.
func (g *gate) pass(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		g.wait()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
