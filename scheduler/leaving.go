package scheduler

// moveOffLeaving moves the attempts off workers that are leaving: their VMs shut
// down whether or not the work has ended. Batch work moves at once. Of each
// worker's service replicas only one moves at a time, so that a service on one
// worker does not lose all its replicas at once. Work that is nearly done stays.
func (p *Policy) moveOffLeaving(s *Snapshot) []Action {
	var actions []Action
	for i := range s.size {
		if w := s.At(i); w.Leaving {
			actions = append(actions, p.moveOffWorker(w)...)
		}
	}
	return actions
}

func (p *Policy) moveOffWorker(w *Worker) []Action {
	var actions []Action
	replicaMoving := false
	for j := range w.Attempts {
		a := &w.Attempts[j]
		if a.Stopping && a.Service {
			replicaMoving = true
		}
		if a.Stopping || a.Cancelled || (!a.Service && p.nearlyDone(a)) || (a.Service && replicaMoving) {
			continue
		}
		replicaMoving = replicaMoving || a.Service
		actions = append(actions, Action{
			Kind:   Move,
			ID:     a.ID,
			Worker: w.ID,
			Boot:   w.Boot,
			Reason: "moved: worker " + w.ID + " is leaving",
		})
	}
	return actions
}
