package dispatch_test

import (
	"sync"
	"testing"
	"time"
)

// minLargestShare is the part of a queue's share served that the largest tenth of its
// submissions must have at least, as stated by the platform's users. A submission is served
// if it completes within three times its objective.
const minLargestShare = 0.5

// Guards against an overload in which hardly any of the largest submissions are served,
// because smaller ones are placed first and take the room that becomes free. Long-running
// tasks request most of the CPU, and sign-ins arrive faster than the rest can serve.
func TestLargestSubmissionsAreServedUnderOverload(t *testing.T) {
	t.Parallel()
	var largest, all float64
	seeds := []uint64{1, 2, 3, 4}
	served := make([]sizeShares, len(seeds))
	var plays sync.WaitGroup
	for i, seed := range seeds {
		plays.Go(func() {
			queues, _ := sizeLoad{seed: seed, workers: 60, longRunning: 0.88, times: 2, duration: 40 * time.Second}.play()
			served[i] = sharesWithin(queues["sign-in"], 3)
		})
	}
	plays.Wait()
	for i, seed := range seeds {
		shares := served[i]
		t.Logf("seed %d: served %v", seed, shares)
		largest, all = largest+shares.largest, all+shares.all
	}
	t.Logf("served %.2f of the largest tenth, %.2f of all", largest/float64(len(seeds)), all/float64(len(seeds)))
	if largest < minLargestShare*all {
		t.Errorf("the largest tenth is served %.2f times as often as the whole queue, want %.2f at least", largest/all, minLargestShare)
	}
}

// Guards against the same where estimates are so far off that the largest by estimates are others
// than the largest: favouring the former leaves the latter unserved.
func TestLargestSubmissionsAreServedThoughEstimatesAreFarOff(t *testing.T) {
	t.Parallel()
	var plays sync.WaitGroup
	served := make([]sizeShares, 4)
	for i := range served {
		plays.Go(func() {
			load := sizeLoad{seed: uint64(i + 1), workers: 60, longRunning: 0.88, times: 2, estimateSpread: 0.85, duration: 40 * time.Second}
			queues, _ := load.play()
			served[i] = sharesWithin(queues["sign-in"], 3)
		})
	}
	plays.Wait()
	var sum sizeShares
	for i, shares := range served {
		t.Logf("seed %d: served %v", i+1, shares)
		sum = sum.plus(shares)
	}
	for name, share := range map[string]float64{"largest tenth": sum.largest, "fifth below": sum.fifth} {
		t.Logf("the %s is served %.2f times as often as the whole queue", name, share/sum.all)
		if share < minLargestShare*sum.all {
			t.Errorf("the %s is served %.2f times as often as the whole queue, want %.2f at least", name, share/sum.all, minLargestShare)
		}
	}
}

// Guards against smaller submissions that wait for larger ones although these are served as
// often.
func TestLargestSubmissionsAreNotFavouredWithoutNeed(t *testing.T) {
	t.Parallel()
	queues, favoured := sizeLoad{seed: 1, workers: 60, longRunning: 0.8, times: 1.5, duration: 20 * time.Second}.play()
	for name, arrivals := range queues {
		t.Logf("%s: served %v", name, sharesWithin(arrivals, 3))
	}
	if favoured != 0 {
		t.Errorf("%d reports of queues with favoured submissions, want none", favoured)
	}
}
