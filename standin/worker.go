package standin

import (
	"fmt"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/result"
)

// failingWorkerDelay is the work after which attempts fail under FaultFailing.
const failingWorkerDelay = 100 * time.Millisecond

// Worker is the simulated state of one worker. Each method first advances the
// state to now, the current time on the worker's clock, which is monotonic. A
// Worker is not safe for concurrent use.
type Worker struct {
	config      WorkerConfig
	clock       time.Duration
	highestTerm int64
	failing     bool
	attempts    []*attempt
	// highestAttempts holds, per task, the highest attempt number that was
	// started or stopped on this worker.
	highestAttempts map[string]int64
	events          []AttemptEvent
}

// NewWorker returns a worker without attempts whose clock is at now.
func NewWorker(config WorkerConfig, now time.Duration) *Worker {
	return &Worker{config: config, clock: now, highestAttempts: make(map[string]int64)}
}

// Observe returns the worker's state.
func (w *Worker) Observe(now time.Duration) hostapi.WorkerState {
	w.advance(now)
	state := hostapi.WorkerState{
		Worker:   w.config.ID,
		Boot:     w.config.Boot,
		Clock:    w.clock,
		Term:     w.highestTerm,
		Capacity: w.config.Capacity,
		Attempts: []hostapi.Attempt{},
		Usage:    []hostapi.Usage{},
	}
	for _, a := range w.attempts {
		state.Attempts = append(state.Attempts, a.report)
		usage, ok := a.latestUsage(w.clock - w.config.UsageLag)
		if ok {
			state.Usage = append(state.Usage, usage)
		}
	}
	return state
}

// Fence raises the worker's highest term and returns its state.
func (w *Worker) Fence(now time.Duration, term int64) (hostapi.WorkerState, error) {
	w.advance(now)
	if term < w.highestTerm {
		return hostapi.WorkerState{}, fmt.Errorf("fence with term %d below %d: %w", term, w.highestTerm, hostapi.ErrLowerTerm)
	}
	w.highestTerm = term
	return w.Observe(now), nil
}

// Start starts an attempt. It refuses a start whose lease has already expired
// with the same error as a start whose deadline has passed.
func (w *Worker) Start(now time.Duration, s hostapi.Start) error {
	return w.runCommand(now, s.Command, func() error {
		if w.findAttempt(s.ID) != nil {
			return nil
		}
		err := w.checkStart(s)
		if err != nil {
			return err
		}
		return w.addAttempt(s)
	})
}

// Renew extends the leases of running attempts. It ignores attempts that do not
// run on this worker, because an error would mean that no lease was extended.
func (w *Worker) Renew(now time.Duration, c hostapi.Command, renewals []hostapi.Renewal) error {
	return w.runCommand(now, c, func() error {
		for _, r := range renewals {
			a := w.findAttempt(r.ID)
			if a != nil && a.running() {
				a.report.LeaseExpiry = max(a.report.LeaseExpiry, r.LeaseExpiry)
			}
		}
		return nil
	})
}

// Checkpoint saves the work of a running attempt and returns the name of the
// checkpoint.
func (w *Worker) Checkpoint(now time.Duration, c hostapi.Command, id hostapi.AttemptID) (string, error) {
	name := ""
	err := w.runCommand(now, c, func() error {
		a, err := w.findRunningAttempt(id)
		if err != nil {
			return err
		}
		name = checkpointName(id, a.workDone)
		a.report.Checkpoint = name
		return nil
	})
	return name, err
}

// Throttle limits a running attempt to a share of its processors between 0 and 1.
func (w *Worker) Throttle(now time.Duration, c hostapi.Command, id hostapi.AttemptID, share float64) error {
	if !(share >= 0 && share <= 1) {
		return result.Errorf(result.BadResource, "share %v is not between 0 and 1", share)
	}
	return w.runCommand(now, c, func() error {
		a, err := w.findRunningAttempt(id)
		if err != nil {
			return err
		}
		a.report.Throttle = share
		return nil
	})
}

// Stop ends an attempt and returns its final report. An attempt without a record
// on this worker is reported as stopped and can't be started here afterwards.
func (w *Worker) Stop(now time.Duration, c hostapi.Command, id hostapi.AttemptID) (hostapi.Attempt, error) {
	report := hostapi.Attempt{ID: id, State: hostapi.AttemptStopped}
	err := w.runCommand(now, c, func() error {
		w.highestAttempts[id.Task] = max(w.highestAttempts[id.Task], id.Attempt)
		a := w.findAttempt(id)
		if a == nil {
			return nil
		}
		if a.running() {
			w.endAttempt(a, hostapi.AttemptStopped, "")
		}
		report = a.report
		return nil
	})
	return report, err
}

// Forget removes the record of an ended attempt. It is idempotent: an attempt
// without a record is not an error, because the command may be a retry.
func (w *Worker) Forget(now time.Duration, c hostapi.Command, id hostapi.AttemptID) error {
	return w.runCommand(now, c, func() error {
		a := w.findAttempt(id)
		if a == nil {
			return nil
		}
		if a.running() {
			return result.Errorf(result.WorkerRefused, "attempt %d of task %s still runs", id.Attempt, id.Task)
		}
		w.attempts = slices.DeleteFunc(w.attempts, func(other *attempt) bool { return other == a })
		return nil
	})
}

