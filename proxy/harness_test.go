package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/routing"
)

const (
	testService = "register"
	testLease   = time.Hour
)

// pipeNetwork connects clients and servers with net.Pipe, so that tests run in
// virtual time.
type pipeNetwork struct {
	mu       sync.Mutex
	handlers map[string]func(net.Conn)
}

func (n *pipeNetwork) handle(address string, h func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = h
}

func (n *pipeNetwork) dial(_ context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	h := n.handlers[strings.TrimSuffix(address, ":80")]
	n.mu.Unlock()
	if h == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	go h(far)
	return near, nil
}

// pipeListener passes dialled connections to an http.Server.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// serve starts an http.Server that is closed at the end of the test.
func (tc *testCluster) serve(address string, h http.Handler) *http.Server {
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	tc.net.handle(address, func(c net.Conn) {
		select {
		case l.conns <- c:
		case <-l.done:
			_ = c.Close()
		}
	})
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	tc.cleanup = append(tc.cleanup, func() { _ = s.Close() })
	return s
}

// backend is a fake backend server that counts the requests it runs.
type backend struct {
	running, maxRunning, total atomic.Int32
	runs                       sync.Map // request id -> *atomic.Int32
	handler                    http.HandlerFunc
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.total.Add(1)
	if id := r.Header.Get(HeaderRequestID); id != "" {
		n, _ := b.runs.LoadOrStore(id, &atomic.Int32{})
		n.(*atomic.Int32).Add(1)
	}
	n := b.running.Add(1)
	defer b.running.Add(-1)
	for old := b.maxRunning.Load(); n > old && !b.maxRunning.CompareAndSwap(old, n); old = b.maxRunning.Load() {
	}
	b.handler(w, r)
}

// entryVM is one entry VM of a test.
type entryVM struct {
	name   string
	router *routing.Router
	store  *dedup.Store
	proxy  *Proxy
	server *http.Server
}

// testCluster is a data centre with the entry VMs a, b and c, which own the
// cells 0, 1 and 2. The address of a backend server is its worker's id.
type testCluster struct {
	t       *testing.T
	net     *pipeNetwork
	start   time.Time
	vms     map[string]*entryVM
	workers map[int][]string
	spec    api.ServiceSpec
	serial  uint64
	cleanup []func()
	events  sync.Map // EventKind -> *atomic.Int32

	mu    sync.Mutex
	homes map[dedup.Cell]Home
	// unreachable holds the VMs that acknowledge no intents.
	unreachable map[string]bool
}

func newTestCluster(t *testing.T, workers map[int][]string, spec api.ServiceSpec) *testCluster {
	tc := &testCluster{
		t: t, net: &pipeNetwork{handlers: map[string]func(net.Conn){}}, start: time.Now(), workers: workers,
		spec: spec, vms: map[string]*entryVM{}, homes: map[dedup.Cell]Home{}, unreachable: map[string]bool{},
	}
	for i, name := range []string{"a", "b", "c"} {
		tc.addVM(name, uint64(i))
		tc.assignCell(name, i, int64(10+i), 0)
	}
	tc.publishTables()
	return tc
}

func (tc *testCluster) now() time.Duration { return time.Since(tc.start) }

func (tc *testCluster) addVM(name string, seed uint64) {
	vm := &entryVM{name: name, router: routing.New(), store: dedup.NewStore(dedup.DefaultLimits())}
	vm.store.SetBinding(dedup.NewBinding(map[string]int{"giza": 3}))
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	p, err := New(Config{
		VM: name, Router: vm.router, Store: vm.store, Directory: tc, Acknowledger: tc, Now: tc.now, Dial: tc.net.dial,
		Random: func() uint64 { mu.Lock(); defer mu.Unlock(); return rng.Uint64() },
		OnEvent: func(e Event) {
			n, _ := tc.events.LoadOrStore(e.Kind, &atomic.Int32{})
			n.(*atomic.Int32).Add(1)
		},
	})
	if err != nil {
		tc.t.Fatal(err)
	}
	vm.proxy = p
	vm.server = tc.serve(name, p.Handler())
	tc.serve("peer-"+name, p.PeerHandler())
	tc.vms[name] = vm
	tc.cleanup = append(tc.cleanup, p.Close)
}

// assignCell makes a VM the owner of a cell whose slots are usable from a time.
func (tc *testCluster) assignCell(vm string, cell int, term int64, usableFrom time.Duration) {
	id := dedup.Cell{DataCentre: "giza", Number: cell}
	tc.mu.Lock()
	tc.homes[id] = Home{VM: vm, Address: "peer-" + vm, Term: term}
	tc.mu.Unlock()
	tc.vms[vm].store.Table(id).TakeOver(tc.now(), dedup.Takeover{Term: term, Until: testLease})
	a := routing.Authority{Term: term, State: routing.Held, FullUntil: testLease, UsableFrom: usableFrom}
	tc.vms[vm].router.SetAuthority(cell, a)
}

