package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/routing"
)

var cellZero = dedup.Cell{DataCentre: "giza", Number: 0}

// takeOver makes a VM the owner of cell 0 and its workers, as a claim after the
// lease's expiry does.
func (tc *testCluster) takeOver(vm string, takeover dedup.Takeover) {
	tc.mu.Lock()
	tc.homes[cellZero] = Home{VM: vm, Address: "peer-" + vm, Term: takeover.Term}
	tc.mu.Unlock()
	takeover.Until = testLease
	tc.vms[vm].store.Table(cellZero).TakeOver(tc.now(), takeover)
	a := routing.Authority{Term: takeover.Term, State: routing.Held, FullUntil: testLease}
	tc.vms[vm].router.SetAuthority(0, a)
	tc.publishTables()
}

// syncTable copies cell 0's table completely to a VM and records the renewal.
func (tc *testCluster) syncTable(from, to string) {
	home := tc.vms[from].store.Table(cellZero)
	for _, part := range home.ExportCopy(tc.now(), to, 1<<20) {
		if _, err := tc.vms[to].store.Table(cellZero).ImportCopyPart(tc.now(), part); err != nil {
			tc.t.Fatal(err)
		}
		home.ConfirmCopy(to, part.Serial)
	}
	serial, _ := home.OfferRenewal()
	home.RenewalRecorded(serial)
}

func respondAfter(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		echoHandler(w, r)
	}
}

// Guards against a second run of an id that is sent concurrently, through
// different entry VMs, or again later, and against returning the answer of an id
// to a different request.
func TestDuplicateID(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		b := tc.backend("w0", respondAfter(500*time.Millisecond))
		id := tc.requestIDFor(1)
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Go(func() {
				got := tc.call([]string{"a", "b", "c"}[i%3], "POST", id, "x")
				if got.code != result.OK || got.body != "done /x x" {
					t.Errorf("repeat %d got %v %q", i, got.code, got.body)
				}
			})
		}
		wg.Wait()
		is.Equal(tc.call("c", "POST", id, "x").body, "done /x x")
		is.Equal(b.total.Load(), int32(1))
		is.Equal(tc.call("c", "PATCH", id, "x").code, result.NotRunBadRequest)
		is.Equal(tc.call("c", "POST", "bad id", "x").code, result.NotRunBadRequest)
		for range 3 { // ids issued by the system are unique
			is.Equal(tc.call("c", "POST", "", "x").code, result.OK)
		}
		is.Equal(b.total.Load(), int32(4))
	})
}

// Guards against losing an answer because the first caller disconnected, and
// against a second run because the answer was too large to be stored.
func TestAnswerKeptAfterCallerDisconnects(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		b := tc.backend("w0", func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(500 * time.Millisecond)
			size := 100
			if r.URL.RawQuery == "big" {
				size = dedup.MaxAnswerBytes + 1
			}
			_, _ = rw.Write(make([]byte, size))
		})
		for i, query := range []string{"", "big"} {
			ctx, cancel := context.WithTimeout(tc.t.Context(), 100*time.Millisecond)
			r, _ := http.NewRequestWithContext(ctx, "POST", "http://a/s/register/x?"+query, nil)
			r.Header.Set(HeaderRequestID, fmt.Sprint("left", i))
			is.True(tc.roundTrip("a", r).err != nil)
			cancel()
			r = r.Clone(tc.t.Context())
			got := tc.roundTrip("b", r)
			is.Equal(got.code, []result.Code{result.OK, result.AnswerNotKept}[i])
			is.Equal(b.total.Load(), int32(i+1))
		}
	})
}

