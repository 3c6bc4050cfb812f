package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/hostapi/httpapi"
	"github.com/cactusreel/cactusreel/result"
)

// Headers between entry VMs and backend servers.
const (
	HeaderRequestID = "Cactusreel-Request-Id"
	HeaderNotRun    = "Cactusreel-Not-Run"
	HeaderTerm      = "Cactusreel-Term"
	HeaderLeaving   = "Cactusreel-Leaving"
)

// Limits of backend servers.
const (
	// DefaultMaxRequestTime is the maximum request time of design, section 3.
	DefaultMaxRequestTime = 5 * time.Second
	// maxEchoBytes bounds request and response bodies.
	maxEchoBytes = 64 << 20
)

// backend is the backend server of one worker.
//
// GET /healthz answers 200. Any other request is run: it takes a slot, works
// for ?work=DURATION, times the slowdown of the worker's services, and answers
// with ?size=N bytes of EchoBody, or with the request's body if there is no
// size. ?gap=DURATION passes between the halves of the answer. The work goes on
// when the caller goes away.
type backend struct {
	node *node

	mu      sync.Mutex
	run     *backendRun
	leaving bool
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	leaving := b.isLeaving()
	if leaving {
		w.Header().Set(HeaderLeaving, "true")
	}
	if r.URL.Path == "/healthz" {
		_, _ = io.WriteString(w, "ok\n")
		return
	}
	term, err := parseTerm(r.Header.Get(HeaderTerm))
	if err != nil {
		refuse(w, err)
		return
	}
	run, number, err := b.begin(r, term, leaving)
	if err != nil {
		refuse(w, err)
		return
	}
	defer b.end(run, number)
	b.answer(w, r, run)
}

func (b *backend) answer(w http.ResponseWriter, r *http.Request, run *backendRun) {
	todo, err := readWork(w, r)
	if err != nil {
		httpapi.WriteError(w, err, result.BadResource)
		return
	}
	slowdown := b.node.serviceSlowdown()
	duration := time.Duration(float64(todo.duration) * slowdown)
	b.wait(run, duration)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(todo.body)))
	half := 0
	if todo.gap > 0 {
		half = len(todo.body) / 2
		_, _ = w.Write(todo.body[:half])
		_ = http.NewResponseController(w).Flush()
		b.wait(run, todo.gap)
	}
	// A failed write means that the caller is gone; the request has run.
	_, _ = w.Write(todo.body[half:])
}

// begin takes a slot and records the request. It panics with
// http.ErrAbortHandler if the worker is down.
func (b *backend) begin(r *http.Request, term int64, leaving bool) (*backendRun, int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.run.crashed:
		panic(http.ErrAbortHandler)
	default:
	}
	guarded := term
	if b.node.platform.options.IgnoreTerms {
		guarded = 0
	}
	concurrent, err := b.run.guard.Admit(guarded)
	execution := Execution{
		RequestID:          r.Header.Get(HeaderRequestID),
		Worker:             b.node.vm.ID,
		DataCentre:         b.node.vm.DataCentre,
		Method:             r.Method,
		Path:               r.URL.Path,
		Term:               term,
		Start:              b.node.platform.now(),
		ConcurrentRequests: concurrent,
		Leaving:            leaving,
	}
	if err != nil {
		execution.RefusalReason = err.Error()
		execution.End = execution.Start
	}
	return b.run, b.node.platform.history.BeginExecution(execution), err
}

// wait waits for d, at most the maximum request time, and panics with
// http.ErrAbortHandler if the worker goes down meanwhile.
func (b *backend) wait(run *backendRun, d time.Duration) {
	timer := time.NewTimer(min(d, b.node.platform.options.maxRequestTime()))
	defer timer.Stop()
	select {
	case <-run.crashed:
		panic(http.ErrAbortHandler)
	case <-timer.C:
	}
}

func (b *backend) end(run *backendRun, number int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node.platform.history.EndExecution(number, b.node.platform.now())
	run.guard.Release()
}

func (b *backend) isLeaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leaving
}

func (b *backend) setLeaving(leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving == leaving {
		return
	}
	b.leaving = leaving
	change := WorkerLeaveCancelled
	if leaving {
		change = WorkerLeaving
	}
	b.node.platform.history.AddWorkerEvent(WorkerEvent{At: b.node.platform.now(), Worker: b.node.vm.ID, Change: change})
}

// boot starts the server with no request running and no term seen.
func (b *backend) boot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.run = &backendRun{guard: NewAdmissionControl(b.node.vm.Slots), crashed: make(chan struct{})}
	b.leaving = false
}

// crash ends the running requests. Boot or nothing follows.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.run.crashed)
}

// refuse answers that the request was not run.
func refuse(w http.ResponseWriter, err error) {
	w.Header().Set(HeaderNotRun, "true")
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

func parseTerm(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	term, err := strconv.ParseInt(text, 10, 64)
	if err != nil || term < 1 {
		return 0, fmt.Errorf("header %s: invalid term %q", HeaderTerm, text)
	}
	return term, nil
}
