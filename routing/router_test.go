package routing

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/result"
)

const testService = "register"

// snapshotWithWorkers returns a snapshot of n workers with 8 slots in cell 0.
func snapshotWithWorkers(n int) Snapshot {
	s := Snapshot{DataCentre: "giza", Services: []ServiceEntry{{Name: testService}}}
	for i := range n {
		s.Workers = append(s.Workers, WorkerEntry{
			ID: fmt.Sprintf("w%d", i), Boot: "b1", Address: fmt.Sprintf("127.0.0.1:%d", 10000+i),
			Slots: 8, Services: []string{testService},
		})
	}
	return s
}

func routerWithLease(s Snapshot) *Router {
	r := New()
	r.SetAuthority(0, Authority{Term: 1, State: Held, FullUntil: time.Hour})
	r.Update(s)
	return r
}

// acquireAll acquires slots of own cells until no decision yields one, and
// returns them.
func acquireAll(r *Router, now time.Duration, q Request) []Slot {
	var slots []Slot
	for {
		q.Random = uint64(len(slots)) * 0x9e3779b97f4a7c15
		d := r.Choose(now, &q)
		if d.Code != result.OK || d.Peer != nil {
			return slots
		}
		slots = append(slots, d.Slot)
	}
}

func highCriticalityRequest() Request {
	return Request{Service: testService, Criticality: High}
}

// Guards against heap allocations in the routing decision, for any table size
// and also when every server is full.
func TestChooseDoesNotAllocate(t *testing.T) {
	for _, n := range []int{100, 1000, 7900} {
		r := routerWithLease(snapshotWithWorkers(n))
		rng := rand.New(rand.NewPCG(1, 2))
		allocs := testing.AllocsPerRun(1000, func() {
			q := Request{Service: testService, Caller: rng.Uint64(), Random: rng.Uint64()}
			if d := r.Choose(time.Second, &q); d.Code == result.OK {
				d.Slot.Release()
			}
		})
		if allocs != 0 {
			t.Errorf("%d workers: %v allocations per decision", n, allocs)
		}
	}
	s := snapshotWithWorkers(0)
	for i := range 176 {
		s.Peers = append(s.Peers, PeerEntry{DataCentre: "giza", Cell: i, Free: map[string]int{testService: 360}})
	}
	peers := routerWithLease(s)
	allocs := testing.AllocsPerRun(1000, func() {
		q := highCriticalityRequest()
		peers.Choose(time.Second, &q).Peer.ReleaseSlot()
	})
	if allocs != 0 {
		t.Errorf("peers: %v allocations per decision", allocs)
	}
	r := routerWithLease(snapshotWithWorkers(100))
	acquireAll(r, 0, highCriticalityRequest())
	q := highCriticalityRequest()
	if allocs := testing.AllocsPerRun(1000, func() { r.Choose(time.Second, &q) }); allocs != 0 {
		t.Errorf("full: %v allocations per decision", allocs)
	}
}

// Guards against more concurrent requests at a worker than it has slots while
// decisions, releases, abandonments, table updates and changes of authority run
// concurrently.
func TestSlotsNeverExceedLimitConcurrently(t *testing.T) {
	const workers = 3
	r := routerWithLease(snapshotWithWorkers(workers))
	var running [workers]atomic.Int32
	index := map[string]int{"w0": 0, "w1": 1, "w2": 2}
	var exceeded atomic.Int32
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(g), 7))
			for i := range 3000 {
				now := time.Duration(i) * time.Millisecond
				q := highCriticalityRequest()
				q.Random, q.Caller = rng.Uint64(), uint64(g)
				d := r.Choose(now, &q)
				if d.Code != result.OK {
					continue
				}
				n := &running[index[d.Slot.Server.worker.id]]
				if n.Add(1) > 8 {
					exceeded.Add(1)
				}
				runtime.Gosched()
				n.Add(-1)
				if rng.IntN(4) == 0 {
					d.Slot.Abandon(now + 3*time.Millisecond)
				} else {
					d.Slot.Release()
				}
			}
		})
	}
	wg.Go(func() {
		for i := range 200 {
			r.Update(snapshotWithWorkers(workers - i%2))
			r.SetAuthority(0, Authority{Term: int64(2 + i), State: Held, FullUntil: time.Hour})
		}
	})
	wg.Wait()
	is := is.New(t)
	is.Equal(exceeded.Load(), int32(0))
	r.Update(snapshotWithWorkers(workers))
	is.Equal(len(acquireAll(r, time.Hour-1, highCriticalityRequest())), workers*8) // every slot was freed
}

