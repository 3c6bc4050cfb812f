package admission

import (
	"maps"
	"slices"
	"time"
)

// Event is what became of a submission.
type Event int

// Events.
const (
	Accepted Event = iota
	// Started: its first run was recorded while it could still be of use.
	Started
	// Late: it could be of no use any more without a run.
	Late
	eventCount
)

const (
	// maxQueues limits the queues that are measured.
	maxQueues = 64
	// steadyTime is how long starts must have been possible before anything is rejected. What waits
	// after a takeover or an outage of the store says nothing about room.
	steadyTime = 2 * time.Second
)

// Class is a queue and a size.
type Class struct {
	Queue string
	Size  Size
}

// Waiting are the submissions of a class that have not begun and can still be of use.
type Waiting struct {
	Count int
	// Useful is the sum, over them, of the time from their acceptance within which a start is of use.
	Useful time.Duration
}

// Change is a change of a class between admitting and rejecting.
type Change struct {
	Class
	SizeOutlook
}

// Measure measures the submissions of a cell by queue and size.
type Measure struct {
	queues map[string]*[sizeCount]meter
	// at is the number of the present interval in each meter.
	at         int
	updatedAt  time.Duration
	steadyFrom time.Duration
}

// NewMeasure returns a measure that begins now.
func NewMeasure(now time.Duration) *Measure {
	return &Measure{queues: make(map[string]*[sizeCount]meter), updatedAt: now, steadyFrom: now}
}

func (m *Measure) meter(c Class) *meter {
	q := m.queues[c.Queue]
	if q == nil {
		if len(m.queues) >= maxQueues {
			return nil
		}
		q = new([sizeCount]meter)
		m.queues[c.Queue] = q
	}
	return &q[c.Size]
}

// Count counts an event of a submission.
func (m *Measure) Count(c Class, ev Event) {
	if meter := m.meter(c); meter != nil {
		meter.add(m.at, ev)
	}
}

// Observe begins an interval. waiting are the submissions that wait now, steady says whether
// waiting tasks could be started if there was room. What was counted before that is forgotten.
func (m *Measure) Observe(now time.Duration, waiting map[Class]Waiting, steady bool) {
	if !steady {
		m.steadyFrom = now
	}
	m.at = (m.at + 1) % intervals
	for _, q := range m.queues {
		for i := range q {
			if !steady {
				q[i] = meter{rejecting: q[i].rejecting, share: q[i].share}
			}
			q[i].beginInterval(m.at)
			q[i].waiting, q[i].span = 0, min(Window, now-m.steadyFrom)
		}
	}
	for c, w := range waiting {
		if meter := m.meter(c); meter != nil && w.Count > 0 {
			meter.waiting, meter.useful, meter.span = w.Count, w.Useful/time.Duration(w.Count), min(Window, now-m.steadyFrom)
		}
	}
}

// Update decides anew what is rejected, if UpdateInterval has passed, and returns what changed. due is
// false if it has not.
func (m *Measure) Update(now time.Duration) (changes []Change, due bool) {
	if now-m.updatedAt < UpdateInterval {
		return nil, false
	}
	m.updatedAt = now
	steady := now-m.steadyFrom >= steadyTime
	for _, name := range slices.Sorted(maps.Keys(m.queues)) {
		q := m.queues[name]
		for size := range q {
			meter := &q[size]
			before := meter.rejecting
			if steady {
				meter.update()
			} else {
				meter.rejecting = false
			}
			if meter.rejecting != before {
				changes = append(changes, Change{Class{name, Size(size)}, meter.outlook()})
			}
		}
	}
	return changes, true
}

// Queues returns the outlook of the queues with a size that is rejected, without their sizing.
func (m *Measure) Queues() map[string]*QueueOutlook {
	out := make(map[string]*QueueOutlook)
	for name, q := range m.queues {
		outlook, rejecting := new(QueueOutlook), false
		for size := range q {
			outlook.Sizes[size] = q[size].outlook()
			rejecting = rejecting || q[size].rejecting
		}
		if rejecting {
			outlook.shareBetweenSizes(q)
			out[name] = outlook
		}
	}
	return out
}

// largeShare is the least share of the large and the largest submissions that is admitted, as a part of
// that of all sizes. The platform's users expect that they are served at least half as often.
const largeShare = 0.5

// shareBetweenSizes raises the shares of the large and the largest submissions to largeShare of that
// of the queue. By the measure alone they would be rejected first in every shortage, because the room
// for them is the first to be gone.
func (o *QueueOutlook) shareBetweenSizes(q *[sizeCount]meter) {
	admitted, offered := 0.0, 0.0
	for size := range q {
		admitted, offered = admitted+float64(q[size].sum[Accepted]), offered+q[size].offers
	}
	if offered < 1 {
		return
	}
	for _, size := range []Size{Large, Largest} {
		o.Sizes[size].Share = max(o.Sizes[size].Share, largeShare*admitted/offered)
	}
}
