package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Figures of the disturbance model. A long-running task's tail latency grows as
// 1/(1-u), where u is the utilisation that its own load and the best-effort
// runs beside it add up to. Each best-effort image adds to u in proportion to
// its share of the worker's processors; many pairs of images add nothing.
const (
	// usualUtilisation is expected of an image's own load at first.
	usualUtilisation = 0.5
	// ownVariance is the variance of that expectation.
	ownVariance = 0.02
	// usualDisturbance is the expected disturbance of a pair of images that
	// were not seen together: the utilisation that a best-effort run adds for
	// each worker's worth of processors.
	usualDisturbance = 0.4
	// pairVariance is the variance of that expectation: about one pair in four
	// adds 1.6, the others nothing.
	pairVariance = 0.5
	// uncertainVariance is the variance above which a pair counts as unknown:
	// about seven observations of a tenth of a worker go below it.
	uncertainVariance = 0.25
	// insignificant is a fitted disturbance that counts as none: it is within
	// the error of the fit, and a disturbing pair adds several times as much.
	insignificant = 0.3
	// noiseVariance is the variance of an observed utilisation around the
	// expected one; the load of a task swings by 0.2 within seconds.
	noiseVariance = 0.03
	// leastVariance is the variance below which no coefficient gets, so that
	// changed behaviour is noticed.
	leastVariance = 0.002
	// optimism is the number of standard deviations by which an estimate is
	// taken to be lower: a pair that is wrongly believed to disturb would
	// never be tried again otherwise.
	optimism = 0.5
	// maxUtilisation bounds what is read from a very long tail.
	maxUtilisation = 0.95
	// usualTargetRatio is the expected ratio of a latency target to the tail
	// without load, before lower tails were seen.
	usualTargetRatio = 5.0
)

// imageID numbers the images that a machine has seen.
type imageID int

// image is what is known of the tasks of one image with a latency target. It
// is a linear model of the utilisation, fitted by recursive least squares.
type image struct {
	// leastTail is the tail without load.
	leastTail time.Duration
	// position is the index of a best-effort image's coefficient; index 0 is
	// the utilisation by the image's own load.
	position     map[imageID]int
	coefficient  []float64
	covariance   [][]float64
	observations int
	// effects are what placing reads of the model, by best-effort image. Images
	// beyond the slice, and those that are not known, have unknownEffect.
	effects []effect
}

// effect is what a best-effort image does to a long-running one.
type effect struct {
	// known is false if the two were not seen together.
	known bool
	// disturbance is the utilisation that is added for each worker's worth of
	// processors.
	disturbance float64
	// uncertain: too little is known to place several such runs on a worker.
	uncertain bool
}

// unknownEffect is expected of images that were not seen together.
var unknownEffect = effect{
	disturbance: significant(usualDisturbance - optimism*math.Sqrt(pairVariance)), uncertain: true,
}

// images learns from lagging, rough figures which best-effort images disturb
// which long-running ones.
type images struct {
	ids   map[string]imageID
	known []*image
	// updates counts the observations of all images.
	updates int
}

func newImages() images { return images{ids: make(map[string]imageID)} }

// id returns the number of an image.
func (x *images) id(name string) imageID {
	if id, ok := x.ids[name]; ok {
		return id
	}
	id := imageID(len(x.known))
	x.ids[name] = id
	x.known = append(x.known, &image{
		position:    make(map[imageID]int),
		coefficient: []float64{usualUtilisation},
		covariance:  [][]float64{{ownVariance}},
	})
	return id
}

// utilisation returns the expected utilisation by the image's own load.
func (i *image) utilisation() float64 { return i.coefficient[0] }

// effect returns what a best-effort image does to a long-running one.
func (x *images) effect(serving, filling imageID) effect {
	known := x.known[serving].effects
	if int(filling) >= len(known) || !known[filling].known {
		return unknownEffect
	}
	return known[filling]
}

// disturbance returns the utilisation that a best-effort image adds to a
// long-running one for each worker's worth of processors.
func (x *images) disturbance(serving, filling imageID) float64 {
	return x.effect(serving, filling).disturbance
}

// uncertain tells that too little is known of a pair of images to place several
// such runs on a worker.
func (x *images) uncertain(serving, filling imageID) bool {
	return x.effect(serving, filling).uncertain
}

// derive brings effects up to date with the model.
func (i *image) derive() {
	for filling, at := range i.position {
		for int(filling) >= len(i.effects) {
			i.effects = append(i.effects, effect{})
		}
		variance := i.covariance[at][at]
		i.effects[filling] = effect{
			known:       true,
			disturbance: significant(i.coefficient[at] - optimism*math.Sqrt(variance)),
			uncertain:   variance > uncertainVariance,
		}
	}
}

// significant returns 0 for what is within the error of the fit.
func significant(disturbance float64) float64 {
	if disturbance < insignificant {
		return 0
	}
	return disturbance
}

// extend adds a best-effort image to the model.
func (i *image) extend(filling imageID) int {
	if at, ok := i.position[filling]; ok {
		return at
	}
	at := len(i.coefficient)
	i.position[filling] = at
	i.coefficient = append(i.coefficient, usualDisturbance)
	for k := range i.covariance {
		i.covariance[k] = append(i.covariance[k], 0)
	}
	i.covariance = append(i.covariance, make([]float64, at+1))
	i.covariance[at][at] = pairVariance
	return at
}

// read reads the utilisation of a long-running run from its tail.
func (x *images) read(id imageID, tail, target time.Duration) float64 {
	s := x.known[id]
	if s.leastTail == 0 {
		s.leastTail = time.Duration(float64(target) / usualTargetRatio)
	}
	s.leastTail = min(s.leastTail, tail)
	return min(maxUtilisation, 1-float64(s.leastTail)/float64(tail))
}

// limit returns the utilisation at which the tail reaches the target.
func (x *images) limit(id imageID, target time.Duration) float64 {
	least := x.known[id].leastTail
	if least == 0 {
		return 1 - 1/usualTargetRatio
	}
	return 1 - float64(least)/float64(target)
}

// observe takes the utilisation of a run beside best-effort images that use
// shares of its worker. It is one step of recursive least squares.
func (x *images) observe(id imageID, u float64, shares map[imageID]float64) {
	s := x.known[id]
	for _, filling := range slices.Sorted(maps.Keys(shares)) {
		s.extend(filling)
	}
	features := make([]float64, len(s.coefficient))
	features[0] = 1
	for filling, share := range shares {
		features[s.position[filling]] = share
	}
	s.update(features, u)
	s.derive()
	x.updates++
}

func (i *image) update(features []float64, value float64) {
	n := len(features)
	gain := make([]float64, n)
	expected, spread := 0.0, noiseVariance
	for a := range n {
		for b := range n {
			gain[a] += i.covariance[a][b] * features[b]
		}
		expected += i.coefficient[a] * features[a]
	}
	for a := range n {
		spread += features[a] * gain[a]
	}
	for a := range n {
		i.coefficient[a] += gain[a] / spread * (value - expected)
	}
	for a := range n {
		for b := range n {
			i.covariance[a][b] -= gain[a] * gain[b] / spread
		}
		i.covariance[a][a] = max(i.covariance[a][a], leastVariance)
	}
	i.observations++
}
