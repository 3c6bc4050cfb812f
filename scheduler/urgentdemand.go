package scheduler

import (
	"math"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

const (
	// reserveHalfLife is the time in which the reserve halves without urgent work.
	reserveHalfLife = 12 * time.Second
	// maxReserveShare bounds the reserve as a share of the cell's processors.
	maxReserveShare = 0.08
	// maxReserveWorkers bounds the workers on which room is kept.
	maxReserveWorkers = 6
)

// urgentDemand is the need of the urgent tasks that arrived lately.
type urgentDemand struct {
	at time.Duration
	// need is the largest of them in each dimension, tasks their decayed number.
	need  hostapi.Resources
	tasks float64
}

// observeArrival takes an urgent task that the cell sees for the first time.
func (d *urgentDemand) observeArrival(now time.Duration, need hostapi.Resources) {
	d.decay(now)
	d.need = maxResources(d.need, need)
	d.tasks++
}

// decay lets the demand fade; when it is gone, its largest need is forgotten.
func (d *urgentDemand) decay(now time.Duration) {
	d.tasks *= math.Exp2(-float64(now-d.at) / float64(reserveHalfLife))
	d.at = now
	if d.tasks < 0.1 {
		d.need = hostapi.Resources{}
	}
}

// reserveForUrgent keeps room for urgent work on the workers with the most free
// processors. Ordinary tasks of this round can't take it.
func (r *Round) reserveForUrgent() {
	demand := &r.policy.urgentDemand
	demand.decay(r.Now)
	if demand.need.MilliCPU <= 0 || r.Snapshot.size == 0 {
		return
	}
	most := maxReserveShare * float64(r.Snapshot.capacity.MilliCPU) / float64(demand.need.MilliCPU)
	parts := int(math.Ceil(min(demand.tasks, most, maxReserveWorkers)))
	for range parts {
		at := r.root.nextFitting(r.Snapshot.size, 0, hostapi.Resources{MilliCPU: r.root.free.MilliCPU})
		c := r.candidate(at)
		r.root = r.root.set(r.Snapshot.size, at, c.Worker, c.Free.Sub(minResources(demand.need, c.Free)))
	}
}
