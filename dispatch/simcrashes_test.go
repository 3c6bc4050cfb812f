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
	// undelayedCrashes is the number of workers that a task may crash without a delay between two
	// of its starts: one beside other tasks, the others in isolation. From then on each delay is
	// twice the one before, from firstCrashDelay to longestCrashDelay; after a takeover it is
	// longestInheritedDelay at most.
	undelayedCrashes      = 5
	firstCrashDelay       = 2 * time.Second
	longestCrashDelay     = 10 * time.Minute
	longestInheritedDelay = time.Minute
	// freshRun is the age up to which a run is suspected of the crash of its worker.
	freshRun = 300 * time.Millisecond
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
	// at are the times at which workers crashed under each task.
	at map[workload.TaskID][]time.Duration
	// inCompany counts, for each task, the crashes but the first beside a fresh run of another
	// submission.
	inCompany map[workload.TaskID]int
	// delays counts how often owners told that starts of a submission are delayed.
	delays map[string]int
}

func newSimCrashes() simCrashes {
	return simCrashes{crashDelay: simCrashDelay, downTime: simCrashTime, at: make(map[workload.TaskID][]time.Duration), inCompany: make(map[workload.TaskID]int), delays: make(map[string]int)}
}

// started crashes a worker that has started a task if the task does so.
func (c *simCrashes) started(s *sim, w *dispatchtest.Worker, id workload.TaskID) {
	if c.crashes == nil || !c.crashes(id) {
		return
	}
	incarnation := w.Info.Incarnation
	s.after(c.crashDelay, func() {
		if w.Up && w.Info.Incarnation == incarnation {
			c.noteCrash(s, w, id)
			s.crash(w)
		}
	})
}

// noteCrash checks that a task crashes no worker sooner after the one before than its delay allows.
func (c *simCrashes) noteCrash(s *sim, w *dispatchtest.Worker, id workload.TaskID) {
	crashes := c.at[id]
	if n := len(crashes); n > 0 {
		for run, r := range w.Runs {
			if run.Task.Submission != id.Submission && s.now-r.StartedAt < freshRun {
				c.inCompany[id]++
			}
		}
		if gap := s.now - crashes[n-1]; gap < minCrashGap(n, s.epoch > 1) {
			s.t.Errorf("%v: %v crashes worker %d %v after the one before", s.now, id, n+1, gap)
		}
	}
	c.at[id] = append(crashes, s.now)
}

// minCrashGap returns the least time from the last of a number of crashes under a task to the next.
func minCrashGap(crashes int, takenOver bool) time.Duration {
	if crashes < undelayedCrashes {
		return 0
	}
	gap := firstCrashDelay
	for ; crashes > undelayedCrashes && gap < longestCrashDelay; crashes-- {
		gap *= 2
	}
	if takenOver {
		return min(gap, longestInheritedDelay)
	}
	return min(gap, longestCrashDelay)
}

// expectDelayed fails the test unless a submission with a task that crashes its workers goes on, and
// the owner has told, after two crashes of one of its tasks at least, that its starts are delayed.
func (s *sim) expectDelayed(id string) {
	s.t.Helper()
	s.expectState(id, workload.Running)
	most := 0
	for task, crashes := range s.crashes.at {
		if task.Submission == id {
			most = max(most, len(crashes))
		}
	}
	if s.crashes.delays[id] == 0 || most < 2 {
		s.t.Errorf("%s: %d workers have crashed under a task, and it was told %d times that its starts are delayed", id, most, s.crashes.delays[id])
	}
}

// expectIsolated fails the test if a task crashed a second worker, or a later one, on which a run of
// another submission was fresh.
func (s *sim) expectIsolated() {
	s.t.Helper()
	for id, n := range s.crashes.inCompany {
		if n > 0 {
			s.t.Errorf("%v crashed %d workers in company after the first one", id, n)
		}
	}
}

// crash ends a worker's incarnation; the next one begins after downTime.
func (s *sim) crash(w *dispatchtest.Worker) {
	w.Up = false
	s.after(s.crashes.downTime, func() { s.reboot(w) })
}
