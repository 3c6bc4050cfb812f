package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// decisions returns the decisions of a kind in the order in which they were made.
func (h *harness) decisions(kind dispatch.DecisionKind) []dispatch.Decision {
	var out []dispatch.Decision
	for _, a := range h.actions {
		if d, ok := a.(dispatch.Decision); ok && d.Kind == kind {
			out = append(out, d)
		}
	}
	return out
}

func (h *harness) cancel(id string) {
	h.handle(dispatch.EntryChanged{Entry: h.ledger.Apply(ledger.CancelledRecord(id))})
}

// Guards against a run that outlasts its cancelled submission without a line that says why,
// and against a line for each check.
func TestRunLeftOfCancelledSubmissionIsReportedOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("s", stepOfSize(2, 8))
	h.report()
	h.cancel("s")
	for range 20 {
		h.advance(250 * time.Millisecond)
	}
	left := h.decisions(dispatch.FinalRunLeft)
	is.Equal(len(left), 2) // one for each run
	for _, d := range left {
		is.Equal(d.Run.Task.Submission, "s")
		is.Equal(d.Worker, "w")
		is.True(d.Age >= 3*time.Second && d.Age < 4*time.Second)
		is.Equal(d.Reason, "submission is cancelled; run is stopping: stop is in flight")
	}
}

// Guards against a time to the end of the last run that another run's end, or a repeated
// record of the cancellation, cuts short.
func TestTimeUntilCancelledSubmissionHasNoRuns(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("s", stepOfSize(2, 8))
	h.report()
	h.cancel("s")
	cancelled := h.now
	h.advance(time.Second)
	h.end("s", 0)
	h.cancel("s")
	is.Equal(len(h.decisions(dispatch.SubmissionCleared)), 0)
	h.advance(time.Second)
	ended := h.now
	h.end("s", 1)
	h.advance(time.Second)
	h.cancel("s")
	cleared := h.decisions(dispatch.SubmissionCleared)
	is.Equal(len(cleared), 1)
	is.Equal(cleared[0].Elapsed, ended-cancelled)
	is.Equal(cleared[0].Queue, "q")
	is.Equal(cleared[0].Reason, "cancelled")
	is.Equal(len(h.decisions(dispatch.FinalRunLeft)), 0)
}

// Guards against a worker's run that the owner does not have and about which no line tells
// since when its submission has been final, and against a line for each report.
func TestUnknownRunIsReportedOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("s", stepOfSize(1, 8))
	h.report()
	h.cancel("s")
	cancelled := h.now
	h.end("s", 0)
	h.advance(2 * time.Second)
	listed := h.now
	late := workload.RunID{Task: workload.TaskID{Submission: "s"}, Run: 1}
	stranger := workload.RunID{Task: workload.TaskID{Submission: "stranger"}, Run: 1}
	h.active[late] = workload.ActiveRun{RunID: late}
	h.active[stranger] = workload.ActiveRun{RunID: stranger}
	for range 3 {
		h.report()
		h.advance(time.Second)
	}
	reasons := make(map[string]string)
	ages := make(map[string]time.Duration)
	for _, d := range h.decisions(dispatch.UnknownRunListed) {
		_, repeated := reasons[d.Run.Task.Submission]
		is.True(!repeated)
		reasons[d.Run.Task.Submission], ages[d.Run.Task.Submission] = d.Reason, d.Age
	}
	is.Equal(reasons["s"], "submission is cancelled")
	is.Equal(ages["s"], listed-cancelled)
	is.True(strings.Contains(reasons["stranger"], "not known"))
	is.Equal(ages["stranger"], time.Duration(0))
}
