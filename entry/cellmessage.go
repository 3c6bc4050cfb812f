package entry

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/tasks"
)

// cellMessage is what other goroutines send to a runner.
type cellMessage struct {
	event tasks.Event
	page  []hostapi.LogRecord
	// truncatedAt is the first kept offset if the stream was truncated.
	truncatedAt int64
	ownership   *ownership.View
	answer      *workerAnswer
}

// workerAnswer is a worker's answer to Observe or Fence.
type workerAnswer struct {
	sentAt      time.Duration
	observation workerObservation
}
