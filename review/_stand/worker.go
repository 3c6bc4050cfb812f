package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds of the small deployment.
const (
	leaseLimit  = 10 * time.Second
	stopTime    = 200 * time.Millisecond
	gangTimeout = 3 * time.Second
	// endsListed is the number of ends that one answer returns.
	endsListed = 500
	// failsAfter is the time after which a worker fails what it has started, if it does.
	failsAfter = 3 * time.Millisecond
)

// run is a run that is active on a worker.
type run struct {
	task      string
	number    int64
	beganAt   time.Time
	workFor   time.Duration
	timer     *time.Timer
	gang      *gang
	isStopped bool
}

// endedRun is an end that the worker lists until it is acknowledged.
type endedRun struct {
	sequence int64
	task     string
	number   int64
	how      string
	lapsed   bool
}

// worker is a worker as the users' protocol describes it.
type worker struct {
	id     string
	zone   string
	labels []string
	cpu    int64
	memMB  int64
	record *record
	gangs  *gangs
	// fails: the worker fails all that it starts.
	fails bool

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	address  string
	born     time.Time
	up       bool
	fence    int64
	leaseEnd time.Duration
	active   map[string]*run
	closed   map[string]int64
	ended    []endedRun
	count    int64
	changed  chan struct{}
	lifetime int
}

func newWorker(id, zone string, labels []string, rec *record, g *gangs) *worker {
	return &worker{id: id, zone: zone, labels: labels, cpu: 64000, memMB: 256000, record: rec, gangs: g}
}

// boot starts a lifetime of the worker. A later one has the same address.
func (w *worker) boot() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.listener, w.address = l, l.Addr().String()
	w.born, w.up, w.fence, w.leaseEnd, w.count = time.Now(), true, 0, 0, 0
	w.active, w.closed, w.ended = make(map[string]*run), make(map[string]int64), nil
	w.changed = make(chan struct{})
	w.lifetime++
	w.server = &http.Server{Handler: w}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
	w.record.add("worker %s is up, born %d", w.id, w.born.UnixMilli())
	return nil
}

// crash ends the lifetime without a word.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	w.lifetime++
	for _, r := range w.active {
		r.timer.Stop()
		w.record.gone(w.id, r.task, r.number)
		if r.gang != nil {
			go r.gang.memberEnded(r, "gone")
		}
	}
	w.active = make(map[string]*run)
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
	w.record.add("worker %s crashed", w.id)
}

func (w *worker) clock() time.Duration { return time.Since(w.born) + time.Second }

// entry is what the worker says of itself in the store, or nil while it is down.
func (w *worker) entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return nil
	}
	return map[string]any{
		"service": "svc", "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "born": w.born.UnixMilli(), "clock_ms": w.clock().Milliseconds(), "sequence": time.Since(w.born).Milliseconds(),
		"capacity": map[string]any{"cpu": w.cpu, "mem_mb": w.memMB, "gpu": 0}, "labels": w.labels,
	}
}

type order struct {
	Task       string `json:"task"`
	RunID      int64  `json:"run_id"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	FenceToken int64  `json:"fence_token"`
	AckCursor  int64  `json:"ack_cursor"`
	WaitMs     int64  `json:"wait_ms"`
	Checkpoint string `json:"checkpoint"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	lifetime := w.lifetime
	w.lapse()
	if o.FenceToken < w.fence {
		w.refuse(out, "fence")
		return
	}
	w.fence = o.FenceToken
	deadline := time.Duration(o.DeadlineMs) * time.Millisecond
	switch r.URL.Path {
	case "/-/run-start":
		w.start(out, &o, deadline)
	case "/-/run-stop":
		w.stop(&o)
		answer(out, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds()})
	case "/-/pace":
		answer(out, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds()})
	case "/-/hold":
		w.extend(deadline)
		w.acknowledge(o.AckCursor)
		w.await(r, time.Duration(o.WaitMs)*time.Millisecond)
		if w.lifetime != lifetime {
			panic(http.ErrAbortHandler)
		}
		w.report(out)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) refuse(out http.ResponseWriter, reason string) {
	answer(out, http.StatusConflict, map[string]any{"clock_ms": w.clock().Milliseconds(), "reason": reason})
}

func (w *worker) extend(deadline time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+leaseLimit))
}

