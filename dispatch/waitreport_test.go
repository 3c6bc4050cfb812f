package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a long-running task that waits without a trace of the reason in logs
// and metrics.
func TestWaitingLongRunningTaskIsReported(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("batch", workload.Step{Tasks: 2, Estimate: time.Minute, Request: hostapi.Resources{MilliCPU: 30000, MemoryMiB: 10}})
	h.submit("service", workload.Step{Tasks: 3, LongRunning: true, Request: hostapi.Resources{MilliCPU: 5000, MemoryMiB: 10}})
	for range 45 {
		h.advance(100 * time.Millisecond)
		h.report()
	}
	var reports []dispatch.Decision
	for _, a := range h.actions {
		if d, ok := a.(dispatch.Decision); ok && d.Kind == dispatch.TaskWaiting {
			reports = append(reports, d)
		}
	}
	is.Equal(len(reports), 2)
	is.Equal(reports[0].Run.Task.Submission, "service")
	is.True(reports[0].Age >= 2*time.Second)
	is.True(strings.HasPrefix(reports[0].Reason, "3 tasks wait, overtaken by 0 runs; requests 5000m CPU and 10 MiB, most free 4000m"))
	is.True(strings.Contains(reports[0].Reason, "1 without CPU"))
	is.Equal(dispatch.TaskWaiting.String(), "task waiting")
}

// Guards against a best-effort task that waits without a trace of what the workers that
// have room for it lack.
func TestWaitingBestEffortTaskIsReported(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("watch", watchStep)
	h.setTail("watch", 80*time.Millisecond)
	h.advance(time.Second)
	h.report()
	h.submit("report", reportStep)
	var reports []dispatch.Decision
	for range 160 {
		h.advance(100 * time.Millisecond)
		h.report()
	}
	for _, a := range h.actions {
		if d, ok := a.(dispatch.Decision); ok && d.Kind == dispatch.TaskWaiting {
			reports = append(reports, d)
		}
	}
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Run.Task.Submission, "report")
	is.True(strings.Contains(reports[0].Reason, "1 with interference (0 without unused CPU, 1 with a task over its target"))
}
