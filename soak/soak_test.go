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
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/platform/platformtest"
)

var (
	seeds         = flag.Int("soak.seeds", 1, "number of seeds to run")
	first         = flag.Uint64("soak.first", 1, "first seed")
	faultDuration = flag.Duration("soak.length", 8*time.Second, "duration of fault injection for each seed")
	profileNames  = flag.String("soak.profile", "faults,dealings", "profiles of the seeds")
	programPath   = flag.String("soak.binary", "", "program to run instead of the one built from the source tree")
	otherProgram  = flag.String("soak.other", "", "program that half of the coordinators run at first in the profile upgrade")
	logDir        = flag.String("soak.keep", "", "directory for the logs of failed seeds")
)

// regression is how a seed that once failed is run, and the cause of the failure.
type regression struct {
	cause                   string
	faultKinds, overlapping int
}

// regressionSeeds are the seeds that once failed.
var regressionSeeds = map[uint64]regression{
	508:  {"a start that was sent to one incarnation of a worker reached the next incarnation, which has the same id", firstFaultKinds, 1},
	1010: {"a cursor of one incarnation of a worker dropped the ends of the next one, which no owner had seen", workerFaultKinds, 2},
}

const (
	workerCount = 6
	settleTime  = 40 * time.Second
)

// seedRun is the run of one seed.
type seedRun struct {
	t             *testing.T
	random        *rand.Rand
	store         *platformtest.Store
	history       *platformtest.History
	workers       []*platformtest.Worker
	workerProxies []*proxy
	workerStates  []*workerState
	processes     []*process
	mu            sync.Mutex
	accepted      map[string]bool
	refused       map[string]bool
	cancelled     map[string]bool
	profile       profile
	faults        *faultLimit
	stop          chan struct{}
	goroutines    sync.WaitGroup
}

