package replay

import "github.com/cactusreel/cactusreel/tasks"

// tasksDump is the whole state of a cell's task machine.
type tasksDump struct {
	Offset  int64              `json:"offset"`
	Tasks   []tasks.View       `json:"tasks"`
	Workers []tasks.WorkerView `json:"workers"`
}
