package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is how often a worker writes its entry.
	heartbeat = 1100 * time.Millisecond
	// holdMax is the longest lease, hold_max_ms of the small deployment.
	holdMax = 10 * time.Second
	// stopTime is stop_ms, checkpointTime checkpoint_s.
	stopTime       = 200 * time.Millisecond
	checkpointTime = 500 * time.Millisecond
)

// worker is a stand-in of a worker. A task runs for the time in its spec, "run=800ms", or until
// it is stopped.
type worker struct {
	stand   *stand
	name    string
	zone    string
	rack    string
	address string
	// started is called after each start, with the lock held.
	started func(w *worker, t *run)

	mu        sync.Mutex
	life      int
	id        string
	born      time.Time
	server    *http.Server
	up        bool
	fence     int64
	leaseEnd  time.Duration
	active    map[string]*run
	closed    map[string]int64
	finished  [][]any
	endCount  int64
	wake      chan struct{}
	sequence  int
	gangGroup *gangs
}

// run is a run of a task.
type run struct {
	task       string
	number     int64
	spec       string
	checkpoint string
	// from is the progress that the checkpoint stands for.
	from     time.Duration
	began    time.Time
	duration time.Duration
	life     int
	ending   bool
	gang     string
}

func (r *run) key() string { return fmt.Sprintf("%s#%d", r.task, r.number) }

// saved returns the newest checkpoint.
func (r *run) saved() string {
	work := r.from + time.Since(r.began)
	if steps := work / checkpointTime; steps > 0 {
		return fmt.Sprintf("%08d", (steps * checkpointTime).Milliseconds())
	}
	return r.checkpoint
}

func (r *run) percent() int {
	if r.duration == 0 {
		return 100
	}
	return min(99, int(100*(r.from+time.Since(r.began))/r.duration))
}

// gangs has the members of gangs on all workers.
type gangs struct {
	mu      sync.Mutex
	members map[string]map[*run]*worker
}

func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.life++
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.life)
	w.born, w.up = time.Now(), true
	w.address = l.Addr().String()
	w.fence, w.leaseEnd, w.endCount, w.finished = 0, 0, 0, nil
	w.active, w.closed, w.wake = make(map[string]*run), make(map[string]int64), make(chan struct{})
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	server, life := w.server, w.life
	w.mu.Unlock()
	w.stand.record("worker %s is up", w.id)
	go func() { _ = server.Serve(l) }()
	go w.announce(life)
	return nil
}

// crash ends the worker and all that runs there. It is up again after a time, with nothing of before.
func (w *worker) crash(down time.Duration) {
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		return
	}
	w.up = false
	id, server := w.id, w.server
	lost := w.active
	w.active = make(map[string]*run)
	w.mu.Unlock()
	w.stand.record("worker %s crashes", id)
	_ = server.Close()
	for _, r := range lost {
		w.stand.record("worker %s: %s run %d is lost with it", id, r.task, r.number)
		w.leaveGang(r, true)
	}
	time.AfterFunc(down, func() {
		w.stand.store.put("keyed.servers", id, nil)
		if err := w.start(); err != nil {
			w.stand.record("worker %s can't start again: %v", w.name, err)
		}
	})
}

// announce writes the worker's entry at intervals.
func (w *worker) announce(life int) {
	for {
		w.mu.Lock()
		if w.life != life || !w.up {
			w.mu.Unlock()
			return
		}
		w.sequence++
		entry := map[string]any{
			"service": "register", "address": w.address, "zone": w.zone, "version": 1, "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"sequence": w.sequence, "born": w.born.UnixMilli(), "capacity": map[string]any{"cpu": 64000, "mem_mb": 256000, "gpu": 0}, "labels": []string{"a", w.rack},
		}
		id := w.id
		w.mu.Unlock()
		w.stand.store.put("keyed.servers", id, entry)
		time.Sleep(heartbeat)
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.born) + time.Second }

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

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.expire()
	if o.FenceToken < w.fence {
		w.reject(out, "fence")
		return
	}
	w.fence = o.FenceToken
	deadline := min(time.Duration(o.DeadlineMs)*time.Millisecond, w.clock()+holdMax)
	switch r.URL.Path {
	case "/-/run-start":
		w.handleStart(out, &o, deadline)
	case "/-/run-stop":
		w.handleStop(&o)
		answer(out, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds()})
	case "/-/pace":
		answer(out, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds()})
	case "/-/hold":
		if o.DeadlineMs > 0 {
			w.leaseEnd = max(w.leaseEnd, deadline)
		}
		w.handleHold(out, r, &o)
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func (w *worker) reject(out http.ResponseWriter, reason string) {
	answer(out, http.StatusConflict, map[string]any{"clock_ms": w.clock().Milliseconds(), "reason": reason})
}

