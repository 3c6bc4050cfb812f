package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/routing"
)

// inWorld runs a test in virtual time.
func inWorld(t *testing.T, workers map[int][]string, spec api.ServiceSpec, f func(*is.I, *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, workers, spec)
		defer w.close()
		f(is.New(t), w)
	})
}

var oneWorker = map[int][]string{0: {"w0"}}

// never keeps a connection open without another byte.
func never(net.Conn) { time.Sleep(time.Minute) }

// Guards against requests, bodies or results that are lost on the way through
// zero, one and two hops, and against hop-by-hop headers that are passed on.
func TestRequestTakesUpToTwoHops(t *testing.T) {
	inWorld(t, oneWorker, api.ServiceSpec{}, func(is *is.I, w *world) {
		var seen http.Header
		b := w.backend("w0", func(rw http.ResponseWriter, r *http.Request) {
			seen = r.Header
			rw.Header().Set("Connection", "X-Mine")
			rw.Header().Set("X-Mine", "1")
			rw.Header().Set("X-Kept", "1")
			rw.Header().Set(HeaderResult, "1002")
			rw.Header().Set(HeaderVia, "z")
			ok(rw, r)
		})
		large := strings.Repeat("z", replayBytes+1)
		for _, entry := range []string{"a", "b"} {
			for _, body := range []string{"", "hello", large} {
				got := w.call(entry, "PUT", "", body)
				is.NoErr(got.err)
				is.Equal(got.code, result.OK)
				is.Equal(got.body, "done /x "+body)
				is.Equal(got.header.Get(HeaderVia), "")
				is.Equal(got.header.Get("X-Kept")+got.header.Get("X-Mine"), "1")
			}
			for cell := range 3 {
				got := w.call(entry, "POST", w.idFor(cell), "hello")
				is.NoErr(got.err)
				if entry == "a" {
					is.Equal(got.body, "done /x hello")
				}
				is.Equal(got.code, result.OK) // the second entry gets the first answer
			}
		}
		is.Equal(b.total.Load(), int32(9))
		header := http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Te": {"x"}, HeaderTerm: {"99"}, HeaderVia: {"z"}, "X-Kept": {"1"}}
		is.Equal(w.callWith("a", "GET", "", header).code, result.OK)
		is.Equal(seen.Get("X-Kept")+seen.Get("X-Hop")+seen.Get("Te")+seen.Get(HeaderVia), "1")
		is.Equal(seen.Get(HeaderTerm)+seen.Get(HeaderService), "10"+testService)
	})
}

// Guards against a request that hangs on a silent connection, and against a
// second run of a non-idempotent one.
func TestSilentMidHead(t *testing.T) {
	inWorld(t, oneWorker, api.ServiceSpec{}, func(is *is.I, w *world) {
		n := w.raw("w0", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
			never(c)
		})
		id := w.idFor(1)
		time.Sleep(time.Second)
		is.Equal(w.call("b", "POST", id, "x").code, result.OutcomeUnknown)
		is.Equal(w.now(), 2*time.Second) // virtual: the progress timeout
		inUse := func(at time.Duration) int { return w.vms["a"].router.SlotsInUse(0, at) }
		is.Equal(inUse(7*time.Second-1), 1) // the server may have received it as late as now
		is.Equal(inUse(7*time.Second), 0)
		is.Equal(n.Load(), int32(1))
		is.Equal(w.call("c", "POST", id, "x").code, result.OutcomeUnknown)
		is.Equal(n.Load(), int32(1))
		is.Equal(w.call("a", "GET", "", "").code, result.BackendTimeout)
		is.True(w.count(EventProgressTimeout) > 0)
	})
}

