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

// network connects the parts of a test with net.Pipe, so that tests run in
// virtual time.
type network struct {
	mu       sync.Mutex
	handlers map[string]func(net.Conn)
}

func (n *network) handle(address string, h func(net.Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = h
}

func (n *network) dial(_ context.Context, address string) (net.Conn, error) {
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

// serve starts an http.Server that ends with the test.
func (w *world) serve(address string, h http.Handler) *http.Server {
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	w.net.handle(address, func(c net.Conn) {
		select {
		case l.conns <- c:
		case <-l.done:
			_ = c.Close()
		}
	})
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	w.cleanup = append(w.cleanup, func() { _ = s.Close() })
	return s
}

// backend is a fake backend server that counts what it runs.
type backend struct {
	running, most, total atomic.Int32
	runs                 sync.Map // request id -> *atomic.Int32
	handler              http.HandlerFunc
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.total.Add(1)
	if id := r.Header.Get(HeaderRequestID); id != "" {
		n, _ := b.runs.LoadOrStore(id, &atomic.Int32{})
		n.(*atomic.Int32).Add(1)
	}
	n := b.running.Add(1)
	defer b.running.Add(-1)
	for old := b.most.Load(); n > old && !b.most.CompareAndSwap(old, n); old = b.most.Load() {
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

// world is a data centre with the entry VMs a, b and c, which own the cells 0,
// 1 and 2. Backend server addresses are worker ids.
type world struct {
	t       *testing.T
	net     *network
	start   time.Time
	vms     map[string]*entryVM
	workers map[int][]string
	spec    api.ServiceSpec
	serial  uint64
	cleanup []func()
	events  sync.Map // EventKind -> *atomic.Int32

	mu    sync.Mutex
	homes map[dedup.Cell]Home
	// unreachable VMs acknowledge nothing.
	unreachable map[string]bool
}

func newWorld(t *testing.T, workers map[int][]string, spec api.ServiceSpec) *world {
	w := &world{
		t: t, net: &network{handlers: map[string]func(net.Conn){}}, start: time.Now(), workers: workers,
		spec: spec, vms: map[string]*entryVM{}, homes: map[dedup.Cell]Home{}, unreachable: map[string]bool{},
	}
	for i, name := range []string{"a", "b", "c"} {
		w.addVM(name, uint64(i))
		w.own(name, i, int64(10+i), 0)
	}
	w.publish()
	return w
}

func (w *world) now() time.Duration { return time.Since(w.start) }

func (w *world) addVM(name string, seed uint64) {
	vm := &entryVM{name: name, router: routing.New(), store: dedup.NewStore(dedup.DefaultLimits())}
	vm.store.SetBinding(dedup.NewBinding(map[string]int{"giza": 3}))
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	p, err := New(Config{
		VM: name, Router: vm.router, Store: vm.store, Directory: w, Acknowledger: w, Now: w.now, Dial: w.net.dial,
		Random: func() uint64 { mu.Lock(); defer mu.Unlock(); return rng.Uint64() },
		OnEvent: func(e Event) {
			n, _ := w.events.LoadOrStore(e.Kind, &atomic.Int32{})
			n.(*atomic.Int32).Add(1)
		},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	vm.proxy = p
	vm.server = w.serve(name, p.Handler())
	w.serve("peer-"+name, p.PeerHandler())
	w.vms[name] = vm
	w.cleanup = append(w.cleanup, p.Close)
}

// own makes a VM the owner of a cell, with slots from a time on.
func (w *world) own(vm string, cell int, term int64, usableFrom time.Duration) {
	id := dedup.Cell{DataCentre: "giza", Number: cell}
	w.mu.Lock()
	w.homes[id] = Home{VM: vm, Address: "peer-" + vm, Term: term}
	w.mu.Unlock()
	w.vms[vm].store.Table(id).TakeOver(w.now(), dedup.Takeover{Term: term, Until: testLease})
	a := routing.Authority{Term: term, State: routing.Held, FullUntil: testLease, UsableFrom: usableFrom}
	w.vms[vm].router.SetAuthority(cell, a)
}

// publish gives every VM a table with its own workers and the peers' summaries.
func (w *world) publish() {
	w.serial++
	for name := range w.vms {
		s := routing.Snapshot{Now: w.now(), DataCentre: "giza"}
		s.Services = []routing.ServiceEntry{{Name: testService, Spec: w.spec}}
		for cell, ids := range w.workers {
			home, _ := w.Home(dedup.Cell{DataCentre: "giza", Number: cell})
			if home.VM == name {
				s.Workers = append(s.Workers, workerEntries(cell, ids)...)
				continue
			}
			s.Peers = append(s.Peers, routing.PeerEntry{
				VM: home.VM, Address: home.Address, DataCentre: "giza", Cell: cell, Serial: w.serial,
				Free: map[string]int{testService: 8 * len(ids)},
			})
		}
		w.vms[name].router.Update(s)
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

func (w *world) Home(cell dedup.Cell) (Home, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, ok := w.homes[cell]
	return h, ok
}

func (w *world) FreshCell(random uint64) (dedup.Cell, bool) {
	return dedup.Cell{DataCentre: "giza", Number: int(random % 3)}, true
}

func (w *world) Acknowledge(_ context.Context, vm string, in dedup.Intent) error {
	w.mu.Lock()
	cut := w.unreachable[vm]
	w.mu.Unlock()
	if cut {
		return errors.New("unreachable")
	}
	return w.vms[vm].store.Table(in.Cell).AcknowledgeIntent(w.now(), in)
}

// backend starts a backend server.
func (w *world) backend(worker string, h http.HandlerFunc) *backend {
	b := &backend{handler: h}
	w.serve(worker, b)
	return b
}

// raw lets a function answer each connection to a worker after the request's
// head was read.
func (w *world) raw(worker string, answer func(net.Conn)) *atomic.Int32 {
	var n atomic.Int32
	w.net.handle(worker, func(c net.Conn) {
		defer c.Close()
		buffer := make([]byte, 64<<10)
		if _, err := c.Read(buffer); err != nil {
			return
		}
		n.Add(1)
		go func() { _, _ = io.Copy(io.Discard, c) }() // a kernel would buffer the body
		answer(c)
	})
	return &n
}

func (w *world) close() {
	time.Sleep(2 * time.Minute) // virtual: lets all fakes end
	for _, f := range w.cleanup {
		f()
	}
}

func (w *world) count(kind EventKind) int {
	n, ok := w.events.Load(kind)
	if !ok {
		return 0
	}
	return int(n.(*atomic.Int32).Load())
}

// reply is what a caller got.
type reply struct {
	status int
	code   result.Code
	header http.Header
	body   string
	err    error
}

// call sends a request to an entry VM as a caller does.
func (w *world) call(vm, method, id, body string) reply {
	return w.callWith(vm, method, body, http.Header{HeaderRequestID: {id}})
}

func (w *world) callWith(vm, method, body string, header http.Header) reply {
	r, err := http.NewRequest(method, "http://"+vm+"/s/"+testService+"/x?y=1", strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Header = header
	return w.do(vm, r)
}

func (w *world) do(vm string, r *http.Request) reply {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return w.net.dial(ctx, vm) }
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return reply{code: -1, err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	number, convErr := strconv.Atoi(resp.Header.Get(HeaderResult))
	if convErr != nil {
		number = -1
	}
	return reply{status: resp.StatusCode, code: result.Code(number), header: resp.Header, body: string(got), err: err}
}

// idFor returns a caller's own id that is bound to a cell.
func (w *world) idFor(cell int) string {
	for i := 0; ; i++ {
		text := fmt.Sprintf("giza.order-%d", i)
		if id, err := w.vms["a"].store.Resolve(text); err == nil && id.Cell.Number == cell {
			return text
		}
	}
}

func ok(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "done %s %s", r.URL.Path, body)
}
