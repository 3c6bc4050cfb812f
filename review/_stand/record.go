package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what the requesters sent, what they were answered and what the workers ran. It
// checks the rule TWICE.
type record struct {
	mu      sync.Mutex
	began   time.Time
	file    *os.File
	running map[string]map[string]bool
	done    map[string]doneEnd
	noted   map[string]bool
	starts  []startOf
	overlap []string
	// failures counts the ends `failed` of each task, runsOf the starts.
	failures map[string]int
	runsOf   map[string]int
	// failedRuns are the run numbers of each step that ended `failed`.
	failedRuns map[string]map[int64]bool
	lastEnd    time.Time
}

type doneEnd struct {
	at time.Time
	on string
}

type startOf struct {
	task   string
	number int64
	on     string
	at     time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		began: time.Now(), file: file, running: make(map[string]map[string]bool), done: make(map[string]doneEnd),
		noted: make(map[string]bool), failures: make(map[string]int), runsOf: make(map[string]int),
		failedRuns: make(map[string]map[int64]bool),
	}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) started(on, task string, number, fence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("start %s run %d on %s, epoch %d", task, number, on, fence)
	for other := range r.running[task] {
		line := fmt.Sprintf("task %s: run %d starts on %s while %s is active", task, number, on, other)
		r.overlap = append(r.overlap, line)
		r.write("TWICE %s", line)
	}
	if r.running[task] == nil {
		r.running[task] = make(map[string]bool)
	}
	r.running[task][fmt.Sprintf("run %d on %s", number, on)] = true
	r.starts = append(r.starts, startOf{task: task, number: number, on: on, at: time.Now()})
	r.runsOf[task]++
}

func (r *record) ended(on, task string, number int64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("end %s run %d on %s: %s", task, number, on, how)
	r.lastEnd = time.Now()
	delete(r.running[task], fmt.Sprintf("run %d on %s", number, on))
	switch how {
	case "done":
		if _, known := r.done[task]; !known {
			r.done[task] = doneEnd{at: time.Now(), on: on}
		}
	case "failed":
		r.failures[task]++
		step := stepOf(task)
		if r.failedRuns[step] == nil {
			r.failedRuns[step] = make(map[int64]bool)
		}
		r.failedRuns[step][number] = true
	}
}

// gone removes a run of a worker that crashed.
func (r *record) gone(on, task string, number int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("gone %s run %d with %s", task, number, on)
	delete(r.running[task], fmt.Sprintf("run %d on %s", number, on))
}

// takeNote records that an end is taken note of: ack_cursor has reached it. It doesn't count if
// the lease lapsed between the two.
func (r *record) takeNote(on, task string, number int64, how string, lapsed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("noted %s run %d on %s: %s, lease lapsed before: %v", task, number, on, how, lapsed)
	if how == "done" && !lapsed {
		r.noted[task] = true
	}
}

// twice returns the breaks of TWICE: two runs at the same time, or a start after an end
// `done` that is taken note of, then or later.
func (r *record) twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := append([]string(nil), r.overlap...)
	for _, s := range r.starts {
		end, done := r.done[s.task]
		if done && r.noted[s.task] && s.at.After(end.at) {
			out = append(out, fmt.Sprintf("task %s: run %d starts on %s %.3f s after a run ended done on %s, and that end was taken note of",
				s.task, s.number, s.on, s.at.Sub(end.at).Seconds(), end.on))
		}
	}
	return out
}

func (r *record) failuresOf(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures[task]
}

// runsFailed returns how many runs of a gang have ended `failed`, however many members did.
func (r *record) runsFailed(step string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.failedRuns[step])
}

// startsOf returns the number of starts of the tasks of a submission's first step.
func (r *record) startsOf(id string, tasks int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for i := range tasks {
		n += r.runsOf[fmt.Sprintf("%s.0.0.%d", id, i)]
	}
	return n
}

// isRunning reports whether a task of a submission's first step is active.
func (r *record) isRunning(id string, tasks int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range tasks {
		if len(r.running[fmt.Sprintf("%s.0.0.%d", id, i)]) > 0 {
			return true
		}
	}
	return false
}

func (r *record) runningCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, runs := range r.running {
		n += len(runs)
	}
	return n
}

func (r *record) sinceLastEnd() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastEnd)
}
