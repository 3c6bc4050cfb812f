package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// newServingHarness returns a harness with a serving task that is within its target.
func newServingHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.report()
	h.submit("watch", watchStep)
	h.setTail("watch", 15*time.Millisecond)
	h.advance(2 * time.Second)
	h.report()
	return h
}

// learnHarmless submits a best-effort run and lets it work until it is known not to interfere.
func (h *harness) learnHarmless(id string) {
	h.submit(id, reportStep)
	for range 30 {
		h.reportTails(15 * time.Millisecond)
	}
}

// reportTails answers heartbeats that are 400 ms apart with tail latencies of the serving task.
func (h *harness) reportTails(tails ...time.Duration) {
	for _, tail := range tails {
		h.setTail("watch", tail)
		h.advance(400 * time.Millisecond)
		h.report()
	}
}

// paces returns the paces that were ordered for a submission's runs.
func (h *harness) paces(id string) []int {
	var out []int
	for _, a := range h.actions {
		if p, ok := a.(dispatch.Pace); ok && p.Run.Task.Submission == id {
			out = append(out, p.Percent)
		}
	}
	return out
}

// Tail latencies of the serving task: over its target, just within it, and far within it.
const (
	over   = 80 * time.Millisecond
	barely = 45 * time.Millisecond
	within = 20 * time.Millisecond
)

// Guards against best-effort runs that are placed beside a task over its target after one rough
// report within it.
func TestNothingIsPlacedBesideTaskAfterOneReportWithinTarget(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(t)
	h.reportTails(over, within)
	h.submit("report", reportStep)
	h.reportTails(over, barely, within)
	is.Equal(h.count(startOf("report")), 0)
	h.reportTails(within, within)
	is.Equal(h.count(startOf("report")), 1)
}

// Guards against a time over the target that begins anew with each rough report within it.
func TestRunsAreSuspendedDespiteReportsWithinTarget(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(t)
	h.learnHarmless("report")
	h.reportTails(over, barely, barely, over)
	is.Equal(h.paces("report"), []int{0})
}

// Guards against a recorded run whose start is sent although its worker has reported meanwhile that
// a task there is over its target.
func TestRecordedRunIsNotStartedBesideTaskOverTarget(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(t)
	h.logStalled = true
	h.submit("report", reportStep)
	h.reportTails(over)
	h.logStalled = false
	for _, a := range h.actions {
		if a, ok := a.(dispatch.Append); ok {
			h.handle(dispatch.Appended{ID: a.ID})
		}
	}
	is.Equal(h.count(startOf("report")), 0)
	h.reportTails(within, within, within, within, within)
	is.Equal(h.count(startOf("report")), 1)
}

// Guards against a start under way that lets a run work beside a task over its target until its
// worker's next report.
func TestRunStartedBesideTaskOverTargetIsSuspendedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(t)
	h.withholdsStarts = true
	h.submit("report", reportStep)
	h.reportTails(over)
	is.Equal(len(h.withheld), 1)
	h.handle(dispatch.StartAnswered{Worker: "w", Run: h.withheld[0], Answer: dispatch.Done, Clock: h.now})
	is.Equal(h.paces("report"), []int{0})
}

// Guards against best-effort runs that work beside a task over its target because its worker's
// report is late.
func TestRunsAreSuspendedWithoutFurtherReport(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(t)
	h.learnHarmless("report")
	h.reportTails(over)
	for range 12 {
		h.advance(100 * time.Millisecond)
	}
	is.Equal(h.paces("report"), []int{0})
}

// Guards against a takeover that gives a suspended run its pace back, or begins the time over the
// target anew.
func TestTakeoverSuspendsRunsBesideTaskOverTarget(t *testing.T) {
	for name, test := range map[string]struct {
		used int64
		want []int
	}{"suspended": {0, nil}, "at work": {reportStep.Request.MilliCPU, []int{0}}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newServingHarness(t)
			h.learnHarmless("report")
			h.machine = dispatch.New(dispatch.Config{Epoch: 2, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2}, h.ledger, h.now, time.Now())
			h.actions = nil
			for run, a := range h.active {
				if run.Task.Submission == "report" {
					a.UsedMilliCPU = test.used
					h.active[run] = a
				}
			}
			h.listWorker(workload.Worker{})
			h.setTail("watch", over)
			h.advance(100 * time.Millisecond)
			h.report()
			is.Equal(h.paces("report"), test.want)
		})
	}
}

// Guards against a run that was suspended for a task and never gets its full pace back, or loses
// its work, once the task is within its target.
func TestSuspendedRunReturnsToItsFullPace(t *testing.T) {
	is := is.New(t)
	h := newServingHarness(t)
	h.learnHarmless("report")
	h.reportTails(over, over, over)
	is.Equal(h.paces("report"), []int{0})
	h.reportTails(barely, within)
	is.Equal(h.paces("report"), []int{0})
	h.reportTails(within)
	is.Equal(h.paces("report"), []int{0, 100})
	is.Equal(h.count(stopOf("report")), 0)
}
