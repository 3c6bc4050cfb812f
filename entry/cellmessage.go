package entry

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/tasks"
)

// cellMessage is a message of another goroutine to a cell runner. One field is
// set.
type cellMessage struct {
	event tasks.Event
	page  []hostapi.LogRecord
	// truncatedAt is the first retained offset if the stream was truncated.
	truncatedAt int64
	ownership   *ownership.View
	answer      *workerAnswer
}

// workerAnswer is a worker's answer to Observe or Fence.
type workerAnswer struct {
	sentAt      time.Duration
	observation workerObservation
}