// Guards against a second run after the home failed during the first run, with
// a successor that has a full copy of the table and with one that has none.
func TestHomeFailsDuringRun(t *testing.T) {
	for _, synced := range []bool{true, false} {
		runInCluster(t, oneWorker, api.ServiceSpec{ProgressMillis: 4000}, func(is *is.I, tc *testCluster) {
			b := tc.backend("w0", respondAfter(2*time.Second))
			if synced {
				tc.syncTable("a", "b")
			}
			running := tc.requestIDFor(0)
			done := make(chan callerResponse)
			go func() { done <- tc.call("c", "POST", running, "x") }()
			time.Sleep(time.Second)
			tc.net.handle("peer-a", nil)
			for _, f := range tc.cleanup[:2] { // the servers of a for callers and peers
				f()
			}
			is.Equal((<-done).code, result.OutcomeUnknown)
			is.Equal(tc.call("c", "POST", running, "x").code, result.OutcomeUnknown) // a has no successor yet
			tc.takeOver("b", dedup.Takeover{Term: 20, Previous: 10, Synced: synced})
			is.Equal(tc.call("c", "POST", running, "x").code, result.OutcomeUnknown)
			fresh := map[bool]result.Code{true: result.OK, false: result.OutcomeUnknown}
			is.Equal(tc.call("c", "POST", "giza.x"+running, "x").code, fresh[synced || tc.cellOf("giza.x"+running) != 0])
			issued, err := tc.vms["b"].proxy.IssueID()
			is.NoErr(err)
			is.Equal(tc.call("c", "POST", issued, "x").code, result.OK)
			n, _ := b.runs.Load(running)
			is.Equal(n.(*atomic.Int32).Load(), int32(1))
		})
	}
}

func (tc *testCluster) cellOf(text string) int {
	id, _ := tc.vms["a"].store.Resolve(text)
	return id.Cell.Number
}

// Guards against a previous home that runs a request although a synced peer does
// not acknowledge it, or after its lease has expired.
func TestIsolatedOldHome(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		b := tc.backend("w0", echoHandler)
		tc.syncTable("a", "b")
		id := tc.requestIDFor(0)
		tc.unreachable["b"] = true
		is.Equal(tc.call("a", "POST", id, "x").code, result.NotRunRepeatProtection)
		is.Equal(tc.eventCount(EventMissedAcknowledgement), 1)
		tc.unreachable["b"] = false
		tc.vms["b"].store.Table(cellZero).ObserveTerm(20) // b has read a newer claim
		is.Equal(tc.call("a", "POST", id, "x").code, result.NotRunRepeatProtection)
		time.Sleep(testLease)
		is.Equal(tc.call("a", "POST", id, "x").code, result.OutcomeUnknown)
		is.Equal(b.total.Load(), int32(0))
	})
}

// Guards against sending a request after the lease has expired during the dial.
func TestLeaseEndsDuringDial(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		b := tc.backend("w0", echoHandler)
		a := tc.vms["a"]
		dial := a.proxy.cfg.Dial
		a.proxy.cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			time.Sleep(300 * time.Millisecond)
			return dial(ctx, address)
		}
		soon := tc.now() + 200*time.Millisecond
		a.router.SetAuthority(0, routing.Authority{Term: 10, State: routing.Held, FullUntil: soon})
		is.Equal(tc.call("a", "GET", "", "").code, result.NotRunNoBackend)
		is.Equal(b.total.Load(), int32(0))
		is.Equal(tc.call("a", "GET", "", "").code, result.OK) // one of the two slots left
	})
}

// Guards against buffering request and response bodies until they are complete.
func TestBodiesStreamInBothDirections(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		tc.backend("w0", func(rw http.ResponseWriter, r *http.Request) {
			control := http.NewResponseController(rw)
			_ = control.EnableFullDuplex()
			buffer := make([]byte, 1)
			for {
				if _, err := r.Body.Read(buffer); err != nil {
					return
				}
				_, _ = rw.Write(buffer)
				_ = control.Flush()
			}
		})
		body, feed := io.Pipe()
		r, _ := http.NewRequest("POST", "http://b/s/register/echo", body)
		transport := &http.Transport{DisableKeepAlives: true}
		transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return tc.net.dial(ctx, "b") }
		go func() { _, _ = io.WriteString(feed, "a") }()
		resp, err := transport.RoundTrip(r)
		is.NoErr(err)
		buffer := make([]byte, 1)
		for _, want := range []string{"a", "b", "c"} {
			if want != "a" {
				_, _ = io.WriteString(feed, want)
			}
			_, err = io.ReadFull(resp.Body, buffer)
			is.NoErr(err)
			is.Equal(string(buffer), want)
		}
		_ = feed.Close()
		_, err = resp.Body.Read(buffer)
		is.Equal(err, io.EOF)
	})
}

