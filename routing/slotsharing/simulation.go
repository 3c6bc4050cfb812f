package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hopDelay is the one-way delay between two entry VMs of a data centre.
	hopDelay = 500 * time.Microsecond
	// renewInterval is the interval at which summaries are published and credits
	// are leased.
	renewInterval = 250 * time.Millisecond
	// serviceTimeSigma is the sigma of the log-normal service times.
	serviceTimeSigma = 1.0
)

// sharingStrategy decides which worker's slot a request uses.
type sharingStrategy interface {
	// start finds a slot for a request that arrives at a VM and calls run or
	// reject of the simulation, now or later.
	start(r *request)
	// renew is called once in every renewInterval.
	renew()
}

// request is a request with its service time at a worker of normal speed.
type request struct {
	vm          int
	arrived     time.Duration
	serviceTime time.Duration
	sends       int
}

// simulation runs one load pattern with one strategy.
type simulation struct {
	pattern *loadPattern
	now     time.Duration
	end     time.Duration
	queue   eventQueue
	order   uint64
	// arrivals is the random source of the load and is the same for both
	// strategies; choices is that of the decisions.
	arrivals, choices *rand.Rand
	strategy          sharingStrategy

	busy      []int
	maxBusy   int
	completed int
	rejected  int
	forwarded int
	latency   *hdrhistogram.Histogram
}

func newSimulation(p *loadPattern, seed uint64, duration time.Duration) *simulation {
	return &simulation{
		pattern:  p,
		end:      duration,
		arrivals: rand.New(rand.NewPCG(seed, 1)),
		choices:  rand.New(rand.NewPCG(seed, 2)),
		busy:     make([]int, p.workers),
		latency:  hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
}

// simulate runs until the last request has ended.
func (s *simulation) simulate() {
	s.after(0, s.renew)
	s.after(0, s.arrive)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

func (s *simulation) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, event{at: s.now + d, order: s.order, run: run})
}

func (s *simulation) renew() {
	s.strategy.renew()
	if s.now < s.end {
		s.after(renewInterval, s.renew)
	}
}

func (s *simulation) arrive() {
	if s.now >= s.end {
		return
	}
	// A log-normal variable with mean m has mu = ln m - sigma^2/2.
	factor := math.Exp(serviceTimeSigma*s.arrivals.NormFloat64() - serviceTimeSigma*serviceTimeSigma/2)
	r := &request{
		vm:          s.pattern.entryVM(s.now, s.arrivals.Float64()),
		arrived:     s.now,
		serviceTime: time.Duration(float64(s.pattern.serviceTime) * factor),
	}
	gap := s.arrivals.ExpFloat64() / s.pattern.arrivalRate(s.now)
	s.after(time.Duration(gap*float64(time.Second)), s.arrive)
	s.strategy.start(r)
}

// run occupies a slot of a worker and calls free when the response is complete.
// The response reaches the caller's entry VM after the return delay.
func (s *simulation) run(r *request, worker int, returnDelay time.Duration, free func(took time.Duration)) {
	s.busy[worker]++
	s.maxBusy = max(s.maxBusy, s.busy[worker])
	took := r.serviceTime
	if s.pattern.slowWorker && worker == 0 {
		took *= 10
	}
	s.after(took, func() {
		s.busy[worker]--
		free(took)
		s.completed++
		// Values beyond a minute do not occur with these service times.
		_ = s.latency.RecordValue((s.now + returnDelay - r.arrived).Microseconds())
	})
}

func (s *simulation) reject() {
	s.rejected++
}
