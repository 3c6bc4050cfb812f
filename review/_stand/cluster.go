package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// program is what the build of the deploy file makes.
	program = "target/cactusreel"
	// storeAnswer is the time of an answer of the platform's store.
	storeAnswer = 4 * time.Millisecond
	beat        = 1100 * time.Millisecond
	host        = "a.example"
	prefix      = "/q/"
)

// nodeCount is the number of entry machines.
const nodeCount = 3

// site has the figures of a site file that the settings are made from.
type site struct {
	drainMs, cancelMs, storeWrites, memoryMB int
	cpuShare                                 float64
}

// small has the figures of nmrc-shared.
var small = site{drainMs: 2000, cancelMs: 3000, storeWrites: 600, memoryMB: 284, cpuShare: 0.4}

// cluster is a small deployment on loopback.
type cluster struct {
	site    site
	record  *record
	gangs   *gangs
	store   *store
	server  *http.Server
	address string
	workers []*worker
	nodes   []*node
	dir     string
	client  *http.Client
	stop    chan struct{}
	beats   sync.WaitGroup
}

// node is an entry machine with its process.
type node struct {
	name      string
	dir       string
	callers   string
	readiness string
	peers     string
	metrics   string
	command   *exec.Cmd
	exited    chan struct{}
}

func newCluster(rec *record, s site) (*cluster, error) {
	dir, err := os.MkdirTemp("", "cactusreel-review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{
		site: s, record: rec, gangs: newGangs(), store: newStore(), dir: dir,
		client: &http.Client{Timeout: 4 * time.Second}, stop: make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.address = l.Addr().String()
	c.server = &http.Server{Handler: c.store}
	go func() { _ = c.server.Serve(l) }()
	for i := range nodeCount {
		c.nodes = append(c.nodes, &node{name: fmt.Sprintf("frontend-giza-%d", i+1), dir: dir})
	}
	return c, nil
}

// chooseAddresses gives a node free addresses.
func (n *node) chooseAddresses() error {
	for _, address := range []*string{&n.callers, &n.readiness, &n.peers, &n.metrics} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return err
		}
	}
	return nil
}

// freeAddress returns a loopback address that is not in use.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// writeSettings writes what deploy/coordinator.ini.tmpl gives for the bounds of a small site.
func (c *cluster) writeSettings(n *node) error {
	text := fmt.Sprintf(`[vm]
name = %s
data_centre = giza
[listen]
callers = %s
readiness = %s
peers = %s
metrics = %s
[store]
address = %s
[times]
lease_limit = %dms
start_early = 250ms
stop = %dms
grace = 6s
group_ttl_least = 1000ms
drain_notice = %dms
evacuation_notice = 5000ms
cancel_notice = %dms
[limits]
cpu_share = %g
memory_mib = %d
store_writes = %d
remote_factor = 2
store_partitions = 24
`, n.name, n.callers, n.readiness, n.peers, n.metrics, c.address, leaseLimit.Milliseconds(), stopTime.Milliseconds(),
		c.site.drainMs, c.site.cancelMs, c.site.cpuShare, c.site.memoryMB, c.site.storeWrites)
	return os.WriteFile(n.settings(), []byte(text), 0o600)
}

func (n *node) settings() string { return filepath.Join(n.dir, n.name+".ini") }

func (c *cluster) startNode(n *node) error {
	if err := c.writeSettings(n); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command(program, "coordinator")
	n.command.Env = append(os.Environ(), "CACTUSREEL_SETTINGS="+n.settings())
	n.command.Stdout, n.command.Stderr = log, log
	// The process ends with this one.
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}(n.command, n.exited)
	c.record.add("process of %s started", n.name)
	return nil
}

func (c *cluster) killNode(n *node) {
	c.record.add("process of %s is killed", n.name)
	_ = n.command.Process.Signal(syscall.SIGCONT)
	_ = n.command.Process.Kill()
	<-n.exited
}