// publishTables gives every VM a routing table with its own workers and the
// summaries of its peers.
func (tc *testCluster) publishTables() {
	tc.serial++
	for name := range tc.vms {
		s := routing.Snapshot{Now: tc.now(), DataCentre: "giza"}
		s.Services = []routing.ServiceEntry{{Name: testService, Spec: tc.spec}}
		for cell, ids := range tc.workers {
			home, _ := tc.Home(dedup.Cell{DataCentre: "giza", Number: cell})
			if home.VM == name {
				s.Workers = append(s.Workers, workerEntries(cell, ids)...)
				continue
			}
			s.Peers = append(s.Peers, routing.PeerEntry{
				VM: home.VM, Address: home.Address, DataCentre: "giza", Cell: cell, Serial: tc.serial,
				Free: map[string]int{testService: 8 * len(ids)},
			})
		}
		tc.vms[name].router.Update(s)
	}
}

func workerEntries(cell int, ids []string) []routing.WorkerEntry {
	var list []routing.WorkerEntry
	for _, id := range ids {
		e := routing.WorkerEntry{ID: id, Cell: cell, Boot: "1", Address: id, Slots: 8}
		e.Services = []string{testService}
		list = append(list, e)
	}
	return list
}

func (tc *testCluster) Home(cell dedup.Cell) (Home, bool) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	h, ok := tc.homes[cell]
	return h, ok
}

func (tc *testCluster) FreshCell(random uint64) (dedup.Cell, bool) {
	return dedup.Cell{DataCentre: "giza", Number: int(random % 3)}, true
}

func (tc *testCluster) Acknowledge(_ context.Context, vm string, in dedup.Intent) error {
	tc.mu.Lock()
	unreachable := tc.unreachable[vm]
	tc.mu.Unlock()
	if unreachable {
		return errors.New("unreachable")
	}
	return tc.vms[vm].store.Table(in.Cell).AcknowledgeIntent(tc.now(), in)
}

// backend starts a backend server.
func (tc *testCluster) backend(worker string, h http.HandlerFunc) *backend {
	b := &backend{handler: h}
	tc.serve(worker, b)
	return b
}

// serveRaw lets a function respond on each connection to a worker after the
// request's head has been read. It returns the number of these connections.
func (tc *testCluster) serveRaw(worker string, answer func(net.Conn)) *atomic.Int32 {
	var n atomic.Int32
	tc.net.handle(worker, func(c net.Conn) {
		defer c.Close()
		buffer := make([]byte, 64<<10)
		if _, err := c.Read(buffer); err != nil {
			return
		}
		n.Add(1)
		go func() { _, _ = io.Copy(io.Discard, c) }() // stands in for the receive buffer of a kernel
		answer(c)
	})
	return &n
}

func (tc *testCluster) close() {
	time.Sleep(2 * time.Minute) // virtual time: lets all fake servers finish
	for _, f := range tc.cleanup {
		f()
	}
}

func (tc *testCluster) eventCount(kind EventKind) int {
	n, ok := tc.events.Load(kind)
	if !ok {
		return 0
	}
	return int(n.(*atomic.Int32).Load())
}

// callerResponse is the response, or the error, that a caller received.
type callerResponse struct {
	status int
	code   result.Code
	header http.Header
	body   string
	err    error
}

// call sends a request to an entry VM as a caller.
func (tc *testCluster) call(vm, method, id, body string) callerResponse {
	return tc.callWith(vm, method, body, http.Header{HeaderRequestID: {id}})
}

func (tc *testCluster) callWith(vm, method, body string, header http.Header) callerResponse {
	r, err := http.NewRequest(method, "http://"+vm+"/s/"+testService+"/x?y=1", strings.NewReader(body))
	if err != nil {
		tc.t.Fatal(err)
	}
	r.Header = header
	return tc.roundTrip(vm, r)
}

func (tc *testCluster) roundTrip(vm string, r *http.Request) callerResponse {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return tc.net.dial(ctx, vm) }
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return callerResponse{code: -1, err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	number, convErr := strconv.Atoi(resp.Header.Get(HeaderResult))
	if convErr != nil {
		number = -1
	}
	return callerResponse{status: resp.StatusCode, code: result.Code(number), header: resp.Header, body: string(got), err: err}
}

// requestIDFor returns an id that belongs to a cell, in the form that callers
// choose.
func (tc *testCluster) requestIDFor(cell int) string {
	for i := 0; ; i++ {
		text := fmt.Sprintf("giza.order-%d", i)
		if id, err := tc.vms["a"].store.Resolve(text); err == nil && id.Cell.Number == cell {
			return text
		}
	}
}

func echoHandler(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "done %s %s", r.URL.Path, body)
}