// Guards against a slot of an abandoned request being used while the server
// may still run the request, also across a table update.
func TestAbandonedSlotStaysTakenUntilReleaseTime(t *testing.T) {
	is := is.New(t)
	r := routerWithLease(snapshotWithWorkers(1))
	slots := acquireAll(r, 0, highCriticalityRequest())
	is.Equal(len(slots), 8)
	slots[0].Abandon(5 * time.Second)
	r.Update(snapshotWithWorkers(1))
	is.Equal(len(acquireAll(r, 5*time.Second-1, highCriticalityRequest())), 0)
	is.Equal(len(acquireAll(r, 5*time.Second, highCriticalityRequest())), 1)
}

// Guards against the use of an expired lease by a process that was paused, and
// against the use of slots during the waiting period after a takeover or of
// slots that are reserved for a predecessor.
func TestAuthorityLimitsSlotsByTime(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Update(snapshotWithWorkers(1))
	is.Equal(len(acquireAll(r, 0, highCriticalityRequest())), 0) // no authority yet
	a := Authority{Term: 5, State: Held, FullUntil: 10 * time.Second, UsableFrom: 5 * time.Second, Predecessors: 1}
	r.SetAuthority(0, a)
	is.Equal(len(acquireAll(r, 4*time.Second, highCriticalityRequest())), 0)
	slots := acquireAll(r, 5*time.Second, highCriticalityRequest())
	is.Equal(len(slots), 6)
	is.True(slots[0].Valid(9 * time.Second))
	is.True(!slots[0].Valid(10 * time.Second)) // the lease under which it was acquired has expired
	for _, s := range slots {
		s.Release()
	}
	is.Equal(len(acquireAll(r, 10*time.Second, highCriticalityRequest())), 2) // the lease has expired and no newer authority was set
	r.SetAuthority(0, Authority{Term: 5, State: Lost})
	r.SetAuthority(0, a) // late renewal of a term that was replaced
	is.Equal(r.Authority(0).State, Lost)
	is.True(!slots[0].Valid(6 * time.Second))
}

// Guards against requests to a leaving server, against a stale VM list that
// reverts the leaving state, and against the leaving state being applied to the
// worker's next incarnation.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	is := is.New(t)
	s := snapshotWithWorkers(2)
	r := routerWithLease(s)
	r.table.Load().services[testService].servers[0].MarkLeaving()
	is.Equal(len(acquireAll(r, 0, highCriticalityRequest())), 8)
	r.Update(s)
	is.Equal(r.table.Load().services[testService].OwnServerCount(), 1)
	s.Workers[0].Boot = "b2"
	r.Update(s)
	is.Equal(len(acquireAll(r, 0, highCriticalityRequest())), 8)
}

// Guards against state that accumulates with every restart of a worker, and
// against dropping the state of a worker that still runs requests.
func TestStateOfUnlistedWorkersIsDropped(t *testing.T) {
	is := is.New(t)
	s := snapshotWithWorkers(1)
	r := routerWithLease(s)
	slots := acquireAll(r, 0, highCriticalityRequest())
	s.Workers[0].Boot = "b2"
	r.Update(s)
	is.Equal(len(r.Servers()), 1)
	for _, now := range []time.Duration{0, unlistedRetention, 2 * unlistedRetention} {
		r.Update(Snapshot{Now: now, Services: s.Services})
	}
	is.Equal(len(r.retained.servers), 0)
	is.Equal(len(r.retained.workers), 1) // with 8 slots in use
	r.Update(s)
	is.Equal(len(acquireAll(r, 0, highCriticalityRequest())), 0)
	for _, slot := range slots {
		slot.Release()
	}
	for _, now := range []time.Duration{0, unlistedRetention} {
		r.Update(Snapshot{Now: now})
	}
	is.Equal(len(r.retained.workers)+len(r.retained.servers)+len(r.retained.services), 0)
}

// Guards against a slow server receiving as many requests as a fast one, and
// against it being avoided permanently after it has recovered.
func TestSlowServerIsAvoidedAndTriedAgain(t *testing.T) {
	is := is.New(t)
	r := routerWithLease(snapshotWithWorkers(2))
	slow := r.table.Load().services[testService].servers[0]
	slow.ObserveLatency(0, 2*time.Second)
	share := func(now time.Duration) int {
		rng, n := rand.New(rand.NewPCG(3, 4)), 0
		for range 100 {
			q := highCriticalityRequest()
			q.Random = rng.Uint64()
			d := r.Choose(now, &q)
			if d.Slot.Server == slow {
				n++
			}
			d.Slot.Release()
		}
		return n
	}
	is.Equal(share(0), 0)
	is.True(share(5*time.Minute) > 30)
}

