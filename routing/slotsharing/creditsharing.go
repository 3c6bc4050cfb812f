package main

import (
	"math"
	"slices"
	"time"
)

// demandWeight is the weight of the last interval in the moving average of a
// VM's demand.
const demandWeight = 0.5

// creditSharing shares slots by credits that are leased to the entry VMs.
type creditSharing struct {
	sim *simulation
	// leased and used count the credits of each VM at each worker.
	leased, used [vms][]int
	// arrivals counts the requests of the current interval; demand is its moving
	// average.
	arrivals, demand [vms]float64
	// latency is each VM's moving average per worker, in seconds.
	latency [vms][]float64
}

func newCreditSharing(s *simulation) *creditSharing {
	c := &creditSharing{sim: s}
	for vm := range vms {
		c.leased[vm] = make([]int, s.pattern.workers)
		c.used[vm] = make([]int, s.pattern.workers)
		c.latency[vm] = make([]float64, s.pattern.workers)
	}
	return c
}

// renew redistributes the credits of each worker in proportion to the demand. A
// credit in use stays with its VM until the request has ended.
func (c *creditSharing) renew() {
	for vm := range vms {
		c.demand[vm] += demandWeight * (c.arrivals[vm] - c.demand[vm])
		c.arrivals[vm] = 0
	}
	for w := range c.sim.pattern.workers {
		c.leaseCredits(w)
	}
}

func (c *creditSharing) leaseCredits(w int) {
	targets := c.targets(w)
	unleased := slotsPerWorker
	for vm := range vms {
		c.leased[vm][w] = max(c.used[vm][w], min(c.leased[vm][w], targets[vm]))
		unleased -= c.leased[vm][w]
	}
	for vm := range vms {
		more := min(unleased, max(0, targets[vm]-c.leased[vm][w]))
		c.leased[vm][w] += more
		unleased -= more
	}
}

// targets divides a worker's slots among the VMs in proportion to demand, by
// the largest remainder method. The remainders are offset by the worker's
// number, so that rounding errors even out over the workers.
func (c *creditSharing) targets(w int) [vms]int {
	total := 0.0
	for _, d := range c.demand {
		total += d + 1 // a VM without demand may receive requests at any time
	}
	var targets [vms]int
	var remainders [vms]float64
	left := slotsPerWorker
	for vm, d := range c.demand {
		share := slotsPerWorker * (d + 1) / total
		targets[vm] = int(share)
		remainders[vm] = math.Mod(share+float64((vm+w)%vms)/vms, 1)
		left -= targets[vm]
	}
	order := []int{0, 1, 2}
	slices.SortStableFunc(order, func(a, b int) int {
		if remainders[a] > remainders[b] {
			return -1
		}
		return 1
	})
	for _, vm := range order[:left] {
		targets[vm]++
	}
	return targets
}

func (c *creditSharing) start(r *request) {
	c.arrivals[r.vm]++
	w := c.chooseWorker(r.vm)
	if w < 0 {
		c.sim.reject()
		return
	}
	c.used[r.vm][w]++
	c.sim.run(r, w, 0, func(took time.Duration) {
		c.used[r.vm][w]--
		c.latency[r.vm][w] += 0.2 * (took.Seconds() - c.latency[r.vm][w])
	})
}

// chooseWorker returns the cheaper of two random workers if it has a free
// credit, otherwise the next worker that has one, or -1.
func (c *creditSharing) chooseWorker(vm int) int {
	n := c.sim.pattern.workers
	first, second := c.sim.choices.IntN(n), c.sim.choices.IntN(n)
	if c.cost(vm, second) < c.cost(vm, first) {
		first = second
	}
	for k := range n {
		w := (first + k) % n
		if c.used[vm][w] < c.leased[vm][w] {
			return w
		}
	}
	return -1
}

func (c *creditSharing) cost(vm, w int) float64 {
	if c.used[vm][w] >= c.leased[vm][w] {
		return math.Inf(1)
	}
	return float64(c.used[vm][w]+1) * (0.005 + c.latency[vm][w])
}
