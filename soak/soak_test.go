package soak_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/platform/platformtest"
)

var (
	seeds  = flag.Int("soak.seeds", 1, "number of seeds to play")
	first  = flag.Uint64("soak.first", 1, "first seed")
	length = flag.Duration("soak.length", 8*time.Second, "time with faults of each seed")
	keep   = flag.String("soak.keep", "", "directory that keeps the logs of failed seeds")
)

// regressions are the seeds that failed once, each with its cause.
var regressions = map[uint64]string{
	508: "a start that was sent for one life of a worker reached the next one, which has the same id",
}

const (
	coordinators = 3
	workerCount  = 6
	settleTime   = 40 * time.Second
)

// soak is one played seed.
type soak struct {
	t         *testing.T
	random    *rand.Rand
	store     *platformtest.Store
	history   *platformtest.History
	workers   []*platformtest.Worker
	links     []*link
	processes []*process
	mu        sync.Mutex
	accepted  map[string]bool
	refused   map[string]bool
	cancelled map[string]bool
	stop      chan struct{}
	running   sync.WaitGroup
}

// Guards the promises of the coordinators, as real processes, against faults
// from outside: no task runs twice at a time or after an acknowledged success,
// what was accepted is done, what was refused never ran.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "cactusreel")
	build := exec.Command("go", "build", "-o", binary, "../cmd/cactusreel")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for seed, cause := range regressions {
		t.Run(fmt.Sprintf("regression-%d", seed), func(t *testing.T) {
			t.Log(cause)
			play(t, binary, seed)
		})
	}
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, binary, seed) })
	}
}

func play(t *testing.T, binary string, seed uint64) {
	s := &soak{
		t: t, random: rand.New(rand.NewPCG(seed, 4)),
		store: platformtest.NewStore(seed), history: platformtest.NewHistory(),
		accepted: make(map[string]bool), refused: make(map[string]bool), cancelled: make(map[string]bool),
		stop: make(chan struct{}),
	}
	defer s.end()
	s.build(binary, seed)
	s.waitReady()
	for i := range 4 {
		s.running.Go(func() { s.call(rand.New(rand.NewPCG(seed, uint64(100+i))), i) })
	}
	s.running.Go(s.beat)
	deadline := time.Now().Add(*length)
	for time.Now().Before(deadline) {
		s.fault()
		time.Sleep(time.Duration(s.random.IntN(900)) * time.Millisecond)
	}
	s.heal()
	close(s.stop)
	s.running.Wait()
	s.judge()
}

func (s *soak) build(binary string, seed uint64) {
	s.must(s.store.Put("keyed.op", "config", map[string]any{
		"version": 1, "limits": map[string]any{},
		"routes": []map[string]any{{
			"name": "r", "host": "a.example", "path_prefix": "/q/", "timeout_ms": 3000, "service": "svc", "max_attempts": 50,
			"slack_factor": 1.5, "target_completion_ms": 300,
		}},
	}))
	for i := range workerCount {
		id := fmt.Sprintf("i-%d", i)
		w := platformtest.NewWorker(id, s.history, seed+uint64(i))
		server := httptest.NewServer(w)
		s.t.Cleanup(server.Close)
		k, err := newLink(strings.TrimPrefix(server.URL, "http://"))
		s.must(err)
		s.t.Cleanup(k.close)
		s.workers, s.links = append(s.workers, w), append(s.links, k)
		s.announce(i)
	}
	server := httptest.NewServer(s.store)
	s.t.Cleanup(server.Close)
	for i := range coordinators {
		p := newProcess(s.t, binary, fmt.Sprintf("c%d", i), strings.TrimPrefix(server.URL, "http://"))
		s.processes = append(s.processes, p)
		s.t.Cleanup(p.store.close)
		p.start()
	}
}

func (s *soak) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// announce writes a worker's entry.
func (s *soak) announce(i int) {
	s.must(s.store.Put("keyed.servers", s.workers[i].ID, map[string]any{
		"service": "svc", "address": s.links[i].address(), "zone": "giza", "state": "ready", "born": s.workers[i].StartMillis(),
		"capacity": map[string]any{"cpu": 8000, "mem_mb": 8000}, "labels": []string{"a", "r1-1"},
	}))
}

// beat repeats the workers' entries, so that new lives are seen.
func (s *soak) beat() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(500 * time.Millisecond):
			for i := range s.workers {
				s.announce(i)
			}
		}
	}
}

