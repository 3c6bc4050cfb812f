package tasks_test

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// simWorker is a worker agent that behaves as design section 4 assumes. It accepts
// starts that exceed its capacity, so that the checks find them.
type simWorker struct {
	name             string
	rate             float64
	bootedAt         time.Duration
	boot             int
	term             int64
	downUntil        time.Duration
	partitionedUntil time.Duration
	// answersLostUntil is the end of a fault in which only the worker's answers are
	// lost.
	answersLostUntil time.Duration
	// reachableFrom is the only VM that reaches the worker during a partition, or
	// "".
	reachableFrom      string
	attempts           map[hostapi.AttemptID]*simAttempt
	stoppedBeforeStart map[hostapi.AttemptID]bool
	newestAttempts     map[string]int64
}

type simAttempt struct {
	hostapi.Attempt
	runTime  time.Duration
	progress time.Duration
}

var simCapacity = hostapi.Resources{MilliCPU: 2000, MemoryMiB: 2000}

func (w *simWorker) reboot(now time.Duration) {
	w.boot++
	w.bootedAt = now
	w.term = 0
	w.attempts = make(map[hostapi.AttemptID]*simAttempt)
	w.stoppedBeforeStart = make(map[hostapi.AttemptID]bool)
	w.newestAttempts = make(map[string]int64)
}

func (w *simWorker) bootID() string { return fmt.Sprintf("%s#%d", w.name, w.boot) }

func (w *simWorker) clock(now time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(now-w.bootedAt)*w.rate)
}

func (w *simWorker) state(now time.Duration) hostapi.WorkerState {
	s := hostapi.WorkerState{Worker: w.name, Boot: w.bootID(), Clock: w.clock(now), Term: w.term, Capacity: simCapacity}
	for _, a := range w.attempts {
		s.Attempts = append(s.Attempts, a.Attempt)
	}
	sortAttempts(s.Attempts)
	return s
}

// refuses reports whether the worker refuses a command because of its term, boot
// or deadline. An accepted command raises the worker's term.
func (w *simWorker) refuses(now time.Duration, c hostapi.Command) bool {
	if c.Term < w.term || c.Boot != w.bootID() || w.clock(now) > c.Deadline {
		return true
	}
	w.term = c.Term
	return false
}

// startAttempt starts an attempt. It reports whether the start is accepted and
// whether the attempt is new.
func (w *simWorker) startAttempt(now time.Duration, s hostapi.Start) (accepted, isNew bool) {
	if w.refuses(now, s.Command) || w.stoppedBeforeStart[s.ID] || s.ID.Attempt < w.newestAttempts[s.ID.Task] {
		return false, false
	}
	if w.attempts[s.ID] != nil || w.newestAttempts[s.ID.Task] == s.ID.Attempt {
		return true, false
	}
	if w.clock(now) >= s.LeaseExpiry {
		return false, false
	}
	w.newestAttempts[s.ID.Task] = s.ID.Attempt
	w.attempts[s.ID] = &simAttempt{
		Attempt:  hostapi.Attempt{ID: s.ID, State: hostapi.AttemptRunning, Requests: s.Requests, LeaseExpiry: s.LeaseExpiry},
		runTime:  s.Work,
		progress: checkpointProgress(s.Checkpoint),
	}
	return true, true
}

func (w *simWorker) renew(now time.Duration, c hostapi.Command, renewals []hostapi.Renewal) {
	if w.refuses(now, c) {
		return
	}
	for _, r := range renewals {
		if a := w.attempts[r.ID]; a != nil && a.State == hostapi.AttemptRunning {
			a.LeaseExpiry = max(a.LeaseExpiry, r.LeaseExpiry)
		}
	}
}

func (w *simWorker) checkpoint(now time.Duration, c hostapi.Command, id hostapi.AttemptID) string {
	a := w.attempts[id]
	if w.refuses(now, c) || a == nil || a.State != hostapi.AttemptRunning {
		return ""
	}
	a.Checkpoint = fmt.Sprintf("%s@%d", id.Task, a.progress)
	return a.Checkpoint
}

func (w *simWorker) stop(now time.Duration, c hostapi.Command, id hostapi.AttemptID) (hostapi.Attempt, bool) {
	if w.refuses(now, c) {
		return hostapi.Attempt{}, false
	}
	a := w.attempts[id]
	if a == nil {
		w.stoppedBeforeStart[id] = true
		return hostapi.Attempt{ID: id, State: hostapi.AttemptStopped}, true
	}
	if a.State == hostapi.AttemptRunning {
		a.State = hostapi.AttemptStopped
	}
	return a.Attempt, true
}

func (w *simWorker) forget(now time.Duration, c hostapi.Command, id hostapi.AttemptID) {
	if a := w.attempts[id]; a != nil && a.State != hostapi.AttemptRunning && !w.refuses(now, c) {
		delete(w.attempts, id)
	}
}

// advance advances the running attempts by step: leases expire, and attempts
// complete or fail.
func (w *simWorker) advance(now, step time.Duration, fail func() bool) {
	for _, reported := range w.state(now).Attempts {
		a := w.attempts[reported.ID]
		if a.State != hostapi.AttemptRunning {
			continue
		}
		a.progress += step
		switch {
		case w.clock(now) >= a.LeaseExpiry:
			a.State = hostapi.AttemptLapsed
		case a.progress >= a.runTime:
			a.State = hostapi.AttemptCompleted
		case fail():
			a.State = hostapi.AttemptFailed
		}
	}
}

func checkpointProgress(name string) time.Duration {
	var progress int64
	for i := len(name) - 1; i >= 0; i-- {
		if name[i] == '@' {
			if _, err := fmt.Sscanf(name[i+1:], "%d", &progress); err != nil {
				panic(err)
			}
			break
		}
	}
	return time.Duration(progress)
}