var durationIn = regexp.MustCompile(`run=(\S+)`)

func (w *worker) handleStart(out http.ResponseWriter, o *order, deadline time.Duration) {
	r := &run{task: o.Task, number: o.RunID, spec: o.Spec, checkpoint: o.Checkpoint, began: time.Now(), life: w.life}
	_, there := w.active[r.key()]
	switch {
	case time.Duration(o.DeadlineMs)*time.Millisecond < w.clock():
		w.reject(out, "late")
		return
	case !there && o.RunID <= w.closed[o.Task]:
		w.reject(out, "old")
		return
	}
	w.leaseEnd = max(w.leaseEnd, deadline)
	answer(out, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds()})
	if there {
		return
	}
	if m := durationIn.FindStringSubmatch(o.Spec); m != nil {
		r.duration, _ = time.ParseDuration(m[1])
	}
	if o.Checkpoint != "" {
		r.from = time.Duration(number(strings.TrimLeft(o.Checkpoint, "0"))) * time.Millisecond
	}
	w.active[r.key()] = r
	w.stand.noteStart(w, r)
	if r.duration > 0 {
		time.AfterFunc(max(r.duration-r.from, 50*time.Millisecond), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(r, "done")
		})
	}
	w.joinGang(r)
	if w.started != nil {
		w.started(w, r)
	}
}

// joinGang adds a member to its gang, if the task is of one.
func (w *worker) joinGang(r *run) {
	if !strings.Contains(r.spec, "gang") {
		return
	}
	r.gang = fmt.Sprintf("%s#%d", r.task[:strings.LastIndex(r.task, ".")], r.number)
	w.gangGroup.mu.Lock()
	defer w.gangGroup.mu.Unlock()
	if w.gangGroup.members[r.gang] == nil {
		w.gangGroup.members[r.gang] = make(map[*run]*worker)
	}
	w.gangGroup.members[r.gang][r] = w
}

// leaveGang removes a member. If it was lost, the others end as broken.
func (w *worker) leaveGang(r *run, lost bool) {
	if r.gang == "" {
		return
	}
	w.gangGroup.mu.Lock()
	members := w.gangGroup.members[r.gang]
	delete(members, r)
	others := make(map[*run]*worker)
	for other, on := range members {
		others[other] = on
	}
	w.gangGroup.mu.Unlock()
	if !lost {
		return
	}
	for other, on := range others {
		go func() {
			on.mu.Lock()
			defer on.mu.Unlock()
			on.end(other, "broken")
		}()
	}
}

// end ends a run. The caller holds the lock.
func (w *worker) end(r *run, how string) {
	if w.active[r.key()] != r || w.life != r.life {
		return
	}
	saved := r.saved()
	delete(w.active, r.key())
	w.closed[r.task] = max(w.closed[r.task], r.number)
	w.endCount++
	w.finished = append(w.finished, []any{w.endCount, r.task, r.number, how, saved})
	w.stand.noteEnd(w, r, how, saved)
	w.leaveGang(r, how != "done" && how != "broken")
	close(w.wake)
	w.wake = make(chan struct{})
}

func (w *worker) handleStop(o *order) {
	w.closed[o.Task] = max(w.closed[o.Task], o.RunID)
	r := w.active[(&run{task: o.Task, number: o.RunID}).key()]
	if r == nil || r.ending {
		return
	}
	r.ending = true
	time.AfterFunc(stopTime/2, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(r, "stopped")
	})
}

// expire ends everything if the lease has expired.
func (w *worker) expire() {
	if w.clock() <= w.leaseEnd {
		return
	}
	for _, r := range w.active {
		w.end(r, "lapsed")
	}
}

// watchLease ends what runs when the lease expires, also while nobody calls.
func (w *worker) watchLease() {
	for range time.Tick(20 * time.Millisecond) {
		w.mu.Lock()
		if w.up {
			w.expire()
		}
		w.mu.Unlock()
	}
}

// handleHold answers with the lists of runs. The caller holds the lock.
func (w *worker) handleHold(out http.ResponseWriter, r *http.Request, o *order) {
	life := w.life
	var kept [][]any
	for _, row := range w.finished {
		if row[0].(int64) > o.AckCursor {
			kept = append(kept, row)
		} else {
			w.stand.noteTaken(row[1].(string), row[3].(string))
		}
	}
	w.finished = kept
	if len(w.finished) == 0 && o.WaitMs > 0 {
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
		if w.life != life || !w.up {
			return
		}
		w.expire()
	}
	active, finished := [][]any{}, [][]any{}
	for _, one := range w.active {
		active = append(active, []any{one.task, one.number, one.saved(), one.percent(), 100})
	}
	finished = append(finished, w.finished[:min(len(w.finished), 500)]...)
	answer(out, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "active": active, "finished": finished})
}
