package scheduler

import (
	"math"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

const (
	// reserveHalfLife is the time in which the reserve halves without new urgent
	// work.
	reserveHalfLife = 12 * time.Second
	// maxReserveShare limits the reserve to a share of the cell's processors.
	maxReserveShare = 0.08
	// maxReserveWorkers limits the number of workers with a reserve.
	maxReserveWorkers = 6
)

// urgentDemand estimates the demand of urgent tasks from recent arrivals.
type urgentDemand struct {
	// at is the time of the last decay.
	at time.Duration
	// need is the largest need of these tasks in each dimension, and tasks their
	// number, which decays exponentially.
	need  hostapi.Resources
	tasks float64
}

// observeArrival adds an urgent task that is new in the cell.
func (d *urgentDemand) observeArrival(now time.Duration, need hostapi.Resources) {
	d.decay(now)
	d.need = maxResources(d.need, need)
	d.tasks++
}

// decay lowers the number of tasks with time, and resets the need when the number
// is close to 0.
func (d *urgentDemand) decay(now time.Duration) {
	d.tasks *= math.Exp2(-float64(now-d.at) / float64(reserveHalfLife))
	d.at = now
	if d.tasks < 0.1 {
		d.need = hostapi.Resources{}
	}
}

// reserveForUrgent reserves capacity for urgent work on the workers with the most
// free processors. Ordinary tasks of this round can't use it.
func (r *Round) reserveForUrgent() {
	demand := &r.policy.urgentDemand
	demand.decay(r.Now)
	if demand.need.MilliCPU <= 0 || r.Snapshot.size == 0 {
		return
	}
	affordable := maxReserveShare * float64(r.Snapshot.capacity.MilliCPU) / float64(demand.need.MilliCPU)
	workers := int(math.Ceil(min(demand.tasks, affordable, maxReserveWorkers)))
	for range workers {
		at := r.root.nextFitting(r.Snapshot.size, 0, hostapi.Resources{MilliCPU: r.root.free.MilliCPU})
		c := r.candidate(at)
		r.root = r.root.set(r.Snapshot.size, at, c.Worker, c.Free.Sub(minResources(demand.need, c.Free)))
	}
}