// Guards against requests of low criticality taking the slots reserved for
// higher ones, and against one caller using all slots while others are active.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	r := routerWithLease(snapshotWithWorkers(10)) // 80 slots
	low := acquireAll(r, 0, Request{Service: testService, Criticality: Low})
	is.Equal(len(low), 60)
	is.Equal(len(acquireAll(r, 0, Request{Service: testService})), 12)
	is.Equal(len(acquireAll(r, 0, highCriticalityRequest())), 8)

	r = routerWithLease(snapshotWithWorkers(10))
	greedy, other := highCriticalityRequest(), highCriticalityRequest()
	greedy.Caller, other.Caller = 1, 2
	d := r.Choose(0, &other)
	d.Slot.Release()
	slots := acquireAll(r, 0, greedy)
	is.Equal(len(slots), 54) // more than half of 80, while twice the free slots are more
	is.Equal(len(acquireAll(r, 0, other)), 26)
	for _, s := range slots[:14] {
		s.Release()
		is.Equal(r.Choose(0, &greedy).Code, result.NotRunOverloaded) // until it is below half
		is.Equal(len(acquireAll(r, 0, other)), 1)
	}
}

// Guards against a caller that exhausts the slots by cancelling requests early,
// and against a stalled server that exhausts the fair shares of callers.
func TestAbandonedSlotsInAdmission(t *testing.T) {
	is := is.New(t)
	for _, charged := range []bool{false, true} {
		r := routerWithLease(snapshotWithWorkers(10))
		greedy, other := highCriticalityRequest(), highCriticalityRequest()
		greedy.Caller, other.Caller = 1, 2
		r.Choose(0, &other).Slot.Release()
		for range 30 {
			d := r.Choose(0, &greedy)
			if charged {
				d.Slot.AbandonCharged(time.Minute)
			} else {
				d.Slot.Abandon(time.Minute)
			}
		}
		want := map[bool]int{true: 24, false: 34} // of 80: up to 54 with the 30, or 34 of the other 50
		is.Equal(len(acquireAll(r, 0, greedy)), want[charged])
	}
}

// Guards against a wrong order of preference (own cells, then peers in the same
// data centre, then other data centres) and wrong codes of rejections.
func TestCellPreferenceOrder(t *testing.T) {
	is := is.New(t)
	s := snapshotWithWorkers(1)
	s.Peers = []PeerEntry{
		{VM: "far", DataCentre: "maadi", Cell: 1, Free: map[string]int{testService: 1}},
		{VM: "near", DataCentre: "giza", Cell: 2, Free: map[string]int{testService: 1}},
	}
	r := routerWithLease(s)
	acquireAll(r, 0, Request{Service: testService, Criticality: High, Scope: OwnCells})
	next := func(scope Scope) Decision {
		return r.Choose(0, &Request{Service: testService, Criticality: High, Scope: scope})
	}
	is.Equal(next(OwnCells).Code, result.NotRunOverloaded)
	near := next(OwnDataCentre)
	is.Equal(near.Peer.VM, "near")
	is.Equal(next(OwnDataCentre).Code, result.NotRunOverloaded)
	is.Equal(next(Anywhere).Peer.VM, "far")
	near.Peer.ReleaseSlot()
	is.Equal(next(OwnDataCentre).Peer.VM, "near")
	r.Update(s) // the same summaries must not reset the estimates
	is.Equal(next(Anywhere).Code, result.NotRunOverloaded)
	is.Equal(r.Choose(0, &Request{Service: "none"}).Code, result.NotRunNoService)
	is.Equal(routerWithLease(snapshotWithWorkers(0)).Choose(0, &Request{Service: testService}).Code, result.NotRunNoBackend)
}

// Guards against an unbounded number of retries and hedges.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := newBudget(10, 2)
	is.True(b.Withdraw())
	is.True(b.Withdraw())
	is.True(!b.Withdraw())
	for range 10 {
		b.Deposit()
	}
	is.True(b.Withdraw())
	is.True(!b.Withdraw())
}

// Guards against more connections to a worker than one owner may open.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	w := newWorker("w", 8)
	for range MaxConnectionsPerOwner {
		is.True(w.AcquireConnection())
	}
	is.True(!w.AcquireConnection())
	w.ReleaseConnection()
	is.True(w.AcquireConnection())
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{100, 1000, 7900} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			r := routerWithLease(snapshotWithWorkers(n))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					q := Request{Service: testService, Caller: rand.Uint64(), Random: rand.Uint64()}
					if d := r.Choose(time.Second, &q); d.Code == result.OK {
						d.Slot.Release()
					}
				}
			})
		})
	}
}
