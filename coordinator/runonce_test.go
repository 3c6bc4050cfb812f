package coordinator_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

var (
	stormFirst = flag.Uint64("storm.first", 0, "first seed of TestTasksRunOnceInAStorm")
	stormSeeds = flag.Uint64("storm.seeds", 4, "number of seeds of TestTasksRunOnceInAStorm")
	stormKeep  = flag.Duration("storm.keep", 0, "time after which the log of TestTasksRunOnceInAStorm drops records, 0 for never")
	stormLogs  = flag.String("storm.logs", "", "prefix of the files to which the nodes of TestTasksRunOnceInAStorm log")
)

const (
	stormDuration = 25 * time.Second
	// stormEndTime is the time after the storm within which all accepted tasks have ended.
	stormEndTime = 40 * time.Second
)

// stormProcess is a process of a VM. Its calls wait while it is suspended.
type stormProcess struct {
	vm, address string
	// name tells the process from others in the names of log files.
	name        string
	node        *coordinator.Node
	stop        func()
	mu          sync.Mutex
	killed      bool
	resumesAt   time.Time
	storeBackAt time.Time
}

// await returns when the process is not suspended.
func (p *stormProcess) await() {
	p.mu.Lock()
	d := time.Until(p.resumesAt)
	p.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

func (p *stormProcess) isKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

func (p *stormProcess) isSuspended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.resumesAt)
}

func (p *stormProcess) cannotReachStore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed || time.Now().Before(p.storeBackAt)
}

func (p *stormProcess) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// kill ends the process without notice. Calls that it has sent are carried out.
func (p *stormProcess) kill() {
	p.set(func() { p.killed = true })
	go p.stop()
}

// storm is a cluster whose processes, store, group and workers have faults drawn from a seed.
type storm struct {
	t       *testing.T
	random  *rand.Rand
	group   *cellGroup
	store   *stormStore
	workers *stormWorkers
	vms     []string
	mu      sync.Mutex
	// running are the newest processes of the VMs, all those that were ever started.
	running  map[string]*stormProcess
	all      []*stormProcess
	cutUntil map[[2]string]time.Time
	accepted []string
	played   map[string]int
}

// Guards against a task that runs twice at a time, that starts after an acknowledged end, or that never
// ends, beside any series of dealt cells, killed, doubled and suspended processes and faults of the store
// and of workers.
func TestTasksRunOnceInAStorm(t *testing.T) {
	for seed := *stormFirst; seed < *stormFirst+*stormSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runStorm(t, seed) })
		})
	}
}

func runStorm(t *testing.T, seed uint64) {
	s := newStorm(t, seed)
	s.begin(seed%3 == 2)
	ctx, cancel := context.WithCancel(context.Background())
	go s.submitSteadily(ctx)
	kept, endDrops := context.WithCancel(context.Background())
	if *stormKeep > 0 {
		go s.store.dropAfter(kept, *stormKeep)
	}
	for end := time.Now().Add(stormDuration); time.Now().Before(end); {
		s.disturb()
		time.Sleep(time.Duration(200+s.random.IntN(1300)) * time.Millisecond)
	}
	cancel()
	s.end()
	s.checkEnded()
	endDrops()
	s.close()
	for _, v := range s.workers.violations {
		t.Error(v)
	}
	t.Logf("%d accepted, %d starts, %d completed, owners %d, %v", len(s.accepted), s.workers.starts, len(s.workers.acknowledged), len(s.store.opened()), s.played)
}

func newStorm(t *testing.T, seed uint64) *storm {
	s := &storm{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), vms: []string{"vm-0", "vm-1", "vm-2", "vm-3"},
		group: &cellGroup{owners: make([]string, 1), cut: make(map[string]bool)}, running: make(map[string]*stormProcess),
		cutUntil: make(map[[2]string]time.Time), played: make(map[string]int),
	}
	s.store = &stormStore{fakeLog: newFakeLog(), random: rand.New(rand.NewPCG(seed, 2))}
	s.workers = newStormWorkers(rand.New(rand.NewPCG(seed, 3)), 8)
	return s
}

