package capacity

import (
	"math/rand/v2"
	"time"
)

// spreadRun is the outcome of one run of a model of dissemination.
type spreadRun struct {
	// all is when the last VM had the record, after the append; it is the time
	// of the last arrival if not every VM was reached.
	all      time.Duration
	reached  int
	messages int
}

// gossip runs the synchronous protocol with adaptive fanout from VM 0, which
// wrote the record and has read it back.
func gossip(l links, round time.Duration, plan []float64, random *rand.Rand) spreadRun {
	arrival := map[int]time.Duration{0: 0}
	run := spreadRun{}
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
		run.all = max(run.all, at)
	}
	return run
}

// push sends the record from one VM to distinct others and returns how many
// messages that takes. A fraction of a message is sent with that probability.
func push(l links, from int, now time.Duration, fanout float64, arrival map[int]time.Duration, random *rand.Rand) int {
	count := int(fanout)
	if random.Float64() < fanout-float64(count) {
		count++
	}
	count = min(count, entryVMs-1)
	for _, i := range random.Perm(entryVMs - 1)[:count] {
		to := (from + 1 + i) % entryVMs
		delay, arrives := l.packet(from, to, random)
		if !arrives {
			continue
		}
		if at, has := arrival[to]; !has || now+delay < at {
			arrival[to] = now + delay
		}
	}
	return count
}

// retransmission is how long a TCP connection waits before it repeats a packet.
const retransmission = 200 * time.Millisecond

// polling runs the direct reading of the log, which is in the data centre of
// VM 0, by VMs whose polls are at random phases.
func polling(l links, poll time.Duration, random *rand.Rand) spreadRun {
	run := spreadRun{reached: entryVMs, messages: entryVMs}
	for vm := range entryVMs {
		sent := time.Duration(random.Int64N(int64(poll)))
		run.all = max(run.all, sent+segment(l, vm, 0, random)+logReadLatency+segment(l, 0, vm, random))
	}
	return run
}

// segment returns the one-way time of a segment with its retransmissions.
func segment(l links, from, to int, random *rand.Rand) time.Duration {
	var waited time.Duration
	for wait := retransmission; ; wait *= 2 {
		delay, arrives := l.packet(from, to, random)
		if arrives {
			return waited + delay
		}
		waited += wait
	}
}