// Guards against a request that hangs because the server stops reading its
// body, and against blaming the server for a caller that sends slowly.
func TestSilentMidUpload(t *testing.T) {
	inWorld(t, oneWorker, api.ServiceSpec{}, func(is *is.I, w *world) {
		w.net.handle("w0", func(c net.Conn) {
			defer c.Close()
			_, _ = c.Read(make([]byte, 4096))
			never(c)
		})
		is.Equal(w.call("a", "POST", w.idFor(0), strings.Repeat("z", 1<<20)).code, result.OutcomeUnknown)
		is.Equal(w.now(), time.Second)
		w.net.handle("w0", never)                                // does not even read the head
		header := http.Header{"X": {strings.Repeat("z", 8<<10)}} // more than net/http buffers
		is.Equal(w.callWith("a", "GET", "", header).code, result.BackendTimeout)
		is.Equal(w.now(), 2*time.Second)
		w.backend("w0", ok)
		body, feed := io.Pipe()
		go func() {
			for range 3 {
				time.Sleep(1500 * time.Millisecond)
				_, _ = io.WriteString(feed, "z")
			}
			_ = feed.Close()
		}()
		r, _ := http.NewRequest("POST", "http://a/s/register/x", body)
		is.Equal(w.do("a", r).body, "done /x zzz")
	})
}

// Guards against a kept connection that goes silent while new ones work: it
// must cost one progress timeout, and the server must not lose its standing.
func TestSilentKeptConnection(t *testing.T) {
	inWorld(t, oneWorker, api.ServiceSpec{}, func(is *is.I, w *world) {
		w.net.handle("w0", func(c net.Conn) {
			defer c.Close()
			buffer := make([]byte, 4096)
			for i := 0; ; i++ {
				if _, err := c.Read(buffer); err != nil {
					return
				}
				if i == 0 {
					time.Sleep(10 * time.Millisecond)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}
		})
		var wg sync.WaitGroup
		for range 3 { // leaves three connections
			wg.Go(func() { w.call("a", "GET", "", "") })
		}
		wg.Wait()
		begin := w.now()
		is.Equal(w.call("a", "GET", "", "").code, result.OK)
		is.Equal(w.now()-begin, time.Second+10*time.Millisecond)
		is.Equal(w.count(EventProgressTimeout), 1)
		d := w.vms["a"].router.Choose(w.now(), &routing.Request{Service: testService})
		is.True(d.Slot.Server.Latency(w.now()) < 20*time.Millisecond)
		d.Slot.Release()
	})
}

// Guards against a truncated response that looks complete: silent or closed
// in the middle of the body, with a length or in chunks, at zero and one hop.
func TestTruncatedResponseNeverLooksWhole(t *testing.T) {
	heads := map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello",
	}
	ends := map[string]func(net.Conn){"silent": never, "closed": func(net.Conn) {}}
	for kind, head := range heads {
		for end, wait := range ends {
			inWorld(t, oneWorker, api.ServiceSpec{}, func(is *is.I, w *world) {
				w.raw("w0", func(c net.Conn) {
					_, _ = io.WriteString(c, head)
					wait(c)
				})
				for _, entry := range []string{"a", "b"} {
					for _, method := range []string{"GET", "POST"} {
						id := entry + kind + end
						got := w.call(entry, method, id, "")
						if got.err == nil && got.code == result.OK {
							t.Errorf("%s %s %s at %s: %q looks whole", kind, end, method, entry, got.body)
						}
						if method == "POST" {
							is.Equal(w.call(entry, method, id, "").code, result.OutcomeUnknown)
						}
					}
				}
				// A silent server may still work on all four requests.
				taken := 8 - w.vms["a"].router.Summaries(w.now())[0].Free[testService]
				is.True(taken >= 4)
				time.Sleep(6 * time.Second)
				is.Equal(w.vms["a"].router.Summaries(w.now())[0].Free[testService], 8)
			})
		}
	}
}

// Guards against a response that never ends and holds its slot for ever.
func TestResponseWithoutEnd(t *testing.T) {
	inWorld(t, oneWorker, api.ServiceSpec{}, func(is *is.I, w *world) {
		w.backend("w0", func(rw http.ResponseWriter, _ *http.Request) {
			for range 100 {
				if _, err := io.WriteString(rw, "tick"); err != nil {
					return
				}
				_ = http.NewResponseController(rw).Flush()
				time.Sleep(500 * time.Millisecond)
			}
		})
		for _, method := range []string{"GET", "POST"} {
			begin := w.now()
			got := w.call("a", method, w.idFor(0), "")
			is.True(got.err != nil)
			is.Equal(w.now()-begin, 5*time.Second) // virtual: the maximum request time
		}
	})
}