// lapse ends everything that runs if the lease has expired.
func (w *worker) lapse() {
	if w.clock() <= w.leaseEnd {
		return
	}
	for i := range w.ended {
		w.ended[i].lapsed = true
	}
	for _, r := range w.active {
		w.end(r, "lapsed")
	}
}

func key(task string, number int64) string { return fmt.Sprintf("%s#%d", task, number) }

func (w *worker) end(r *run, how string) {
	if w.active[key(r.task, r.number)] != r {
		return
	}
	r.timer.Stop()
	delete(w.active, key(r.task, r.number))
	w.closed[r.task] = max(w.closed[r.task], r.number)
	w.count++
	w.ended = append(w.ended, endedRun{sequence: w.count, task: r.task, number: r.number, how: how})
	w.record.ended(w.id, r.task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
	if r.gang != nil {
		go r.gang.memberEnded(r, how)
	}
}

func (w *worker) start(out http.ResponseWriter, o *order, deadline time.Duration) {
	workFor, err := time.ParseDuration(o.Spec)
	present := w.active[key(o.Task, o.RunID)]
	switch {
	case err != nil || o.RunID < 1:
		out.WriteHeader(http.StatusBadRequest)
		return
	case deadline < w.clock():
		w.refuse(out, "late")
		return
	case present == nil && o.RunID <= w.closed[o.Task]:
		w.extend(deadline)
		w.refuse(out, "old")
		return
	}
	w.extend(deadline)
	if present == nil {
		r := &run{task: o.Task, number: o.RunID, beganAt: time.Now(), workFor: workFor}
		w.active[key(o.Task, o.RunID)] = r
		w.record.started(w.id, o.Task, o.RunID, o.FenceToken)
		r.timer = time.AfterFunc(time.Hour, func() {})
		if w.gangs.isGang(o.Task) {
			r.gang = w.gangs.join(w, r)
		} else {
			w.beginWork(r)
		}
	}
	answer(out, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds()})
}

// beginWork lets a run work for its time. The caller holds the lock.
func (w *worker) beginWork(r *run) {
	r.beganAt = time.Now()
	lifetime := w.lifetime
	workFor := r.workFor
	if w.fails {
		workFor = failsAfter
	}
	r.timer = time.AfterFunc(workFor, func() { w.endLater(r, "", lifetime) })
}

// endLater ends a run of a lifetime. Without how, its work is over.
func (w *worker) endLater(r *run, how string, lifetime int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lifetime != lifetime {
		return
	}
	w.lapse()
	switch {
	case how != "":
	case w.fails:
		how = "failed"
	default:
		how = "done"
	}
	w.end(r, how)
}

func (w *worker) stop(o *order) {
	w.closed[o.Task] = max(w.closed[o.Task], o.RunID)
	r := w.active[key(o.Task, o.RunID)]
	if r == nil || r.isStopped {
		return
	}
	r.isStopped = true
	r.timer.Stop()
	lifetime := w.lifetime
	r.timer = time.AfterFunc(stopTime/4, func() { w.endLater(r, "stopped", lifetime) })
}

func (w *worker) acknowledge(cursor int64) {
	at := 0
	for at < len(w.ended) && w.ended[at].sequence <= cursor {
		e := &w.ended[at]
		w.record.takeNote(w.id, e.task, e.number, e.how, e.lapsed)
		at++
	}
	w.ended = slices.Clone(w.ended[at:])
}

// await waits until there is an end to list, without the lock.
func (w *worker) await(r *http.Request, wait time.Duration) {
	if len(w.ended) > 0 || wait <= 0 {
		return
	}
	changed := w.changed
	w.mu.Unlock()
	defer w.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (w *worker) report(out http.ResponseWriter) {
	w.lapse()
	active, finished := [][]any{}, [][]any{}
	for _, r := range w.active {
		percent := min(99, int(100*time.Since(r.beganAt)/max(r.workFor, time.Millisecond)))
		active = append(active, []any{r.task, r.number, "", percent, 50})
	}
	for _, e := range w.ended[:min(len(w.ended), endsListed)] {
		finished = append(finished, []any{e.sequence, e.task, e.number, e.how, ""})
	}
	answer(out, http.StatusOK, map[string]any{
		"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "active": active, "finished": finished,
	})
}

func answer(out http.ResponseWriter, status int, value any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	// The write fails only if the caller has left.
	_ = json.NewEncoder(out).Encode(value)
}
