package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against ends of stopped runs that are learned by repeated heartbeats, and so late, in place
// of from one that the worker answers at the end. Another end answers the heartbeat that waited when
// the runs were stopped.
func TestEndOfAStoppedRunIsLearnedAtOnce(t *testing.T) {
	for _, last := range []bool{false, true} {
		is := is.New(t)
		l := newLoadSim(1, 2)
		l.run(time.Second)
		if !last {
			l.submitLasting("large", 2, 20000, 1)
		}
		l.submitLasting("small", 2, 20000, 1)
		l.submit(l.batch("finite", 1, 2, 20000, 60000, 0))
		l.run(2*time.Second + 7*time.Millisecond)
		ended := l.decisions[dispatch.RunEnded]
		l.cancelNow("small")
		l.run(20 * time.Millisecond)
		for _, w := range l.sortedWorkers() {
			for _, run := range sortedRuns(w.runs) {
				if !w.runs[run].step.LongRunning {
					l.end(w, run, workload.Succeeded)
				}
			}
		}
		l.run(60 * time.Millisecond)
		is.Equal(l.decisions[dispatch.RunEnded]-ended, 2)
		heartbeats := l.heartbeats
		for l.countRuns("small") > 0 {
			l.run(time.Millisecond)
		}
		l.run(loadNetworkDelay)
		is.Equal(l.decisions[dispatch.RunEnded]-ended, 4)
		is.True(l.heartbeats-heartbeats <= 2)
	}
}

// Guards against a stop that was not carried out, or whose end is not known, which a heartbeat that
// waits for an end hides for longer than the time of a stop.
func TestStopThatWasLostIsRepeatedInTime(t *testing.T) {
	is := is.New(t)
	l := fillTwoWorkers(1)
	l.lostStops = true
	l.cancelNow("small")
	l.run(startTimeout / 2)
	l.lostStops = false
	l.run(startTimeout)
	is.Equal(l.countRuns("small"), 0)
}

// Guards against a heartbeat without a lease that waits although no run is being stopped: a run that
// starts meanwhile would not have its lease extended, nor be heard of, until it is answered.
func TestHeartbeatWithoutALeaseWaitsOnlyForStops(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("finite", finiteStep(1, 4000))
	h.advance(100 * time.Millisecond)
	h.report()
	h.end("finite", 0)
	for range 5 {
		h.advance(100 * time.Millisecond)
	}
	last, found := dispatch.Heartbeat{}, false
	for _, a := range h.actions {
		if sent, ok := a.(dispatch.Heartbeat); ok {
			last, found = sent, true
		}
	}
	is.True(found)
	is.Equal(last.Cursor, int64(1))
	is.Equal(last.Deadline, time.Duration(0))
	is.Equal(last.Wait, time.Duration(0))
}
