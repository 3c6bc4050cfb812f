package admission

import "time"

// Outlook is what the submissions of a cell can expect. It names only queues with a size that is
// rejected.
type Outlook struct {
	Queues map[string]*QueueOutlook
	// Rooms is the free room by service.
	Rooms map[string]Room
}

// QueueOutlook is what the submissions of a queue can expect.
type QueueOutlook struct {
	Sizing
	Sizes [sizeCount]SizeOutlook
}

// SizeOutlook is what the submissions of a queue and size can expect.
type SizeOutlook struct {
	// Rejecting: as many are rejected as Share says.
	Rejecting bool
	// Share is the share of attempts that is admitted.
	Share float64
	// Drain is the expected time in which those that wait are started.
	Drain time.Duration
	// Waiting, Started and Late are the inputs: those that wait and can still be of use, and those
	// that, within the window, were started in time or became too late to start.
	Waiting, Started, Late int
}

// Empty reports whether nothing is rejected.
func (o *Outlook) Empty() bool { return o == nil || len(o.Queues) == 0 }
