package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// submitSized submits a task with a CPU request.
func (h *harness) submitSized(id string, milliCPU int64) {
	e := h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: id, Queue: "q", AcceptedAt: time.UnixMilli(h.now.Milliseconds()),
		Steps:  []workload.Step{{Tasks: 1, Estimate: 100 * time.Millisecond, Request: hostapi.Resources{MilliCPU: milliCPU, MemoryMiB: 10}}},
		Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 1.5, TargetCompletion: time.Second},
	}))
	h.handle(dispatch.EntryChanged{Entry: e})
	h.advance(20 * time.Millisecond)
}

// Guards against submissions that are not served for a reason that neither logs nor metrics say:
// here a task that no worker could take, tasks that run for too long, and one that waits for them.
func TestSubmissionsThatAreNotServedSayWhatTheyWaitedFor(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submitSized("too-large", 100000)
	h.submitSized("long", 60000)
	h.submitSized("waits", 30000)
	for range 90 {
		h.advance(100 * time.Millisecond)
		h.report()
	}
	lostTo := make(map[string]string)
	report := ""
	for _, a := range h.actions {
		switch d, _ := a.(dispatch.Decision); d.Kind {
		case dispatch.SubmissionOverdue:
			lostTo[d.Run.Task.Submission] = d.Times.Most().String()
		case dispatch.ServingReported:
			report = d.Reason
		}
	}
	is.Equal(lostTo, map[string]string{"too-large": "no room", "long": "run", "waits": "occupied"})
	is.Equal(report, "q other: 3 not served (2 never started, most of the time went into: run 1, no room 1, occupied 1)")
}

// Guards against a takeover after which the sizes of a queue are not known, and against
// submissions that became useless before it without a trace in the successor's report.
func TestSizesOutlastATakeover(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	for i := range 20 {
		h.submitSized(fmt.Sprintf("small-%d", i), 1000)
	}
	h.submitSized("large", 100000)
	// The small submissions have begun, and half of them have ended.
	for i := range 10 {
		run := workload.RunID{Task: workload.TaskID{Submission: fmt.Sprintf("small-%d", i)}, Run: 1}
		h.sequence++
		delete(h.active, run)
		h.report(workload.EndedRun{RunID: run, Sequence: h.sequence, Outcome: workload.Succeeded})
	}
	wall := time.UnixMilli(h.now.Milliseconds()).Add(10 * time.Second)
	m := dispatch.New(dispatch.Config{Epoch: 2, Lease: 5 * time.Second}, h.ledger, h.now, wall)
	report := ""
	for range 60 {
		h.now += 100 * time.Millisecond
		wall = wall.Add(100 * time.Millisecond)
		for _, a := range m.Step(h.now, dispatch.Tick{Now: wall}) {
			if d, ok := a.(dispatch.Decision); ok && d.Kind == dispatch.ServingReported {
				report = d.Reason
			}
		}
	}
	is.True(strings.HasPrefix(report, "q largest: 1 of no more use before the epoch; "))
	is.True(strings.HasSuffix(report, "q other: 10 of no more use before the epoch"))
}
