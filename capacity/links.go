package capacity

import (
	"math/rand/v2"
	"time"
)

// links is the model of the network between entry VMs.
type links struct {
	// delay is the minimum one-way delay between data centres. jitter is the
	// mean of an exponentially distributed addition to it.
	delay  time.Duration
	jitter time.Duration
	// loss is the fraction of packets between data centres that are lost.
	loss float64
}

// intraCentreDelay is the one-way delay within a data centre.
const intraCentreDelay = 500 * time.Microsecond

// sendPacket returns the random delay of one packet, and whether it arrives.
func (l links) sendPacket(from, to int, random *rand.Rand) (time.Duration, bool) {
	if from/entryVMsPerDataCentre == to/entryVMsPerDataCentre {
		return intraCentreDelay, true
	}
	if random.Float64() < l.loss {
		return 0, false
	}
	return l.delay + time.Duration(random.ExpFloat64()*float64(l.jitter)), true
}
