package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/dispatch/dispatchtest"
	"github.com/cactusreel/cactusreel/workload"
)

// maxStartAfterCancel is the time after a cancellation from which no start may be sent,
// as stated by the platform's users.
const maxStartAfterCancel = 3 * time.Second

// simWorld is what the cells of a simulation share: the time, the queue of events, and
// the history that the invariants refer to.
type simWorld struct {
	t      *testing.T
	random *rand.Rand
	now    time.Duration
	queue  dispatchtest.Timers
	starts int
	// checkedStarts is the number of starts at the last check of the active runs.
	checkedStarts int
	// succeeded are the tasks whose success was acknowledged to a worker.
	succeeded map[workload.TaskID]bool
	// started has the newest run of each task that was started.
	started map[workload.TaskID]int64
	// cancelledAt is when the cancellation of a submission was in the log.
	cancelledAt map[string]time.Duration
	crashes     simCrashes
	// lasting are the submissions whose tasks run until they are stopped.
	lasting map[string]bool
}

func newSimWorld(t *testing.T, seed uint64) *simWorld {
	return &simWorld{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Minute,
		succeeded: make(map[workload.TaskID]bool), started: make(map[workload.TaskID]int64),
		cancelledAt: make(map[string]time.Duration), crashes: newSimCrashes(), lasting: make(map[string]bool),
	}
}

func (s *simWorld) after(d time.Duration, do func()) {
	s.queue.Add(s.now+d, do)
}

// runCells carries out the events of cells. check is called after each event.
func (s *simWorld) runCells(until time.Duration, cells []*sim, check func()) {
	for ev, ok := s.queue.Next(until); ok; ev, ok = s.queue.Next(until) {
		s.now = ev.At
		for _, c := range cells {
			for _, w := range c.workers {
				w.Advance(s.now)
			}
		}
		ev.Action()
		s.checkActiveRuns(cells)
		check()
	}
	s.now = until
}

// checkActiveRuns fails the test if two runs of a task are active at a time. Only a start adds
// an active run, so after other events there is nothing new to check.
func (s *simWorld) checkActiveRuns(cells []*sim) {
	if s.starts == s.checkedStarts {
		return
	}
	s.checkedStarts = s.starts
	seen := make(map[workload.TaskID]string)
	for _, c := range cells {
		for id, w := range c.workers {
			if !w.Up {
				continue
			}
			for run := range w.Runs {
				if other, ok := seen[run.Task]; ok {
					s.t.Fatalf("%v: %v runs on %s of cell %d and on %s", s.now, run, id, c.number, other)
				}
				seen[run.Task] = id
			}
		}
	}
}

// checkStart fails the test if a worker must not have started a run, whose command was
// sent at a time. A command that the network delays may be carried out later.
func (s *sim) checkStart(run workload.RunID, sent time.Duration) {
	s.starts++
	if s.succeeded[run.Task] {
		s.t.Fatalf("%v: %v started after an acknowledged success", s.now, run)
	}
	if run.Run <= s.started[run.Task] {
		s.t.Fatalf("%v: %v started after run %d", s.now, run, s.started[run.Task])
	}
	s.started[run.Task] = run.Run
	if at, ok := s.cancelledAt[run.Task.Submission]; ok && sent-at > maxStartAfterCancel {
		s.t.Fatalf("%v: start of %v in cell %d was sent %v after the cancellation", s.now, run, s.number, sent-at)
	}
}
