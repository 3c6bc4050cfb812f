package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/dispatch/dispatchtest"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// maxListingDelay is the time after which a start must respect a worker's shrunk capacity,
// as stated by the platform's users: a heartbeat interval of the worker and 3 s.
const maxListingDelay = 4100 * time.Millisecond

// Guards against starts that exceed the capacity of workers that accept every start, while
// their capacities shrink and grow, under the faults of TestSchedulesOfOwnersAndWorkers.
func TestSchedulesOfShrinkingWorkers(t *testing.T) {
	t.Parallel()
	for seed := uint64(50); seed < 100; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runShrinkSchedule(t, seed)
		})
	}
}

func runShrinkSchedule(t *testing.T, seed uint64) {
	s := newSim(t, seed, 6)
	for i := range 40 {
		w := s.workers[fmt.Sprintf("w%d", i%6)]
		w.Unguarded = true
		s.after(s.randomTime(25*time.Second), func() { s.resize(w, int64(s.random.IntN(5))*4000) })
	}
	const submissions = 60
	for i := range submissions {
		id := fmt.Sprintf("s%d", i)
		s.after(s.randomTime(25*time.Second), func() {
			s.appendIntake(ledger.SubmittedRecord(simSubmission(id, 1+s.random.IntN(6))))
			if i%4 == 0 {
				s.after(s.randomTime(1500*time.Millisecond), func() { s.appendIntake(ledger.CancelledRecord(id)) })
			}
		})
	}
	s.after(time.Second, func() { s.faulty = true })
	for range 12 {
		s.after(s.randomTime(25*time.Second), s.injectFault)
	}
	s.after(26*time.Second, func() {
		s.endFaults()
		for _, w := range s.workers {
			s.resize(w, 16000)
		}
	})
	s.run(s.now + 90*time.Second)
	cellLedger := s.owner().ledger
	for i := range submissions {
		if e := cellLedger.Find(fmt.Sprintf("s%d", i)); e == nil || !e.State().Final() {
			t.Fatalf("s%d is not final", i)
		}
	}
}

func (s *sim) randomTime(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// resize changes the CPU capacity of a worker.
func (s *sim) resize(w *dispatchtest.Worker, milliCPU int64) {
	if milliCPU < w.Info.Capacity.MilliCPU {
		w.ShrunkAt = s.now
	}
	w.Info.Capacity.MilliCPU = milliCPU
}

// checkCapacity fails the test if a run that a worker has started, by a command that was
// sent at a time, exceeds a capacity that could be known then.
func (s *sim) checkCapacity(w *dispatchtest.Worker, run workload.RunID, sent time.Duration) {
	if !w.Unguarded || (hostapi.Resources{}).Fits(w.Free()) {
		return
	}
	if sent-w.ShrunkAt > maxListingDelay {
		s.t.Fatalf("%v: the start of %v, sent at %v, brings worker %s over its capacity of %v by %v",
			s.now, run, sent, w.Info.ID(), w.Info.Capacity, hostapi.Resources{}.Sub(w.Free()))
	}
}
