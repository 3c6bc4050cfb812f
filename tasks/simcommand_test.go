package tasks_test

import "github.com/cactusreel/cactusreel/tasks"

// sendCommand delivers a command to a worker and the answer to the machine.
func (s *sim) sendCommand(vm *simVM, cell int, action tasks.Action) {
	sentAt, c := vm.clock(s.now), vm.cells[cell]
	answer := func(w *simWorker, ev tasks.Event) {
		if s.now < w.answersLostUntil || s.now < w.partitionedUntil && w.reachableFrom != vm.name {
			return
		}
		s.after(s.networkDelay(), func() {
			if vm.alive && vm.pausedUntil <= s.now && vm.cells[cell] == c {
				s.stepCell(vm, cell, ev)
			}
		})
	}
	send := func(name string, handle func(w *simWorker)) {
		w := s.worker(name)
		if s.now < w.partitionedUntil && w.reachableFrom != vm.name {
			return
		}
		s.after(s.networkDelay(), func() {
			if s.now >= w.downUntil {
				handle(w)
			}
		})
	}
	switch a := action.(type) {
	case tasks.Fence:
		send(a.Worker, func(w *simWorker) {
			w.term = max(w.term, a.Term)
			answer(w, tasks.Observed{SentAt: sentAt, State: w.state(s.now)})
		})
	case tasks.Observe:
		send(a.Worker, func(w *simWorker) { answer(w, tasks.Observed{SentAt: sentAt, State: w.state(s.now)}) })
	case tasks.Start:
		send(a.Worker, func(w *simWorker) {
			accepted := s.deliverStart(w, a.Start)
			answer(w, tasks.StartAnswered{Worker: w.name, ID: a.Start.ID, Refused: !accepted})
		})
	case tasks.Renew:
		send(a.Worker, func(w *simWorker) { w.renew(s.now, a.Command, a.Renewals) })
	case tasks.Checkpoint:
		send(a.Worker, func(w *simWorker) {
			answer(w, tasks.CheckpointAnswered{ID: a.ID, Name: w.checkpoint(s.now, a.Command, a.ID)})
		})
	case tasks.Stop:
		send(a.Worker, func(w *simWorker) {
			if report, ok := w.stop(s.now, a.Command, a.ID); ok {
				answer(w, tasks.StopAnswered{Worker: w.name, Boot: w.bootID(), Report: report})
			}
		})
	case tasks.Forget:
		send(a.Worker, func(w *simWorker) { w.forget(s.now, a.Command, a.ID) })
	}
}
