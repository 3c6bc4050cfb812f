package coordinator

import "time"

// maxEpochSightings limits the epochs that are remembered for each cell.
const maxEpochSightings = 64

// epochSightings are the times at which a node learned of the epochs of a cell, in
// ascending order of epoch. They bound from below how long an epoch has been open, without
// a clock that nodes share.
type epochSightings []epochSighting

type epochSighting struct {
	epoch int64
	at    time.Duration
}

// add returns the sightings with a newer epoch.
func (s epochSightings) add(epoch int64, at time.Duration) epochSightings {
	s = append(s, epochSighting{epoch: epoch, at: at})
	return s[max(0, len(s)-maxEpochSightings):]
}

// age returns for how long, at least, an epoch has been open, or 0 if nothing is known: a
// node that knows of a later epoch knows that this one was opened before.
func (s epochSightings) age(epoch int64, now time.Duration) time.Duration {
	for _, sighting := range s {
		if sighting.epoch >= epoch {
			return now - sighting.at
		}
	}
	return 0
}
