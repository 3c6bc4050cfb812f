package standin

import (
	"fmt"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/result"
)

// failingWorkerDelay is the work after which attempts fail on a failing worker.
const failingWorkerDelay = 100 * time.Millisecond

// Worker is the simulated state of one worker. Each method first brings the
// state up to now, the present time on the worker's clock, which never goes
// back. A Worker is not safe for concurrent use.
type Worker struct {
	config   WorkerConfig
	clock    time.Duration
	term     int64
	failing  bool
	attempts []*attempt
	// highest is the highest attempt number per task that was started or
	// stopped here.
	highest map[string]int64
	events  []AttemptEvent
}

// NewWorker returns a worker that boots with its clock at now.
func NewWorker(config WorkerConfig, now time.Duration) *Worker {
	return &Worker{config: config, clock: now, highest: make(map[string]int64)}
}

// Observe returns the worker's state.
func (w *Worker) Observe(now time.Duration) hostapi.WorkerState {
	w.advance(now)
	state := hostapi.WorkerState{
		Worker:   w.config.ID,
		Boot:     w.config.Boot,
		Clock:    w.clock,
		Term:     w.term,
		Capacity: w.config.Capacity,
		Attempts: []hostapi.Attempt{},
		Usage:    []hostapi.Usage{},
	}
	for _, a := range w.attempts {
		state.Attempts = append(state.Attempts, a.report)
		usage, ok := a.usageAt(w.clock - w.config.UsageLag)
		if ok {
			state.Usage = append(state.Usage, usage)
		}
	}
	return state
}

// Fence raises the highest term.
func (w *Worker) Fence(now time.Duration, term int64) (hostapi.WorkerState, error) {
	w.advance(now)
	if term < w.term {
		return hostapi.WorkerState{}, fmt.Errorf("fence with term %d below %d: %w", term, w.term, hostapi.ErrLowerTerm)
	}
	w.term = term
	return w.Observe(now), nil
}

// Start starts an attempt. A start whose lease has already ended is refused
// like one whose deadline has passed.
func (w *Worker) Start(now time.Duration, s hostapi.Start) error {
	return w.command(now, s.Command, func() error {
		if w.find(s.ID) != nil {
			return nil
		}
		err := w.admit(s)
		if err != nil {
			return err
		}
		return w.launch(s)
	})
}

// Renew extends leases of running attempts. Attempts that do not run here are
// ignored, because an error would mean that no lease was extended.
func (w *Worker) Renew(now time.Duration, c hostapi.Command, renewals []hostapi.Renewal) error {
	return w.command(now, c, func() error {
		for _, r := range renewals {
			a := w.find(r.ID)
			if a != nil && a.running() {
				a.report.LeaseExpiry = max(a.report.LeaseExpiry, r.LeaseExpiry)
			}
		}
		return nil
	})
}

// Checkpoint saves the work of a running attempt and returns the checkpoint's name.
func (w *Worker) Checkpoint(now time.Duration, c hostapi.Command, id hostapi.AttemptID) (string, error) {
	name := ""
	err := w.command(now, c, func() error {
		a, err := w.findRunning(id)
		if err != nil {
			return err
		}
		name = checkpointName(id, a.done)
		a.report.Checkpoint = name
		return nil
	})
	return name, err
}

// Throttle limits a running attempt to a share of its processors, from 0 to 1.
func (w *Worker) Throttle(now time.Duration, c hostapi.Command, id hostapi.AttemptID, share float64) error {
	if !(share >= 0 && share <= 1) {
		return result.Errorf(result.BadResource, "share %v is not between 0 and 1", share)
	}
	return w.command(now, c, func() error {
		a, err := w.findRunning(id)
		if err != nil {
			return err
		}
		a.report.Throttle = share
		return nil
	})
}

// Stop ends an attempt and returns its final report. An attempt that is not
// known here is reported as stopped, and can't be started afterwards.
func (w *Worker) Stop(now time.Duration, c hostapi.Command, id hostapi.AttemptID) (hostapi.Attempt, error) {
	report := hostapi.Attempt{ID: id, State: hostapi.AttemptStopped}
	err := w.command(now, c, func() error {
		w.highest[id.Task] = max(w.highest[id.Task], id.Attempt)
		a := w.find(id)
		if a == nil {
			return nil
		}
		if a.running() {
			w.end(a, hostapi.AttemptStopped, "")
		}
		report = a.report
		return nil
	})
	return report, err
}

