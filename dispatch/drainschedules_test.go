package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/dispatch/dispatchtest"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against two runs of a task at a time, and against long-running tasks that wait for longer
// than for the lease of a draining worker, while workers drain, leave and come back, at first
// beside random faults.
func TestSchedulesOfDrainingWorkers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runDrains(t, seed)
		})
	}
}

func runDrains(t *testing.T, seed uint64) {
	const faultTime, settleTime, drains = 25 * time.Second, 15 * time.Second, 30
	s := newSim(t, seed, 10)
	began := s.now
	for i := range 4 {
		lasting := simSubmission(fmt.Sprintf("lasting%d", i), 3)
		lasting.Steps = lasting.Steps[:1]
		lasting.Steps[0].LongRunning = true
		s.lasting[lasting.ID] = true
		s.appendIntake(ledger.SubmittedRecord(lasting))
		s.after(time.Duration(s.random.IntN(20000))*time.Millisecond, func() {
			s.appendIntake(ledger.SubmittedRecord(simSubmission(fmt.Sprintf("s%d", i), 6)))
		})
	}
	s.faulty = true
	for range 10 {
		s.after(time.Duration(s.random.IntN(int(faultTime))), s.injectFault)
	}
	s.after(faultTime+2*time.Second, s.endFaults)
	for i := range drains {
		s.after(time.Duration(3*i)*time.Second, func() { s.drain(s.workers[fmt.Sprintf("w%d", s.random.IntN(10))]) })
	}
	ranAt := make(map[workload.TaskID]time.Duration)
	s.runCells(began+3*drains*time.Second, []*sim{s}, func() {
		for _, w := range s.workers {
			for run := range w.Runs {
				ranAt[run.Task] = s.now
			}
		}
		for task, at := range ranAt {
			wait := s.now - max(at, began+faultTime+settleTime)
			if s.lasting[task.Submission] && wait > dispatch.LeaseExpiryBound(4*time.Second)+500*time.Millisecond {
				t.Fatalf("%v: %v has had no run for %v", s.now, task, wait)
			}
		}
	})
}

// drain makes a worker announce that it leaves in at least 3 s, leave, and come back as a new
// incarnation.
func (s *sim) drain(w *dispatchtest.Worker) {
	if !w.Up || w.Info.Draining {
		return
	}
	w.Info.Draining, w.Info.Remaining = true, 3*time.Second
	incarnation := w.Info.Incarnation
	leaves := 3*time.Second + time.Duration(s.random.IntN(3000))*time.Millisecond
	s.after(leaves, func() {
		if w.Info.Incarnation == incarnation {
			w.Up = false
		}
	})
	s.after(leaves+500*time.Millisecond+time.Duration(s.random.IntN(6000))*time.Millisecond, func() {
		w.Info.Draining, w.Info.Remaining = false, 0
		if !w.Up {
			s.reboot(w)
		}
	})
}
