// Command stand starts coordinators as separate processes on loopback addresses, with stand-ins of
// the platform's store, of workers and of requesters, and plays one case of the review.
//
//	stand CASE RECORD
//
// It exits with 0 if the rule of the case was kept, with 1 if it was broken, and with 2 if the case
// couldn't run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is what the deploy file builds.
const program = "target/cactusreel"

// timeLimit is the longest time of a case.
const timeLimit = 115 * time.Second

// cases are the cases by name. Each returns what broke the rule, or "".
var cases = map[string]func(*stand) (broken string, err error){
	"dealt":   playDealt,
	"history": playHistory,
	"crashes": playCrashes,
	"gang":    playGang,
	"queues":  playQueues,
}

var zones = []string{"giza", "giza", "giza", "heliopolis", "heliopolis", "maadi", "maadi"}

// stand is a small deployment.
type stand struct {
	dir string
	// host is the loopback address of the coordinators.
	host    string
	began   time.Time
	trouble bool
	store   *store
	nodes   []*node
	workers []*worker

	mu     sync.Mutex
	out    *os.File
	starts []startSeen
	ends   []endSeen
	taken  map[string]string
}

type startSeen struct {
	task, worker, checkpoint, spec string

	run int64
	at  time.Time
}

type endSeen struct {
	task, worker, how, saved string
	run                      int64
	at                       time.Time
}

// node is a coordinator process.
type node struct {
	stand                              *stand
	name                               string
	settings                           string
	callers, readiness, peers, metrics string
	command                            *exec.Cmd
	exited                             chan struct{}
	// held are sockets that keep the addresses free until the first start.
	held []net.Listener
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordPath string) int {
	out, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	host := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
	s := &stand{dir: dir, host: host, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", out: out, taken: make(map[string]string)}
	defer s.cleanUp()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](s)
		done <- result{broken, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			s.record("the case could not run: %v", r.err)
			fmt.Println("could not run:", r.err)
			return 2
		case r.broken != "":
			s.record("BROKEN: %s", r.broken)
			fmt.Println("broken:", r.broken)
			return 1
		}
		s.record("held")
		fmt.Println("held")
		return 0
	case <-stopped:
		return 2
	case <-time.After(timeLimit):
		s.record("the case took too long")
		fmt.Println("could not run: too long")
		return 2
	}
}

func (s *stand) cleanUp() {
	for _, n := range s.nodes {
		n.kill()
	}
	_ = os.RemoveAll(s.dir)
}

func (s *stand) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *stand) noteStart(w *worker, r *run) {
	s.mu.Lock()
	s.starts = append(s.starts, startSeen{r.task, w.id, r.checkpoint, r.spec, r.number, time.Now()})
	s.mu.Unlock()
	s.record("worker %s starts %s run %d, spec %q, checkpoint %q, epoch number %d", w.id, r.task, r.number, r.spec, r.checkpoint, w.fence)
}

func (s *stand) noteEnd(w *worker, r *run, how, saved string) {
	s.mu.Lock()
	s.ends = append(s.ends, endSeen{r.task, w.id, how, saved, r.number, time.Now()})
	s.mu.Unlock()
	s.record("worker %s: %s run %d ends %s, saved %q", w.id, r.task, r.number, how, saved)
}

// noteTaken notes that ack_cursor has reached an end.
func (s *stand) noteTaken(task, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taken[task] = how
}

// holdAddress returns an address that is free until the node's first start. Connections to other
// addresses begin at 127.0.0.1, so none of them takes its port.
func (n *node) holdAddress() (string, error) {
	l, err := net.Listen("tcp", n.stand.host+":0")
	if err != nil {
		return "", err
	}
	n.held = append(n.held, l)
	return l.Addr().String(), nil
}

