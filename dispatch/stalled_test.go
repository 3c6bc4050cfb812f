package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

var plainStep = workload.Step{
	Tasks: 1, Estimate: 10 * time.Second, Request: hostapi.Resources{MilliCPU: 1000, MemoryMiB: 10},
}

// setProgress sets the progress that the worker reports of a submission's runs.
func (d *desk) setProgress(id string, percent int) {
	for run, a := range d.active {
		if run.Task.Submission == id {
			a.ProgressPercent = percent
			d.active[run] = a
		}
	}
}

// Guards against tasks that stand still on a worker until their estimate has
// passed many times, and against a slow task that is taken for one of them.
func TestRunsWithoutProgressAreStopped(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	d.report()
	d.submit("still", plainStep)
	d.submit("slow", plainStep)
	d.setProgress("still", 30)
	for i := range 8 {
		d.setProgress("slow", i)
		d.pass(400 * time.Millisecond)
		d.report()
	}
	d.pass(20 * time.Millisecond)
	is.Equal(d.count(stopOf("still")), 1)
	is.Equal(d.count(stopOf("slow")), 0)
}

// Guards against a run that is taken for gone while its worker is still
// stopping it: it may yet end as done, and its task must not start again.
func TestStoppingRunIsNotGoneBeforeTheStopTime(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	d.machine = dispatch.New(dispatch.Config{
		Epoch: 1, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2, StopTime: 900 * time.Millisecond,
	}, d.book, d.now, time.Now())
	d.list(workload.Worker{})
	d.report()
	d.submit("still", plainStep)
	d.setProgress("still", 30)
	for range 8 {
		d.pass(400 * time.Millisecond)
		d.report()
	}
	is.Equal(d.count(stopOf("still")), 1)
	first := workload.RunID{Task: workload.TaskID{Submission: "still"}, Run: 1}
	delete(d.active, first)
	d.do(dispatch.StopAnswered{Worker: "w", Run: first, Answer: dispatch.Done})
	for range 8 {
		d.pass(100 * time.Millisecond)
		d.report()
	}
	d.report(workload.EndedRun{RunID: first, Sequence: 1, Outcome: workload.Succeeded})
	d.pass(time.Second)
	is.Equal(d.count(startOf("still")), 1)
	is.Equal(d.book.Find("still").State(), workload.Completed)
}