// manifest writes the operator's manifest with one queue.
func (c *cluster) manifest(maxAttempts int) error {
	return c.store.log.Put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "service": "svc",
			"priority": 0, "max_attempts": maxAttempts, "slack_factor": 2.0, "target_completion_ms": 1000,
		}},
		"services": []map[string]any{{"name": "svc", "health_path": "/healthz", "max_conns": 64, "rejects_overload": true}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
}

// start boots the workers and processes and waits until all are ready.
func (c *cluster) start() error {
	for _, w := range c.workers {
		if err := w.boot(); err != nil {
			return err
		}
		c.announce(w)
	}
	c.beats.Go(func() {
		for {
			select {
			case <-c.stop:
				return
			case <-time.After(beat):
				for _, w := range c.workers {
					c.announce(w)
				}
			}
		}
	})
	for _, n := range c.nodes {
		if err := c.startReady(n); err != nil {
			return err
		}
	}
	// The first epoch and the first reports.
	time.Sleep(3 * time.Second)
	return nil
}

// startReady starts a node and waits until it is ready. Its addresses may have been taken
// by another process in the meantime, so it is tried again with others.
func (c *cluster) startReady(n *node) error {
	for range 3 {
		if err := errors.Join(n.chooseAddresses(), c.startNode(n)); err != nil {
			return err
		}
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline) && !n.hasExited(); {
			if c.isReady(n) {
				return nil
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.killNode(n)
	}
	return fmt.Errorf("%s is not ready", n.name)
}

func (n *node) hasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// announce writes the worker's entry in the store. One that is down writes nothing.
func (c *cluster) announce(w *worker) {
	if entry := w.entry(); entry != nil {
		_ = c.store.log.Put("keyed.servers", w.id, entry)
	}
}

func (c *cluster) isReady(n *node) bool {
	response, err := c.client.Get("http://" + n.readiness + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes that this one has started.
func (c *cluster) close(keepLogs string) {
	close(c.stop)
	c.beats.Wait()
	for _, n := range c.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Kill()
			<-n.exited
		}
		if keepLogs != "" {
			if data, err := os.ReadFile(filepath.Join(n.dir, n.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keepLogs, n.name+".log"), data, 0o600)
			}
		}
	}
	_ = c.server.Close()
	_ = os.RemoveAll(c.dir)
}

// call sends a request of a requester to a node. It returns the status, or 0 without an
// answer.
func (c *cluster) call(n *node, method, id, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+prefix+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set("X-Deadline-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(r)
	if err != nil {
		c.record.add("%s %s to %s: no answer", method, id, n.name)
		return 0, ""
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	c.record.add("%s %s to %s: %d %s", method, id, n.name, response.StatusCode, bytes.TrimSpace(data))
	return response.StatusCode, string(data)
}

// submit hands a submission in, with retries at other nodes.
func (c *cluster) submit(id string, spec time.Duration, phases []map[string]any) error {
	body, err := json.Marshal(map[string]any{"spec": spec.String(), "phases": phases})
	if err != nil {
		return err
	}
	for i := range 5 {
		if status, _ := c.call(c.nodes[i%len(c.nodes)], http.MethodPost, id, string(body)); status == http.StatusOK {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("submission %s was not accepted", id)
}

// state asks for a submission's state.
func (c *cluster) state(id string) string {
	for i := range c.nodes {
		status, data := c.call(c.nodes[i], http.MethodGet, id, "")
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(data), &answer) == nil {
			return answer.State
		}
		if status == http.StatusGone {
			return "gone"
		}
	}
	return ""
}

// awaitFinal asks until the state is final or the time is over.
func (c *cluster) awaitFinal(id string, limit time.Duration) string {
	deadline := time.Now().Add(limit)
	state := ""
	for time.Now().Before(deadline) {
		switch state = c.state(id); state {
		case "completed", "failed", "cancelled", "gone":
			return state
		}
		time.Sleep(300 * time.Millisecond)
	}
	return state
}

// storeDown makes the store answer 503 to every call for a time.
func (c *cluster) storeDown(length time.Duration) {
	c.record.add("the store is down for %v (503)", length)
	c.store.setDown(true, length)
	time.Sleep(length)
	c.store.setDown(false, length)
	c.record.add("the store is back")
}
