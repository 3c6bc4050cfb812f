package dispatch_test

import (
	"time"

	"github.com/cactusreel/cactusreel/dispatch/dispatchtest"
	"github.com/cactusreel/cactusreel/workload"
)

const (
	// simCrashDelay is the time from the start of a task that crashes its worker to the
	// crash.
	simCrashDelay = 15 * time.Millisecond
	// simCrashTime is the time after which a crashed worker is back.
	simCrashTime = 3 * time.Second
	// maxStartsAfterCrashes is the number of starts, after three workers have crashed
	// under a task, that the platform's users do not accept.
	maxStartsAfterCrashes = 3
)

// simCrashes are the tasks that crash their workers, and what they have done.
type simCrashes struct {
	// crashes tells which tasks crash each worker that starts them; nil if none does.
	crashes func(id workload.TaskID) bool
	// reset: a call that a worker doesn't answer fails at once, as if its host refused
	// the connection.
	reset bool
	// newIDs: a worker that starts again has another id, and says so if a command is meant
	// for the one before.
	newIDs bool
	// takesFormerCalls: workers end their connections. One that starts again carries out the
	// commands that were meant for its former incarnation, and a call whose connection is being
	// set up reaches it once it is back.
	takesFormerCalls bool
	// crashDelay is the time from the start of such a task to the crash.
	crashDelay time.Duration
	// downTime is the time after which a crashed worker is back.
	downTime time.Duration
	// workers counts the workers that have crashed under each task.
	workers map[workload.TaskID]int
	// startsAfter counts the starts of each task after three workers have crashed under
	// it.
	startsAfter map[workload.TaskID]int
}

func newSimCrashes() simCrashes {
	return simCrashes{crashDelay: simCrashDelay, downTime: simCrashTime, workers: make(map[workload.TaskID]int), startsAfter: make(map[workload.TaskID]int)}
}

// started crashes a worker that has started a task if the task does so.
func (c *simCrashes) started(s *sim, w *dispatchtest.Worker, id workload.TaskID) {
	if c.crashes == nil || !c.crashes(id) {
		return
	}
	if c.workers[id] >= 3 {
		c.startsAfter[id]++
	}
	if c.startsAfter[id] >= maxStartsAfterCrashes {
		s.t.Fatalf("%v: %v was started %d times more after %d workers had crashed under it", s.now, id, c.startsAfter[id], c.workers[id])
	}
	incarnation := w.Info.Incarnation
	s.after(c.crashDelay, func() {
		if w.Up && w.Info.Incarnation == incarnation {
			c.workers[id]++
			s.crash(w)
		}
	})
}

// crash ends a worker's incarnation; the next one begins after downTime.
func (s *sim) crash(w *dispatchtest.Worker) {
	w.Up = false
	s.after(s.crashes.downTime, func() { s.reboot(w) })
}