// Checks the guarantees of coordinators under process, network and store faults:
// no task runs twice at the same time or after an acknowledged success, accepted
// requests complete or, if they are long-running, run until they are cancelled, and
// refused requests never run.
func TestSoak(t *testing.T) {
	binary := *programPath
	if binary == "" {
		binary = filepath.Join(t.TempDir(), "cactusreel")
		build := exec.Command("go", "build", "-o", binary, "../cmd/cactusreel")
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	for seed, r := range regressionSeeds {
		t.Run(fmt.Sprintf("regression-%d", seed), func(t *testing.T) {
			t.Log(r.cause)
			runSeed(t, binary, seed, smallProfile(r.faultKinds, r.overlapping))
		})
	}
	for name := range strings.SplitSeq(*profileNames, ",") {
		p, ok := profiles[name]
		if !ok {
			t.Fatalf("no profile %q", name)
		}
		if p.upgrade && *otherProgram == "" {
			t.Fatalf("the profile %s needs -soak.other", name)
		}
		for seed := *first; seed < *first+uint64(*seeds); seed++ {
			t.Run(fmt.Sprintf("%s-%d", name, seed), func(t *testing.T) { runSeed(t, binary, seed, p) })
		}
	}
}

// firstFaultKinds is the number of kinds of faults when the regression seeds were recorded:
// with another number a seed has other faults. workerFaultKinds adds delays, and workers that stay
// away, or drain and leave, allFaultKinds cells that are dealt anew
// and connections that are refused.
const (
	firstFaultKinds  = 11
	workerFaultKinds = 14
	allFaultKinds    = 16
)

// runSeed runs a seed of a profile.
func runSeed(t *testing.T, binary string, seed uint64, p profile) {
	s := &seedRun{
		t: t, random: rand.New(rand.NewPCG(seed, 4)),
		store: platformtest.NewStore(seed), history: platformtest.NewHistory(),
		accepted: make(map[string]bool), refused: make(map[string]bool), cancelled: make(map[string]bool),
		stop: make(chan struct{}), profile: p, faults: newFaultLimit(p.overlapping),
	}
	defer s.cleanUp()
	s.setUp(binary, seed)
	s.waitReady()
	client := &http.Client{Timeout: 4 * time.Second}
	// The faults of a seed do not depend on how often these calls are repeated.
	random := rand.New(rand.NewPCG(seed, 200))
	s.submitLongRunning(client, random)
	for i := range p.callers {
		s.goroutines.Go(func() { s.runCaller(rand.New(rand.NewPCG(seed, uint64(100+i))), i) })
	}
	s.goroutines.Go(s.repeatAnnouncements)
	if p.dealInterval > 0 {
		s.goroutines.Go(func() { s.dealCellsAnew(p.dealInterval, *faultDuration) })
	}
	if p.upgrade {
		s.goroutines.Go(func() { s.upgrade(binary, *faultDuration) })
	}
	for range p.restarts {
		s.restartAll()
	}
	began := time.Now()
	cancelled := false
	for time.Since(began) < *faultDuration {
		if time.Since(began) >= p.faultDelay {
			s.injectFault()
		}
		time.Sleep(time.Duration(s.random.IntN(900)) * time.Millisecond)
		if !cancelled && time.Since(began) > *faultDuration/2 {
			// Not acknowledged if no node reaches the store; checkLongRunning repeats it.
			s.send(client, random, http.MethodDelete, shortSubmission, "")
			cancelled = true
		}
	}
	s.clearFaults()
	close(s.stop)
	s.goroutines.Wait()
	s.finishUpgrade(binary)
	s.checkLongRunning()
	s.checkOutcomes()
}

func (s *seedRun) setUp(binary string, seed uint64) {
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
		server := httptest.NewUnstartedServer(w)
		server.Config.ConnContext = w.ConnContext
		server.Start()
		s.t.Cleanup(server.Close)
		p, err := newProxy(strings.TrimPrefix(server.URL, "http://"))
		s.must(err)
		s.t.Cleanup(p.close)
		s.workers, s.workerProxies, s.workerStates = append(s.workers, w), append(s.workerProxies, p), append(s.workerStates, new(workerState))
		s.announceWorker(i)
	}
	s.store.SetLatency(s.profile.storeLatency)
	server := httptest.NewServer(s.store)
	s.t.Cleanup(server.Close)
	for i := range s.profile.coordinators {
		p := newProcess(s.t, binary, fmt.Sprintf("c%d", i), strings.TrimPrefix(server.URL, "http://"), s.profile.cells)
		if s.profile.upgrade && i%2 == 1 {
			p.binary = *otherProgram
		}
		s.processes = append(s.processes, p)
		s.t.Cleanup(p.storeProxy.close)
		p.start()
	}
}

func (s *seedRun) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// announceWorker writes the entry of a worker to the store, or removes it.
func (s *seedRun) announceWorker(i int) {
	state := s.workerStates[i]
	state.mu.Lock()
	defer state.mu.Unlock()
	if state.removed {
		s.must(s.store.Put("keyed.servers", s.workers[i].ID, nil))
		return
	}
	entry := map[string]any{
		"service": "svc", "address": s.workerProxies[i].address(), "zone": "giza", "state": "ready", "born": s.workers[i].StartMillis(),
		"capacity": map[string]any{"cpu": s.profile.workerCPU, "mem_mb": s.profile.workerMemory}, "labels": []string{"a", "r1-1"},
	}
	if !state.leavesAt.IsZero() {
		entry["state"], entry["remaining_ms"] = "draining", max(0, time.Until(state.leavesAt).Milliseconds())
	}
	s.must(s.store.Put("keyed.servers", s.workers[i].ID, entry))
}

// repeatAnnouncements writes the entries of all workers periodically, so that
// coordinators observe new incarnations.
func (s *seedRun) repeatAnnouncements() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(500 * time.Millisecond):
			for i := range s.workers {
				s.announceWorker(i)
			}
		}
	}
}

