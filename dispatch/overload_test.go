package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against an overload in which all work is late. Sign-in batches arrive for
// 15 s at about twice the rate that the workers can serve, so that at most about half
// can be on time. Those that still can must be placed first: in order of due time
// alone, hardly any is on time.
func TestOverloadPlacesTimelyWorkFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newLoadSim(3, 30)
	l.run(2 * time.Second)
	until := l.now + 15*time.Second
	l.scheduleArrivals(40, until, l.signIn)
	l.run(40 * time.Second)
	is.True(len(l.lateness["sign-in"]) > 400)
	is.True(l.shareWithin("sign-in", 1) >= 0.3)
	// All accepted submissions complete.
	is.Equal(len(l.submittedAt), 0)
}

// Guards against a large submission that is overtaken by newer ones each time that
// some of its tasks end: the work done for it would be lost.
func TestBegunWorkKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	submit := func(id string, tasks int) {
		e := h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
			ID: id, Queue: "q", AcceptedAt: time.UnixMilli(h.now.Milliseconds()),
			Steps: []workload.Step{{
				Tasks: tasks, Estimate: time.Second, Request: hostapi.Resources{MilliCPU: 32000, MemoryMiB: 10},
			}},
			Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 1.5},
		}))
		h.handle(dispatch.EntryChanged{Entry: e})
		h.advance(20 * time.Millisecond)
	}
	submit("large", 4)
	is.Equal(h.count(startOf("large")), 2)
	h.advance(1200 * time.Millisecond)
	submit("newer", 1)
	for index := range 2 {
		run := workload.RunID{Task: workload.TaskID{Submission: "large", Index: index}, Run: 1}
		delete(h.active, run)
		h.sequence++
		h.report(workload.EndedRun{RunID: run, Sequence: h.sequence, Outcome: workload.Succeeded})
	}
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(startOf("large")), 4)
	is.Equal(h.count(startOf("newer")), 0)
}

// Guards against large batches that each receive a part of the free capacity, so that
// none completes in time. Meal claims, whose sizes differ by a factor of 16, arrive
// for 20 s at about twice the rate that the workers can serve, so that half of the
// submissions can be on time. In order of due time only a quarter is.
func TestOverloadCompletesMostBatches(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newLoadSim(5, 30)
	l.run(2 * time.Second)
	l.scheduleArrivals(9, l.now+20*time.Second, l.mealClaim)
	l.run(120 * time.Second)
	is.True(len(l.lateness["meal-claim"]) > 150)
	is.True(l.shareWithin("meal-claim", 1) >= 0.5)
	is.Equal(len(l.submittedAt), 0)
}

// Guards against a planning round that runs although it was put off, or is lost.
func TestDelayedPlanningRunsLater(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.machine.DelayPlanning(h.now + 100*time.Millisecond)
	h.submit("waits", plainStep)
	h.advance(50 * time.Millisecond)
	is.Equal(h.count(startOf("waits")), 0)
	h.advance(50 * time.Millisecond)
	is.Equal(h.count(startOf("waits")), 1)
}
