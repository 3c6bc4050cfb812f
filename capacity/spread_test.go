package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a formula that leaves the pattern it was computed for: the
// product of all rounds must take the uninfected from N-1 to lastUninfected.
func TestFanouts(t *testing.T) {
	is := is.New(t)
	for _, growth := range []float64{2, 3, 5} {
		infected, logs := 1.0, 0.0
		for _, f := range fanouts(growth) {
			logs += f * infected / (entryVMs - 1)
			infected *= growth
		}
		is.True(math.Abs(logs-math.Log((entryVMs-1)/lastUninfected)) < 1e-9)
	}
}

// Guards against a model that counts lost packets as arrivals, or a change as
// in force before a packet can have arrived.
func TestSpreadModels(t *testing.T) {
	is := is.New(t)
	lossless := links{delay: interDelay}
	run := gossip(lossless, 2*interDelay, fanouts(3), rand.New(rand.NewPCG(1, 1)))
	is.True(run.reached > entryVMs/2)
	is.True(run.all >= interDelay)
	cut := links{delay: interDelay, loss: 1}
	run = gossip(cut, 2*interDelay, fanouts(3), rand.New(rand.NewPCG(1, 1)))
	is.True(run.reached <= vmsPerCentre)
	run = polling(lossless, logPoll, rand.New(rand.NewPCG(1, 1)))
	is.True(run.all > logPoll/2 && run.all < logPoll+2*interDelay+logReadLatency+time.Millisecond)
}