// setUp starts the store, the workers and the coordinators, and waits until these are ready. The
// settings are those of deploy/coordinator.ini.tmpl, filled in for nmrc-shared.
func (s *stand) setUp(keep time.Duration, workers int) error {
	s.store = newStore(keep)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: s.store}).Serve(l) }()
	s.store.put("keyed.op", "config", map[string]any{
		"version": 3, "limits": map[string]any{"max_body_bytes": 262144},
		"services": []map[string]any{{"name": "register", "rejects_overload": true, "max_conns": 64}},
		"routes": []map[string]any{{
			"name": "meal-claim", "host": "nony24.example", "path_prefix": "/lohu930/", "timeout_ms": 3000, "service": "register",
			"priority": 2, "max_attempts": 4, "slack_factor": 1.5, "target_completion_ms": 1000,
		}, {
			"name": "sign-in", "host": "nony24.example", "path_prefix": "/dika417/", "timeout_ms": 3000, "service": "register",
			"priority": 0, "max_attempts": 4, "slack_factor": 1.5, "target_completion_ms": 300,
		}},
	})
	group := &gangs{members: make(map[string]map[*run]*worker)}
	for i := range workers {
		w := &worker{stand: s, name: fmt.Sprint(i), zone: zones[i%len(zones)], rack: fmt.Sprintf("r1-%d", i/11), gangGroup: group, address: "127.0.0.1:0"}
		if err := w.start(); err != nil {
			return err
		}
		go w.watchLease()
		s.workers = append(s.workers, w)
	}
	count := make(map[string]int)
	for _, zone := range zones {
		count[zone]++
		n := &node{stand: s, name: fmt.Sprintf("frontend-%s-%d", zone, count[zone])}
		for _, address := range []*string{&n.callers, &n.readiness, &n.peers, &n.metrics} {
			if *address, err = n.holdAddress(); err != nil {
				return err
			}
		}
		n.settings = filepath.Join(s.dir, n.name+".ini")
		text := fmt.Sprintf(`[vm]
name = %s
data_centre = %s

[listen]
callers = %s
readiness = %s
peers = %s
metrics = %s

[store]
address = %s

[times]
lease_limit = 10000ms
start_early = 250ms
stop = 200ms
grace = 6s
group_ttl_least = 1000ms
drain_notice = 2000ms
evacuation_notice = 5000ms
cancel_notice = 3000ms
manifest_notice = 2000ms
place_wait = 3s

[limits]
cpu_share = 0.4
memory_mib = 284
descriptors = 4100
store_writes = 600
remote_factor = 2
store_partitions = 24
`, n.name, zone, n.callers, n.readiness, n.peers, n.metrics, l.Addr())
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := n.waitReady(); err != nil {
			return err
		}
	}
	s.record("all coordinators are ready")
	return nil
}

func (n *node) start() error {
	log, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	for _, l := range n.held {
		_ = l.Close()
	}
	n.held = nil
	n.command = exec.Command(program, "coordinator", "--settings", n.settings)
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}(n.command, n.exited)
	return nil
}

// kill ends the process, and waits for its end.
func (n *node) kill() {
	if n.command == nil || n.command.Process == nil {
		return
	}
	_ = n.command.Process.Signal(syscall.SIGCONT)
	_ = n.command.Process.Kill()
	<-n.exited
}

func (n *node) waitReady() error {
	for range 1000 {
		if r, err := http.Get("http://" + n.readiness + "/-/readyz"); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after 20 s", n.name)
}

// owner returns the node that holds partition 0, which is the only cell.
func (s *stand) owner() *node {
	member := s.store.ownerOf(0)
	for _, n := range s.nodes {
		if strings.HasPrefix(member, n.name+"/") {
			return n
		}
	}
	return nil
}

// call makes one call of a requester to the first queue. The status is 0 without an answer.
func (s *stand) call(n *node, method, id, body string) (status int, text string) {
	return s.callTo(n, method, "/lohu930/"+id, body)
}

// callTo does the same for any path.
func (s *stand) callTo(n *node, method, path, body string) (status int, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = "nony24.example"
	r.Header.Set("X-Deadline-Ms", "3000")
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.record("requester: %s %s at %s: no answer (%v)", method, path, n.name, err)
		return 0, ""
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	text = string(bytes.TrimSpace(data))
	s.record("requester: %s %s at %s: %d %s", method, path, n.name, resp.StatusCode, text)
	return resp.StatusCode, text
}

// submit hands a submission in, and repeats that as a requester does.
func (s *stand) submit(id, body string) error {
	for i := range 20 {
		if status, _ := s.call(s.nodes[i%len(s.nodes)], http.MethodPost, id, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("submission %s was not accepted", id)
}

// state asks the nodes for the state of a submission until one answers 200 or 410, for a time.
func (s *stand) state(id string, limit time.Duration) (status int, state string) {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(200 * time.Millisecond) {
		for _, n := range s.nodes {
			if status, text := s.call(n, http.MethodGet, id, ""); status == http.StatusOK || status == http.StatusGone {
				var answer struct {
					State string `json:"state"`
				}
				_ = json.Unmarshal([]byte(text), &answer)
				return status, answer.State
			}
		}
	}
	return 0, ""
}

// runsOf returns how many runs of a submission are active.
func (s *stand) runsOf(id string) int {
	count := 0
	for _, w := range s.workers {
		w.mu.Lock()
		for _, r := range w.active {
			if strings.HasPrefix(r.task, id) {
				count++
			}
		}
		w.mu.Unlock()
	}
	return count
}

// startsOf returns how many starts of tasks of a submission there were.
func (s *stand) startsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, one := range s.starts {
		if strings.HasPrefix(one.task, id) {
			count++
		}
	}
	return count
}