func (s *soak) waitReady() {
	for _, p := range s.processes {
		for range 500 {
			if response, err := http.Get("http://" + p.ready + "/-/readyz"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// fault brings one trouble, which ends by itself.
func (s *soak) fault() {
	p := s.processes[s.random.IntN(len(s.processes))]
	worker := s.random.IntN(len(s.workers))
	link := s.links[worker]
	last := time.Duration(200+s.random.IntN(3500)) * time.Millisecond
	switch s.random.IntN(11) {
	case 0:
		s.later(func() { p.end(); time.Sleep(last / 4); p.start() })
	case 1:
		s.later(func() { p.signal(syscall.SIGSTOP); time.Sleep(last); p.signal(syscall.SIGCONT) })
	case 2:
		s.later(p.stopAndStart)
	case 3:
		s.later(func() {
			p.store.set(func() { p.store.silent, p.store.deaf = true, true })
			time.Sleep(last)
			p.store.heal()
		})
	case 4:
		s.later(func() { p.store.set(func() { p.store.deaf = true }); time.Sleep(last); p.store.heal() })
	case 5:
		p.store.reset()
		link.reset()
	case 6:
		s.later(func() { link.set(func() { link.silent = true }); time.Sleep(last); link.heal() })
	case 7:
		s.later(func() { link.set(func() { link.deaf = true }); time.Sleep(last); link.heal() })
	case 8:
		// The connections of a life end with it: no held-up order reaches the next one.
		link.reset()
		s.workers[worker].Restart()
	case 9:
		s.later(func() {
			s.store.SetFault(platformtest.Fault{LostResponseShare: 0.3, Delay: 20 * time.Millisecond})
			time.Sleep(last)
			s.store.SetFault(platformtest.Fault{})
		})
	case 10:
		s.later(func() {
			s.store.SetFault(platformtest.Fault{Status: http.StatusServiceUnavailable})
			time.Sleep(last)
			s.store.SetFault(platformtest.Fault{})
		})
	}
}

// busy keeps two troubles of one process from undoing each other's signals.
var busy sync.Mutex

func (s *soak) later(do func()) {
	s.running.Go(func() {
		if !busy.TryLock() {
			return
		}
		defer busy.Unlock()
		do()
	})
}

func (s *soak) heal() {
	busy.Lock()
	defer busy.Unlock()
	s.store.SetFault(platformtest.Fault{})
	for _, p := range s.processes {
		p.store.heal()
		p.signal(syscall.SIGCONT)
		p.start()
	}
	for _, k := range s.links {
		k.heal()
	}
}

// call submits, asks and cancels, on connections that stay open.
func (s *soak) call(random *rand.Rand, caller int) {
	client := &http.Client{Timeout: 4 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(random.IntN(150)) * time.Millisecond):
		}
		id := fmt.Sprintf("%08x%08x", caller+1, n)
		s.submit(client, random, id)
		if random.IntN(12) == 0 {
			s.cancel(client, random, id)
		}
	}
}

func (s *soak) request(client *http.Client, random *rand.Rand, method, id, body string) (int, string) {
	p := s.processes[random.IntN(len(s.processes))]
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.callers+"/q/"+id, strings.NewReader(body))
	s.must(err)
	r.Host = "a.example"
	r.Header.Set("X-Deadline-Ms", "3000")
	response, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

func (s *soak) submit(client *http.Client, random *rand.Rand, id string) {
	body := fmt.Sprintf(`{"spec":"%dms","phases":[{"count":%d,"cpu":1000,"mem_mb":64,"est_runtime_ms":300},{"count":1,"cpu":1000,"mem_mb":64,"est_runtime_ms":300,"after":[0]}]}`,
		100+random.IntN(500), 1+random.IntN(4))
	refused := true
	for range 4 {
		status, _ := s.request(client, random, http.MethodPost, id, body)
		if status == http.StatusOK {
			s.note(s.accepted, id)
			return
		}
		refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
	}
	if refused {
		s.note(s.refused, id)
	}
}

func (s *soak) cancel(client *http.Client, random *rand.Rand, id string) {
	s.note(s.cancelled, id)
	s.request(client, random, http.MethodDelete, id, "")
}

func (s *soak) note(set map[string]bool, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set[id] = true
}

// judge waits until all is done and compares it with the promises.
func (s *soak) judge() {
	client := &http.Client{Timeout: 4 * time.Second}
	deadline := time.Now().Add(settleTime)
	for id := range s.accepted {
		for !s.ended(client, id) {
			if time.Now().After(deadline) {
				s.t.Errorf("%s was accepted and is not done", id)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for id := range s.refused {
		if s.history.Started(id + ".0.0.0") {
			s.t.Errorf("%s was refused and ran", id)
		}
	}
	for _, failure := range s.history.Violations() {
		s.t.Error(failure)
	}
	s.t.Logf("%d accepted, %d refused, %d cancelled", len(s.accepted), len(s.refused), len(s.cancelled))
	if len(s.accepted) == 0 {
		s.t.Error("nothing was accepted")
	}
}

func (s *soak) ended(client *http.Client, id string) bool {
	status, body := s.request(client, s.random, http.MethodGet, id, "")
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
		return false
	}
	return answer.State == "completed" || answer.State == "cancelled" && s.cancelled[id]
}

// end ends the processes that were started, and keeps their logs of a failure.
func (s *soak) end() {
	for _, p := range s.processes {
		p.end()
		if s.t.Failed() && *keep != "" {
			data, err := os.ReadFile(p.logPath())
			if err == nil {
				err = os.WriteFile(filepath.Join(*keep, strings.ReplaceAll(s.t.Name(), "/", "-")+"-"+p.name+".log"), data, 0o600)
			}
			if err != nil {
				s.t.Error(err)
			}
		}
	}
}
