package coordinator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// endRun ends the run on the worker of the task, lets the owners in touch with the worker
// see the end, and makes the worker fall silent.
func (s *silentWorkerTest) endRun(outcome workload.Outcome) {
	s.silent.update(func() {
		for run := range s.silent.runs {
			delete(s.silent.runs, run)
			s.silent.sequence++
			s.silent.endedRuns = append(s.silent.endedRuns, workload.EndedRun{RunID: run, Sequence: s.silent.sequence, Outcome: outcome})
		}
	})
	time.Sleep(500 * time.Millisecond)
	s.silence()
}

// waitForSecondRun waits until the task has been started again, and fails the test if that
// takes longer than limit.
func (s *silentWorkerTest) waitForSecondRun(limit time.Duration) {
	for waited := time.Duration(0); s.workers.starts(s.task) < 2; waited += 20 * time.Millisecond {
		if waited > limit {
			s.t.Fatalf("no run %v after the cell was assigned to an owner that can record the end", waited)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a wait for the leases of a run that has ended: the owner that saw the end
// was cut off from the store, and its successor does not reach the worker.
func TestEndThatAnOwnerCouldNotRecordIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 2)
		defer s.close()
		s.cutStore("vm-0", true)
		s.endRun(workload.Stopped)
		s.group.assign(0, "vm-1")
		s.waitForSecondRun(maxTakeoverTime)
	})
}

// Guards against the same wait if the owner that saw the end is cut off from its successor
// as well, and owns the cell again.
func TestOwnerThatOwnsTheCellAgainKnowsTheEndsThatItCouldNotRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 2)
		defer s.close()
		s.cutStore("vm-0", true)
		s.cutPeers("vm-0", true, "vm-1")
		s.endRun(workload.Stopped)
		s.group.assign(0, "vm-1")
		time.Sleep(2 * time.Second)
		s.cutStore("vm-0", false)
		s.group.assign(0, "vm-0")
		s.waitForSecondRun(maxTakeoverTime)
	})
}

// Guards against the same wait if the cell has gone from one owner to the next while the
// owner that saw the end was cut off from all of them.
func TestEndIsPassedOnToAnyLaterOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 3)
		defer s.close()
		s.cutStore("vm-0", true)
		s.cutPeers("vm-0", true, "vm-1", "vm-2")
		s.endRun(workload.Stopped)
		s.group.assign(0, "vm-1")
		time.Sleep(2 * time.Second)
		s.group.assign(0, "vm-2")
		time.Sleep(2 * time.Second)
		s.cutPeers("vm-0", false, "vm-1", "vm-2")
		s.cutStore("vm-0", false)
		s.waitForSecondRun(maxTakeoverTime)
	})
}

// Guards against the same wait if the owner that saw the end is stopped while the store is
// away: the other nodes pass on what they were told, also if one of them owns the cell and
// can record nothing before the next takeover.
func TestEndsOutlastTheProcessThatSawThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 3)
		defer s.close()
		s.cutStore("vm-0", true)
		s.endRun(workload.Stopped)
		s.stops[0]()
		s.group.assign(0, "vm-1")
		time.Sleep(300 * time.Millisecond)
		s.cutStore("vm-1", true)
		s.cutPeers("vm-1", true, "vm-2")
		s.group.assign(0, "vm-2")
		s.waitForSecondRun(maxTakeoverTime)
	})
}

// Guards against a second run of a task that is done: its owner could not record that, and
// its successor does not reach the worker.
func TestTaskThatIsDoneIsNotRunAgainIfItsOwnerCouldNotRecordThat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSilentWorkerTest(t, 2)
		defer s.close()
		batch := submission("batch")
		batch.Steps[0].Tasks = 1
		if err := s.nodes["vm-0"].Submit(timeoutContext(3*time.Second), batch); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		task := workload.TaskID{Submission: "batch"}
		for _, w := range s.workers {
			w.update(func() {
				if w.starts[task] > 0 {
					s.silent = w
				}
			})
		}
		s.cutStore("vm-0", true)
		s.endRun(workload.Succeeded)
		s.group.assign(0, "vm-1")
		time.Sleep(ownerAuthority + 2*clusterLease)
		if starts := s.workers.starts(task); starts != 1 {
			t.Fatalf("the task was started %d times", starts)
		}
	})
}
