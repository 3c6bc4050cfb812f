package coordinator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// maxLateCommand is how late a command without an answer may be carried out.
const maxLateCommand = 3 * time.Second

// maxStormRun is the duration of a long run.
const maxStormRun = 10 * time.Second

// stormWorkers are workers that restart under their ids and lose commands and answers. They check that no
// task has two runs at a time, and that none starts after the end of a run that completed it, if that end
// is acknowledged then or later. An end doesn't count if the worker's lease expired between the two.
type stormWorkers struct {
	mu      sync.Mutex
	random  *rand.Rand
	workers map[string]*stormWorker
	ids     []string
	// faultShare is the share of the commands that are lost, late, or without an answer.
	faultShare float64
	// acknowledged holds the completed tasks whose ends were acknowledged, with the run; started is when
	// each task was last started.
	acknowledged map[workload.TaskID]string
	started      map[workload.TaskID]time.Time
	starts       int
	violations   []string
}

// stormWorker is one incarnation of a worker.
type stormWorker struct {
	incarnation workload.Incarnation
	bornAt      time.Time
	epoch       int64
	leaseEnd    time.Duration
	cutUntil    time.Time
	runs        map[workload.RunID]stormRun
	// newest holds the highest run of each task that was started.
	newest map[workload.TaskID]int64
	ended  []workload.EndedRun
	ends   int64
	// endedAt holds the times of the ends that are not acknowledged and after which the lease has not
	// expired.
	endedAt map[int64]time.Time
}

// stormRun is an active run; ends is on the worker's clock.
type stormRun struct {
	epoch   int64
	ends    time.Duration
	outcome workload.Outcome
}

func newStormWorkers(random *rand.Rand, count int) *stormWorkers {
	w := &stormWorkers{random: random, workers: make(map[string]*stormWorker), acknowledged: make(map[workload.TaskID]string), started: make(map[workload.TaskID]time.Time)}
	for i := range count {
		id := fmt.Sprint("w", i)
		w.ids = append(w.ids, id)
		w.restart(id)
	}
	return w
}

// restart begins the next incarnation of a worker. It has no runs, and has seen no epoch.
func (w *stormWorkers) restart(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id] = &stormWorker{
		incarnation: workload.Incarnation{Worker: id, StartMillis: time.Now().UnixMilli()}, bornAt: time.Now(),
		runs: make(map[workload.RunID]stormRun), newest: make(map[workload.TaskID]int64), endedAt: make(map[int64]time.Time),
	}
}

func (w *stormWorkers) cut(id string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].cutUntil = time.Now().Add(d)
}

func (w *stormWorkers) setFaults(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultShare = share
}

func (s *stormWorker) clock() time.Duration { return time.Since(s.bornAt) + time.Second }

// advance ends the runs that have ended by now.
func (s *stormWorker) advance() {
	for id, run := range s.runs {
		outcome := run.outcome
		if run.ends > s.leaseEnd {
			outcome = workload.Lapsed
		}
		if ends := min(run.ends, s.leaseEnd); s.clock() >= ends {
			s.end(id, outcome, time.Now().Add(ends-s.clock()))
		}
	}
	if s.clock() >= s.leaseEnd {
		clear(s.endedAt)
	}
}

func (s *stormWorker) end(id workload.RunID, outcome workload.Outcome, at time.Time) {
	delete(s.runs, id)
	s.ends++
	s.ended = append(s.ended, workload.EndedRun{RunID: id, Sequence: s.ends, Outcome: outcome})
	s.endedAt[s.ends] = at
}