// begin starts a process on each VM, with inSeries again and again.
func (s *storm) begin(inSeries bool) {
	s.group.assign(0, s.vms[0])
	for _, vm := range s.vms {
		s.start(vm, vm)
	}
	for range 4 {
		if !inSeries {
			break
		}
		for _, vm := range s.vms {
			time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
			s.running[vm].kill()
			s.start(vm, vm)
			s.deal()
		}
	}
	time.Sleep(2 * time.Second)
}

// start starts a process of a VM. Another one may still run at another address; none does at the same one,
// since a process owns nothing before it listens.
func (s *storm) start(vm, address string) {
	p := &stormProcess{vm: vm, address: address, name: fmt.Sprintf("%s.%d", vm, len(s.all))}
	log := stormLog{s.store, p}
	client := s.workers.client(p)
	startedAt := time.Now()
	var logger *logevent.Logger
	if *stormLogs != "" {
		f, err := os.Create(*stormLogs + p.name)
		if err != nil {
			s.t.Fatal(err)
		}
		logger, _ = logevent.New(f, "debug")
	}
	p.node = coordinator.NewNode(coordinator.Config{
		SuspendClock: func() time.Duration { return time.Since(startedAt) }, VM: vm, PeerAddress: address, Cells: 1,
		Dispatch: dispatch.Config{Lease: clusterLease, HandoverLease: 2 * clusterLease, HeartbeatWait: time.Second, RemoteFactor: 2, StopTime: 100 * time.Millisecond, MaxViewAge: clusterViewAges},
	}, coordinator.Platform{
		Log: log, Owners: log, Snapshots: log, Group: stormMember{s.store, cellMember{s.group, vm}, p},
		WorkerClient: client, Directory: client, Declarations: fakeDeclarations{},
	}, logger, coordinator.NewMetrics())
	s.mu.Lock()
	s.running[vm] = p
	s.all = append(s.all, p)
	for _, from := range s.all {
		for _, to := range s.all {
			from.node.SetPeer(to.address, remotePeer{to.node, func() bool { return s.isCut(from, to) }, to.isKilled})
		}
	}
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		p.node.Run(ctx)
		close(done)
	}()
	p.stop = func() { cancel(); <-done }
}

func (s *storm) isCut(from, to *stormProcess) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return from.isKilled() || from.isSuspended() || to.isSuspended() || time.Now().Before(s.cutUntil[[2]string{from.vm, to.vm}])
}

func (s *storm) randomVM() string       { return s.vms[s.random.IntN(len(s.vms))] }
func (s *storm) process() *stormProcess { return s.running[s.randomVM()] }

// owner is the process of the VM to which the cell is assigned.
func (s *storm) owner() *stormProcess { return s.running[s.group.owner(0)] }

// upTo returns a random time from a tenth of the given one on.
func (s *storm) upTo(d time.Duration) time.Duration {
	return d/10 + time.Duration(s.random.Int64N(int64(d)))
}

func (s *storm) deal() { s.group.assign(0, s.randomVM()) }

// disturb causes one event drawn at random.
func (s *storm) disturb() {
	events := []struct {
		name string
		do   func()
	}{
		{"dealt", s.deal},
		{"dealt in series", s.dealInSeries},
		{"owner killed", func() { s.restart(s.owner()) }},
		{"process killed", func() { s.restart(s.process()) }},
		{"doubled", s.double},
		{"owner suspended", func() { s.suspend(s.owner()) }},
		{"process suspended", func() { s.suspend(s.process()) }},
		{"store away", func() { s.store.set(func() { s.store.awayUntil = time.Now().Add(s.upTo(4 * time.Second)) }) }},
		{"store away for one", func() {
			p := s.owner()
			p.set(func() { p.storeBackAt = time.Now().Add(s.upTo(6 * time.Second)) })
		}},
		{"store faults", func() { s.store.set(func() { s.store.faultShare = 0.4 * s.random.Float64() }) }},
		{"no store faults", func() { s.store.set(func() { s.store.faultShare = 0 }) }},
		{"snapshots fail", func() { s.store.set(func() { s.store.snapshotShare = s.random.Float64() }) }},
		{"worker cut", func() { s.workers.cut(s.randomWorker(), s.upTo(9*time.Second)) }},
		{"worker restarted", func() { s.workers.restart(s.randomWorker()) }},
		{"worker faults", func() { s.workers.setFaults(0.3 * s.random.Float64()) }},
		{"link cut", func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.cutUntil[[2]string{s.randomVM(), s.randomVM()}] = time.Now().Add(s.upTo(6 * time.Second))
		}},
	}
	e := events[s.random.IntN(len(events))]
	s.played[e.name]++
	s.t.Logf("%s: %s, cell assigned to %s", time.Now().Format("05.000"), e.name, s.owner().name)
	e.do()
}

