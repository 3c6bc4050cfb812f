package dispatch_test

import (
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/dispatch/dispatchtest"
	"github.com/cactusreel/cactusreel/workload"
)

var courseDepth = flag.Int("courses.depth", 2, "number of events in the courses of takeovers, leases and ends")

const (
	// courseSlack is the time in which an owner finds a worker silent, places a task again and
	// starts it.
	courseSlack = 1200 * time.Millisecond
	// courseIsolation is the time for which a task waits until another one, which is suspected
	// of the same crash, has survived its start.
	courseIsolation = 500 * time.Millisecond
	// crashesOfGivenUp is the number of workers that must have crashed before a task may be given
	// up because of crashes.
	crashesOfGivenUp = 3
)

// courseChecks are the rules that every course keeps.
type courseChecks struct {
	started map[workload.TaskID]int64
	acked   map[workload.TaskID]bool
	// slack is added to the bound of FaultsEnded.
	slack time.Duration
}

func newCourseChecks() dispatchtest.Checks {
	return &courseChecks{started: make(map[workload.TaskID]int64), acked: make(map[workload.TaskID]bool)}
}

// Advanced finds two runs of a task at once.
func (*courseChecks) Advanced(c *dispatchtest.World) {
	for _, id := range c.Tasks {
		if n := c.RunsOf(id); n > 1 {
			c.Fail("%d runs of %s at once", n, id.Submission)
		}
	}
}

// Started finds a start of a done task.
func (k *courseChecks) Started(c *dispatchtest.World, run workload.RunID) {
	k.started[run.Task] = max(k.started[run.Task], run.Run)
	if k.acked[run.Task] {
		c.Fail("%s is done and started", run.Task.Submission)
	}
}

// Acknowledged finds a done task of which a later run has started.
func (k *courseChecks) Acknowledged(c *dispatchtest.World, run workload.RunID) {
	k.acked[run.Task] = true
	if k.started[run.Task] > run.Run {
		c.Fail("run %d of %s started after the end of run %d, which is acknowledged", k.started[run.Task], run.Task.Submission, run.Run)
	}
}

// FaultsEnded finds a task without a run after the bound.
func (k *courseChecks) FaultsEnded(c *dispatchtest.World) {
	slack := courseSlack + k.slack + time.Duration(len(c.Tasks)-1)*courseIsolation
	for began := c.Now; c.Problem == ""; c.Run(dispatchtest.Tick) {
		waiting, bound := false, began
		for _, id := range c.Tasks {
			t := c.Task(id)
			bound = max(bound, c.LeaseBound(t))
			if t.Done || c.RunsOf(id) > 0 {
				continue
			}
			if c.IsGivenUp(id) {
				if c.Crashes < crashesOfGivenUp {
					c.Fail("%s is given up after %d crashes", id.Submission, c.Crashes)
				}
				continue
			}
			waiting = true
			if late := c.Now - max(began, c.LeaseBound(t)); late >= slack {
				c.Fail("%s has no run %v after the end of the faults and %v after the bound", id.Submission, c.Now-began, late)
			}
		}
		if !waiting && (c.IsCalm() || c.Now-bound >= slack) {
			return
		}
	}
}

// exploreCourses plays all courses of an explorer with up to depth events, beside other ones.
func exploreCourses(t *testing.T, depth int, x *dispatchtest.Explorer) {
	t.Helper()
	t.Parallel()
	began := time.Now()
	broken := x.Explore(depth, func(l dispatchtest.Level) {
		t.Logf("up to %d events: %d states, %d courses, %v", l.Events, l.States, l.Courses, time.Since(began).Round(time.Millisecond))
	})
	if broken != nil {
		t.Fatalf("%s\n%s", broken.Problem, strings.Join(broken.Trace, "\n"))
	}
}

