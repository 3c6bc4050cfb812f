package dispatch_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// arrival is a submission of a generated schedule, with what became of it.
type arrival struct {
	at         time.Duration
	submission *workload.Submission
	work       float64
	// objective is that by the run times, not by the estimates.
	objective time.Duration
	// took is the time from the arrival to the end, or 0 before the end.
	took time.Duration
}

// servedWithin reports whether the submission ended within a multiple of its objective.
func (a *arrival) servedWithin(multiple time.Duration) bool {
	return a.took > 0 && a.took <= multiple*a.objective
}

// sizeLoad is a load of two queues of batches beside long-running tasks: urgent sign-ins,
// whose tasks need 2 to 31 cores, and best-effort meal claims.
type sizeLoad struct {
	seed    uint64
	workers int
	// longRunning is the fraction of all CPU that long-running tasks request.
	longRunning float64
	// times is the multiple of the arrival rates of the users' deployment.
	times float64
	// estimateSpread is the standard deviation of the logarithm of an estimate over the run time.
	estimateSpread float64
	// duration is the time for which batches arrive.
	duration time.Duration
}

// Arrivals of the users' deployment, a second and worker.
const (
	sizeSignInRate    = 18.8 / 490
	sizeMealClaimRate = 26.1 / 490
)

// play plays the load and returns the arrivals of each queue, the largest first, and the
// number of reports of favoured queues.
func (p sizeLoad) play() (queues map[string][]*arrival, favoured int) {
	l := newLoadSim(p.seed, p.workers)
	l.estimateSpread = p.estimateSpread
	l.run(2 * time.Second)
	for requested := 0.0; requested < p.longRunning*float64(l.totalCPU()); {
		s := l.officeSync()
		requested += float64(s.Steps[0].Tasks) * float64(s.Steps[0].Request.MilliCPU)
		l.submit(s)
		l.run(20 * time.Millisecond)
	}
	l.run(5 * time.Second)
	rate := p.times * float64(p.workers)
	arrivals := slices.Concat(l.drawArrivals(rate*sizeSignInRate, p.duration, l.signIn), l.drawArrivals(rate*sizeMealClaimRate, p.duration, l.mealClaim))
	byID := make(map[string]*arrival)
	for _, a := range arrivals {
		byID[a.submission.ID] = a
		l.after(a.at, func() { l.submit(a.submission) })
	}
	l.ended = func(id string, took time.Duration) { byID[id].took = took }
	l.run(p.duration + 30*time.Second)
	queues = make(map[string][]*arrival)
	for _, a := range arrivals {
		queues[a.submission.Queue] = append(queues[a.submission.Queue], a)
	}
	for _, q := range queues {
		slices.SortStableFunc(q, func(a, b *arrival) int { return cmp.Compare(b.work, a.work) })
	}
	return queues, l.decisions[dispatch.LargestFavoured]
}

// drawArrivals draws a Poisson process of submissions with perSecond arrivals a second.
func (l *loadSim) drawArrivals(perSecond float64, duration time.Duration, next func() *workload.Submission) []*arrival {
	var out []*arrival
	for at := time.Duration(0); ; {
		at += time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second))
		if at > duration {
			return out
		}
		a := &arrival{at: at, submission: next()}
		exact := *a.submission
		exact.Steps = slices.Clone(exact.Steps)
		for i := range exact.Steps {
			exact.Steps[i].Estimate = l.runTime(&exact, &exact.Steps[i])
			a.work += float64(exact.Steps[i].Tasks) * exact.Steps[i].Work()
		}
		a.objective = exact.Objective()
		out = append(out, a)
	}
}

// sizeShares are the fractions of arrivals that were served within a multiple of their
// objective.
type sizeShares struct{ all, largest, fifth, rest float64 }

func sharesWithin(arrivals []*arrival, multiple time.Duration) sizeShares {
	tenth := len(arrivals) / 10
	share := func(part []*arrival) float64 {
		n := 0
		for _, a := range part {
			if a.servedWithin(multiple) {
				n++
			}
		}
		return float64(n) / math.Max(1, float64(len(part)))
	}
	return sizeShares{all: share(arrivals), largest: share(arrivals[:tenth]), fifth: share(arrivals[tenth : 3*tenth]), rest: share(arrivals[3*tenth:])}
}

func (s sizeShares) String() string {
	return fmt.Sprintf("%.2f of all, %.2f of the largest tenth, %.2f of the fifth below, %.2f of the rest", s.all, s.largest, s.fifth, s.rest)
}

func (s sizeShares) plus(other sizeShares) sizeShares {
	return sizeShares{all: s.all + other.all, largest: s.largest + other.largest, fifth: s.fifth + other.fifth, rest: s.rest + other.rest}
}
