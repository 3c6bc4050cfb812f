package capacity

import (
	"math/rand/v2"
	"time"
)

// disseminationRun is the result of one run of a disseminationModel.
type disseminationRun struct {
	// lastArrival is the time from the append until the record reached the last
	// of the reached VMs.
	lastArrival time.Duration
	reached     int
	messages    int
}

// gossip simulates the synchronous protocol with adaptive fanout. VM 0 has written
// the record and read it back.
func gossip(l links, round time.Duration, plan []float64, random *rand.Rand) disseminationRun {
	arrival := map[int]time.Duration{0: 0}
	run := disseminationRun{}
	for r, fanout := range plan {
		now := time.Duration(r) * round
		for vm := range entryVMs {
			if at, has := arrival[vm]; has && at <= now {
				run.messages += push(l, vm, now, fanout, arrival, random)
			}
		}
	}
	run.reached = len(arrival)
	for _, at := range arrival {
		run.lastArrival = max(run.lastArrival, at)
	}
	return run
}

// push sends the record from one VM to distinct others and returns the number of
// messages. The fractional part of the fanout is the probability of one more
// message.
func push(l links, from int, now time.Duration, fanout float64, arrival map[int]time.Duration, random *rand.Rand) int {
	count := int(fanout)
	if random.Float64() < fanout-float64(count) {
		count++
	}
	count = min(count, entryVMs-1)
	for _, i := range random.Perm(entryVMs - 1)[:count] {
		to := (from + 1 + i) % entryVMs
		delay, arrives := l.sendPacket(from, to, random)
		if !arrives {
			continue
		}
		if at, has := arrival[to]; !has || now+delay < at {
			arrival[to] = now + delay
		}
	}
	return count
}

// retransmissionTimeout is the initial retransmission timeout of a TCP connection.
const retransmissionTimeout = 200 * time.Millisecond

// polling simulates VMs that poll the log at random phases. The log is in the data
// centre of VM 0.
func polling(l links, poll time.Duration, random *rand.Rand) disseminationRun {
	run := disseminationRun{reached: entryVMs, messages: entryVMs}
	for vm := range entryVMs {
		sent := time.Duration(random.Int64N(int64(poll)))
		run.lastArrival = max(run.lastArrival, sent+segmentDelay(l, vm, 0, random)+logReadLatency+segmentDelay(l, 0, vm, random))
	}
	return run
}

// segmentDelay returns the one-way delay of a TCP segment with its
// retransmissions.
func segmentDelay(l links, from, to int, random *rand.Rand) time.Duration {
	var waited time.Duration
	for wait := retransmissionTimeout; ; wait *= 2 {
		delay, arrives := l.sendPacket(from, to, random)
		if arrives {
			return waited + delay
		}
		waited += wait
	}
}