func (s *storm) randomWorker() string { return s.workers.ids[s.random.IntN(len(s.workers.ids))] }

// dealInSeries deals the cell to two VMs by turns, at times faster than it is read.
func (s *storm) dealInSeries() {
	pair := [2]string{s.randomVM(), s.randomVM()}
	for i := range 2 + s.random.IntN(6) {
		s.group.assign(0, pair[i%2])
		time.Sleep(time.Duration(200+s.random.IntN(500)) * time.Millisecond)
	}
}

// restart kills a process and starts the next one of its VM, at times in series.
func (s *storm) restart(p *stormProcess) {
	for range 1 + s.random.IntN(3) {
		s.running[p.vm].kill()
		time.Sleep(time.Duration(s.random.IntN(800)) * time.Millisecond)
		s.start(p.vm, s.running[p.vm].address)
	}
}

// double starts a process of the same name, and member of the group, beside its predecessor, which runs on
// for a time.
func (s *storm) double() {
	p := s.owner()
	s.start(p.vm, fmt.Sprintf("%s-%d", p.vm, len(s.all)))
	time.AfterFunc(s.upTo(6*time.Second), p.kill)
}

// suspend suspends a process for seconds, while the cell may be given to another one.
func (s *storm) suspend(p *stormProcess) {
	p.set(func() { p.resumesAt = time.Now().Add(s.upTo(8 * time.Second)) })
	if s.random.IntN(2) == 0 {
		time.Sleep(1500 * time.Millisecond)
		s.deal()
	}
}

// submitSteadily submits tasks until ctx is done.
func (s *storm) submitSteadily(ctx context.Context) {
	random := rand.New(rand.NewPCG(uint64(len(s.vms)), 4))
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(40 * time.Millisecond)
		s.mu.Lock()
		p := s.running[s.vms[random.IntN(len(s.vms))]]
		s.mu.Unlock()
		if p.isKilled() {
			continue
		}
		w := submission(fmt.Sprint("s", i))
		w.Policy.MaxAttempts = 50
		w.Steps = []workload.Step{{Tasks: 1, Request: hostapi.Resources{MilliCPU: 500, MemoryMiB: 1}, Estimate: time.Second}}
		go func() {
			if p.node.Submit(timeoutContext(3*time.Second), w) == nil && !p.isKilled() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.accepted = append(s.accepted, w.ID)
			}
		}()
	}
}

// end ends all faults. The doubled processes have been killed then.
func (s *storm) end() {
	s.store.set(func() { s.store.faultShare, s.store.snapshotShare, s.store.awayUntil = 0, 0, time.Time{} })
	s.workers.setFaults(0)
	time.Sleep(10 * time.Second)
	s.group.assign(0, s.vms[0])
}

// checkEnded checks that the accepted tasks end.
func (s *storm) checkEnded() {
	s.mu.Lock()
	accepted := slices.Clone(s.accepted)
	s.mu.Unlock()
	var left []string
	for end := time.Now().Add(stormEndTime); time.Now().Before(end); time.Sleep(time.Second) {
		left = nil
		for _, id := range accepted {
			state, err := s.running[s.vms[0]].node.State(timeoutContext(time.Second), id)
			if err != nil || state != workload.Completed {
				left = append(left, fmt.Sprint(id, " ", state, " ", err))
			}
		}
		if len(left) == 0 {
			return
		}
	}
	s.t.Errorf("%d of %d accepted tasks have not ended: %v", len(left), len(accepted), left)
}

func (s *storm) close() {
	for _, p := range s.all {
		p.set(func() { p.killed = true })
		p.stop()
	}
	time.Sleep(15 * time.Second)
}
