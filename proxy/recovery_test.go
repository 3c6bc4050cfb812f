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

// takeOver moves cell 0 with its workers to a VM, as a claim by expiry does.
func (w *world) takeOver(vm string, k dedup.Takeover) {
	w.mu.Lock()
	w.homes[cellZero] = Home{VM: vm, Address: "peer-" + vm, Term: k.Term}
	w.mu.Unlock()
	k.Until = testLease
	w.vms[vm].store.Table(cellZero).TakeOver(w.now(), k)
	a := routing.Authority{Term: k.Term, State: routing.Held, FullUntil: testLease}
	w.vms[vm].router.SetAuthority(0, a)
	w.publish()
}

// sync gives a VM a full copy of cell 0's table and records the renewal.
func (w *world) sync(from, to string) {
	home := w.vms[from].store.Table(cellZero)
	for _, part := range home.ExportCopy(w.now(), to, 1<<20) {
		if _, err := w.vms[to].store.Table(cellZero).ImportCopyPart(w.now(), part); err != nil {
			w.t.Fatal(err)
		}
		home.ConfirmCopy(to, part.Serial)
	}
	serial, _ := home.OfferRenewal()
	home.RenewalRecorded(serial)
}

func slow(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		ok(w, r)
	}
}

// Guards against a second run of an id that comes twice at the same time,
// through different entry VMs, or later, and against an id whose answer
// reaches another request.
func TestDuplicateID(t *testing.T) {
	inWorld(t, oneWorker, api.ServiceSpec{}, func(is *is.I, w *world) {
		b := w.backend("w0", slow(500*time.Millisecond))
		id := w.idFor(1)
		var wg sync.WaitGroup
		for i := range 9 {
			wg.Go(func() {
				got := w.call([]string{"a", "b", "c"}[i%3], "POST", id, "x")
				if got.code != result.OK || got.body != "done /x x" {
					t.Errorf("repeat %d got %v %q", i, got.code, got.body)
				}
			})
		}
		wg.Wait()
		is.Equal(w.call("c", "POST", id, "x").body, "done /x x")
		is.Equal(b.total.Load(), int32(1))
		is.Equal(w.call("c", "PATCH", id, "x").code, result.NotRunBadRequest)
		is.Equal(w.call("c", "POST", "bad id", "x").code, result.NotRunBadRequest)
		for range 3 { // ids given by the system differ
			is.Equal(w.call("c", "POST", "", "x").code, result.OK)
		}
		is.Equal(b.total.Load(), int32(4))
	})
}

// Guards against an answer that is lost because the first caller left, and
// against a second run because the answer was too large to be kept.
func TestAnswerOfCallerWhoLeft(t *testing.T) {
	inWorld(t, oneWorker, api.ServiceSpec{}, func(is *is.I, w *world) {
		b := w.backend("w0", func(rw http.ResponseWriter, r *http.Request) {
			time.Sleep(500 * time.Millisecond)
			size := 100
			if r.URL.RawQuery == "big" {
				size = dedup.MaxAnswerBytes + 1
			}
			_, _ = rw.Write(make([]byte, size))
		})
		for i, query := range []string{"", "big"} {
			ctx, cancel := context.WithTimeout(w.t.Context(), 100*time.Millisecond)
			r, _ := http.NewRequestWithContext(ctx, "POST", "http://a/s/register/x?"+query, nil)
			r.Header.Set(HeaderRequestID, fmt.Sprint("left", i))
			is.True(w.do("a", r).err != nil)
			cancel()
			r = r.Clone(w.t.Context())
			got := w.do("b", r)
			is.Equal(got.code, []result.Code{result.OK, result.AnswerNotKept}[i])
			is.Equal(b.total.Load(), int32(i+1))
		}
	})
}

// Guards against a second run after the home died in the middle of the first,
// with and without a successor that has the full copy.
func TestHomeDied(t *testing.T) {
	for _, synced := range []bool{true, false} {
		inWorld(t, oneWorker, api.ServiceSpec{ProgressMillis: 4000}, func(is *is.I, w *world) {
			b := w.backend("w0", slow(2*time.Second))
			if synced {
				w.sync("a", "b")
			}
			running := w.idFor(0)
			done := make(chan reply)
			go func() { done <- w.call("c", "POST", running, "x") }()
			time.Sleep(time.Second)
			w.net.handle("peer-a", nil)
			for _, f := range w.cleanup[:2] { // the caller and peer server of a
				f()
			}
			is.Equal((<-done).code, result.OutcomeUnknown)
			is.Equal(w.call("c", "POST", running, "x").code, result.OutcomeUnknown) // no home yet
			w.takeOver("b", dedup.Takeover{Term: 20, Previous: 10, Synced: synced})
			is.Equal(w.call("c", "POST", running, "x").code, result.OutcomeUnknown)
			fresh := map[bool]result.Code{true: result.OK, false: result.OutcomeUnknown}
			is.Equal(w.call("c", "POST", "giza.x"+running, "x").code, fresh[synced || w.cellOf("giza.x"+running) != 0])
			issued, err := w.vms["b"].proxy.IssueID()
			is.NoErr(err)
			is.Equal(w.call("c", "POST", issued, "x").code, result.OK)
			n, _ := b.runs.Load(running)
			is.Equal(n.(*atomic.Int32).Load(), int32(1))
		})
	}
}

func (w *world) cellOf(text string) int {
	id, _ := w.vms["a"].store.Resolve(text)
	return id.Cell.Number
}

