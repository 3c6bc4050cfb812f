package capacity

import (
	"math/rand/v2"
	"time"
)

// links are the connections between the entry VMs of a model.
type links struct {
	// delay is the one-way delay between data centres; jitter is the mean of
	// an exponential addition to it.
	delay  time.Duration
	jitter time.Duration
	// loss is the share of packets that are lost between data centres.
	loss float64
}

// insideDelay is the one-way delay within a data centre.
const insideDelay = 500 * time.Microsecond

// packet returns the delay of one packet and whether it arrives.
func (l links) packet(from, to int, random *rand.Rand) (time.Duration, bool) {
	if from/vmsPerCentre == to/vmsPerCentre {
		return insideDelay, true
	}
	if random.Float64() < l.loss {
		return 0, false
	}
	return l.delay + time.Duration(random.ExpFloat64()*float64(l.jitter)), true
}
