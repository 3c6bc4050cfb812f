package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// Candidate is a worker that is considered for a task.
type Candidate struct {
	Worker *Worker
	// Free is the capacity that is left after the placements of this round.
	Free hostapi.Resources
	// Added are the tasks that this round has placed on the worker.
	Added []*Task
	// position is the worker's position in the worker index.
	position int
}