// Guards against a request that is given up though it provably did not run,
// and against "not run" without "may be used again".
func TestNotRunIsSentElsewhere(t *testing.T) {
	two := map[int][]string{0: {"gone", "w0"}}
	inWorld(t, two, api.ServiceSpec{}, func(is *is.I, w *world) {
		b := w.backend("w0", ok)
		for i := range 20 {
			is.Equal(w.call("a", "POST", fmt.Sprint("id", i), "x").code, result.OK)
		}
		is.Equal(b.total.Load(), int32(20))
		w.net.handle("w0", nil)
		is.Equal(w.call("a", "GET", "", "").code, result.NotRunNoBackend)
		is.Equal(w.call("a", "POST", "again", "x").code, result.NotRunNoBackend)
		w.backend("w0", ok)
		is.Equal(w.call("a", "POST", "again", "x").code, result.OK)
	})
	inWorld(t, map[int][]string{0: {"full", "w0"}}, api.ServiceSpec{}, func(is *is.I, w *world) {
		full := w.backend("full", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(HeaderNotRun, "true")
			rw.WriteHeader(http.StatusServiceUnavailable)
		})
		w.backend("w0", ok)
		for i := range 8 {
			got := w.call("b", "POST", fmt.Sprint("id", i), "x")
			is.Equal(got.code, result.OK)
			is.Equal(got.status, http.StatusOK)
		}
		is.True(full.total.Load() > 0)
	})
	inWorld(t, oneWorker, api.ServiceSpec{}, func(is *is.I, w *world) {
		b := w.backend("w0", func(rw http.ResponseWriter, _ *http.Request) { // without the word it may have run
			rw.WriteHeader(http.StatusServiceUnavailable)
		})
		got := w.call("a", "POST", "id", "x")
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.code, result.OK)
		is.Equal(b.total.Load(), int32(1))
	})
}

// Guards against an idempotent request that fails with the first server, and
// against a retry to it.
func TestIdempotentIsRetriedElsewhere(t *testing.T) {
	inWorld(t, map[int][]string{0: {"broken", "w0"}}, api.ServiceSpec{}, func(is *is.I, w *world) {
		n := w.raw("broken", func(net.Conn) {}) // closes after it has read the request
		w.backend("w0", ok)
		for range 10 {
			is.Equal(w.call("a", "PUT", "", "x").body, "done /x x")
			time.Sleep(time.Minute) // the broken server is tried again
		}
		is.True(n.Load() > 0)
	})
}

// Guards against new requests to a server that said it is leaving.
func TestLeavingServerGetsNoMore(t *testing.T) {
	inWorld(t, map[int][]string{0: {"w0", "w1"}}, api.ServiceSpec{}, func(is *is.I, w *world) {
		leaving := w.backend("w0", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(HeaderLeaving, "true")
			ok(rw, r)
		})
		w.backend("w1", ok)
		for range 30 {
			w.publish()
			is.Equal(w.call("b", "GET", "", "").code, result.OK)
		}
		is.Equal(leaving.total.Load(), int32(1))
		is.Equal(w.count(EventLeaving), 1)
	})
}

// Guards against net/http sending a request again by itself when a reused
// connection closes. It does so for any method if the caller sent the header
// Idempotency-Key.
func TestTransportNeverRepeatsNonIdempotent(t *testing.T) {
	inWorld(t, oneWorker, api.ServiceSpec{}, func(is *is.I, w *world) {
		var posts int
		w.net.handle("w0", func(c net.Conn) {
			defer c.Close()
			buffer := make([]byte, 4096)
			for i := 0; ; i++ {
				n, err := c.Read(buffer)
				if err != nil {
					return
				}
				if strings.HasPrefix(string(buffer[:n]), "POST") {
					posts++
					if i > 0 {
						return // a reused connection: close it without an answer
					}
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		})
		for i := range 5 {
			is.Equal(w.call("a", "GET", "", "").code, result.OK) // leaves a connection to reuse
			header := http.Header{HeaderRequestID: {fmt.Sprint("id", i)}, "Idempotency-Key": {"k"}}
			w.callWith("a", "POST", "", header)
		}
		is.Equal(posts, 5)
	})
}
