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

// fleet returns a snapshot of n workers with 8 slots in cell 0.
func fleet(n int) Snapshot {
	s := Snapshot{DataCentre: "giza", Services: []ServiceEntry{{Name: testService}}}
	for i := range n {
		s.Workers = append(s.Workers, WorkerEntry{
			ID: fmt.Sprintf("w%d", i), Boot: "b1", Address: fmt.Sprintf("127.0.0.1:%d", 10000+i),
			Slots: 8, Services: []string{testService},
		})
	}
	return s
}

func heldRouter(s Snapshot) *Router {
	r := New()
	r.SetAuthority(0, Authority{Term: 1, State: Held, FullUntil: time.Hour})
	r.Update(s)
	return r
}

// fill takes slots until the router refuses and returns them.
func fill(r *Router, now time.Duration, q Request) []Slot {
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

func highRequest() Request {
	return Request{Service: testService, Criticality: High}
}

// Guards against an allocation in the routing decision, at any table size and
// also when every server is full.
func TestChooseDoesNotAllocate(t *testing.T) {
	for _, n := range []int{100, 1000, 7900} {
		r := heldRouter(fleet(n))
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
	s := fleet(0)
	for i := range 176 {
		s.Peers = append(s.Peers, PeerEntry{DataCentre: "giza", Cell: i, Free: map[string]int{testService: 360}})
	}
	peers := heldRouter(s)
	allocs := testing.AllocsPerRun(1000, func() {
		q := highRequest()
		peers.Choose(time.Second, &q).Peer.ReleaseSlot()
	})
	if allocs != 0 {
		t.Errorf("peers: %v allocations per decision", allocs)
	}
	r := heldRouter(fleet(100))
	fill(r, 0, highRequest())
	q := highRequest()
	if allocs := testing.AllocsPerRun(1000, func() { r.Choose(time.Second, &q) }); allocs != 0 {
		t.Errorf("full: %v allocations per decision", allocs)
	}
}

// Guards against more requests at a worker than its slots when decisions,
// releases, abandonments, table changes and owner changes run concurrently.
func TestSlotsNeverExceedLimitConcurrently(t *testing.T) {
	const workers = 3
	r := heldRouter(fleet(workers))
	var running [workers]atomic.Int32
	index := map[string]int{"w0": 0, "w1": 1, "w2": 2}
	var over atomic.Int32
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(g), 7))
			for i := range 3000 {
				now := time.Duration(i) * time.Millisecond
				q := highRequest()
				q.Random, q.Caller = rng.Uint64(), uint64(g)
				d := r.Choose(now, &q)
				if d.Code != result.OK {
					continue
				}
				n := &running[index[d.Slot.Server.worker.id]]
				if n.Add(1) > 8 {
					over.Add(1)
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
			r.Update(fleet(workers - i%2))
			r.SetAuthority(0, Authority{Term: int64(2 + i), State: Held, FullUntil: time.Hour})
		}
	})
	wg.Wait()
	is := is.New(t)
	is.Equal(over.Load(), int32(0))
	r.Update(fleet(workers))
	is.Equal(len(fill(r, time.Hour-1, highRequest())), workers*8) // every slot came back
}

// Guards against a slot of an abandoned request being used while the server
// may still run it, also over a table change.
func TestAbandonedSlotStaysTakenUntilReleaseTime(t *testing.T) {
	is := is.New(t)
	r := heldRouter(fleet(1))
	slots := fill(r, 0, highRequest())
	is.Equal(len(slots), 8)
	slots[0].Abandon(5 * time.Second)
	r.Update(fleet(1))
	is.Equal(len(fill(r, 5*time.Second-1, highRequest())), 0)
	is.Equal(len(fill(r, 5*time.Second, highRequest())), 1)
}

// Guards against the use of an expired lease by a process that was paused, and
// against slots that belong to a predecessor or its waiting period.
func TestAuthorityLimitsSlotsByTime(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Update(fleet(1))
	is.Equal(len(fill(r, 0, highRequest())), 0) // no authority yet
	a := Authority{Term: 5, State: Held, FullUntil: 10 * time.Second, UsableFrom: 5 * time.Second, Predecessors: 1}
	r.SetAuthority(0, a)
	is.Equal(len(fill(r, 4*time.Second, highRequest())), 0)
	slots := fill(r, 5*time.Second, highRequest())
	is.Equal(len(slots), 6)
	is.True(slots[0].Valid(9 * time.Second))
	is.True(!slots[0].Valid(10 * time.Second)) // taken under the lease, which is over
	for _, s := range slots {
		s.Release()
	}
	is.Equal(len(fill(r, 10*time.Second, highRequest())), 2) // lease over, nothing newer set
	r.SetAuthority(0, Authority{Term: 5, State: Lost})
	r.SetAuthority(0, a) // late renewal of a term that was replaced
	is.Equal(r.Authority(0).State, Lost)
	is.True(!slots[0].Valid(6 * time.Second))
}