// Guards against requests that exceed the limits, against forwarding loops, and
// against callers that send the headers of peers.
func TestLimitsAndLoops(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{MaxBodyBytes: 10}, func(is *is.I, tc *testCluster) {
		b := tc.backend("w0", echoHandler)
		is.Equal(tc.call("a", "PUT", "", strings.Repeat("z", 11)).code, result.NotRunTooLarge)
		is.Equal(tc.callWith("a", "GET", "", http.Header{"X": {strings.Repeat("z", 33<<10)}}).code, result.NotRunTooLarge)
		is.Equal(b.total.Load(), int32(0))
		r, _ := http.NewRequest("POST", "http://a/s/register/x", io.MultiReader(strings.NewReader(strings.Repeat("z", 11))))
		is.True(tc.roundTrip("a", r).code != result.OK) // body of unknown length
		hop := func(role, hops, steps, via string) result.Code {
			h := http.Header{}
			for i, name := range []string{HeaderRole, HeaderHops, HeaderSteps, HeaderVia, HeaderDeadline} {
				h.Set(name, []string{role, hops, steps, via, "1000"}[i])
			}
			return tc.callWith("peer-a", "GET", "", h).code
		}
		is.Equal(hop("run", "1", "0", "b"), result.OK)
		is.Equal(hop("run", "1", "0", "a"), result.NotOwner)
		is.Equal(hop("home", "1", "1", "a,b"), result.NotOwner)
		is.Equal(hop("run", "3", "0", "b"), result.NotOwner)
		is.Equal(hop("run", "0", "0", "b"), result.NotRunBadRequest)
		is.Equal(hop("other", "1", "0", "b"), result.NotRunBadRequest)
		is.Equal(tc.callWith("a", "GET", "", http.Header{HeaderRole: {"home"}, HeaderHops: {"9"}}).code, result.OK)
		time.Sleep(2 * time.Second) // callers receive their responses before the handlers return
		tc.vms["a"].proxy.cfg.Limits.MaxConcurrent = 1
		b.handler = respondAfter(500 * time.Millisecond)
		go tc.call("a", "GET", "", "")
		time.Sleep(100 * time.Millisecond)
		is.Equal(tc.call("a", "GET", "", "").code, result.NotRunOverloaded)
	})
}

// Guards against more connections to a worker than routing.MaxConnectionsPerOwner, and
// against counting connections that are closed.
func TestConnectionsAreCounted(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		tc.backend("w0", echoHandler)
		d := tc.vms["a"].router.Choose(tc.now(), &routing.Request{Service: testService})
		worker := d.Slot.Server.Worker()
		d.Slot.Release()
		is.Equal(tc.call("a", "POST", "", "x").code, result.OK)
		time.Sleep(time.Millisecond)
		is.Equal(worker.Connections(), 0)
		for worker.AcquireConnection() {
		}
		got := tc.call("a", "GET", "", "")
		is.Equal(got.code, result.NotRunNoBackend)
		is.True(strings.Contains(got.body, errConnectionLimit.Error()))
	})
}

// Guards against a proxy that starts with an incomplete configuration.
func TestNewChecksConfig(t *testing.T) {
	_, err := New(Config{})
	is.New(t).True(err != nil && !errors.Is(err, io.EOF))
}
