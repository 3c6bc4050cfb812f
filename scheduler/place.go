package scheduler

import "fmt"

// placeAll places tasks in the given order on the first worker with room.
func (p *Policy) placeAll(s *Snapshot, pending []Task) Plan {
	plan := Plan{Base: s.version}
	root := s.root
	for i := range pending {
		t := &pending[i]
		at := -1
		if root != nil {
			at = root.next(s.size, 0, t.Requests)
		}
		if at < 0 {
			plan.Waits = append(plan.Waits, Wait{Task: t.ID, Reason: "pending: no worker with room"})
			continue
		}
		leaf := root.leaf(s.size, at)
		root = root.set(s.size, at, leaf.worker, leaf.free.Sub(t.Requests))
		plan.Placements = append(plan.Placements, Placement{
			Task: t.ID, Attempt: t.Attempt, Worker: leaf.worker.ID, Boot: leaf.worker.Boot, Requests: t.Requests,
			Reason: fmt.Sprintf("placed on %s", leaf.worker.ID),
		})
	}
	return plan
}
