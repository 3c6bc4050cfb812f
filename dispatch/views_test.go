package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// maxViewAge is the age of the views beyond which the tests' machines start nothing.
const maxViewAge = 2 * time.Second

var allViews = []dispatch.View{dispatch.WorkerList, dispatch.Evacuations, dispatch.Intake}

// newViewHarness returns a harness whose views expire; all have just been read.
func newViewHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.restart(1)
	h.readViews(h.now, allViews...)
	h.listWorker(workload.Worker{})
	h.report()
	return h
}

// restart replaces the machine by one of a new epoch whose views expire.
func (h *harness) restart(epoch int64) {
	h.machine = dispatch.New(dispatch.Config{
		Epoch: epoch, Lease: simLease, HeartbeatWait: time.Second, RemoteFactor: 2,
		MaxViewAge: dispatch.ViewAges{maxViewAge, maxViewAge, maxViewAge},
	}, h.ledger, h.now, time.Now())
}

func (h *harness) readViews(sentAt time.Duration, views ...dispatch.View) {
	for _, v := range views {
		h.handle(dispatch.ViewRead{View: v, SentAt: sentAt})
	}
}

// others returns all views but one.
func others(view dispatch.View) (rest []dispatch.View) {
	for _, v := range allViews {
		if v != view {
			rest = append(rest, v)
		}
	}
	return rest
}

// age lets a view reach an age, while the others are read and the worker reports.
func (h *harness) age(view dispatch.View, age time.Duration) {
	for end := h.now + age; h.now < end; {
		h.advance(min(500*time.Millisecond, end-h.now))
		h.readViews(h.now, others(view)...)
		h.report()
	}
}

func isExpiry(a dispatch.Action) bool {
	_, ok := a.(dispatch.ViewExpired)
	return ok
}

func isRenewal(a dispatch.Action) bool {
	_, ok := a.(dispatch.ViewRenewed)
	return ok
}

// Guards against an owner that places tasks by a view that is too old, and against one
// that does not place them once the view has been read again.
func TestNothingIsPlacedByAnOldView(t *testing.T) {
	for _, view := range allViews {
		t.Run(view.String(), func(t *testing.T) {
			is := is.New(t)
			h := newViewHarness(t)
			h.age(view, maxViewAge)
			h.submit("waiting", plainStep)
			is.Equal(h.count(startOf("waiting")), 0)
			h.readViews(h.now, view)
			h.advance(20 * time.Millisecond)
			is.Equal(h.count(startOf("waiting")), 1)
			h.age(view, maxViewAge-40*time.Millisecond)
			h.submit("fresh", plainStep)
			is.Equal(h.count(startOf("fresh")), 1)
			is.Equal(h.machine.FreeCapacity([]dispatch.Demand{{Step: &plainStep, Tasks: 1, Service: "register"}}), []int{1})
			h.age(view, 20*time.Millisecond)
			is.Equal(h.machine.FreeCapacity([]dispatch.Demand{{Step: &plainStep, Tasks: 1, Service: "register"}}), []int{0})
			h.submit("late", plainStep)
			is.Equal(h.count(startOf("late")), 0)
		})
	}
}

// Guards against a start by a view that became too old while the placement was recorded.
func TestRecordedRunIsNotStartedByAnOldView(t *testing.T) {
	for _, view := range allViews {
		t.Run(view.String(), func(t *testing.T) {
			is := is.New(t)
			h := newViewHarness(t)
			recorded := h.submitWhileLogStalls("late", plainStep)
			h.age(view, maxViewAge)
			h.handle(recorded)
			is.Equal(h.count(startOf("late")), 0)
			h.readViews(h.now, view)
			h.advance(20 * time.Millisecond)
			is.Equal(h.count(startOf("late")), 1)
		})
	}
}

// Guards against a repeated start by a view that is too old, and against the end of a run
// that only waits for the view.
func TestUnansweredStartWaitsForTheViews(t *testing.T) {
	for _, view := range allViews {
		t.Run(view.String(), func(t *testing.T) {
			is := is.New(t)
			h := newViewHarness(t)
			run := h.submitUnanswered("late", plainStep)
			h.age(view, maxViewAge)
			h.handle(dispatch.StartAnswered{Worker: "w", Run: run, Answer: dispatch.NoAnswer})
			h.age(view, time.Second)
			is.Equal(h.count(startOf("late")), 1)
			is.Equal(h.count(stopOf("late")), 0)
			h.readViews(h.now, view)
			h.advance(20 * time.Millisecond)
			is.Equal(h.count(startOf("late")), 2)
		})
	}
}

// Guards against the start of a previous owner's run before each view was read, and
// against the end of such a run that only waits for that.
func TestInheritedRunWaitsForTheViews(t *testing.T) {
	for _, view := range allViews {
		t.Run(view.String(), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			h.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
				ID: "former", Queue: "q", Steps: []workload.Step{plainStep}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
			}))
			run := workload.RunID{Task: workload.TaskID{Submission: "former"}, Run: 1}
			h.ledger.Apply(ledger.PlacedRecord(run, workload.Incarnation{Worker: "w", StartMillis: 1}, ""))
			h.restart(2)
			h.listWorker(workload.Worker{})
			h.readViews(h.now, others(view)...)
			h.report()
			h.age(view, 3*time.Second)
			is.Equal(h.count(startOf("former")), 0)
			is.Equal(h.count(stopOf("former")), 0)
			h.readViews(h.now, view)
			h.report()
			is.Equal(h.count(startOf("former")), 1)
		})
	}
}

// Guards against an answer that counts from its arrival, and against a late answer that
// makes a view older.
func TestViewsCountFromTheTimeOfSending(t *testing.T) {
	is := is.New(t)
	h := newViewHarness(t)
	read := h.now
	h.age(dispatch.Intake, maxViewAge+20*time.Millisecond)
	h.readViews(read+10*time.Millisecond, dispatch.Intake)
	h.submit("late", plainStep)
	is.Equal(h.count(startOf("late")), 0)
	h.readViews(h.now, dispatch.Intake)
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(startOf("late")), 1)
	h.readViews(read+20*time.Millisecond, dispatch.Intake)
	h.submit("fresh", plainStep)
	is.Equal(h.count(startOf("fresh")), 1)
}

// Guards against starts by views that were read before the VM was suspended: the clock
// does not count the suspension.
func TestViewsFromBeforeASuspensionDecideNothing(t *testing.T) {
	is := is.New(t)
	h := newViewHarness(t)
	sentBefore := h.now
	h.now += 20 * time.Millisecond
	h.handle(dispatch.Resumed{})
	h.readViews(sentBefore, allViews...)
	h.submit("s", plainStep)
	is.Equal(h.count(startOf("s")), 0)
	h.readViews(h.now, allViews...)
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(startOf("s")), 1)
}

// Guards against a log that fills with reports of one old view, and against reports of a
// new owner that has not had time to read its views.
func TestOldViewIsReportedOnce(t *testing.T) {
	is := is.New(t)
	h := newViewHarness(t)
	for expiries := range 3 {
		is.Equal(h.count(isExpiry), expiries)
		is.Equal(h.count(isRenewal), expiries)
		h.age(dispatch.Evacuations, 10*time.Second)
		is.Equal(h.count(isExpiry), expiries+1)
		h.readViews(h.now, allViews...)
	}
	h.actions = nil
	h.restart(2)
	h.advance(maxViewAge)
	is.Equal(h.count(isExpiry), 0)
	h.advance(20 * time.Millisecond)
	is.Equal(h.count(isExpiry), len(allViews))
}
