package proxy

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/routing"
)

// Guards against a retry storm when many servers accept requests but never
// respond.
func TestNoRetryStorm(t *testing.T) {
	workers := map[int][]string{0: nil}
	for i := range 30 {
		workers[0] = append(workers[0], fmt.Sprint("w", i))
	}
	runInCluster(t, workers, api.ServiceSpec{Criticality: api.CriticalityHigh}, func(is *is.I, tc *testCluster) {
		var sends []*atomic.Int32
		for _, id := range workers[0] {
			sends = append(sends, tc.serveRaw(id, neverRespond))
		}
		const requests = 100
		var wg sync.WaitGroup
		for range requests {
			wg.Go(func() { tc.call("a", "GET", "", "") })
		}
		wg.Wait()
		total := 0
		for _, n := range sends {
			total += int(n.Load())
		}
		is.True(total >= requests)
		is.True(total <= requests+requests/10+10) // retry budget: a tenth of the requests, and the burst
	})
}

// Guards against a stalled server that makes the other servers unavailable, or
// that occupies more than its own slots.
func TestStalledServerUnderOverload(t *testing.T) {
	runInCluster(t, map[int][]string{0: {"stalled", "w0"}}, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		stalled := tc.serveRaw("stalled", neverRespond)
		tc.backend("w0", respondAfter(100*time.Millisecond))
		var succeeded, rejected atomic.Int32
		var wg sync.WaitGroup
		for i := range 24 {
			wg.Go(func() {
				for range 20 {
					got := tc.call("a", "GET", "", "")
					switch got.code {
					case result.OK:
						succeeded.Add(1)
					case result.NotRunOverloaded:
						rejected.Add(1)
					}
					time.Sleep(time.Duration(200+i) * time.Millisecond)
				}
			})
		}
		wg.Wait()
		t.Log("succeeded", succeeded.Load(), "rejected", rejected.Load(), "sent to the stalled server", stalled.Load())
		is.True(succeeded.Load() > 180) // of 480
		is.True(rejected.Load() > 0)
		elapsed := int32(tc.now()/(5*time.Second)) + 1
		is.True(stalled.Load() <= 8*elapsed)
	})
}

// Guards against more than 8 requests at a worker under load from three entry
// VMs while a successor replaces an owner that keeps running without a lease.
// Some requests keep running at the server after the proxy has abandoned them.
func TestSlotsUnderOwnerChange(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{Criticality: api.CriticalityHigh}, func(is *is.I, tc *testCluster) {
		b := tc.backend("w0", func(rw http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			time.Sleep(time.Duration(len(body)) * 10 * time.Millisecond)
			echoHandler(rw, r)
		})
		const leaseEnd = 3 * time.Second
		a := routing.Authority{Term: 10, State: routing.Held, FullUntil: leaseEnd}
		tc.vms["a"].router.SetAuthority(0, a)
		var wg sync.WaitGroup
		var succeeded [3]atomic.Int32
		for i := range 30 {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(uint64(i), 5))
				for tc.now() < 14*time.Second {
					body := strings.Repeat("z", rng.IntN(110)) // up to 1.1 s; abandoned after 1 s
					if tc.call([]string{"a", "b", "c"}[i%3], "PUT", "", body).code == result.OK {
						succeeded[i%3].Add(1)
					}
					time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				}
			})
		}
		time.Sleep(leaseEnd)
		tc.mu.Lock()
		tc.homes[cellZero] = Home{VM: "b", Address: "peer-b", Term: 20}
		tc.mu.Unlock()
		usable := tc.now() + 5*time.Second
		tc.vms["b"].router.SetAuthority(0, routing.Authority{
			Term: 20, State: routing.Held, FullUntil: testLease, UsableFrom: usable, Predecessors: 1,
		})
		for range 60 { // a is isolated: it keeps its routing table and its two slots
			old := tc.vms["a"]
			delete(tc.vms, "a")
			tc.publishTables()
			tc.vms["a"] = old
			time.Sleep(200 * time.Millisecond)
		}
		wg.Wait()
		t.Log("succeeded", succeeded[0].Load(), succeeded[1].Load(), succeeded[2].Load())
		is.Equal(b.maxRunning.Load(), int32(8))
		is.True(succeeded[0].Load()+succeeded[1].Load()+succeeded[2].Load() > 30)
	})
}

// Guards against a graceful stop that cuts off requests or accepts new ones, and
// against one that does not report how many requests it cuts off.
func TestGracefulStopUnderLoad(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		tc.backend("w0", respondAfter(300*time.Millisecond))
		a := tc.vms["a"].proxy
		var codes sync.Map
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				for range 10 {
					got := tc.call("a", []string{"GET", "POST"}[i%2], "", "")
					codes.Store(got.code, got.err)
				}
			})
		}
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			tc.publishTables() // otherwise the peers' estimates of free slots run out
		}
		short, cancel := context.WithTimeout(tc.t.Context(), 10*time.Millisecond)
		defer cancel()
		remaining := a.Drain(short)
		is.True(remaining >= 6) // a request that its home forwards back to a counts twice
		is.Equal(a.Drain(tc.t.Context()), 0)
		wg.Wait()
		synctest.Wait() // a caller receives its response before the handler returns
		is.Equal(a.InProgress(), 0)
		codes.Range(func(code, err any) bool {
			if err != nil || (code != result.OK && code != result.NotRunStopping) {
				t.Errorf("code %v, error %v", code, err)
			}
			return true
		})
		is.Equal(tc.call("a", "GET", "", "").code, result.NotRunStopping)
		// An id chosen by the caller may have run before, so the request is not
		// rejected as "not run".
		is.Equal(tc.call("a", "POST", tc.requestIDFor(0), "").code, result.OK)
	})
}

// Guards against a high tail latency of idempotent requests, and against hedging
// non-idempotent ones.
func TestHedging(t *testing.T) {
	runInCluster(t, map[int][]string{0: {"w0", "w1"}}, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		var delay atomic.Int64
		handler := func(rw http.ResponseWriter, r *http.Request) { respondAfter(time.Duration(delay.Load()))(rw, r) }
		first, second := tc.backend("w0", handler), tc.backend("w1", respondAfter(5*time.Millisecond))
		delay.Store(int64(5 * time.Millisecond))
		for range 40 {
			is.Equal(tc.call("a", "GET", "", "").code, result.OK)
		}
		delay.Store(int64(900 * time.Millisecond))
		for range 5 {
			begin := tc.now()
			is.Equal(tc.call("a", "GET", "", "").code, result.OK)
			is.True(tc.now()-begin < 500*time.Millisecond) // virtual time
			time.Sleep(time.Minute)                        // the slow server is tried again
		}
		is.True(tc.eventCount(EventHedged) > 0)
		before := first.total.Load() + second.total.Load()
		for range 10 {
			is.Equal(tc.call("a", "POST", "", "").code, result.OK)
		}
		is.Equal(first.total.Load()+second.total.Load(), before+10)
	})
}
