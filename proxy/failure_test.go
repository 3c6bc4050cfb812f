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

// runInCluster runs a test in virtual time.
func runInCluster(t *testing.T, workers map[int][]string, spec api.ServiceSpec, f func(*is.I, *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, workers, spec)
		defer tc.close()
		f(is.New(t), tc)
	})
}

var oneWorker = map[int][]string{0: {"w0"}}

// neverRespond keeps a connection open without sending another byte.
func neverRespond(net.Conn) { time.Sleep(time.Minute) }

// Guards against losing requests, bodies or results over zero, one and two hops,
// and against forwarding hop-by-hop headers.
func TestRequestTakesUpToTwoHops(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		var seen http.Header
		b := tc.backend("w0", func(rw http.ResponseWriter, r *http.Request) {
			seen = r.Header
			rw.Header().Set("Connection", "X-Mine")
			rw.Header().Set("X-Mine", "1")
			rw.Header().Set("X-Kept", "1")
			rw.Header().Set(HeaderResult, "1002")
			rw.Header().Set(HeaderVia, "z")
			echoHandler(rw, r)
		})
		large := strings.Repeat("z", maxReplayableBytes+1)
		for _, entry := range []string{"a", "b"} {
			for _, body := range []string{"", "hello", large} {
				got := tc.call(entry, "PUT", "", body)
				is.NoErr(got.err)
				is.Equal(got.code, result.OK)
				is.Equal(got.body, "done /x "+body)
				is.Equal(got.header.Get(HeaderVia), "")
				is.Equal(got.header.Get("X-Kept")+got.header.Get("X-Mine"), "1")
			}
			for cell := range 3 {
				got := tc.call(entry, "POST", tc.requestIDFor(cell), "hello")
				is.NoErr(got.err)
				if entry == "a" {
					is.Equal(got.body, "done /x hello")
				}
				is.Equal(got.code, result.OK) // through b: the stored answer of the first run
			}
		}
		is.Equal(b.total.Load(), int32(9))
		header := http.Header{"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Te": {"x"}, HeaderTerm: {"99"}, HeaderVia: {"z"}, "X-Kept": {"1"}}
		is.Equal(tc.callWith("a", "GET", "", header).code, result.OK)
		is.Equal(seen.Get("X-Kept")+seen.Get("X-Hop")+seen.Get("Te")+seen.Get(HeaderVia), "1")
		is.Equal(seen.Get(HeaderTerm)+seen.Get(HeaderService), "10"+testService)
	})
}

// Guards against a request that hangs on a connection that stalls in the middle
// of the response head, and against a second run of a non-idempotent request.
func TestProgressTimeoutInResponseHead(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		n := tc.serveRaw("w0", func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
			neverRespond(c)
		})
		id := tc.requestIDFor(1)
		time.Sleep(time.Second)
		is.Equal(tc.call("b", "POST", id, "x").code, result.OutcomeUnknown)
		is.Equal(tc.now(), 2*time.Second) // virtual time: the progress timeout
		inUse := func(at time.Duration) int { return tc.vms["a"].router.SlotsInUse(0, at) }
		is.Equal(inUse(7*time.Second-1), 1) // the server may have received it as late as now
		is.Equal(inUse(7*time.Second), 0)
		is.Equal(n.Load(), int32(1))
		is.Equal(tc.call("c", "POST", id, "x").code, result.OutcomeUnknown)
		is.Equal(n.Load(), int32(1))
		is.Equal(tc.call("a", "GET", "", "").code, result.BackendTimeout)
		is.True(tc.eventCount(EventProgressTimeout) > 0)
	})
}

// Guards against a request that hangs because the server stops reading its body,
// and against a progress timeout because the caller sends its body slowly.
func TestProgressTimeoutDuringUpload(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		tc.net.handle("w0", func(c net.Conn) {
			defer c.Close()
			_, _ = c.Read(make([]byte, 4096))
			neverRespond(c)
		})
		is.Equal(tc.call("a", "POST", tc.requestIDFor(0), strings.Repeat("z", 1<<20)).code, result.OutcomeUnknown)
		is.Equal(tc.now(), time.Second)
		tc.net.handle("w0", neverRespond)                        // does not even read the head
		header := http.Header{"X": {strings.Repeat("z", 8<<10)}} // more than net/http buffers
		is.Equal(tc.callWith("a", "GET", "", header).code, result.BackendTimeout)
		is.Equal(tc.now(), 2*time.Second)
		tc.backend("w0", echoHandler)
		body, feed := io.Pipe()
		go func() {
			for range 3 {
				time.Sleep(1500 * time.Millisecond)
				_, _ = io.WriteString(feed, "z")
			}
			_ = feed.Close()
		}()
		r, _ := http.NewRequest("POST", "http://a/s/register/x", body)
		is.Equal(tc.roundTrip("a", r).body, "done /x zzz")
	})
}

// Guards against a reused connection that stalls while new ones work: it must
// cost only one progress timeout, and must not raise the server's latency estimate.
func TestProgressTimeoutOnReusedConnection(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		tc.net.handle("w0", func(c net.Conn) {
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
		for range 3 { // leaves three idle connections
			wg.Go(func() { tc.call("a", "GET", "", "") })
		}
		wg.Wait()
		begin := tc.now()
		is.Equal(tc.call("a", "GET", "", "").code, result.OK)
		is.Equal(tc.now()-begin, time.Second+10*time.Millisecond)
		is.Equal(tc.eventCount(EventProgressTimeout), 1)
		d := tc.vms["a"].router.Choose(tc.now(), &routing.Request{Service: testService})
		is.True(d.Slot.Server.Latency(tc.now()) < 20*time.Millisecond)
		d.Slot.Release()
	})
}

