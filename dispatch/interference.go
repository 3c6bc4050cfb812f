package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Parameters of the interference model. The tail latency of a long-running task
// grows as 1/(1-u), where u is the utilisation caused by its own load plus the
// interference of the best-effort runs on the same worker. Each best-effort image
// adds to u in proportion to its share of the worker's CPU; many pairs of images do
// not interfere.
const (
	// initialUtilisation is the initial estimate of the utilisation by an image's
	// own load.
	initialUtilisation = 0.5
	// initialUtilisationVariance is the variance of that estimate.
	initialUtilisationVariance = 0.02
	// initialInterference is the initial estimate of the interference of a pair of
	// images: the utilisation that a best-effort run would add if it used all of
	// the worker's CPU.
	initialInterference = 0.4
	// initialInterferenceVariance is the variance of that estimate: about one pair
	// in four adds 1.6, the others nothing.
	initialInterferenceVariance = 0.5
	// uncertainVariance is the variance above which the estimate of a pair counts
	// as uncertain. About seven observations of a best-effort run with a tenth of
	// the worker's CPU bring it below.
	uncertainVariance = 0.25
	// minInterference is the interference below which a pair counts as not
	// interfering: such values are within the error of the fit, and a pair that
	// does interfere adds several times as much.
	minInterference = 0.3
	// noiseVariance is the variance of the observed utilisation around the expected
	// one; the load of a task changes by 0.2 within seconds.
	noiseVariance = 0.03
	// minVariance is the lower limit of the variance of a coefficient, so that the
	// model keeps adapting to changed behaviour.
	minVariance = 0.002
	// optimismStdDevs is the number of standard deviations that is subtracted from
	// an estimated interference. Without it, a pair whose interference is
	// overestimated would never be placed together again.
	optimismStdDevs = 0.5
	// maxUtilisation limits the utilisation derived from a very high tail latency.
	maxUtilisation = 0.95
	// initialTargetRatio is the initial estimate of the ratio of a latency target to
	// the tail latency without load.
	initialTargetRatio = 5.0
)

// imageID is the number of an image within one machine.
type imageID int

// imageModel is a linear model of the utilisation of an image's tasks with a latency
// target. It is fitted by recursive least squares.
type imageModel struct {
	// minTailLatency is the lowest tail latency observed, which is taken as the tail
	// latency without load.
	minTailLatency time.Duration
	// coefficientIndex maps a best-effort image to the index of its coefficient.
	// Index 0 is the utilisation by the image's own load.
	coefficientIndex map[imageID]int
	coefficients     []float64
	covariance       [][]float64
	observations     int
	// pairs has the estimates that placement uses, by best-effort image. unknownPair
	// applies to images beyond its end and to those not observed.
	pairs []pairInterference
}

// pairInterference is the estimated interference of a best-effort image with a
// long-running one.
type pairInterference struct {
	// observed is false if the two images have not run on a worker together.
	observed bool
	// interference is the utilisation that the best-effort image would add if it
	// used all of the worker's CPU.
	interference float64
	// uncertain: there are too few observations to place the best-effort image
	// beside other best-effort runs.
	uncertain bool
}

// unknownPair is the estimate for images that have not been observed together.
var unknownPair = pairInterference{
	interference: zeroIfInsignificant(initialInterference - optimismStdDevs*math.Sqrt(initialInterferenceVariance)), uncertain: true,
}

// interferenceModel estimates, from delayed and noisy measurements, which best-effort
// images interfere with which long-running ones.
type interferenceModel struct {
	ids map[string]imageID
	// models has the models of all images, by imageID.
	models []*imageModel
	// observations is the number of observations of all images.
	observations int
}

func newInterferenceModel() interferenceModel {
	return interferenceModel{ids: make(map[string]imageID)}
}

// idOf returns the id of an image. It adds images that are new.
func (x *interferenceModel) idOf(name string) imageID {
	if id, ok := x.ids[name]; ok {
		return id
	}
	id := imageID(len(x.models))
	x.ids[name] = id
	x.models = append(x.models, &imageModel{
		coefficientIndex: make(map[imageID]int),
		coefficients:     []float64{initialUtilisation},
		covariance:       [][]float64{{initialUtilisationVariance}},
	})
	return id
}

// ownUtilisation returns the expected utilisation by the image's own load.
func (i *imageModel) ownUtilisation() float64 { return i.coefficients[0] }

