package main

import "time"

const (
	vms            = 3
	slotsPerWorker = 8
)

// loadPattern is a synthetic load on a data centre.
type loadPattern struct {
	name    string
	workers int
	// load is the mean demand as a fraction of all slots.
	load float64
	// weights are the fractions of the requests that arrive at each entry VM.
	weights [vms]float64
	// rotateEvery is the interval after which the weights move on to the next
	// VM; 0 means never.
	rotateEvery time.Duration
	// burst is the factor by which the load exceeds the mean in every other
	// second; 0 means constant load.
	burst float64
	// slowWorker makes service times at worker 0 ten times as long.
	slowWorker  bool
	serviceTime time.Duration
}

var (
	evenWeights   = [vms]float64{1. / 3, 1. / 3, 1. / 3}
	skewedWeights = [vms]float64{0.8, 0.1, 0.1}
	shortService  = 50 * time.Millisecond
	longService   = 500 * time.Millisecond
)

var loadPatterns = []loadPattern{
	{name: "even", workers: 22, load: 0.6, weights: evenWeights, serviceTime: shortService},
	{name: "even, high", workers: 22, load: 0.9, weights: evenWeights, serviceTime: shortService},
	{name: "skewed", workers: 22, load: 0.7, weights: skewedWeights, serviceTime: shortService},
	{name: "skew moves", workers: 22, load: 0.7, weights: skewedWeights, rotateEvery: 2 * time.Second, serviceTime: shortService},
	{name: "bursts", workers: 22, load: 0.6, weights: evenWeights, burst: 1.6, serviceTime: shortService},
	{name: "slow worker", workers: 22, load: 0.6, weights: evenWeights, slowWorker: true, serviceTime: shortService},
	{name: "long, skew moves", workers: 22, load: 0.7, weights: skewedWeights, rotateEvery: 2 * time.Second, serviceTime: longService},
	{name: "small, even", workers: 3, load: 0.6, weights: evenWeights, serviceTime: shortService},
	{name: "small, skew moves", workers: 3, load: 0.6, weights: skewedWeights, rotateEvery: 2 * time.Second, serviceTime: shortService},
	{name: "one worker, even", workers: 1, load: 0.5, weights: evenWeights, serviceTime: shortService},
	{name: "one worker, skewed", workers: 1, load: 0.5, weights: skewedWeights, serviceTime: shortService},
}

// arrivalRate returns the arrivals per second at a time.
func (p *loadPattern) arrivalRate(now time.Duration) float64 {
	mean := p.load * float64(p.workers*slotsPerWorker) / p.serviceTime.Seconds()
	if p.burst == 0 {
		return mean
	}
	if int(now/time.Second)%2 == 0 {
		return mean * p.burst
	}
	return mean * (2 - p.burst)
}

// entryVM returns the VM at which a request arrives, for a random number in [0, 1).
func (p *loadPattern) entryVM(now time.Duration, random float64) int {
	shift := 0
	if p.rotateEvery > 0 {
		shift = int(now / p.rotateEvery)
	}
	for vm, weight := range p.weights {
		if random < weight {
			return (vm + shift) % vms
		}
		random -= weight
	}
	return (vms - 1 + shift) % vms
}
