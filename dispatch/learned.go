package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
)

// Figures of passing knowledge on.
const (
	// learnedInterval is how often an owner records what it has learned. A
	// successor loses at most the observations since.
	learnedInterval = 2 * time.Second
	// agedVariance is added to what an earlier owner knew.
	agedVariance = 0.005
)

// snapshot returns the models of all long-running images.
func (x *images) snapshot() *ledgerpb.Learned {
	out := &ledgerpb.Learned{}
	names := make(map[imageID]string, len(x.ids))
	for name, id := range x.ids {
		names[id] = name
	}
	for id, model := range x.known {
		if model.observations == 0 {
			continue
		}
		img := &ledgerpb.LearnedImage{
			Name: names[imageID(id)], LeastTailUs: model.leastTail.Microseconds(),
			Own: model.coefficient[0], OwnVariance: model.covariance[0][0],
		}
		for _, filling := range slices.Sorted(maps.Keys(model.position)) {
			at := model.position[filling]
			img.Effects = append(img.Effects, &ledgerpb.LearnedEffect{
				Name: names[filling], Effect: model.coefficient[at], Variance: model.covariance[at][at],
			})
		}
		out.Images = append(out.Images, img)
	}
	return out
}

// restore takes the models of an earlier owner over.
func (x *images) restore(l *ledgerpb.Learned) {
	for _, img := range l.GetImages() {
		model := x.known[x.id(img.Name)]
		model.leastTail = time.Duration(img.LeastTailUs) * time.Microsecond
		model.coefficient[0], model.covariance[0][0] = img.Own, img.OwnVariance+agedVariance
		model.observations = 1
		for _, effect := range img.Effects {
			at := model.extend(x.id(effect.Name))
			model.coefficient[at] = effect.Effect
			model.covariance[at][at] = min(pairVariance, effect.Variance+agedVariance)
		}
		model.derive()
	}
}

// recordLearned writes what was learned since the last time.
func (m *Machine) recordLearned() {
	if m.now-m.learnedAt < learnedInterval || len(m.pending) > 0 || m.images.updates == m.learnedUpdates {
		return
	}
	m.learnedAt, m.learnedUpdates = m.now, m.images.updates
	m.write(&ledgerpb.Record{Learned: m.images.snapshot()}, func() {})
}
