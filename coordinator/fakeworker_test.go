package coordinator_test

import (
	"context"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// fakeWorker is the only worker; it runs each task for a second.
type fakeWorker struct {
	mu        sync.Mutex
	startedAt time.Time
	epoch     int64
	// leaseEnd is the end of the lease on the worker's clock, 0 if there is none.
	leaseEnd  time.Duration
	runs      map[workload.RunID]time.Time
	endedRuns []workload.EndedRun
	sequence  int64
	starts    map[workload.TaskID]int
	// outcome is the outcome of runs that end by themselves.
	outcome workload.Outcome
	// endlessSubmission is the submission whose runs never end; "*" stands for all.
	endlessSubmission string
	// silent: commands get no answer and have no effect.
	silent bool
	// holds: heartbeats are answered after the time that they allow.
	holds bool
	// activeListCalls is the number of calls to Workers in progress, maxListCalls
	// its maximum.
	activeListCalls int
	maxListCalls    int
}

func newFakeWorker() *fakeWorker {
	return &fakeWorker{outcome: workload.Succeeded, startedAt: time.Now(), runs: make(map[workload.RunID]time.Time), starts: make(map[workload.TaskID]int)}
}

func (f *fakeWorker) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// startedTasks returns the number of tasks that were started.
func (f *fakeWorker) startedTasks() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}

func (f *fakeWorker) clock() time.Duration { return time.Since(f.startedAt) + time.Second }

// isSilent reports whether a command gets no answer, after the time that its sender waits.
func (f *fakeWorker) isSilent() bool {
	f.mu.Lock()
	silent := f.silent
	f.mu.Unlock()
	if silent {
		time.Sleep(700 * time.Millisecond)
	}
	return silent
}

func (f *fakeWorker) lockForEpoch(epoch int64) bool {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	f.epoch = max(f.epoch, epoch)
	if f.clock() > f.leaseEnd {
		f.expireRuns()
	}
	for run, at := range f.runs {
		if time.Since(at) >= time.Second && run.Task.Submission != f.endlessSubmission && f.endlessSubmission != "*" {
			delete(f.runs, run)
			f.sequence++
			f.endedRuns = append(f.endedRuns, workload.EndedRun{RunID: run, Sequence: f.sequence, Outcome: f.outcome})
		}
	}
	return epoch >= f.epoch
}

// expireRuns ends all runs because the lease has expired.
func (f *fakeWorker) expireRuns() {
	for run := range f.runs {
		delete(f.runs, run)
		f.sequence++
		f.endedRuns = append(f.endedRuns, workload.EndedRun{RunID: run, Sequence: f.sequence, Outcome: workload.Lapsed})
	}
}

func (f *fakeWorker) Heartbeat(_ context.Context, epoch int64, h dispatch.Heartbeat) (workload.Report, dispatch.Answer) {
	if f.isSilent() {
		return workload.Report{}, dispatch.NoAnswer
	}
	defer f.mu.Unlock()
	if !f.lockForEpoch(epoch) {
		return workload.Report{}, dispatch.Fenced
	}
	f.leaseEnd = max(f.leaseEnd, h.Deadline)
	if f.holds && h.Wait > 0 {
		f.mu.Unlock()
		time.Sleep(h.Wait)
		silent := f.isSilent()
		f.lockForEpoch(epoch)
		if silent {
			return workload.Report{}, dispatch.NoAnswer
		}
	}
	r := workload.Report{Incarnation: h.Incarnation, Clock: f.clock()}
	for run := range f.runs {
		r.Active = append(r.Active, workload.ActiveRun{RunID: run})
	}
	for _, e := range f.endedRuns {
		if e.Sequence > h.Cursor {
			r.Ended = append(r.Ended, e)
		}
	}
	return r, dispatch.Done
}

func (f *fakeWorker) Start(_ context.Context, epoch int64, s dispatch.Start) dispatch.StartResult {
	if f.isSilent() {
		return dispatch.StartResult{Answer: dispatch.NoAnswer}
	}
	defer f.mu.Unlock()
	if !f.lockForEpoch(epoch) {
		return dispatch.StartResult{Answer: dispatch.Fenced, Clock: f.clock()}
	}
	f.leaseEnd = max(f.leaseEnd, s.Deadline)
	if _, ok := f.runs[s.Run]; !ok {
		f.runs[s.Run] = time.Now()
		f.starts[s.Run.Task]++
	}
	return dispatch.StartResult{Answer: dispatch.Done, Clock: f.clock()}
}

func (f *fakeWorker) Stop(_ context.Context, epoch int64, s dispatch.Stop) dispatch.Answer {
	if f.isSilent() {
		return dispatch.NoAnswer
	}
	defer f.mu.Unlock()
	if !f.lockForEpoch(epoch) {
		return dispatch.Fenced
	}
	if _, ok := f.runs[s.Run]; ok {
		delete(f.runs, s.Run)
		f.sequence++
		f.endedRuns = append(f.endedRuns, workload.EndedRun{RunID: s.Run, Sequence: f.sequence, Outcome: workload.Stopped})
	}
	return dispatch.Done
}

func (f *fakeWorker) Pace(_ context.Context, epoch int64, _ dispatch.Pace) dispatch.Answer {
	defer f.mu.Unlock()
	if !f.lockForEpoch(epoch) {
		return dispatch.Fenced
	}
	return dispatch.Done
}

// Workers implements coordinator.WorkerDirectory.
func (f *fakeWorker) Workers(context.Context) ([]workload.Worker, bool, error) {
	f.mu.Lock()
	f.activeListCalls++
	f.maxListCalls = max(f.maxListCalls, f.activeListCalls)
	f.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	f.activeListCalls--
	f.mu.Unlock()
	return []workload.Worker{{
		Incarnation: workload.Incarnation{Worker: "w", StartMillis: 1}, Service: "register", Address: "w", DataCentre: "giza",
		Capacity: hostapi.Resources{MilliCPU: 8000, MemoryMiB: 1000},
	}}, false, nil
}