// Guards against requests to a leaving server, against the leaving state being
// reverted by a lagging VM list, and against it sticking to the next boot.
func TestLeavingServerGetsNothing(t *testing.T) {
	is := is.New(t)
	s := fleet(2)
	r := heldRouter(s)
	r.table.Load().services[testService].servers[0].MarkLeaving()
	is.Equal(len(fill(r, 0, highRequest())), 8)
	r.Update(s)
	is.Equal(r.table.Load().services[testService].OwnServerCount(), 1)
	s.Workers[0].Boot = "b2"
	r.Update(s)
	is.Equal(len(fill(r, 0, highRequest())), 8)
}

// Guards against accounts that pile up with every restart, and against losing
// the account of a worker that still runs requests.
func TestAccountsAreDropped(t *testing.T) {
	is := is.New(t)
	s := fleet(1)
	r := heldRouter(s)
	slots := fill(r, 0, highRequest())
	s.Workers[0].Boot = "b2"
	r.Update(s)
	is.Equal(len(r.Servers()), 1)
	for _, now := range []time.Duration{0, accountRetention, 2 * accountRetention} {
		r.Update(Snapshot{Now: now, Services: s.Services})
	}
	is.Equal(len(r.accounts.servers), 0)
	is.Equal(len(r.accounts.workers), 1) // with 8 slots in use
	r.Update(s)
	is.Equal(len(fill(r, 0, highRequest())), 0)
	for _, slot := range slots {
		slot.Release()
	}
	for _, now := range []time.Duration{0, accountRetention} {
		r.Update(Snapshot{Now: now})
	}
	is.Equal(len(r.accounts.workers)+len(r.accounts.servers)+len(r.accounts.services), 0)
}

// Guards against a slow server taking an equal share, and against it being
// avoided for ever.
func TestSlowServerIsAvoidedAndTriedAgain(t *testing.T) {
	is := is.New(t)
	r := heldRouter(fleet(2))
	slow := r.table.Load().services[testService].servers[0]
	slow.ObserveLatency(0, 2*time.Second)
	share := func(now time.Duration) int {
		rng, n := rand.New(rand.NewPCG(3, 4)), 0
		for range 100 {
			q := highRequest()
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

// Guards against low requests crowding out high ones, and against one caller
// using all slots while others are active.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	r := heldRouter(fleet(10)) // 80 slots
	low := fill(r, 0, Request{Service: testService, Criticality: Low})
	is.Equal(len(low), 60)
	is.Equal(len(fill(r, 0, Request{Service: testService})), 12)
	is.Equal(len(fill(r, 0, highRequest())), 8)

	r = heldRouter(fleet(10))
	greedy, other := highRequest(), highRequest()
	greedy.Caller, other.Caller = 1, 2
	d := r.Choose(0, &other)
	d.Slot.Release()
	slots := fill(r, 0, greedy)
	is.Equal(len(slots), 54) // more than half of 80, while twice the free slots are more
	is.Equal(len(fill(r, 0, other)), 26)
	for _, s := range slots[:14] {
		s.Release()
		is.Equal(r.Choose(0, &greedy).Code, result.NotRunOverloaded) // until it is below half
		is.Equal(len(fill(r, 0, other)), 1)
	}
}

// Guards against a caller that uses up all slots by leaving early, and against
// a stalled server that uses up the callers' shares.
func TestAbandonedSlotsInAdmission(t *testing.T) {
	is := is.New(t)
	for _, charged := range []bool{false, true} {
		r := heldRouter(fleet(10))
		greedy, other := highRequest(), highRequest()
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
		is.Equal(len(fill(r, 0, greedy)), want[charged])
	}
}

// Guards against peers before own cells, other data centres before peers of
// the own one, and early rejections that are not early.
func TestOrderOfCells(t *testing.T) {
	is := is.New(t)
	s := fleet(1)
	s.Peers = []PeerEntry{
		{VM: "far", DataCentre: "maadi", Cell: 1, Free: map[string]int{testService: 1}},
		{VM: "near", DataCentre: "giza", Cell: 2, Free: map[string]int{testService: 1}},
	}
	r := heldRouter(s)
	fill(r, 0, Request{Service: testService, Criticality: High, Scope: OwnCells})
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
	r.Update(s) // the same summaries must not give the slots back
	is.Equal(next(Anywhere).Code, result.NotRunOverloaded)
	is.Equal(r.Choose(0, &Request{Service: "none"}).Code, result.NotRunNoService)
	is.Equal(heldRouter(fleet(0)).Choose(0, &Request{Service: testService}).Code, result.NotRunNoBackend)
}

// Guards against extra sends without bound.
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

// Guards against more connections to a worker than one owner's quarter.
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
			r := heldRouter(fleet(n))
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
