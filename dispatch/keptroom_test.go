package dispatch_test

import (
	"fmt"
	"testing"
	"time"
)

// newFullSim returns a simulation of two workers of 64 cores, filled with long-running tasks. Then finite
// tasks arrive for 14 s, if every is not 0.
func newFullSim(fill []int64, every time.Duration, milliCPU float64) *loadSim {
	l := newLoadSim(1, 2)
	l.run(time.Second)
	for i, milliCPU := range fill {
		l.submitLasting(fmt.Sprintf("lasting-%d", i), 1, milliCPU, 1)
	}
	if every > 0 {
		l.arriveSteadily(every, 14*time.Second, milliCPU, 0)
	}
	l.run(10 * time.Second)
	return l
}

// submitLate submits a long-running submission whose first task, of a core, has a run soon, and whose second
// one, of 24 cores, waits for room as a new task.
func (l *loadSim) submitLate() {
	l.submit(lateSubmission(lastingStep(1, 1000), lastingStep(1, 24000)))
	l.run(time.Second)
}

// Guards against new long-running tasks that get room of finite work by displacing it, by a move or ahead
// of the end of another run. Without finite work they get it.
func TestNewTasksTakeNoKeptRoom(t *testing.T) {
	for name, test := range map[string]struct {
		fill   []int64
		finite float64
		cancel string
	}{
		"displacing":         {fill: []int64{56000, 36000}, finite: 14000},
		"move":               {fill: []int64{40000, 40000, 10000, 10000}, finite: 12000},
		"run recorded ahead": {fill: []int64{60000, 36000, 28000}, finite: 14000, cancel: "lasting-2"},
	} {
		for every, runs := range map[time.Duration]int{0: 2, 400 * time.Millisecond: 1} {
			l := newFullSim(test.fill, every, test.finite)
			l.submitLate()
			if test.cancel != "" {
				l.cancelNow(test.cancel)
			}
			l.run(9 * time.Second)
			if n := l.countRuns("late"); n != runs {
				t.Errorf("%s, finite tasks every %v: %d tasks run, want %d", name, every, n, runs)
			}
		}
	}
}

// Guards against finite work that waits beside kept room, because workers are held for a task that may not
// take it.
func TestKeptRoomIsNotHeld(t *testing.T) {
	l := newFullSim([]int64{56000, 36000}, 400*time.Millisecond, 14000)
	l.submitLate()
	before := len(l.lateness["finite"])
	l.run(3 * time.Second)
	if n := len(l.lateness["finite"]) - before; n < 6 {
		t.Errorf("%d finite submissions complete in 3 s, want 6", n)
	}
}
