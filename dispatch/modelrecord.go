package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
)

// Parameters for passing the interference model on to the next owner.
const (
	// modelRecordInterval is the minimum time between two records of the model. The
	// next owner lacks only the observations since the last record.
	modelRecordInterval = 2 * time.Second
	// inheritedVariance is added to the variances of an inherited model.
	inheritedVariance = 0.005
)

// toRecord returns the message that records the models of all observed images.
func (x *interferenceModel) toRecord() *ledgerpb.Learned {
	out := &ledgerpb.Learned{}
	names := make(map[imageID]string, len(x.ids))
	for name, id := range x.ids {
		names[id] = name
	}
	for id, model := range x.models {
		if model.observations == 0 {
			continue
		}
		img := &ledgerpb.LearnedImage{
			Name: names[imageID(id)], LeastTailUs: model.minTailLatency.Microseconds(),
			Own: model.coefficients[0], OwnVariance: model.covariance[0][0],
		}
		for _, bestEffortImage := range slices.Sorted(maps.Keys(model.coefficientIndex)) {
			at := model.coefficientIndex[bestEffortImage]
			img.Effects = append(img.Effects, &ledgerpb.LearnedEffect{
				Name: names[bestEffortImage], Effect: model.coefficients[at], Variance: model.covariance[at][at],
			})
		}
		out.Images = append(out.Images, img)
	}
	return out
}

// restore loads the models that a previous owner recorded.
func (x *interferenceModel) restore(l *ledgerpb.Learned) {
	for _, img := range l.GetImages() {
		model := x.models[x.idOf(img.Name)]
		model.minTailLatency = time.Duration(img.LeastTailUs) * time.Microsecond
		model.coefficients[0], model.covariance[0][0] = img.Own, img.OwnVariance+inheritedVariance
		model.observations = 1
		for _, effect := range img.Effects {
			at := model.coefficientFor(x.idOf(effect.Name))
			model.coefficients[at] = effect.Effect
			model.covariance[at][at] = min(initialInterferenceVariance, effect.Variance+inheritedVariance)
		}
		model.updatePairs()
	}
}

// recordModel appends a record of the interference model if it has new observations,
// the last record is old enough and no append is in flight.
func (m *Machine) recordModel() {
	if m.now-m.modelRecordedAt < modelRecordInterval || len(m.pending) > 0 || m.model.observations == m.recordedObservations {
		return
	}
	m.modelRecordedAt, m.recordedObservations = m.now, m.model.observations
	m.appendRecord(&ledgerpb.Record{Learned: m.model.toRecord()}, func() {})
}
