package tasks_test

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// simWorker is a worker agent by the assumptions of design section 4. It does
// not refuse what has no room: the checks report it.
type simWorker struct {
	name  string
	rate  float64
	birth time.Duration
	boot  int
	term  int64
	down  time.Duration
	cut   time.Duration
	// mute is the end of a time in which only the answers are lost.
	mute time.Duration
	// reaches is the only VM that can talk to the worker during a cut, or "".
	reaches  string
	attempts map[hostapi.AttemptID]*simAttempt
	stopped  map[hostapi.AttemptID]bool
	newest   map[string]int64
}

type simAttempt struct {
	hostapi.Attempt
	work time.Duration
	done time.Duration
}

var simCapacity = hostapi.Resources{MilliCPU: 2000, MemoryMiB: 2000}

func (w *simWorker) reboot(now time.Duration) {
	w.boot++
	w.birth = now
	w.term = 0
	w.attempts = make(map[hostapi.AttemptID]*simAttempt)
	w.stopped = make(map[hostapi.AttemptID]bool)
	w.newest = make(map[string]int64)
}

func (w *simWorker) bootID() string { return fmt.Sprintf("%s#%d", w.name, w.boot) }

func (w *simWorker) clock(now time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(now-w.birth)*w.rate)
}

func (w *simWorker) state(now time.Duration) hostapi.WorkerState {
	s := hostapi.WorkerState{Worker: w.name, Boot: w.bootID(), Clock: w.clock(now), Term: w.term, Capacity: simCapacity}
	for _, a := range w.attempts {
		s.Attempts = append(s.Attempts, a.Attempt)
	}
	sortAttempts(s.Attempts)
	return s
}

// refuses applies the checks that all commands share.
func (w *simWorker) refuses(now time.Duration, c hostapi.Command) bool {
	if c.Term < w.term || c.Boot != w.bootID() || w.clock(now) > c.Deadline {
		return true
	}
	w.term = c.Term
	return false
}

// start reports whether the attempt is accepted and whether it is new.
func (w *simWorker) start(now time.Duration, s hostapi.Start) (accepted, fresh bool) {
	if w.refuses(now, s.Command) || w.stopped[s.ID] || s.ID.Attempt < w.newest[s.ID.Task] {
		return false, false
	}
	if w.attempts[s.ID] != nil || w.newest[s.ID.Task] == s.ID.Attempt {
		return true, false
	}
	if w.clock(now) >= s.LeaseExpiry {
		return false, false
	}
	w.newest[s.ID.Task] = s.ID.Attempt
	w.attempts[s.ID] = &simAttempt{
		Attempt: hostapi.Attempt{ID: s.ID, State: hostapi.AttemptRunning, Requests: s.Requests, LeaseExpiry: s.LeaseExpiry},
		work:    s.Work,
		done:    checkpointDone(s.Checkpoint),
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
	a.Checkpoint = fmt.Sprintf("%s@%d", id.Task, a.done)
	return a.Checkpoint
}

func (w *simWorker) stop(now time.Duration, c hostapi.Command, id hostapi.AttemptID) (hostapi.Attempt, bool) {
	if w.refuses(now, c) {
		return hostapi.Attempt{}, false
	}
	a := w.attempts[id]
	if a == nil {
		w.stopped[id] = true
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

// run lets time pass: leases end, tasks complete or fail.
func (w *simWorker) run(now, step time.Duration, fail func() bool) {
	for _, reported := range w.state(now).Attempts {
		a := w.attempts[reported.ID]
		if a.State != hostapi.AttemptRunning {
			continue
		}
		a.done += step
		switch {
		case w.clock(now) >= a.LeaseExpiry:
			a.State = hostapi.AttemptLapsed
		case a.done >= a.work:
			a.State = hostapi.AttemptCompleted
		case fail():
			a.State = hostapi.AttemptFailed
		}
	}
}

func checkpointDone(name string) time.Duration {
	var done int64
	for i := len(name) - 1; i >= 0; i-- {
		if name[i] == '@' {
			if _, err := fmt.Sscanf(name[i+1:], "%d", &done); err != nil {
				panic(err)
			}
			break
		}
	}
	return time.Duration(done)
}
