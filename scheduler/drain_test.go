package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// drainingCell returns a cell of one worker that must be empty at two minutes.
func drainingCell(t *testing.T, attempts ...Attempt) *Snapshot {
	workers := workersOf(1)
	workers[0].Attempts = attempts
	return snapshotOf(t, workers).WithDataCentre(DataCentre{Phase: Draining, Deadline: 2 * time.Minute})
}

// TestDrainOrder guards against a drain that stops work that would have ended in
// time, or moves batch work before services.
func TestDrainOrder(t *testing.T) {
	is := is.New(t)
	short := runningBatch("short", resources(1, 1, 0))
	short.RunTime = 30 * time.Second
	service := runningBatch("service", resources(1, 1, 0))
	service.Service = true
	p := newPolicy(AllRules)
	s := drainingCell(t, runningBatch("long", resources(1, 1, 0)), short, service)
	first := p.Act(0, s)
	is.Equal(len(first), 1)
	is.Equal(first[0].ID, service.ID)
	late := p.Act(2*time.Minute-drainMargin-time.Second, s)
	moved := map[string]bool{}
	for _, a := range late {
		is.Equal(a.Kind, Move)
		moved[a.ID.Task] = true
	}
	is.True(moved["long/7/0"])
}

// TestDrainEmpties guards against work that still runs when the data centre is
// switched off.
func TestDrainEmpties(t *testing.T) {
	is := is.New(t)
	done := runningBatch("done", resources(1, 1, 0))
	done.Progress = 0.99
	s := drainingCell(t, done, runningBatch("long", resources(1, 1, 0)))
	p := newPolicy(AllRules)
	is.Equal(len(p.Act(2*time.Minute-drainMargin, s)), 1) // nearly done work is evicted later
	is.Equal(len(p.Act(2*time.Minute-forcedEvictionMargin, s)), 2)
}

// TestDrainIsPaced guards against moving everything at once.
func TestDrainIsPaced(t *testing.T) {
	is := is.New(t)
	var attempts []Attempt
	for i := range 30 {
		a := runningBatch(fmt.Sprintf("s-%d", i), resources(1, 1, 0))
		a.Service = true
		attempts = append(attempts, a)
	}
	actions := newPolicy(AllRules).Act(10*time.Second, drainingCell(t, attempts...))
	is.True(len(actions) > 1 && len(actions) < 10)
}

// TestNoPlacementWhileOutOfService guards against a start in a data centre that was
// taken out.
func TestNoPlacementWhileOutOfService(t *testing.T) {
	is := is.New(t)
	for _, phase := range []Phase{Draining, OutOfService} {
		other := CellSummary{Cell: CellID{DataCentre: "maadi"}, Free: resources(64, 250, 0), Largest: resources(64, 250, 0), Capacity: resources(64, 250, 0)}
		s := snapshotOf(t, workersOf(1)).WithDataCentre(DataCentre{Phase: phase}).WithSummaries([]CellSummary{other})
		plan := newPolicy(AllRules).Place(0, s, []Task{pendingBatch("x", resources(1, 1, 0))})
		is.Equal(len(plan.Placements), 0)
		is.Equal(*plan.Unplaced[0].MoveTo, other.Cell)
	}
}

// TestRamp guards against filling a returning data centre immediately.
func TestRamp(t *testing.T) {
	is := is.New(t)
	var pending []Task
	for i := range 64 {
		pending = append(pending, pendingBatch(fmt.Sprintf("t-%d", i), resources(1, 1, 0)))
	}
	s := snapshotOf(t, workersOf(1)).WithDataCentre(DataCentre{Phase: Returning})
	is.Equal(len(newPolicy(AllRules).Place(0, s, pending).Placements), 16) // a quarter
	is.Equal(len(newPolicy(AllRules).Place(DefaultConfig().RampTime, s, pending).Placements), 64)
}

// TestChooseCell guards against moving tasks to cells that take no work, to cells
// whose summary is old, and too many to one cell between two summaries.
func TestChooseCell(t *testing.T) {
	is := is.New(t)
	cell := func(dc string, phase Phase, at time.Duration) CellSummary {
		return CellSummary{
			Cell: CellID{DataCentre: dc}, Phase: phase, At: at,
			Free: resources(16, 100, 0), Largest: resources(16, 100, 0), Capacity: resources(64, 250, 0),
		}
	}
	now := time.Minute
	s := snapshotOf(t, workersOf(1)).WithSummaries([]CellSummary{
		cell("a", Draining, now), cell("b", OutOfService, now), cell("c", InService, 0), cell("d", InService, now),
	})
	p := newPolicy(AllRules)
	task := pendingBatch("x", resources(8, 1, 0))
	for range 2 {
		to, ok := p.ChooseCell(now, s, &task)
		is.True(ok)
		is.Equal(to.DataCentre, "d")
	}
	_, ok := p.ChooseCell(now, s, &task) // two tasks of 8 cores fill it
	is.True(!ok)
}
