package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
)

// randomCell returns a cell with random attempts and tasks.
func randomCell(t *testing.T, random *rand.Rand) (*Snapshot, []Task) {
	workers := workersOf(1 + random.IntN(12))
	for i := range workers {
		workers[i].Capacity.Accelerators = random.Int64N(4)
		workers[i].Unreachable = random.IntN(10) == 0
		for n := range random.IntN(8) {
			a := runningBatch(fmt.Sprintf("run-%d-%d", i, n), resources(random.Int64N(20), random.Int64N(60), 0))
			a.Team = fmt.Sprintf("team-%d", random.IntN(4))
			a.Service = random.IntN(3) == 0
			a.Progress = random.Float64()
			if a.Requests.Fits(workers[i].Free()) {
				workers[i].Attempts = append(workers[i].Attempts, a)
			}
		}
	}
	var pending []Task
	for i := range random.IntN(60) {
		task := pendingBatch(fmt.Sprintf("new-%d", i), resources(random.Int64N(90), random.Int64N(300), random.Int64N(3)))
		task.Team = fmt.Sprintf("team-%d", random.IntN(5))
		task.Urgent, task.Service = random.IntN(5) == 0, random.IntN(5) == 0
		task.PendingSince = -time.Duration(random.Int64N(int64(10 * time.Minute)))
		pending = append(pending, task)
	}
	teams := []Team{{Name: "team-0", Quota: resources(60, 200, 1), MayBorrow: true}, {Name: "team-1", Quota: resources(40, 100, 0)}}
	return snapshotOf(t, workers).WithTeams(teams), pending
}

// TestPlaceNeverOvercommits guards against a rule that assigns a worker more
// than its capacity in any dimension, drops a task or gives no reason.
func TestPlaceNeverOvercommits(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 9))
		s, pending := randomCell(t, random)
		plan := newPolicy(AllRules).Place(0, s, pending)
		is.Equal(len(plan.Placements)+len(plan.Unplaced), len(pending)) // each task is either placed or waits
		assigned := map[string]hostapi.Resources{}
		for _, p := range plan.Placements {
			is.NoErr(SnapshotValidator{}.CheckPlacement(s, p))
			is.True(p.Reason != "")
			assigned[p.Worker] = assigned[p.Worker].Add(p.Requests)
		}
		for id, sum := range assigned {
			is.True(sum.Fits(s.Worker(id).Free())) // never above the free capacity
		}
		for _, w := range plan.Unplaced {
			is.True(w.Reason != "")
		}
	}
}

// TestReasons guards against reasons that don't name the missing resource.
func TestReasons(t *testing.T) {
	is := is.New(t)
	plan := newPolicy(0).Place(0, snapshotOf(t, workersOf(3)), []Task{
		pendingBatch("gpu", resources(1, 1, 2)), pendingBatch("huge", resources(1, 1, 0)),
	})
	is.Equal(len(plan.Unplaced), 1)
	is.Equal(plan.Unplaced[0].Reason, "pending: no worker with 2 accelerators free")
}

// TestNeedIsBounded guards against a declared or learned need that no VM can cover,
// which would leave the task pending for ever.
func TestNeedIsBounded(t *testing.T) {
	is := is.New(t)
	p := newPolicy(AllRules)
	s := snapshotOf(t, workersOf(2))
	task := pendingBatch("wide", resources(500, 4000, 0))
	is.Equal(p.need(s, &task), resources(64, 250, 0))
	a := runningBatch("learned", resources(4, 4, 0))
	w := Worker{Attempts: []Attempt{a}}
	for i := range 100 {
		now := time.Minute + time.Duration(i)*time.Second
		p.ObserveUsage(now, &w, []hostapi.Usage{{ID: a.ID, Used: resources(200, 900, 0), Slowdown: 1}})
	}
	task = pendingBatch("learned", resources(4, 4, 0))
	is.Equal(p.need(s, &task), resources(64, 250, 0))
}

// TestLearnedSize guards against a wrong declaration that is used in spite of usage
// reports, and against learning from attempts that have not reached their size.
func TestLearnedSize(t *testing.T) {
	is := is.New(t)
	p := newPolicy(AllRules)
	s := snapshotOf(t, workersOf(2))
	a := runningBatch("small", resources(32, 100, 0))
	w := Worker{Attempts: []Attempt{a}}
	task := pendingBatch("small", resources(32, 100, 0))
	observe := func(now time.Duration) {
		for range 200 {
			p.ObserveUsage(now, &w, []hostapi.Usage{{ID: a.ID, Used: resources(4, 10, 0), Slowdown: 1}})
		}
	}
	observe(10 * time.Second)
	is.Equal(p.need(s, &task), resources(32, 100, 0)) // too young
	observe(time.Minute)
	need := p.need(s, &task)
	is.True(need.MilliCPU < 8*core && need.MilliCPU >= 4*core)
	is.True(need.MemoryMiB < 25<<10 && need.MemoryMiB >= 10<<10)
}

// TestStalePlans guards against a plan that is applied after the state it was
// made from has changed.
func TestStalePlans(t *testing.T) {
	is := is.New(t)
	s := snapshotOf(t, workersOf(1))
	plan := newPolicy(AllRules).Place(0, s, []Task{pendingBatch("a", resources(40, 1, 0))})
	is.Equal(len(plan.Placements), 1)
	p := plan.Placements[0]
	validator := SnapshotValidator{}
	is.NoErr(validator.CheckPlacement(s, p))
	full := *s.At(0)
	full.Attempts = []Attempt{runningBatch("b", resources(30, 1, 0))}
	is.True(validator.CheckPlacement(s.WithWorkers(2, full), p) != nil)
	rebooted := *s.At(0)
	rebooted.Boot = "2"
	is.True(validator.CheckPlacement(s.WithWorkers(2, rebooted), p) != nil)
	started := *s.At(0)
	started.Attempts = []Attempt{runningBatch("a", resources(1, 1, 0))}
	is.True(validator.CheckPlacement(s.WithWorkers(2, started), p) != nil)
	is.True(validator.CheckPlacement(s.WithDataCentre(DataCentre{Phase: Draining}), p) != nil)
	is.NoErr(validator.CheckPlacement(s, p)) // older snapshots are unchanged
	stop := Action{Kind: Evict, ID: full.Attempts[0].ID, Worker: "w0000", Boot: "1"}
	is.True(validator.CheckAction(s, stop) != nil)
	is.NoErr(validator.CheckAction(s.WithWorkers(2, full), stop))
}