// pair returns the estimated interference of a best-effort image with a long-running
// one.
func (x *interferenceModel) pair(latencyImage, bestEffortImage imageID) pairInterference {
	pairs := x.models[latencyImage].pairs
	if int(bestEffortImage) >= len(pairs) || !pairs[bestEffortImage].observed {
		return unknownPair
	}
	return pairs[bestEffortImage]
}

// interference returns the utilisation that a best-effort image would add to a
// long-running one if it used all of the worker's CPU.
func (x *interferenceModel) interference(latencyImage, bestEffortImage imageID) float64 {
	return x.pair(latencyImage, bestEffortImage).interference
}

// uncertain reports whether there are too few observations of a pair of images to
// place the best-effort one beside other best-effort runs.
func (x *interferenceModel) uncertain(latencyImage, bestEffortImage imageID) bool {
	return x.pair(latencyImage, bestEffortImage).uncertain
}

// updatePairs updates pairs from the coefficients of the model.
func (i *imageModel) updatePairs() {
	for bestEffortImage, at := range i.coefficientIndex {
		for int(bestEffortImage) >= len(i.pairs) {
			i.pairs = append(i.pairs, pairInterference{})
		}
		variance := i.covariance[at][at]
		i.pairs[bestEffortImage] = pairInterference{
			observed:     true,
			interference: zeroIfInsignificant(i.coefficients[at] - optimismStdDevs*math.Sqrt(variance)),
			uncertain:    variance > uncertainVariance,
		}
	}
}

// zeroIfInsignificant returns 0 for an interference within the error of the fit.
func zeroIfInsignificant(interference float64) float64 {
	if interference < minInterference {
		return 0
	}
	return interference
}

// coefficientFor returns the index of a best-effort image's coefficient, which it
// adds if needed.
func (i *imageModel) coefficientFor(bestEffortImage imageID) int {
	if at, ok := i.coefficientIndex[bestEffortImage]; ok {
		return at
	}
	at := len(i.coefficients)
	i.coefficientIndex[bestEffortImage] = at
	i.coefficients = append(i.coefficients, initialInterference)
	for k := range i.covariance {
		i.covariance[k] = append(i.covariance[k], 0)
	}
	i.covariance = append(i.covariance, make([]float64, at+1))
	i.covariance[at][at] = initialInterferenceVariance
	return at
}

// utilisationOf derives the utilisation of a long-running run from its tail latency
// and updates the minimum tail latency of the image.
func (x *interferenceModel) utilisationOf(id imageID, tail, target time.Duration) float64 {
	s := x.models[id]
	if s.minTailLatency == 0 {
		s.minTailLatency = time.Duration(float64(target) / initialTargetRatio)
	}
	s.minTailLatency = min(s.minTailLatency, tail)
	return min(maxUtilisation, 1-float64(s.minTailLatency)/float64(tail))
}

// targetUtilisation returns the utilisation at which the tail latency reaches the
// target.
func (x *interferenceModel) targetUtilisation(id imageID, target time.Duration) float64 {
	least := x.models[id].minTailLatency
	if least == 0 {
		return 1 - 1/initialTargetRatio
	}
	return 1 - float64(least)/float64(target)
}

// observe updates the model of an image with the observed utilisation of a run. The
// shares are the CPU shares of the best-effort images on its worker.
func (x *interferenceModel) observe(id imageID, u float64, shares map[imageID]float64) {
	s := x.models[id]
	for _, bestEffortImage := range slices.Sorted(maps.Keys(shares)) {
		s.coefficientFor(bestEffortImage)
	}
	features := make([]float64, len(s.coefficients))
	features[0] = 1
	for bestEffortImage, share := range shares {
		features[s.coefficientIndex[bestEffortImage]] = share
	}
	s.fit(features, u)
	s.updatePairs()
	x.observations++
}

// fit performs one step of recursive least squares.
func (i *imageModel) fit(features []float64, value float64) {
	n := len(features)
	gain := make([]float64, n)
	expected, spread := 0.0, noiseVariance
	for a := range n {
		for b := range n {
			gain[a] += i.covariance[a][b] * features[b]
		}
		expected += i.coefficients[a] * features[a]
	}
	for a := range n {
		spread += features[a] * gain[a]
	}
	for a := range n {
		i.coefficients[a] += gain[a] / spread * (value - expected)
	}
	for a := range n {
		for b := range n {
			i.covariance[a][b] -= gain[a] * gain[b] / spread
		}
		i.covariance[a][a] = max(i.covariance[a][a], minVariance)
	}
	i.observations++
}
