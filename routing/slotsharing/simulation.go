package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hop is the one-way delay between two entry VMs of a data centre.
	hop = 500 * time.Microsecond
	// period is how often summaries are published and credits are leased.
	period = 250 * time.Millisecond
	// spread is the sigma of the log-normal service times.
	spread = 1.0
)

// sharing is one way to share slots.
type sharing interface {
	// start finds a slot for a request that arrives at a VM and calls run or
	// reject of the simulation, now or later.
	start(r *request)
	// renew is called once in every period.
	renew()
}

// request is one request with its service time at a worker of normal speed.
type request struct {
	vm      int
	arrived time.Duration
	service time.Duration
	sends   int
}

// simulation runs one pattern with one way to share slots.
type simulation struct {
	pattern *pattern
	now     time.Duration
	end     time.Duration
	queue   queue
	order   uint64
	// arrivals drives the load and is the same for both ways; choices drives
	// the decisions.
	arrivals, choices *rand.Rand
	sharing           sharing

	busy      []int
	mostBusy  int
	completed int
	rejected  int
	forwarded int
	latency   *hdrhistogram.Histogram
}

func newSimulation(p *pattern, seed uint64, length time.Duration) *simulation {
	return &simulation{
		pattern:  p,
		end:      length,
		arrivals: rand.New(rand.NewPCG(seed, 1)),
		choices:  rand.New(rand.NewPCG(seed, 2)),
		busy:     make([]int, p.workers),
		latency:  hdrhistogram.New(1, time.Minute.Microseconds(), 3),
	}
}

// simulate runs to the end of the last request.
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
	s.sharing.renew()
	if s.now < s.end {
		s.after(period, s.renew)
	}
}

func (s *simulation) arrive() {
	if s.now >= s.end {
		return
	}
	// A log-normal variable with mean m has mu = ln m - sigma^2/2.
	factor := math.Exp(spread*s.arrivals.NormFloat64() - spread*spread/2)
	r := &request{
		vm:      s.pattern.entry(s.now, s.arrivals.Float64()),
		arrived: s.now,
		service: time.Duration(float64(s.pattern.service) * factor),
	}
	gap := s.arrivals.ExpFloat64() / s.pattern.rate(s.now)
	s.after(time.Duration(gap*float64(time.Second)), s.arrive)
	s.sharing.start(r)
}

// run occupies a slot of a worker and calls free when the response is complete.
// The response then takes the way back to the caller's entry VM.
func (s *simulation) run(r *request, worker int, back time.Duration, free func(took time.Duration)) {
	s.busy[worker]++
	s.mostBusy = max(s.mostBusy, s.busy[worker])
	took := r.service
	if s.pattern.slowWorker && worker == 0 {
		took *= 10
	}
	s.after(took, func() {
		s.busy[worker]--
		free(took)
		s.completed++
		// Values beyond a minute do not occur with these service times.
		_ = s.latency.RecordValue((s.now + back - r.arrived).Microseconds())
	})
}

func (s *simulation) reject() {
	s.rejected++
}
