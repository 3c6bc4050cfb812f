package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against a new task that waits for a move from the start with each owner, against moves that an
// owner makes before room could become free by itself, and against a delay that a clock which is set
// back makes longer.
func TestDelayOfANewTaskGoesOnOverTakeovers(t *testing.T) {
	second := time.Second
	for name, test := range map[string]struct {
		seenFor, dueFor time.Duration
		second          bool
		moves           int
	}{
		"seen and due long ago":       {seenFor: displaceDelay, dueFor: displaceDelay + newTaskDelay, moves: 1},
		"due shortly before":          {seenFor: displaceDelay, dueFor: displaceDelay + newTaskDelay - 1},
		"just seen":                   {seenFor: displaceDelay - 1, dueFor: 60 * second},
		"seen long ago by this owner": {seenFor: displaceDelay + newTaskDelay, dueFor: -60 * second, moves: 1},
		"after another step":          {seenFor: displaceDelay, dueFor: 60 * second, second: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newMoveFixture("a", "b")
			lasting := func(tasks int, milliCPU int64) workload.Step {
				return workload.Step{Tasks: tasks, LongRunning: true, Request: hostapi.Resources{MilliCPU: milliCPU}}
			}
			f.work(f.submit("large", 1, lasting(2, 40000)), "a", "b")
			f.work(f.submit("small", 1, lasting(2, 10000)), "a", "b")
			f.wait("waits", 1, 24000)
			task := workload.TaskID{Submission: "waits"}
			if test.second {
				task = f.waitSecond("second")
			}
			for _, wait := range f.longWaits {
				wait.since = map[workload.TaskID]time.Duration{task: f.now - test.seenFor}
			}
			f.wall = f.ledger.Find(task.Submission).DueAt(0).Add(test.dueFor)
			f.plan()
			is.Equal(len(f.stoppingRuns("small")), test.moves)
		})
	}
}

// waitSecond lets the long-running second step of a submission wait in place of all other steps, after
// the first has ended.
func (f *moveFixture) waitSecond(id string) workload.TaskID {
	request := hostapi.Resources{MilliCPU: 24000, MemoryMiB: 10}
	e := f.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: id, Queue: "q", Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 3, Priority: 1},
		Steps: []workload.Step{
			{Tasks: 1, Estimate: time.Minute, Request: request},
			{Tasks: 1, Estimate: time.Hour, Request: request, LongRunning: true, After: []int{0}},
		},
	}))
	first := &e.Occurrence(0).Steps[0]
	first.Tasks[0].Done, first.Unfinished = true, 0
	state := &e.Occurrence(0).Steps[1]
	f.longWaits = map[*ledger.Step]*longWait{state: {step: &e.Steps[1]}}
	return state.Tasks[0].ID
}
