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

// desk drives a machine by hand against one worker that does as it is told.
type desk struct {
	t       *testing.T
	machine *dispatch.Machine
	book    *ledger.Ledger
	now     time.Duration
	actions []dispatch.Action
	active  map[workload.RunID]workload.ActiveRun
	seq     int64
	// stalled keeps appends without an answer, as a log that is down.
	stalled bool
}

func newDesk(t *testing.T) *desk {
	d := &desk{t: t, book: ledger.New(), now: time.Minute, active: make(map[workload.RunID]workload.ActiveRun)}
	d.machine = dispatch.New(dispatch.Config{Epoch: 1, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2}, d.book, d.now, time.Now())
	d.list(workload.Worker{})
	return d
}

func (d *desk) list(change workload.Worker) {
	d.do(dispatch.WorkersListed{Workers: []workload.Worker{{
		Incarnation: workload.Incarnation{Worker: "w", StartMillis: 1}, Service: "register", Address: "w", DataCentre: "giza", Rack: "r1-1",
		Capacity: hostapi.Resources{MilliCPU: 64000, MemoryMiB: 1 << 20}, Draining: change.Draining,
	}}})
}

// do takes an event, and everything that follows from it at once.
func (d *desk) do(ev dispatch.Event) {
	queue := d.machine.Step(d.now, ev)
	for len(queue) > 0 {
		a := queue[0]
		queue = queue[1:]
		d.actions = append(d.actions, a)
		switch a := a.(type) {
		case dispatch.Append:
			if d.stalled {
				continue
			}
			queue = append(queue, d.machine.Step(d.now, dispatch.Appended{Token: a.Token})...)
		case dispatch.Start:
			d.active[a.Run] = workload.ActiveRun{RunID: a.Run, ProgressPercent: 100}
			queue = append(queue, d.machine.Step(d.now, dispatch.StartAnswered{Worker: "w", Run: a.Run, Answer: dispatch.Done, Clock: d.now})...)
		}
	}
}

// report answers a hold with the present runs.
func (d *desk) report(ended ...workload.EndedRun) {
	r := workload.Report{Incarnation: workload.Incarnation{Worker: "w", StartMillis: 1}, Clock: d.now, Ended: ended}
	for _, run := range d.active {
		r.Active = append(r.Active, run)
	}
	d.do(dispatch.HeartbeatAnswered{Worker: "w", SentAt: d.now, Report: r})
}

func (d *desk) pass(by time.Duration) {
	d.now += by
	d.do(dispatch.Tick{Now: time.UnixMilli(d.now.Milliseconds())})
}

// submit hands in one step.
func (d *desk) submit(id string, step workload.Step) {
	e := d.book.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: id, Queue: "q", Steps: []workload.Step{step}, Policy: workload.Policy{Service: "register", MaxAttempts: 3},
	}))
	d.do(dispatch.EntryChanged{Entry: e})
	d.pass(20 * time.Millisecond)
}

// setTail sets the tail latency that the worker reports of a submission's runs.
func (d *desk) setTail(id string, tail time.Duration) {
	for run, a := range d.active {
		if run.Task.Submission == id {
			a.TailLatency = tail
			d.active[run] = a
		}
	}
}

func (d *desk) count(match func(dispatch.Action) bool) int {
	n := 0
	for _, a := range d.actions {
		if match(a) {
			n++
		}
	}
	return n
}

func stopOf(id string) func(dispatch.Action) bool {
	return func(a dispatch.Action) bool {
		s, ok := a.(dispatch.Stop)
		return ok && s.Run.Task.Submission == id
	}
}

func startOf(id string) func(dispatch.Action) bool {
	return func(a dispatch.Action) bool {
		s, ok := a.(dispatch.Start)
		return ok && s.Run.Task.Submission == id
	}
}

var (
	watchStep = workload.Step{
		Tasks: 1, LongRunning: true, Image: "watch", LatencyTarget: 50 * time.Millisecond,
		Request: hostapi.Resources{MilliCPU: 13000, MemoryMiB: 10},
	}
	reportStep = workload.Step{
		Tasks: 1, BestEffort: true, Image: "report", Estimate: 5 * time.Second,
		Request: hostapi.Resources{MilliCPU: 6400, MemoryMiB: 10},
	}
)

// Guards against best-effort work that holds a task over its latency target
// for as long as the deployment's limit of 4 s: the stop must be sent within 3 s,
// also if nothing is known of the two images.
func TestBestEffortStopsBesideTaskOverTarget(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	d.report()
	d.submit("watch", watchStep)
	d.setTail("watch", 15*time.Millisecond)
	d.pass(2 * time.Second)
	d.report()
	d.submit("report", reportStep)
	is.Equal(d.count(startOf("report")), 1)
	d.setTail("watch", 80*time.Millisecond)
	over := d.now
	for d.count(stopOf("report")) == 0 && d.now < over+4*time.Second {
		d.pass(400 * time.Millisecond)
		d.report()
	}
	is.True(d.now-over <= 3*time.Second)
}

// Guards against reports that come too rarely beside a shared worker to see a
// missed latency target in time.
func TestSharedWorkersReportOften(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	d.report()
	d.submit("watch", watchStep)
	d.submit("report", reportStep)
	d.setTail("watch", 80*time.Millisecond)
	d.pass(time.Second)
	d.report()
	d.actions = nil
	d.pass(100 * time.Millisecond)
	for _, a := range d.actions {
		if h, ok := a.(dispatch.Heartbeat); ok {
			is.True(h.Wait <= 500*time.Millisecond)
			return
		}
	}
	t.Fatal("no hold was sent")
}

// Guards against a disturbing pair of images that is placed together again
// after it was seen to disturb.
func TestDisturbingImagesAreKeptApart(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	d.report()
	d.submit("watch", watchStep)
	for range 20 {
		d.setTail("watch", 18*time.Millisecond)
		d.pass(time.Second)
		d.report()
	}
	d.submit("report", reportStep)
	for range 4 {
		d.setTail("watch", 90*time.Millisecond)
		d.pass(500 * time.Millisecond)
		d.report()
	}
	is.True(d.count(stopOf("report")) > 0)
	var ended []workload.EndedRun
	for run := range d.active {
		if run.Task.Submission == "report" {
			delete(d.active, run)
			d.seq++
			ended = append(ended, workload.EndedRun{RunID: run, Sequence: d.seq, Outcome: workload.Stopped})
		}
	}
	d.report(ended...)
	starts := d.count(startOf("report"))
	d.setTail("watch", 40*time.Millisecond)
	for range 5 {
		d.pass(400 * time.Millisecond)
		d.report()
	}
	is.Equal(d.count(startOf("report")), starts)
}

// Guards against long-running tasks that stay on a draining worker until it is
// gone and its lease has lapsed.
func TestLongRunningTasksLeaveDrainingWorker(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	d.report()
	d.submit("watch", watchStep)
	d.report()
	d.list(workload.Worker{Draining: true})
	d.pass(20 * time.Millisecond)
	is.Equal(d.count(stopOf("watch")), 1)
	d.submit("late", watchStep)
	is.Equal(d.count(startOf("late")), 0)
}
