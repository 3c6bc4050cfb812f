package checker_test

import (
	"fmt"

	"github.com/cactusreel/cactusreel/checker"
)

// A history in which a task runs on two workers at the same time violates I2.
func Example() {
	capacity := checker.Resources{MilliCPU: 1000, MemoryMiB: 100}
	history := []checker.Event{
		{At: 0, Type: checker.WorkerSeen, Worker: "w1", Capacity: capacity},
		{At: 0, Type: checker.WorkerSeen, Worker: "w2", Capacity: capacity},
		{At: 1, Type: checker.AttemptStarted, Worker: "w1", Task: "reports/7/0", Attempt: 1},
		{At: 2, Type: checker.AttemptStarted, Worker: "w2", Task: "reports/7/0", Attempt: 2},
	}
	violations, err := checker.Check(history, checker.DefaultBounds())
	fmt.Println(violations[0], err)
	// Output: I2 at event 3 (2ns): task reports/7/0 attempt 2 started on w2 while attempt 1 runs on w1 <nil>
}
