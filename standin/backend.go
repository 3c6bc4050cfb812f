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

// HTTP headers between entry VMs and backend servers.
const (
	HeaderRequestID = "Cactusreel-Request-Id"
	HeaderNotRun    = "Cactusreel-Not-Run"
	HeaderTerm      = "Cactusreel-Term"
	HeaderLeaving   = "Cactusreel-Leaving"
)

// Limits of backend servers.
const (
	// DefaultMaxRequestTime is the maximum request time from design, section 3.
	DefaultMaxRequestTime = 5 * time.Second
	// maxBodyBytes bounds request and response bodies.
	maxBodyBytes = 64 << 20
)

// backend is the backend server of one worker.
//
// GET /healthz returns 200. Any other request is executed: it occupies a slot,
// waits for ?work=DURATION multiplied by the slowdown of the worker's services,
// and returns ?size=N bytes of EchoBody, or the request's body if no size is
// given. With ?gap=DURATION, the server pauses between the two halves of the
// response body. A request continues to run when the caller disconnects.
type backend struct {
	node *node

	mu       sync.Mutex
	instance *backendInstance
	leaving  bool
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
		writeNotRun(w, err)
		return
	}
	instance, index, err := b.beginExecution(r, term, leaving)
	if err != nil {
		writeNotRun(w, err)
		return
	}
	defer b.endExecution(instance, index)
	b.respond(w, r, instance)
}

func (b *backend) respond(w http.ResponseWriter, r *http.Request, instance *backendInstance) {
	params, err := parseRequestParameters(w, r)
	if err != nil {
		httpapi.WriteError(w, err, result.BadResource)
		return
	}
	slowdown := b.node.serviceSlowdown()
	duration := time.Duration(float64(params.duration) * slowdown)
	b.wait(instance, duration)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(params.body)))
	firstHalf := 0
	if params.gap > 0 {
		firstHalf = len(params.body) / 2
		_, _ = w.Write(params.body[:firstHalf])
		_ = http.NewResponseController(w).Flush()
		b.wait(instance, params.gap)
	}
	// A write fails only if the caller has disconnected; the request has run.
	_, _ = w.Write(params.body[firstHalf:])
}

// beginExecution occupies a slot and records the request, also if it is
// refused. It panics with http.ErrAbortHandler if the worker is down.
func (b *backend) beginExecution(r *http.Request, term int64, leaving bool) (*backendInstance, int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.instance.crashed:
		panic(http.ErrAbortHandler)
	default:
	}
	admissionTerm := term
	if b.node.platform.options.IgnoreTerms {
		admissionTerm = 0
	}
	concurrent, err := b.instance.admission.Admit(admissionTerm)
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
	return b.instance, b.node.platform.history.BeginExecution(execution), err
}

// wait waits for d, but at most for the maximum request time. It panics with
// http.ErrAbortHandler if the worker goes down while it waits.
func (b *backend) wait(instance *backendInstance, d time.Duration) {
	timer := time.NewTimer(min(d, b.node.platform.options.maxRequestTime()))
	defer timer.Stop()
	select {
	case <-instance.crashed:
		panic(http.ErrAbortHandler)
	case <-timer.C:
	}
}

func (b *backend) endExecution(instance *backendInstance, index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node.platform.history.EndExecution(index, b.node.platform.now())
	instance.admission.Release()
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

// boot starts the server without running requests and without a highest term.
func (b *backend) boot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instance = &backendInstance{admission: NewAdmissionControl(b.node.vm.Slots), crashed: make(chan struct{})}
	b.leaving = false
}

// crash aborts the running requests. Only boot may be called afterwards.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.instance.crashed)
}

// writeNotRun sends the response to a request that was not run.
func writeNotRun(w http.ResponseWriter, err error) {
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
