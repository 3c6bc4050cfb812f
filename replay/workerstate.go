package replay

import "github.com/cactusreel/cactusreel/tasks"

// workerState is the view of a worker with the field that names it.
type workerState struct {
	Worker string `json:"worker"`
	tasks.WorkerView
}
