package tasks_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/tasks"
)

// deliverStart delivers a start to a worker and checks I3, I4 and I10 (once the
// freshness bound has passed after a cancel in the log, no VM starts the task).
func (s *sim) deliverStart(w *simWorker, start hostapi.Start) bool {
	accepted, isNew := w.startAttempt(s.now, start)
	if !isNew {
		return accepted
	}
	s.startCount++
	if s.takenOut && s.now > s.takenOutAt+simStopStartsBound {
		s.fail("I4: %v started %v after the take-out", start.ID, s.now-s.takenOutAt)
	}
	if s.declared[1].Cancelled && strings.HasPrefix(start.ID.Task, s.declared[1].Name) && s.now > s.cancelledAt+simStopStartsBound {
		s.fail("I10: %v started %v after the cancel", start.ID, s.now-s.cancelledAt)
	}
	if start.ID.Attempt <= s.newestStarted[start.ID.Task] {
		s.fail("I3: attempt %v started after attempt %d", start.ID, s.newestStarted[start.ID.Task])
	}
	s.newestStarted[start.ID.Task] = start.ID.Attempt
	return true
}

func (s *sim) fail(format string, args ...any) {
	s.err = errors.Join(s.err, fmt.Errorf(format, args...))
}

// checkInvariants verifies I1 and I2 on the attempts that run on the workers.
func (s *sim) checkInvariants() {
	runs := make(map[string]string)
	for _, w := range s.workers {
		var used hostapi.Resources
		for id, a := range w.attempts {
			if a.State != hostapi.AttemptRunning || s.now < w.downUntil {
				continue
			}
			used = used.Add(a.Requests)
			if other, twice := runs[id.Task]; twice {
				s.fail("I2: %s runs twice, on %s and %s", id.Task, other, w.name)
			}
			runs[id.Task] = w.name
		}
		if !used.Fits(simCapacity) {
			s.fail("I1: %s uses %v, more than its capacity", w.name, used)
		}
	}
}

// checkFinalState verifies that after the faults every task of a job has ended in
// exactly one cell (I3), and that a replay of the whole stream gives the owner's
// state, whether or not the owner was restored from a snapshot.
func (s *sim) checkFinalState() error {
	owners := make([]*tasks.Machine, simCells)
	for _, vm := range s.vms {
		for cell, c := range vm.cells {
			if owners[cell] == nil || c.machine.Offset() > owners[cell].Offset() {
				owners[cell] = c.machine
			}
		}
	}
	ended := make(map[string]int)
	for cell, owner := range owners {
		if owner == nil {
			return fmt.Errorf("cell %d has no owner", cell)
		}
		for _, t := range owner.Tasks() {
			if t.Status == tasks.StatusCompleted || t.Status == tasks.StatusCancelled || t.Status == tasks.StatusFailed {
				ended[t.Task]++
			}
		}
		if err := s.checkReplay(cell, owner); err != nil {
			return err
		}
	}
	for _, w := range s.declared {
		for i := range w.Count {
			if ended[w.TaskID(i)] != 1 {
				return fmt.Errorf("I3: %s has ended in %d cells", w.TaskID(i), ended[w.TaskID(i)])
			}
		}
	}
	return nil
}

func (s *sim) checkReplay(cell int, owner *tasks.Machine) error {
	config := tasks.DefaultConfig("reader", "giza", cell)
	config.Unsafe = s.unsafe
	reader := tasks.New(config)
	for _, ev := range s.resourceEvents {
		reader.Step(0, ev)
	}
	for i, r := range s.streams[fmt.Sprint("tasks", cell)][:owner.Offset()] {
		reader.Step(0, tasks.Applied{Offset: int64(i + 1), ID: r.id, Records: r.records})
	}
	want, err := owner.Snapshot()
	if err != nil {
		return err
	}
	got, err := reader.Snapshot()
	if err != nil {
		return err
	}
	if !slices.Equal(want, got) {
		return fmt.Errorf("cell %d: a replay of the stream gives a state other than the owner's", cell)
	}
	return nil
}
