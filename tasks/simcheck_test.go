package tasks_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/tasks"
)

// startOn delivers a start and checks I3, I4 and I10 (a cancel in the log is
// in effect everywhere after the freshness bound, and stays).
func (s *sim) startOn(w *simWorker, start hostapi.Start) bool {
	accepted, fresh := w.start(s.now, start)
	if !fresh {
		return accepted
	}
	s.starts++
	if s.out && s.now > s.takenOut+simStopsStarts {
		s.fail("I4: %v started %v after the take-out", start.ID, s.now-s.takenOut)
	}
	if s.works[1].Cancelled && strings.HasPrefix(start.ID.Task, s.works[1].Name) && s.now > s.cancelled+simStopsStarts {
		s.fail("I10: %v started %v after the cancel", start.ID, s.now-s.cancelled)
	}
	if start.ID.Attempt <= s.started[start.ID.Task] {
		s.fail("I3: attempt %v started after attempt %d", start.ID, s.started[start.ID.Task])
	}
	s.started[start.ID.Task] = start.ID.Attempt
	return true
}

func (s *sim) fail(format string, args ...any) {
	s.failed = errors.Join(s.failed, fmt.Errorf(format, args...))
}

// check verifies I1 and I2 on what really runs.
func (s *sim) check() {
	runs := make(map[string]string)
	for _, w := range s.workers {
		var used hostapi.Resources
		for id, a := range w.attempts {
			if a.State != hostapi.AttemptRunning || s.now < w.down {
				continue
			}
			used = used.Add(a.Requests)
			if other, twice := runs[id.Task]; twice {
				s.fail("I2: %s runs on %s and %s", id.Task, other, w.name)
			}
			runs[id.Task] = w.name
		}
		if !used.Fits(simCapacity) {
			s.fail("I1: %s runs %v", w.name, used)
		}
	}
}

// checkEnd verifies that after the faults every task of a job is complete in
// exactly one cell (I3), and that a reader of the whole stream and one that
// starts from a snapshot have the owner's state.
func (s *sim) checkEnd() error {
	owners := make([]*tasks.Machine, simCells)
	for _, vm := range s.vms {
		for number, c := range vm.cells {
			if owners[number] == nil || c.machine.Offset() > owners[number].Offset() {
				owners[number] = c.machine
			}
		}
	}
	ended := make(map[string]int)
	for number, owner := range owners {
		if owner == nil {
			return fmt.Errorf("cell %d has no owner", number)
		}
		for _, t := range owner.Tasks() {
			if t.Status == tasks.StatusCompleted || t.Status == tasks.StatusCancelled || t.Status == tasks.StatusFailed {
				ended[t.Task]++
			}
		}
		if err := s.checkReader(number, owner); err != nil {
			return err
		}
	}
	for _, w := range s.works {
		for i := range w.Count {
			if ended[w.TaskID(i)] != 1 {
				return fmt.Errorf("I3: %s has ended in %d cells", w.TaskID(i), ended[w.TaskID(i)])
			}
		}
	}
	return nil
}

func (s *sim) checkReader(number int, owner *tasks.Machine) error {
	config := tasks.DefaultConfig("reader", "giza", number)
	config.Unsafe = s.unsafe
	reader := tasks.New(config)
	for _, ev := range s.resources {
		reader.Step(0, ev)
	}
	for i, r := range s.streams[fmt.Sprint("tasks", number)][:owner.Offset()] {
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
		return fmt.Errorf("cell %d: a reader of the stream has another state than the owner", number)
	}
	return nil
}
