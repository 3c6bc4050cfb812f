package dispatch_test

import (
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