// command carries a command of an epoch out on an incarnation of a worker, if it arrives, and reports
// whether it has an answer, and of which incarnation.
func (w *stormWorkers) command(p *stormProcess, t dispatch.Target, do func(s *stormWorker)) (answers workload.Incarnation, answered bool) {
	p.await()
	time.Sleep(time.Duration(2+w.number(10)) * time.Millisecond)
	carryOut := func() workload.Incarnation {
		w.mu.Lock()
		defer w.mu.Unlock()
		s := w.workers[t.Worker]
		if s.incarnation == t.Incarnation {
			s.advance()
			do(s)
		}
		return s.incarnation
	}
	w.mu.Lock()
	faulty := w.random.Float64() < w.faultShare
	cut := time.Now().Before(w.workers[t.Worker].cutUntil)
	w.mu.Unlock()
	switch {
	case cut || p.isKilled():
	case !faulty:
		answers = carryOut()
		p.await()
		return answers, !p.isKilled()
	case w.number(3) == 0:
		carryOut()
	case w.number(2) == 0:
		time.AfterFunc(time.Duration(w.number(int(maxLateCommand.Milliseconds())))*time.Millisecond, func() { carryOut() })
	}
	time.Sleep(dispatch.CommandTimeout)
	return workload.Incarnation{}, false
}

func (w *stormWorkers) number(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// client returns the workers as a process reaches them.
func (w *stormWorkers) client(p *stormProcess) stormClient { return stormClient{w, p} }

// stormClient implements coordinator.WorkerClient and coordinator.WorkerDirectory for a process.
type stormClient struct {
	*stormWorkers
	p *stormProcess
}

func (c stormClient) Heartbeat(_ context.Context, epoch int64, h dispatch.Heartbeat) (workload.Report, dispatch.Answer) {
	for end := time.Now().Add(h.Wait / 4); time.Now().Before(end) && !c.hasEnds(h); {
		time.Sleep(20 * time.Millisecond)
	}
	var r workload.Report
	answer := dispatch.Done
	found, answered := c.command(c.p, h.Target, func(s *stormWorker) {
		if s.epoch > epoch {
			answer = dispatch.Fenced
			return
		}
		s.epoch = epoch
		s.leaseEnd = max(s.leaseEnd, h.Deadline)
		c.acknowledge(s, h.Cursor)
		r = workload.Report{Incarnation: s.incarnation, Clock: s.clock(), Ended: append([]workload.EndedRun(nil), s.ended...)}
		for run := range s.runs {
			r.Active = append(r.Active, workload.ActiveRun{RunID: run})
		}
	})
	switch {
	case !answered:
		return workload.Report{}, dispatch.NoAnswer
	case found != h.Incarnation:
		return workload.Report{Incarnation: found, Clock: time.Second}, dispatch.Done
	}
	return r, answer
}

// hasEnds reports whether a worker has ends that a heartbeat doesn't acknowledge.
func (w *stormWorkers) hasEnds(h dispatch.Heartbeat) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.workers[h.Worker]
	s.advance()
	return s.ends > h.Cursor
}

// acknowledge forgets the ends up to a cursor. The caller holds the lock.
func (w *stormWorkers) acknowledge(s *stormWorker, cursor int64) {
	var left []workload.EndedRun
	for _, e := range s.ended {
		switch {
		case e.Sequence > cursor:
			left = append(left, e)
		case e.Outcome == workload.Succeeded && s.endedAt[e.Sequence] != time.Time{}:
			end := fmt.Sprintf("run %d on %s, ended at %s", e.Run, s.incarnation.Worker, s.endedAt[e.Sequence].Format("05.000"))
			if started := w.started[e.Task]; started.After(s.endedAt[e.Sequence]) {
				w.violations = append(w.violations, fmt.Sprintf("%v: acknowledged after the next start at %s: %s", e.Task, started.Format("05.000"), end))
			}
			w.acknowledged[e.Task] = end
		}
		if e.Sequence <= cursor {
			delete(s.endedAt, e.Sequence)
		}
	}
	s.ended = left
}

