package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against large submissions that are served less often than others without a trace
// in logs and metrics. The worker has room for the tasks of all submissions but the last
// three, which are the largest.
func TestServedSubmissionsAreReportedBySize(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	submit := func(id string, milliCPU int64) {
		e := h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
			ID: id, Queue: "q", AcceptedAt: time.UnixMilli(h.now.Milliseconds()),
			Steps:  []workload.Step{{Tasks: 1, Estimate: 100 * time.Millisecond, Request: hostapi.Resources{MilliCPU: milliCPU, MemoryMiB: 10}}},
			Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 1.5},
		}))
		h.handle(dispatch.EntryChanged{Entry: e})
		h.advance(20 * time.Millisecond)
	}
	for i := range 20 {
		id := fmt.Sprintf("small-%d", i)
		submit(id, 1000)
		h.advance(20 * time.Millisecond)
		run := workload.RunID{Task: workload.TaskID{Submission: id}, Run: 1}
		h.sequence++
		delete(h.active, run)
		h.report(workload.EndedRun{RunID: run, Sequence: h.sequence, Outcome: workload.Succeeded})
	}
	for i := range 3 {
		submit(fmt.Sprintf("large-%d", i), int64(100000+1000*i))
	}
	for range 40 {
		h.advance(100 * time.Millisecond)
		h.report()
	}
	served := make(map[string]int)
	for _, a := range h.actions {
		if d, ok := a.(dispatch.Decision); ok && (d.Kind == dispatch.SubmissionEnded || d.Kind == dispatch.SubmissionOverdue) {
			served[fmt.Sprintf("%v: %v, started %v", d.Size, d.Served, d.Started)]++
		}
	}
	is.Equal(served, map[string]int{
		"other: in time, started true":       20,
		"largest: not served, started false": 2,
		"large: not served, started false":   1,
	})
}
