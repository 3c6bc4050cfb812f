package tasks_test

import "github.com/cactusreel/cactusreel/tasks"

// command sends a command to a worker and its answer back.
func (s *sim) command(vm *simVM, number int, action tasks.Action) {
	sent, c := vm.clock(s.now), vm.cells[number]
	answer := func(w *simWorker, ev tasks.Event) {
		if s.now < w.mute || s.now < w.cut && w.reaches != vm.name {
			return
		}
		s.after(s.networkDelay(), func() {
			if vm.alive && vm.paused <= s.now && vm.cells[number] == c {
				s.stepCell(vm, number, ev)
			}
		})
	}
	to := func(name string, do func(w *simWorker)) {
		w := s.worker(name)
		if s.now < w.cut && w.reaches != vm.name {
			return
		}
		s.after(s.networkDelay(), func() {
			if s.now >= w.down {
				do(w)
			}
		})
	}
	switch a := action.(type) {
	case tasks.Fence:
		to(a.Worker, func(w *simWorker) {
			w.term = max(w.term, a.Term)
			answer(w, tasks.Observed{SentAt: sent, State: w.state(s.now)})
		})
	case tasks.Observe:
		to(a.Worker, func(w *simWorker) { answer(w, tasks.Observed{SentAt: sent, State: w.state(s.now)}) })
	case tasks.Start:
		to(a.Worker, func(w *simWorker) {
			accepted := s.startOn(w, a.Start)
			answer(w, tasks.StartAnswered{Worker: w.name, ID: a.Start.ID, Refused: !accepted})
		})
	case tasks.Renew:
		to(a.Worker, func(w *simWorker) { w.renew(s.now, a.Command, a.Renewals) })
	case tasks.Checkpoint:
		to(a.Worker, func(w *simWorker) {
			answer(w, tasks.CheckpointAnswered{ID: a.ID, Name: w.checkpoint(s.now, a.Command, a.ID)})
		})
	case tasks.Stop:
		to(a.Worker, func(w *simWorker) {
			if report, ok := w.stop(s.now, a.Command, a.ID); ok {
				answer(w, tasks.StopAnswered{Worker: w.name, Boot: w.bootID(), Report: report})
			}
		})
	case tasks.Forget:
		to(a.Worker, func(w *simWorker) { w.forget(s.now, a.Command, a.ID) })
	}
}