func (c stormClient) Start(_ context.Context, epoch int64, start dispatch.Start) dispatch.StartResult {
	var r dispatch.StartResult
	found, answered := c.command(c.p, start.Target, func(s *stormWorker) { r = c.start(s, epoch, start) })
	switch {
	case !answered:
		return dispatch.StartResult{Answer: dispatch.NoAnswer}
	case found != start.Incarnation:
		return dispatch.StartResult{Answer: dispatch.WrongWorker, Found: found}
	}
	return r
}

// start starts a run and checks that it may start. The caller holds the lock.
func (w *stormWorkers) start(s *stormWorker, epoch int64, start dispatch.Start) dispatch.StartResult {
	answer := dispatch.Done
	_, active := s.runs[start.Run]
	switch {
	case epoch < s.epoch:
		answer = dispatch.Fenced
	case start.Deadline <= s.clock():
		answer = dispatch.TooLate
	case !active && s.newest[start.Run.Task] >= start.Run.Run:
		answer = dispatch.Superseded
	}
	if answer != dispatch.Done {
		return dispatch.StartResult{Answer: answer, Clock: s.clock()}
	}
	s.epoch = epoch
	s.leaseEnd = max(s.leaseEnd, start.Deadline)
	if !active {
		w.check(s, epoch, start.Run)
		w.starts++
		w.started[start.Run.Task] = time.Now()
		run := stormRun{epoch: epoch, ends: s.clock() + time.Duration(300+w.random.IntN(1500))*time.Millisecond, outcome: workload.Succeeded}
		switch w.random.IntN(20) {
		case 0:
			run.outcome = workload.Errored
		case 1:
			run.ends += maxStormRun
		}
		s.runs[start.Run], s.newest[start.Run.Task] = run, start.Run.Run
	}
	return dispatch.StartResult{Answer: dispatch.Done, Clock: s.clock()}
}

func (w *stormWorkers) check(s *stormWorker, epoch int64, start workload.RunID) {
	started := fmt.Sprintf("%s: %v run %d on %s in epoch %d", time.Now().Format("05.000"), start.Task, start.Run, s.incarnation.Worker, epoch)
	if end, ok := w.acknowledged[start.Task]; ok {
		w.violations = append(w.violations, fmt.Sprintf("%s after its end was acknowledged: %s", started, end))
	}
	for _, other := range w.workers {
		other.advance()
		for id, run := range other.runs {
			if id.Task == start.Task {
				w.violations = append(w.violations, fmt.Sprintf("%s beside run %d on %s of epoch %d", started, id.Run, other.incarnation.Worker, run.epoch))
			}
		}
	}
}

func (c stormClient) Stop(_ context.Context, epoch int64, stop dispatch.Stop) dispatch.Answer {
	answer := dispatch.Done
	found, answered := c.command(c.p, stop.Target, func(s *stormWorker) {
		if s.epoch > epoch {
			answer = dispatch.Fenced
			return
		}
		s.epoch = epoch
		if _, ok := s.runs[stop.Run]; ok {
			s.end(stop.Run, workload.Stopped, time.Now())
		}
		s.newest[stop.Run.Task] = max(s.newest[stop.Run.Task], stop.Run.Run)
	})
	switch {
	case !answered:
		return dispatch.NoAnswer
	case found != stop.Incarnation:
		return dispatch.WrongWorker
	}
	return answer
}

func (stormClient) Pace(context.Context, int64, dispatch.Pace) dispatch.Answer { return dispatch.Done }

func (c stormClient) Workers(context.Context) ([]workload.Worker, bool, error) {
	time.Sleep(5 * time.Millisecond)
	if c.p.isKilled() {
		return nil, false, errLost
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []workload.Worker
	for _, id := range c.ids {
		list = append(list, workload.Worker{
			Incarnation: c.workers[id].incarnation, Service: "register", Address: id, DataCentre: "giza",
			Capacity: hostapi.Resources{MilliCPU: 8000, MemoryMiB: 1000},
		})
	}
	return list, true, nil
}