// Guards against a truncated response that looks complete: the connection stalls
// or closes in the middle of the body, with Content-Length, chunked encoding or
// neither, over zero and one hop.
func TestTruncatedResponseNeverLooksComplete(t *testing.T) {
	heads := map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello",
	}
	ends := map[string]func(net.Conn){"silent": neverRespond, "closed": func(net.Conn) {}}
	for kind, head := range heads {
		for end, wait := range ends {
			runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
				tc.serveRaw("w0", func(c net.Conn) {
					_, _ = io.WriteString(c, head)
					wait(c)
				})
				for _, entry := range []string{"a", "b"} {
					for _, method := range []string{"GET", "POST"} {
						id := entry + kind + end
						got := tc.call(entry, method, id, "")
						if got.err == nil && got.code == result.OK {
							t.Errorf("%s, connection %s, %s through %s: truncated body %q looks complete", kind, end, method, entry, got.body)
						}
						if method == "POST" {
							is.Equal(tc.call(entry, method, id, "").code, result.OutcomeUnknown)
						}
					}
				}
				// A stalled server may still be processing all four requests.
				taken := 8 - tc.vms["a"].router.Summaries(tc.now())[0].Free[testService]
				is.True(taken >= 4)
				time.Sleep(6 * time.Second)
				is.Equal(tc.vms["a"].router.Summaries(tc.now())[0].Free[testService], 8)
			})
		}
	}
}

// Guards against a response that never ends and holds its slot forever.
func TestEndlessResponseIsCutOff(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		tc.backend("w0", func(rw http.ResponseWriter, _ *http.Request) {
			for range 100 {
				if _, err := io.WriteString(rw, "tick"); err != nil {
					return
				}
				_ = http.NewResponseController(rw).Flush()
				time.Sleep(500 * time.Millisecond)
			}
		})
		for _, method := range []string{"GET", "POST"} {
			begin := tc.now()
			got := tc.call("a", method, tc.requestIDFor(0), "")
			is.True(got.err != nil)
			is.Equal(tc.now()-begin, 5*time.Second) // virtual time: the maximum request time
		}
	})
}

// Guards against giving up a request that certainly did not run, and against a
// request id that can't be used again after a "not run" result.
func TestNotRunIsRetriedOnOtherServer(t *testing.T) {
	two := map[int][]string{0: {"gone", "w0"}}
	runInCluster(t, two, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		b := tc.backend("w0", echoHandler)
		for i := range 20 {
			is.Equal(tc.call("a", "POST", fmt.Sprint("id", i), "x").code, result.OK)
		}
		is.Equal(b.total.Load(), int32(20))
		tc.net.handle("w0", nil)
		is.Equal(tc.call("a", "GET", "", "").code, result.NotRunNoBackend)
		is.Equal(tc.call("a", "POST", "again", "x").code, result.NotRunNoBackend)
		tc.backend("w0", echoHandler)
		is.Equal(tc.call("a", "POST", "again", "x").code, result.OK)
	})
	runInCluster(t, map[int][]string{0: {"full", "w0"}}, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		full := tc.backend("full", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(HeaderNotRun, "true")
			rw.WriteHeader(http.StatusServiceUnavailable)
		})
		tc.backend("w0", echoHandler)
		for i := range 8 {
			got := tc.call("b", "POST", fmt.Sprint("id", i), "x")
			is.Equal(got.code, result.OK)
			is.Equal(got.status, http.StatusOK)
		}
		is.True(full.total.Load() > 0)
	})
	runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		b := tc.backend("w0", func(rw http.ResponseWriter, _ *http.Request) { // without HeaderNotRun the request may have run
			rw.WriteHeader(http.StatusServiceUnavailable)
		})
		got := tc.call("a", "POST", "id", "x")
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.code, result.OK)
		is.Equal(b.total.Load(), int32(1))
	})
}

// Guards against an idempotent request that fails because the first server
// fails, and against a retry to the same server.
func TestIdempotentIsRetriedOnOtherServer(t *testing.T) {
	runInCluster(t, map[int][]string{0: {"broken", "w0"}}, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		n := tc.serveRaw("broken", func(net.Conn) {}) // closes the connection after it has read the request
		tc.backend("w0", echoHandler)
		for range 10 {
			is.Equal(tc.call("a", "PUT", "", "x").body, "done /x x")
			time.Sleep(time.Minute) // the broken server is tried again
		}
		is.True(n.Load() > 0)
	})
}

// Guards against new requests to a server that has reported that it is leaving.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	runInCluster(t, map[int][]string{0: {"w0", "w1"}}, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		leaving := tc.backend("w0", func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(HeaderLeaving, "true")
			echoHandler(rw, r)
		})
		tc.backend("w1", echoHandler)
		for range 30 {
			tc.publishTables()
			is.Equal(tc.call("b", "GET", "", "").code, result.OK)
		}
		is.Equal(leaving.total.Load(), int32(1))
		is.Equal(tc.eventCount(EventLeaving), 1)
	})
}

// Guards against a retry by net/http itself after a reused connection is closed.
// It retries any method if the request has the header Idempotency-Key.
func TestTransportNeverRepeatsNonIdempotent(t *testing.T) {
	runInCluster(t, oneWorker, api.ServiceSpec{}, func(is *is.I, tc *testCluster) {
		var posts int
		tc.net.handle("w0", func(c net.Conn) {
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
						return // a reused connection: close it without a response
					}
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		})
		for i := range 5 {
			is.Equal(tc.call("a", "GET", "", "").code, result.OK) // leaves a connection to reuse
			header := http.Header{HeaderRequestID: {fmt.Sprint("id", i)}, "Idempotency-Key": {"k"}}
			tc.callWith("a", "POST", "", header)
		}
		is.Equal(posts, 5)
	})
}