// Guards against two runs of a task, a start of a done task, and a task that waits for longer
// than the bound, on any course of takeovers, silent, crashing and leaving workers, late calls,
// lost answers and outages of the store.
func TestCoursesOfTakeoversLeasesAndEnds(t *testing.T) {
	t.Parallel()
	finite := workload.Step{Tasks: 1, Request: dispatchtest.TaskRequest, Estimate: time.Hour}
	lasting := finite
	lasting.LongRunning = true
	for _, c := range []struct {
		name  string
		steps []workload.Step
		first []string
	}{
		{"lasting", []workload.Step{lasting}, nil},
		{"finite", []workload.Step{finite}, nil},
		{"both", []workload.Step{finite, lasting}, nil},
		{"worker recorded as silent", []workload.Step{lasting}, []string{dispatchtest.WorkerSilent, dispatchtest.TimePasses}},
		{"silent worker heard again", []workload.Step{lasting}, []string{dispatchtest.WorkerSilent, dispatchtest.TimePasses, dispatchtest.WorkerSilent}},
		{"owner without the store", []workload.Step{finite}, []string{dispatchtest.OwnerStoreless}},
		{"end that the owner can not record", []workload.Step{lasting}, []string{dispatchtest.OwnerIsland, dispatchtest.RunEnds}},
		{"lease from an owner without the store", []workload.Step{lasting}, []string{dispatchtest.WorkerSilent, dispatchtest.TimePasses, dispatchtest.OwnerIsland, dispatchtest.WorkerSilent}},
		{"recorded silence taken over", []workload.Step{lasting}, []string{dispatchtest.WorkerSilent, dispatchtest.TimePasses, dispatchtest.OwnerStoreless, dispatchtest.WorkerSilent, dispatchtest.Takeover, dispatchtest.CutsEnd}},
		{"placement without an answer", []workload.Step{lasting}, []string{dispatchtest.WorkerCrash, dispatchtest.OtherCrash, dispatchtest.TimePasses, dispatchtest.TimePasses, dispatchtest.StoreNoAnswers, dispatchtest.OtherCrash}},
		{"worker replaced during a placement", []workload.Step{lasting}, []string{dispatchtest.WorkerCrash, dispatchtest.OtherCrash, dispatchtest.TimePasses, dispatchtest.TimePasses, dispatchtest.StoreNoAnswers, dispatchtest.OtherCrash, dispatchtest.OtherCrash, dispatchtest.OtherCrash}},
		{"worker silent during a placement", []workload.Step{lasting}, []string{dispatchtest.WorkerCrash, dispatchtest.OtherCrash, dispatchtest.TimePasses, dispatchtest.TimePasses, dispatchtest.StoreNoAnswers, dispatchtest.OtherCrash, dispatchtest.OtherSilent, dispatchtest.TimePasses}},
	} {
		t.Run(c.name, func(t *testing.T) {
			exploreCourses(t, *courseDepth, dispatchtest.NewExplorer(newCourseChecks, c.steps, c.first...))
		})
	}
}

// Guards against two runs of a task, or a wait that is longer than its owner's report tells, because
// witnesses are replaced, answer late, or are reached in turn, beside owners that are cut off with a
// worker or lost.
func TestCoursesOfWitnesses(t *testing.T) {
	t.Parallel()
	lasting := workload.Step{Tasks: 1, Request: dispatchtest.TaskRequest, Estimate: time.Hour, LongRunning: true}
	for _, c := range []struct {
		name  string
		first []string
	}{
		{"any", nil},
		{"owner and worker with a majority", []string{dispatchtest.OwnerOutpost, dispatchtest.TimePasses}},
		{"the same, taken over", []string{dispatchtest.OwnerOutpost, dispatchtest.Takeover}},
		{"the same, then a witness is replaced", []string{dispatchtest.OwnerOutpost, dispatchtest.Takeover, dispatchtest.WitnessRestart}},
		{"owner and worker with one witness", []string{
			dispatchtest.WitnessLinks, dispatchtest.WitnessLinks, dispatchtest.OwnerOutpost, dispatchtest.TimePasses,
		}},
		{"successor of an owner without witnesses killed", []string{
			dispatchtest.WitnessLinks, dispatchtest.WitnessLinks, dispatchtest.TimePasses, dispatchtest.TimePasses,
			dispatchtest.OwnerIsland, dispatchtest.Takeover, dispatchtest.OwnerKilled,
		}},
		{"late answers", []string{dispatchtest.WitnessesLate, dispatchtest.TimePasses, dispatchtest.OwnerIsland, dispatchtest.Takeover}},
		{"first set confirmed in turn", []string{
			dispatchtest.WitnessLinks, dispatchtest.Takeover, dispatchtest.WitnessesLate, dispatchtest.WitnessLinks,
			dispatchtest.TimePasses, dispatchtest.OwnerIsland,
		}},
		{"owner lost soon after its worker", []string{dispatchtest.WorkerSilent, dispatchtest.PowerLoss}},
		{"second owner lost as well", []string{dispatchtest.WorkerSilent, dispatchtest.PowerLoss, dispatchtest.TimePasses, dispatchtest.PowerLoss}},
		{"reports of a hand-over are late", []string{dispatchtest.WitnessesLate, dispatchtest.WitnessLinks, dispatchtest.Takeover}},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The first owner is recorded as the only one that can grant leases.
			first := append([]string{dispatchtest.TimePasses}, c.first...)
			exploreCourses(t, *courseDepth, dispatchtest.NewWitnessExplorer(newCourseChecks, []workload.Step{lasting}, first...))
		})
	}
}

// Guards against two runs of a task, a start without room and a task that waits for longer than the
// bound, where its run is recorded while the runs that are in its way are being stopped.
func TestCoursesOfRunsRecordedAhead(t *testing.T) {
	t.Parallel()
	const stopTime = 600 * time.Millisecond
	whole := workload.Step{Tasks: 1, Request: dispatchtest.TaskRequest, Estimate: time.Hour, LongRunning: true}
	whole.Request.MilliCPU *= 4
	half := whole
	half.Request.MilliCPU /= 2
	checks := func() dispatchtest.Checks {
		k := newCourseChecks().(*courseChecks)
		// A run that can't start is withdrawn after the time of a stop and 0.5 s.
		k.slack = 2*stopTime + 500*time.Millisecond
		return k
	}
	for _, c := range []struct {
		name  string
		steps []workload.Step
	}{
		{"one", []workload.Step{whole, whole, half}},
		{"two", []workload.Step{whole, whole, half, half}},
	} {
		t.Run(c.name, func(t *testing.T) {
			exploreCourses(t, *courseDepth, dispatchtest.NewStopExplorer(checks, stopTime, c.steps))
		})
	}
}
