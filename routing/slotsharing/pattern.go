package main

import "time"

const (
	vms            = 3
	slotsPerWorker = 8
)

// pattern is one load on a data centre.
type pattern struct {
	name    string
	workers int
	// load is the mean demand as a share of all slots.
	load float64
	// weights are the shares of the requests that arrive at each entry VM.
	weights [vms]float64
	// turn moves the weights on to the next VM after each such time, if not 0.
	turn time.Duration
	// burst is the factor by which every second second exceeds the mean.
	burst float64
	// slowWorker makes worker 0 take ten times as long.
	slowWorker bool
	service    time.Duration
}

var (
	even    = [vms]float64{1. / 3, 1. / 3, 1. / 3}
	skewed  = [vms]float64{0.8, 0.1, 0.1}
	quick   = 50 * time.Millisecond
	lengthy = 500 * time.Millisecond
)

var patterns = []pattern{
	{name: "even", workers: 22, load: 0.6, weights: even, service: quick},
	{name: "even, high", workers: 22, load: 0.9, weights: even, service: quick},
	{name: "skewed", workers: 22, load: 0.7, weights: skewed, service: quick},
	{name: "skew moves", workers: 22, load: 0.7, weights: skewed, turn: 2 * time.Second, service: quick},
	{name: "bursts", workers: 22, load: 0.6, weights: even, burst: 1.6, service: quick},
	{name: "slow worker", workers: 22, load: 0.6, weights: even, slowWorker: true, service: quick},
	{name: "long, skew moves", workers: 22, load: 0.7, weights: skewed, turn: 2 * time.Second, service: lengthy},
	{name: "small, even", workers: 3, load: 0.6, weights: even, service: quick},
	{name: "small, skew moves", workers: 3, load: 0.6, weights: skewed, turn: 2 * time.Second, service: quick},
	{name: "one worker, even", workers: 1, load: 0.5, weights: even, service: quick},
	{name: "one worker, skewed", workers: 1, load: 0.5, weights: skewed, service: quick},
}

// rate returns the arrivals per second at a time.
func (p *pattern) rate(now time.Duration) float64 {
	mean := p.load * float64(p.workers*slotsPerWorker) / p.service.Seconds()
	if p.burst == 0 {
		return mean
	}
	if int(now/time.Second)%2 == 0 {
		return mean * p.burst
	}
	return mean * (2 - p.burst)
}

// entry returns the VM at which a request arrives, for a random number in [0, 1).
func (p *pattern) entry(now time.Duration, random float64) int {
	shift := 0
	if p.turn > 0 {
		shift = int(now / p.turn)
	}
	for vm, weight := range p.weights {
		if random < weight {
			return (vm + shift) % vms
		}
		random -= weight
	}
	return (vms - 1 + shift) % vms
}
