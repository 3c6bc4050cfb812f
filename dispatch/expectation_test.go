package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against an expectation that is kept although the run times of its queue have been
// learned, or have changed, since.
func TestExpectationFollowsTheRunTimesOfItsQueue(t *testing.T) {
	is := is.New(t)
	f := newMoveFixture("w")
	request := hostapi.Resources{MilliCPU: 1000}
	finite := f.submit("finite", 1, workload.Step{Tasks: 1, Request: request})
	longRunning := f.submit("long-running", 1, workload.Step{Tasks: 1, LongRunning: true, Request: request})
	is.Equal(f.expected(finite).work, time.Minute.Seconds())
	learn := func(took time.Duration) {
		for range 2 * runTimeMemory {
			f.runTimes["q"].add(time.Minute, took, 1)
		}
	}
	f.runTimes["q"] = new(runTimes)
	is.Equal(f.expected(finite).work, time.Minute.Seconds())
	for _, took := range []time.Duration{30 * time.Second, 90 * time.Second} {
		learn(took)
		is.Equal(f.expected(finite).work, f.expectedWork(&finite.Submission))
		is.True(f.expected(finite).work != time.Minute.Seconds())
		is.Equal(f.expected(longRunning).work, time.Minute.Seconds())
	}
}

// Guards against tasks that are left out, or taken, by the checks of single tasks which the
// searches for room make, and not by the list of a step's tasks.
func TestChecksOfSingleTasksAgreeWithTheList(t *testing.T) {
	is := is.New(t)
	f := newMoveFixture("w")
	e := f.submit("sync", 1, workload.Step{Tasks: 4, LongRunning: true, Request: hostapi.Resources{MilliCPU: 1000}})
	state := &e.Occurrence(0).Steps[0]
	ws := &waitingStep{entry: e, state: state}
	f.newRun(e, &state.Tasks[0], 1, f.workers["w"])
	f.claim(ws, &state.Tasks[1], f.workers["w"], hostapi.Resources{MilliCPU: 1000})
	f.releasing[state.Tasks[2].ID] = true
	listed := f.unclaimedTasks(ws)
	is.Equal(len(listed), 1)
	for i := range state.Tasks {
		is.Equal(f.isUnclaimed(ws, &state.Tasks[i]), &state.Tasks[i] == listed[0])
	}
	wait := &longWait{step: &e.Steps[0], since: map[workload.TaskID]time.Duration{state.Tasks[3].ID: time.Second}, first: time.Second}
	is.True(!wait.hasWaited(state.Tasks[3].ID, 2*time.Second, 1001*time.Millisecond))
	is.True(wait.hasWaited(state.Tasks[3].ID, 2*time.Second, time.Second))
	is.True(!wait.hasWaited(state.Tasks[0].ID, 2*time.Second, time.Second))
}
