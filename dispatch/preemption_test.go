package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// maxPlacementWait is the time within which a long-running task must run again, counted from
// when its last run has certainly ended.
const maxPlacementWait = 2 * time.Second

// lose ends a worker without a word: it answers nothing, and its runs are gone.
func (l *loadSim) lose(w *loadWorker) {
	w.gone, w.runs = true, nil
	if w.waiting != nil {
		w.waiting = nil
		l.step(dispatch.HeartbeatFailed{Worker: w.info.ID(), Answer: dispatch.NoAnswer})
	}
}

// loseLongRunning loses workers until at least n long-running runs are lost, and returns how many
// are.
func (l *loadSim) loseLongRunning(n int) int {
	lost := 0
	for _, w := range l.sortedWorkers() {
		running := 0
		for _, r := range w.runs {
			if r.step.LongRunning {
				running++
			}
		}
		if lost < n && running > 0 {
			lost += running
			l.lose(w)
		}
	}
	return lost
}

// Guards against long-running tasks of lost workers that wait until finite runs on the other
// workers, all of them full, end by themselves.
func TestLongRunningTasksRunAgainBesideFullWorkers(t *testing.T) {
	is := is.New(t)
	l := newLoadSim(1, 24)
	l.run(2 * time.Second)
	for range 3 {
		l.submit(l.officeSync())
	}
	l.run(time.Second)
	for range 4 {
		l.submit(l.batch("long", 1, 60, 12000, 60000, 0))
	}
	l.run(2 * time.Second)
	is.True(l.loseLongRunning(6) >= 6)
	l.run(dispatch.LeaseExpiryBound(simLease) + maxPlacementWait)
	is.Equal(len(l.waitingSince()), 0)
}

// load is a submission. priority is relative to that of the others.
type load struct {
	step     workload.Step
	priority int
}

func (h *harness) submitLoad(id string, l load) {
	e := h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: id, Queue: "q", AcceptedAt: time.UnixMilli(h.now.Milliseconds()), Steps: []workload.Step{l.step},
		Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 3, Priority: 1 + l.priority},
	}))
	h.handle(dispatch.EntryChanged{Entry: e})
	h.advance(20 * time.Millisecond)
}

// reportProgress sets the progress that the worker reports of all runs.
func (h *harness) reportProgress(percent int) {
	for run, a := range h.active {
		a.ProgressPercent = percent
		h.active[run] = a
	}
}

// wait lets time pass while the worker reports its runs. Runs that are stopped end.
func (h *harness) wait(d time.Duration) {
	for until := h.now + d; h.now < until; {
		h.advance(100 * time.Millisecond)
		h.reportProgress(int(h.now/time.Second) % 2)
		var ended []workload.EndedRun
		for _, a := range h.actions {
			if s, ok := a.(dispatch.Stop); ok && h.active[s.Run].Run > 0 {
				delete(h.active, s.Run)
				h.sequence++
				ended = append(ended, workload.EndedRun{RunID: s.Run, Sequence: h.sequence, Outcome: workload.Stopped})
			}
		}
		h.report(ended...)
	}
}

// Guards against a long-running task that displaces work which it must not, or more work than
// it needs to. first has started a second before second.
func TestLongRunningTaskDisplacesWhatLosesLeast(t *testing.T) {
	half := stepOfSize(1, 32)
	half.Estimate = time.Minute
	checkpointing, gang, two := half, half, half
	checkpointing.Checkpoints = true
	gang.Tasks, gang.Gang, gang.Request.MilliCPU = 2, true, 16000
	two.Tasks, two.Request.MilliCPU = 2, 16000
	for name, test := range map[string]struct {
		first, second               load
		stoppedFirst, stoppedSecond int
	}{
		"least work lost":   {first: load{step: half}, second: load{step: half}, stoppedSecond: 1},
		"checkpointing":     {first: load{step: checkpointing}, second: load{step: half}, stoppedFirst: 1},
		"no more than need": {first: load{step: half}, second: load{step: two}, stoppedSecond: 1},
		"gang last":         {first: load{step: half}, second: load{step: gang}, stoppedFirst: 1},
		"gang as a whole":   {first: load{step: lastingStep(1, 32000)}, second: load{step: gang}, stoppedSecond: 2},
		"higher priority":   {first: load{step: half}, second: load{step: half, priority: -1}, stoppedFirst: 1},
		"long-running":      {first: load{step: lastingStep(1, 32000)}, second: load{step: lastingStep(1, 32000)}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.report()
			h.submitLoad("first", test.first)
			h.wait(time.Second)
			h.submitLoad("second", test.second)
			h.wait(500 * time.Millisecond)
			h.submitLoad("service", load{step: lastingStep(1, 16000)})
			h.wait(2 * time.Second)
			is.Equal(h.count(stopOf("first")), test.stoppedFirst)
			is.Equal(h.count(stopOf("second")), test.stoppedSecond)
			is.Equal(h.count(startOf("service")) > 0, test.stoppedFirst+test.stoppedSecond > 0)
		})
	}
}

// Guards against the room that a displaced run leaves being taken by smaller work, and against
// work lost without a figure in the metrics.
func TestDisplacedRoomIsKept(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	load4 := stepOfSize(4, 16)
	load4.Estimate = time.Minute
	h.submit("load", load4)
	h.submit("service", lastingStep(1, 32000))
	h.submit("later", lastingStep(1, 16000))
	h.submit("small", stepOfSize(8, 8))
	for h.count(stopOf("load")) == 0 && h.now < 62*time.Second {
		h.reportProgress(10)
		h.report()
		h.advance(100 * time.Millisecond)
	}
	is.Equal(h.count(stopOf("load")), 2)
	work := 0.0
	for _, a := range h.actions {
		if d, ok := a.(dispatch.Decision); ok && d.Kind == dispatch.RunDisplaced {
			work += d.Work
			h.sequence++
			delete(h.active, d.Run)
			h.report(workload.EndedRun{RunID: d.Run, Sequence: h.sequence, Outcome: workload.Stopped})
			h.advance(20 * time.Millisecond)
			is.Equal(h.count(startOf("small"))+h.count(startOf("later")), 0)
		}
	}
	is.Equal(h.count(startOf("service")), 1)
	is.Equal(work, 0.1*60*32)
}

// Guards against a finite task that long-running ones displace again and again.
func TestTaskIsDisplacedAtMostTwice(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	half := stepOfSize(2, 32)
	half.Estimate = time.Minute
	h.submit("load", half)
	for i := range 6 {
		id := fmt.Sprintf("service-%d", i)
		h.submit(id, lastingStep(1, 16000))
		h.wait(2 * time.Second)
		h.handle(dispatch.EntryChanged{Entry: h.ledger.Apply(ledger.CancelledRecord(id))})
		h.wait(time.Second)
	}
	is.Equal(h.count(stopOf("load")), 4)
	is.Equal(h.ledger.Find("load").State(), workload.Running)
}