// waitReady waits until all processes are ready, and fails the test if one is not in time.
func (s *seedRun) waitReady() {
	for _, p := range s.processes {
		ready := false
		for range 500 {
			if ready = p.isReady(); ready {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		if !ready {
			s.t.Fatalf("process at %s is not ready 10 s after its start: %s", p.readinessAddress, p.report())
		}
	}
}

// callerNumber returns the first half of the ids of a caller's submissions.
func callerNumber(caller int) int {
	if caller+1 >= longRunningCaller {
		return caller + 2
	}
	return caller + 1
}

// runCaller submits and cancels requests on persistent connections.
func (s *seedRun) runCaller(random *rand.Rand, caller int) {
	// A transport of its own keeps the caller's connections open until the process closes them.
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Timeout: 4 * time.Second, Transport: transport}
	for n := 0; ; n++ {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(random.IntN(int(s.profile.maxPause.Milliseconds()))) * time.Millisecond):
		}
		id := fmt.Sprintf("%08x%08x", callerNumber(caller), n)
		s.submit(client, random, id)
		if random.IntN(12) == 0 {
			s.cancel(client, random, id)
		}
	}
}

func (s *seedRun) send(client *http.Client, random *rand.Rand, method, id, body string) (int, string) {
	p := s.processes[random.IntN(len(s.processes))]
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+p.callerAddress+"/q/"+id, strings.NewReader(body))
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

func (s *seedRun) submit(client *http.Client, random *rand.Rand, id string) {
	body := fmt.Sprintf(`{"spec":"%dms","phases":[{"count":%d,"cpu":1000,"mem_mb":64,"est_runtime_ms":300},{"count":1,"cpu":1000,"mem_mb":64,"est_runtime_ms":300,"after":[0]}]}`,
		100+random.IntN(500), 1+random.IntN(4))
	refused := true
	for range 4 {
		status, _ := s.send(client, random, http.MethodPost, id, body)
		if status == http.StatusOK {
			s.addTo(s.accepted, id)
			return
		}
		refused = refused && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests)
	}
	if refused {
		s.addTo(s.refused, id)
	}
}

func (s *seedRun) cancel(client *http.Client, random *rand.Rand, id string) {
	s.addTo(s.cancelled, id)
	s.send(client, random, http.MethodDelete, id, "")
}

func (s *seedRun) addTo(set map[string]bool, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set[id] = true
}

// checkOutcomes waits until all accepted requests have ended, and checks the
// guarantees.
func (s *seedRun) checkOutcomes() {
	client := &http.Client{Timeout: 4 * time.Second}
	deadline := time.Now().Add(settleTime)
	for id := range s.accepted {
		for !s.hasEnded(client, id) {
			if time.Now().After(deadline) {
				s.t.Errorf("request %s was accepted but has not ended", id)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	for id := range s.refused {
		if s.history.Started(id + ".0.0.0") {
			s.t.Errorf("request %s was refused but ran", id)
		}
	}
	s.reportViolations()
	s.t.Logf("%d accepted, %d refused, %d cancelled", len(s.accepted), len(s.refused), len(s.cancelled))
	if len(s.accepted) == 0 {
		s.t.Error("no request was accepted")
	}
}

func (s *seedRun) hasEnded(client *http.Client, id string) bool {
	status, body := s.send(client, s.random, http.MethodGet, id, "")
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil {
		return false
	}
	return answer.State == "completed" || answer.State == "cancelled" && s.cancelled[id]
}

// cleanUp kills the processes, and prints and keeps their logs if the test has failed.
func (s *seedRun) cleanUp() {
	for _, p := range s.processes {
		if s.t.Failed() {
			s.t.Log(p.report())
		}
		p.kill()
		if s.t.Failed() && *logDir != "" {
			data, err := os.ReadFile(p.logPath())
			if err == nil {
				err = os.WriteFile(filepath.Join(*logDir, strings.ReplaceAll(s.t.Name(), "/", "-")+"-"+p.name+".log"), data, 0o600)
			}
			if err != nil {
				s.t.Error(err)
			}
		}
	}
}