// Guards against an old home that runs a request while a synced peer can't
// acknowledge, or after its lease.
func TestIsolatedOldHome(t *testing.T) {
	inWorld(t, oneWorker, api.ServiceSpec{}, func(is *is.I, w *world) {
		b := w.backend("w0", ok)
		w.sync("a", "b")
		id := w.idFor(0)
		w.unreachable["b"] = true
		is.Equal(w.call("a", "POST", id, "x").code, result.NotRunRepeatProtection)
		is.Equal(w.count(EventMissedAcknowledgement), 1)
		w.unreachable["b"] = false
		w.vms["b"].store.Table(cellZero).ObserveTerm(20) // b has read a newer claim
		is.Equal(w.call("a", "POST", id, "x").code, result.NotRunRepeatProtection)
		time.Sleep(testLease)
		is.Equal(w.call("a", "POST", id, "x").code, result.OutcomeUnknown)
		is.Equal(b.total.Load(), int32(0))
	})
}

// Guards against a dial that outlasts the lease: the request must not be sent.
func TestLeaseEndsDuringDial(t *testing.T) {
	inWorld(t, oneWorker, api.ServiceSpec{}, func(is *is.I, w *world) {
		b := w.backend("w0", ok)
		a := w.vms["a"]
		dial := a.proxy.cfg.Dial
		a.proxy.cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			time.Sleep(300 * time.Millisecond)
			return dial(ctx, address)
		}
		soon := w.now() + 200*time.Millisecond
		a.router.SetAuthority(0, routing.Authority{Term: 10, State: routing.Held, FullUntil: soon})
		is.Equal(w.call("a", "GET", "", "").code, result.NotRunNoBackend)
		is.Equal(b.total.Load(), int32(0))
		is.Equal(w.call("a", "GET", "", "").code, result.OK) // one of the two slots left
	})
}

// Guards against bodies that are held back until they are complete.
func TestStreamsBothWays(t *testing.T) {
	inWorld(t, oneWorker, api.ServiceSpec{}, func(is *is.I, w *world) {
		w.backend("w0", func(rw http.ResponseWriter, r *http.Request) {
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
		transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return w.net.dial(ctx, "b") }
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

// Guards against requests beyond the limits, against loops, and against a
// caller that sends the headers of a peer.
func TestLimitsAndLoops(t *testing.T) {
	inWorld(t, oneWorker, api.ServiceSpec{MaxBodyBytes: 10}, func(is *is.I, w *world) {
		b := w.backend("w0", ok)
		is.Equal(w.call("a", "PUT", "", strings.Repeat("z", 11)).code, result.NotRunTooLarge)
		is.Equal(w.callWith("a", "GET", "", http.Header{"X": {strings.Repeat("z", 33<<10)}}).code, result.NotRunTooLarge)
		is.Equal(b.total.Load(), int32(0))
		r, _ := http.NewRequest("POST", "http://a/s/register/x", io.MultiReader(strings.NewReader(strings.Repeat("z", 11))))
		is.True(w.do("a", r).code != result.OK) // of unknown length
		hop := func(role, hops, steps, via string) result.Code {
			h := http.Header{}
			for i, name := range []string{HeaderRole, HeaderHops, HeaderSteps, HeaderVia, HeaderDeadline} {
				h.Set(name, []string{role, hops, steps, via, "1000"}[i])
			}
			return w.callWith("peer-a", "GET", "", h).code
		}
		is.Equal(hop("run", "1", "0", "b"), result.OK)
		is.Equal(hop("run", "1", "0", "a"), result.NotOwner)
		is.Equal(hop("home", "1", "1", "a,b"), result.NotOwner)
		is.Equal(hop("run", "3", "0", "b"), result.NotOwner)
		is.Equal(hop("run", "0", "0", "b"), result.NotRunBadRequest)
		is.Equal(hop("other", "1", "0", "b"), result.NotRunBadRequest)
		is.Equal(w.callWith("a", "GET", "", http.Header{HeaderRole: {"home"}, HeaderHops: {"9"}}).code, result.OK)
		time.Sleep(2 * time.Second) // callers have their responses before the handlers return
		w.vms["a"].proxy.cfg.Limits.MaxConcurrent = 1
		b.handler = slow(500 * time.Millisecond)
		go w.call("a", "GET", "", "")
		time.Sleep(100 * time.Millisecond)
		is.Equal(w.call("a", "GET", "", "").code, result.NotRunOverloaded)
	})
}

// Guards against connections to a worker beyond the owner's quarter, and
// against connections that stay counted after they were closed.
func TestConnectionsAreCounted(t *testing.T) {
	inWorld(t, oneWorker, api.ServiceSpec{}, func(is *is.I, w *world) {
		w.backend("w0", ok)
		d := w.vms["a"].router.Choose(w.now(), &routing.Request{Service: testService})
		worker := d.Slot.Server.Worker()
		d.Slot.Release()
		is.Equal(w.call("a", "POST", "", "x").code, result.OK)
		time.Sleep(time.Millisecond)
		is.Equal(worker.Connections(), 0)
		for worker.AcquireConnection() {
		}
		got := w.call("a", "GET", "", "")
		is.Equal(got.code, result.NotRunNoBackend)
		is.True(strings.Contains(got.body, errConnectionLimit.Error()))
	})
}

// Guards against a proxy that runs with half of its configuration.
func TestNewChecksConfig(t *testing.T) {
	_, err := New(Config{})
	is.New(t).True(err != nil && !errors.Is(err, io.EOF))
}
