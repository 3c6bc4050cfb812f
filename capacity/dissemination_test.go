package capacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against fanouts that miss their target pattern: all rounds together must
// reduce the uninfected VMs from N-1 to lastUninfected.
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

// Guards against a model that counts lost packets as received, or that delivers a
// change earlier than the delay of a packet allows.
func TestDisseminationModels(t *testing.T) {
	is := is.New(t)
	lossless := links{delay: interCentreDelay}
	run := gossip(lossless, 2*interCentreDelay, fanouts(3), rand.New(rand.NewPCG(1, 1)))
	is.True(run.reached > entryVMs/2)
	is.True(run.lastArrival >= interCentreDelay)
	lossy := links{delay: interCentreDelay, loss: 1}
	run = gossip(lossy, 2*interCentreDelay, fanouts(3), rand.New(rand.NewPCG(1, 1)))
	is.True(run.reached <= entryVMsPerDataCentre)
	run = polling(lossless, logPoll, rand.New(rand.NewPCG(1, 1)))
	is.True(run.lastArrival > logPoll/2 && run.lastArrival < logPoll+2*interCentreDelay+logReadLatency+time.Millisecond)
}
