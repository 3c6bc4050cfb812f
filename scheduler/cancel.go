package scheduler

// stopCancelled returns a Stop action for each attempt of a cancelled job. The
// stops need no checkpoint and are not rate limited, so one round frees all of
// the capacity.
func stopCancelled(s *Snapshot) []Action {
	var actions []Action
	for i := range s.size {
		w := s.At(i)
		for j := range w.Attempts {
			a := &w.Attempts[j]
			if a.Cancelled && !a.Stopping {
				actions = append(actions, Action{Kind: Stop, ID: a.ID, Worker: w.ID, Boot: w.Boot, Reason: "stopped: the job was cancelled"})
			}
		}
	}
	return actions
}