// SetFailing sets whether attempts that start from now on fail after a short
// time.
func (w *Worker) SetFailing(now time.Duration, failing bool) {
	w.advance(now)
	w.failing = failing
}

// Crash ends all running attempts as lost. No agent reports them, because only
// DrainEvents may be called afterwards.
func (w *Worker) Crash(now time.Duration) {
	w.advance(now)
	for _, a := range w.attempts {
		if a.running() {
			w.endAttempt(a, AttemptLost, "worker went down")
		}
	}
}

// DrainEvents returns the events up to now that earlier calls have not returned,
// ordered by time.
func (w *Worker) DrainEvents(now time.Duration) []AttemptEvent {
	w.advance(now)
	events := w.events
	w.events = nil
	return events
}

// runCommand runs a command if its boot id, term and deadline are valid. A
// refused or failed command does not raise the worker's term.
func (w *Worker) runCommand(now time.Duration, c hostapi.Command, run func() error) error {
	w.advance(now)
	if c.Boot != w.config.Boot {
		return fmt.Errorf("boot id %q is not %q: %w", c.Boot, w.config.Boot, hostapi.ErrOtherBoot)
	}
	if c.Term < w.highestTerm {
		return fmt.Errorf("term %d is below %d: %w", c.Term, w.highestTerm, hostapi.ErrLowerTerm)
	}
	if w.clock > c.Deadline {
		return fmt.Errorf("deadline %v, clock %v: %w", c.Deadline, w.clock, hostapi.ErrDeadlinePassed)
	}
	err := run()
	if err != nil {
		return err
	}
	w.highestTerm = c.Term
	return nil
}

// checkStart checks the conditions of a start beyond those of every command.
func (w *Worker) checkStart(s hostapi.Start) error {
	if s.ID.Task == "" || s.ID.Attempt < 1 || s.Work < 0 || !(hostapi.Resources{}).Fits(s.Requests) {
		return result.Errorf(result.BadResource, "start of attempt %d of task %q is malformed", s.ID.Attempt, s.ID.Task)
	}
	if s.ID.Attempt <= w.highestAttempts[s.ID.Task] {
		return fmt.Errorf("attempt %d of task %s, highest %d: %w", s.ID.Attempt, s.ID.Task, w.highestAttempts[s.ID.Task], hostapi.ErrOldAttempt)
	}
	if s.LeaseExpiry <= w.clock {
		return fmt.Errorf("lease ends at %v, clock %v: %w", s.LeaseExpiry, w.clock, hostapi.ErrDeadlinePassed)
	}
	// The requests are compared alone first, because very large ones would
	// overflow the sum.
	capacity := w.config.Capacity
	if !s.Requests.Fits(capacity) || !w.requestedResources().Add(s.Requests).Fits(capacity) {
		return fmt.Errorf("task %s: %w", s.ID.Task, hostapi.ErrNoRoom)
	}
	return nil
}

func (w *Worker) addAttempt(s hostapi.Start) error {
	a := &attempt{
		report: hostapi.Attempt{
			ID:          s.ID,
			State:       hostapi.AttemptRunning,
			Kind:        s.Kind,
			Requests:    s.Requests,
			LeaseExpiry: s.LeaseExpiry,
			Throttle:    1,
		},
		totalWork: w.config.TaskKinds.actualWork(s.Kind, s.Work),
	}
	if s.Checkpoint != "" {
		workDone, err := parseCheckpoint(s.Checkpoint, s.ID)
		if err != nil {
			return result.Errorf(result.BadResource, "start: %w", err)
		}
		a.workDone = workDone
		a.advance(0)
	}
	failAfter := w.config.TaskKinds.failAfter(s.Kind)
	if w.failing {
		failAfter = failingWorkerDelay
	}
	if failAfter > 0 {
		a.failAtWork = a.workDone + failAfter
	}
	w.highestAttempts[s.ID.Task] = s.ID.Attempt
	w.attempts = append(w.attempts, a)
	w.recordEvent(a, s.Term, s.Checkpoint)
	return nil
}

func (w *Worker) endAttempt(a *attempt, state hostapi.AttemptState, message string) {
	a.report.State = state
	a.report.Message = message
	w.recordEvent(a, w.highestTerm, "")
}

func (w *Worker) recordEvent(a *attempt, term int64, resumedFrom string) {
	w.events = append(w.events, AttemptEvent{
		At:          w.clock,
		ID:          a.report.ID,
		Kind:        a.report.Kind,
		Requests:    a.report.Requests,
		Term:        term,
		State:       a.report.State,
		ResumedFrom: resumedFrom,
		Checkpoint:  a.report.Checkpoint,
		WorkDone:    a.workDone,
	})
}

func (w *Worker) findAttempt(id hostapi.AttemptID) *attempt {
	for _, a := range w.attempts {
		if a.report.ID == id {
			return a
		}
	}
	return nil
}

func (w *Worker) findRunningAttempt(id hostapi.AttemptID) (*attempt, error) {
	a := w.findAttempt(id)
	if a == nil || !a.running() {
		return nil, fmt.Errorf("attempt %d of task %s: %w", id.Attempt, id.Task, hostapi.ErrNoAttempt)
	}
	return a, nil
}

// requestedResources returns the sum of the running attempts' requests.
func (w *Worker) requestedResources() hostapi.Resources {
	var sum hostapi.Resources
	for _, a := range w.attempts {
		if a.running() {
			sum = sum.Add(a.report.Requests)
		}
	}
	return sum
}
