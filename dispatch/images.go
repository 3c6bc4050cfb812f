package dispatch

import (
	"time"
)

// Figures of the disturbance model. A long-running task's tail latency grows as
// 1/(1-u), where u is the utilisation that its own load and the best-effort
// runs beside it add up to.
const (
	// usualUtilisation is expected of an image before anything is known.
	usualUtilisation = 0.5
	// usualWeight is how many observations that expectation counts for.
	usualWeight = 8.0
	// unknownDisturbance is the expected disturbance of a pair of images that
	// were not seen together: the utilisation that a best-effort run adds for
	// each worker's worth of processors.
	unknownDisturbance = 0.4
	// unknownWeight is what that expectation counts for, in squared shares of
	// a worker; one observation of a tenth of a worker counts 0.01.
	unknownWeight = 0.015
	// maxUtilisation bounds what is read from a very long tail.
	maxUtilisation = 0.95
	// usualTargetRatio is the expected ratio of a latency target to the tail
	// without load, before lower tails were seen.
	usualTargetRatio = 5.0
	// forget is the share of old evidence kept with each new observation, so
	// that changed behaviour is noticed.
	forget = 0.985
)

// pair is a long-running image and a best-effort image beside it.
type pair struct{ serving, filling string }

// evidence is a weighted sum of observations of one pair.
type evidence struct{ product, square float64 }

// serving is what is known of an image with a latency target.
type serving struct {
	// leastTail is the tail without load.
	leastTail time.Duration
	// utilisation is the mean without disturbance over count observations.
	utilisation float64
	count       float64
}

// images learns from lagging, rough figures how strongly the best-effort runs
// of one image disturb the long-running tasks of another.
type images struct {
	serving map[string]*serving
	pairs   map[pair]*evidence
}

func newImages() images {
	return images{serving: make(map[string]*serving), pairs: make(map[pair]*evidence)}
}

func (x *images) of(image string, target time.Duration) *serving {
	s := x.serving[image]
	if s == nil {
		s = &serving{
			leastTail:   time.Duration(float64(target) / usualTargetRatio),
			utilisation: usualUtilisation, count: usualWeight,
		}
		x.serving[image] = s
	}
	return s
}

// disturbance returns the utilisation that a best-effort image adds to a
// long-running one for each worker's worth of processors.
func (x *images) disturbance(servingImage, fillingImage string) float64 {
	e := x.pairs[pair{servingImage, fillingImage}]
	if e == nil {
		return unknownDisturbance
	}
	return max(0, (unknownDisturbance*unknownWeight+e.product)/(unknownWeight+e.square))
}

// utilisation reads the utilisation of a long-running run from its tail.
func (x *images) utilisation(image string, tail, target time.Duration) float64 {
	s := x.of(image, target)
	if tail > 0 {
		s.leastTail = min(s.leastTail, tail)
	}
	if tail <= s.leastTail {
		return 0
	}
	return min(maxUtilisation, 1-float64(s.leastTail)/float64(tail))
}

// limit returns the utilisation at which the tail reaches the target.
func (x *images) limit(image string, target time.Duration) float64 {
	return 1 - float64(x.of(image, target).leastTail)/float64(target)
}

// observe takes the utilisation of a run and the shares of the worker that the
// best-effort images beside it use.
func (x *images) observe(image string, target time.Duration, u, base float64, shares map[string]float64) {
	s := x.of(image, target)
	if len(shares) == 0 {
		s.count = min(s.count+1, 200)
		s.utilisation += (u - s.utilisation) / s.count
		return
	}
	total := 0.0
	for filling, share := range shares {
		total += share * x.disturbance(image, filling)
	}
	for filling, share := range shares {
		e := x.pairs[pair{image, filling}]
		if e == nil {
			e = &evidence{}
			x.pairs[pair{image, filling}] = e
		}
		others := total - share*x.disturbance(image, filling)
		e.product = forget*e.product + share*(u-base-others)
		e.square = forget*e.square + share*share
	}
}