// Forget removes the report of an ended attempt. An attempt that is not known
// is no error, because the command may be a repeat.
func (w *Worker) Forget(now time.Duration, c hostapi.Command, id hostapi.AttemptID) error {
	return w.command(now, c, func() error {
		a := w.find(id)
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

// SetFailing makes attempts that start from now on fail after a short time, or
// ends that.
func (w *Worker) SetFailing(now time.Duration, failing bool) {
	w.advance(now)
	w.failing = failing
}

// Crash ends all running attempts without a report. Nothing else may be called
// afterwards but DrainEvents.
func (w *Worker) Crash(now time.Duration) {
	w.advance(now)
	for _, a := range w.attempts {
		if a.running() {
			w.end(a, AttemptLost, "worker went down")
		}
	}
}

// DrainEvents returns the events up to now that it has not returned before, in the
// order of their times.
func (w *Worker) DrainEvents(now time.Duration) []AttemptEvent {
	w.advance(now)
	events := w.events
	w.events = nil
	return events
}

// command runs a command if its boot id, term and deadline allow it. A refused
// command does not raise the worker's term.
func (w *Worker) command(now time.Duration, c hostapi.Command, run func() error) error {
	w.advance(now)
	if c.Boot != w.config.Boot {
		return fmt.Errorf("boot id %q is not %q: %w", c.Boot, w.config.Boot, hostapi.ErrOtherBoot)
	}
	if c.Term < w.term {
		return fmt.Errorf("term %d is below %d: %w", c.Term, w.term, hostapi.ErrLowerTerm)
	}
	if w.clock > c.Deadline {
		return fmt.Errorf("deadline %v, clock %v: %w", c.Deadline, w.clock, hostapi.ErrDeadlinePassed)
	}
	err := run()
	if err != nil {
		return err
	}
	w.term = c.Term
	return nil
}

// admit checks what a start needs beyond the checks of every command.
func (w *Worker) admit(s hostapi.Start) error {
	if s.ID.Task == "" || s.ID.Attempt < 1 || s.Work < 0 || !(hostapi.Resources{}).Fits(s.Requests) {
		return result.Errorf(result.BadResource, "start of attempt %d of task %q is malformed", s.ID.Attempt, s.ID.Task)
	}
	if s.ID.Attempt <= w.highest[s.ID.Task] {
		return fmt.Errorf("attempt %d of task %s, highest %d: %w", s.ID.Attempt, s.ID.Task, w.highest[s.ID.Task], hostapi.ErrOldAttempt)
	}
	if s.LeaseExpiry <= w.clock {
		return fmt.Errorf("lease ends at %v, clock %v: %w", s.LeaseExpiry, w.clock, hostapi.ErrDeadlinePassed)
	}
	// The request alone is compared first: a huge one would overflow the sum.
	capacity := w.config.Capacity
	if !s.Requests.Fits(capacity) || !w.requested().Add(s.Requests).Fits(capacity) {
		return fmt.Errorf("task %s: %w", s.ID.Task, hostapi.ErrNoRoom)
	}
	return nil
}

func (w *Worker) launch(s hostapi.Start) error {
	a := &attempt{
		report: hostapi.Attempt{
			ID:          s.ID,
			State:       hostapi.AttemptRunning,
			Kind:        s.Kind,
			Requests:    s.Requests,
			LeaseExpiry: s.LeaseExpiry,
			Throttle:    1,
		},
		work: w.config.TaskKinds.work(s.Kind, s.Work),
	}
	if s.Checkpoint != "" {
		done, err := parseCheckpoint(s.Checkpoint, s.ID)
		if err != nil {
			return result.Errorf(result.BadResource, "start: %w", err)
		}
		a.done = done
		a.run(0)
	}
	failAfter := w.config.TaskKinds.failAfter(s.Kind)
	if w.failing {
		failAfter = failingWorkerDelay
	}
	if failAfter > 0 {
		a.failAt = a.done + failAfter
	}
	w.highest[s.ID.Task] = s.ID.Attempt
	w.attempts = append(w.attempts, a)
	w.record(a, s.Term, s.Checkpoint)
	return nil
}

func (w *Worker) end(a *attempt, state hostapi.AttemptState, message string) {
	a.report.State = state
	a.report.Message = message
	w.record(a, w.term, "")
}

func (w *Worker) record(a *attempt, term int64, resumed string) {
	w.events = append(w.events, AttemptEvent{
		At:          w.clock,
		ID:          a.report.ID,
		Kind:        a.report.Kind,
		Requests:    a.report.Requests,
		Term:        term,
		State:       a.report.State,
		ResumedFrom: resumed,
		Checkpoint:  a.report.Checkpoint,
		WorkDone:    a.done,
	})
}

func (w *Worker) find(id hostapi.AttemptID) *attempt {
	for _, a := range w.attempts {
		if a.report.ID == id {
			return a
		}
	}
	return nil
}

func (w *Worker) findRunning(id hostapi.AttemptID) (*attempt, error) {
	a := w.find(id)
	if a == nil || !a.running() {
		return nil, fmt.Errorf("attempt %d of task %s: %w", id.Attempt, id.Task, hostapi.ErrNoAttempt)
	}
	return a, nil
}

// requested returns what the running attempts have requested.
func (w *Worker) requested() hostapi.Resources {
	var sum hostapi.Resources
	for _, a := range w.attempts {
		if a.running() {
			sum = sum.Add(a.report.Requests)
		}
	}
	return sum
}
