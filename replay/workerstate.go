package replay

import "github.com/cactusreel/cactusreel/tasks"

// workerState is the view of a worker with its id, by which patterns select it.
type workerState struct {
	Worker string `json:"worker"`
	tasks.WorkerView
}
