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

// Guards against evidence that is lost when a heartbeat, and not the list, shows that a
// worker has crashed whose leases had expired before.
func TestCrashOfALostWorkerThatAHeartbeatShowsIsEvidence(t *testing.T) {
	for name, find := range map[string]func(h *harness){
		"another worker": func(h *harness) {
			h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.WrongWorker})
		},
		"restart": func(h *harness) {
			restarted := workload.Report{Incarnation: workload.Incarnation{Worker: "w", StartMillis: 2}, Clock: time.Second}
			h.handle(dispatch.HeartbeatAnswered{Worker: "w", SentAt: h.now, Report: restarted})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.report()
			e := h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
				ID: "deadly", Queue: "q", Steps: []workload.Step{plainStep}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
			}))
			task := workload.TaskID{Submission: "deadly"}
			former := workload.RunID{Task: task, Run: 1}
			h.ledger.Apply(ledger.PlacedRecord(former, workload.Incarnation{Worker: "former"}, ""))
			h.ledger.Apply(ledger.CrashedRecord(workload.Incarnation{Worker: "former"}, []workload.RunID{former}, 0))
			h.handle(dispatch.EntryChanged{Entry: e})
			h.advance(20 * time.Millisecond)
			is.Equal(h.count(startOf("deadly")), 1) // in isolation
			for range 60 {
				h.advance(200 * time.Millisecond)
				h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
			}
			c := e.CrashRecordOf(e.Task(task))
			is.Equal(len(c.Undecided), 1)
			find(h)
			is.Equal(len(c.Undecided), 0)
			is.True(c.Evidence > 0)
		})
	}
}

// Guards against the same loss by a successor that never heard the worker, while the task
// runs on another one.
func TestCrashOfALostWorkerIsEvidenceForASuccessor(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	e := h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "deadly", Queue: "q", Steps: []workload.Step{plainStep}}))
	task := workload.TaskID{Submission: "deadly"}
	lost, on := workload.RunID{Task: task, Run: 1}, workload.Incarnation{Worker: "w", StartMillis: 1}
	h.ledger.Apply(ledger.PlacedRecord(lost, on, "w"))
	h.ledger.Apply(ledger.LostRecord(on, "w", []workload.RunID{lost}))
	h.ledger.Apply(ledger.PlacedRecord(workload.RunID{Task: task, Run: 2}, workload.Incarnation{Worker: "other"}, "other"))
	h.takeOver(2)
	h.listWorker(workload.Worker{})
	h.advance(20 * time.Millisecond)
	h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.WrongWorker})
	c := e.CrashRecordOf(e.Task(task))
	is.Equal(len(c.Undecided), 0)
	is.Equal(c.Evidence, ledger.WeakEvidence)
}

// Guards against a task that waits until it is known whether its workers crashed, and is
// started by another cell, which knows nothing of these runs.
func TestTaskThatAwaitsADecisionIsNotTransferred(t *testing.T) {
	for name, step := range map[string]workload.Step{"finite": plainStep, "long-running": longRunningStep()} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			e := h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
				ID: "deadly", Queue: "q", Steps: []workload.Step{step}, Policy: workload.Policy{Service: "register", MaxAttempts: 9},
			}))
			task := workload.TaskID{Submission: "deadly"}
			for number := range int64(4) {
				run := workload.RunID{Task: task, Run: number + 1}
				on := workload.Incarnation{Worker: fmt.Sprint("gone", number), StartMillis: 1}
				h.ledger.Apply(ledger.PlacedRecord(run, on, on.Worker))
				h.ledger.Apply(ledger.LostRecord(on, on.Worker, []workload.RunID{run}))
			}
			h.ledger.Apply(ledger.EndedRecord(workload.RunID{Task: task, Run: 4}, workload.Lapsed, ""))
			is.True(e.CrashLimitPending(e.Task(task)))
			h.machine = dispatch.New(transferConfig, h.ledger, h.now, time.Now())
			h.listReadyWorker()
			h.advanceInSteps(3 * time.Second)
			h.handle(dispatch.CapacityFound{Cell: 2, Tasks: []int{1}})
			h.advance(100 * time.Millisecond)
			is.Equal(h.count(startOf("deadly")), 0)
			is.Equal(h.countReleases(), 0)
		})
	}
}

// Guards against a crash that is never decided because the worker that has replaced the
// crashed one belongs to another cell.
func TestWorkerOfAnotherCellShowsTheCrashOfALostOne(t *testing.T) {
	next := workload.Worker{Incarnation: workload.Incarnation{Worker: "next", StartMillis: 2}, Address: "w"}
	lost := workload.RunID{Task: workload.TaskID{Submission: "deadly"}, Run: 2}
	on := workload.Incarnation{Worker: "w", StartMillis: 1}
	for name, recorded := range map[string]bool{"lost before": true, "lost after": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			e := h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "deadly", Queue: "q", Steps: []workload.Step{plainStep}}))
			former := workload.RunID{Task: lost.Task, Run: 1}
			h.ledger.Apply(ledger.CrashedRecord(on, []workload.RunID{former}, 0))
			h.ledger.Apply(ledger.PlacedRecord(lost, on, "w"))
			if recorded {
				h.ledger.Apply(ledger.LostRecord(on, "w", []workload.RunID{lost}))
				h.ledger.Apply(ledger.PlacedRecord(workload.RunID{Task: lost.Task, Run: 3}, workload.Incarnation{Worker: "other"}, "other"))
			}
			h.takeOver(2)
			h.handle(dispatch.WorkersListed{All: []workload.Worker{next}})
			h.handle(dispatch.PredecessorResigned{Sole: true})
			h.advance(20 * time.Millisecond)
			h.handle(dispatch.HeartbeatFailed{Worker: "w", Answer: dispatch.NoAnswer})
			h.advance(20 * time.Millisecond)
			is.Equal(e.CrashRecordOf(e.Task(lost.Task)).Evidence, ledger.WeakEvidence)
		})
	}
}
