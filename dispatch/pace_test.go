package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// sharedWorkers simulates workers on which best-effort runs push a serving task over its
// latency target at their full pace.
type sharedWorkers struct {
	// losesPaces: no order of a pace is carried out or answered. paces counts those of a
	// positive pace below 100.
	losesPaces bool
	paces      int
	ledger     *ledger.Ledger
	machine    *dispatch.Machine
	now        time.Duration
	workers    []*sharedWorker
}

type sharedWorker struct {
	info    workload.Worker
	runs    map[workload.RunID]*sharedRun
	ended   []workload.EndedRun
	lastEnd int64
	// utilisation has the last half second, over which a report averages.
	utilisation []float64
	// overFor is for how long the serving task has been over its target.
	overFor time.Duration
}

type sharedRun struct {
	serving bool
	pace    int
	left    time.Duration
}

// newSharedWorkers returns n workers with 64 cores and one serving task each.
func newSharedWorkers(n int) *sharedWorkers {
	s := &sharedWorkers{ledger: ledger.New(), now: time.Minute}
	s.open(1)
	for i := range n {
		id := fmt.Sprintf("w%d", i)
		s.workers = append(s.workers, &sharedWorker{runs: make(map[workload.RunID]*sharedRun), utilisation: make([]float64, 5), info: workload.Worker{
			Incarnation: workload.Incarnation{Worker: id, StartMillis: 1}, Service: "register", Address: id, DataCentre: "giza", Rack: "r1-1",
			Capacity: hostapi.Resources{MilliCPU: 64000, MemoryMiB: 1 << 20},
		}})
	}
	serving := watchStep
	serving.Tasks, serving.MaxPerWorker, serving.Request.MilliCPU = n, 1, 40000
	s.submit("watch", serving)
	s.run(5*time.Second, func() {})
	return s
}

// open opens an epoch: its owner knows nothing but the ledger.
func (s *sharedWorkers) open(epoch int64) {
	s.machine = dispatch.New(dispatch.Config{Epoch: epoch, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2}, s.ledger, s.now, time.Now())
}

// submit submits a step that can only end very late.
func (s *sharedWorkers) submit(id string, step workload.Step) {
	e := s.ledger.Apply(ledger.SubmittedRecord(&workload.Submission{
		ID: id, Queue: "q", Steps: []workload.Step{step}, Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 1},
		AcceptedAt: time.UnixMilli((s.now - time.Minute).Milliseconds()),
	}))
	s.handle(dispatch.EntryChanged{Entry: e})
}

func (s *sharedWorkers) at(id string) *sharedWorker { return s.workers[id[1]-'0'] }

func (s *sharedWorkers) handle(ev dispatch.Event) {
	queue := s.machine.Step(s.now, ev)
	for ; len(queue) > 0; queue = queue[1:] {
		var answer dispatch.Event
		switch a := queue[0].(type) {
		case dispatch.Append:
			answer = dispatch.Appended{ID: a.ID}
		case dispatch.Start:
			s.at(a.Worker).runs[a.Run] = &sharedRun{serving: a.Run.Task.Submission == "watch", pace: 100, left: 4 * time.Second}
			answer = dispatch.StartAnswered{Worker: a.Worker, Run: a.Run, Answer: dispatch.Done, Clock: s.now}
		case dispatch.Stop:
			s.at(a.Worker).end(a.Run, workload.Stopped)
			answer = dispatch.StopAnswered{Worker: a.Worker, Run: a.Run, Answer: dispatch.Done}
		case dispatch.Pace:
			if a.Percent > 0 && a.Percent < 100 {
				s.paces++
			}
			done := dispatch.NoAnswer
			if r := s.at(a.Worker).runs[a.Run]; r != nil && !s.losesPaces {
				r.pace, done = a.Percent, dispatch.Done
			}
			answer = dispatch.PaceAnswered{Worker: a.Worker, Run: a.Run, Percent: a.Percent, Answer: done}
		default:
			continue
		}
		queue = append(queue, s.machine.Step(s.now, answer)...)
	}
}

func (w *sharedWorker) end(id workload.RunID, outcome workload.Outcome) {
	if w.runs[id] != nil {
		delete(w.runs, id)
		w.lastEnd++
		w.ended = append(w.ended, workload.EndedRun{RunID: id, Sequence: w.lastEnd, Outcome: outcome})
	}
}

// advance lets the runs work and returns the report. The serving task alone uses 0.4 of what
// it can; a best-effort run at its full pace adds 0.5 and pushes it over its target.
func (w *sharedWorker) advance(now, by time.Duration) workload.Report {
	utilisation := 0.4
	for id, r := range w.runs {
		if !r.serving {
			utilisation += 0.5 * float64(r.pace) / 100
			if r.left -= by * time.Duration(r.pace) / 100; r.left <= 0 {
				w.end(id, workload.Succeeded)
			}
		}
	}
	w.utilisation = append(w.utilisation[1:], utilisation)
	mean := 0.0
	for _, u := range w.utilisation {
		mean += u / float64(len(w.utilisation))
	}
	tail := time.Duration(float64(10*time.Millisecond) / (1 - min(mean, 0.95)))
	w.overFor += by
	if tail <= watchStep.LatencyTarget {
		w.overFor = 0
	}
	report := workload.Report{Incarnation: w.info.Incarnation, Clock: now, Ended: w.ended}
	for id, r := range w.runs {
		a := workload.ActiveRun{RunID: id, ProgressPercent: 100 - int(r.left*100/(4*time.Second)), UsedMilliCPU: 12800 * int64(r.pace) / 100}
		if r.serving {
			a.ProgressPercent, a.UsedMilliCPU, a.TailLatency = 100, 0, tail
		}
		report.Active = append(report.Active, a)
	}
	return report
}

// run lets time pass in steps of 100 ms. check is called after each.
func (s *sharedWorkers) run(duration time.Duration, check func()) {
	const interval = 100 * time.Millisecond
	for end := s.now + duration; s.now < end; s.now += interval {
		var list []workload.Worker
		for _, w := range s.workers {
			list = append(list, w.info)
		}
		s.handle(dispatch.WorkersListed{Workers: list})
		s.handle(dispatch.Tick{Now: time.UnixMilli(s.now.Milliseconds())})
		for _, w := range s.workers {
			s.handle(dispatch.HeartbeatAnswered{Worker: w.info.ID(), SentAt: s.now, Report: w.advance(s.now, interval)})
		}
		check()
	}
}

// Guards against best-effort tasks that are stopped because they interfere, and then never
// run again, because every worker has a serving task beside which they would interfere.
func TestInterferingBestEffortTasksRunAgain(t *testing.T) {
	for name, takeover := range map[string]bool{"one owner": false, "takeover": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSharedWorkers(3)
			idleSince := make(map[string]time.Duration)
			for i := range 6 {
				id := fmt.Sprintf("report-%d", i)
				step := reportStep
				step.Request.MilliCPU = 12800
				s.submit(id, step)
				idleSince[id] = s.now
			}
			opened := s.now
			s.run(90*time.Second, func() {
				if takeover && s.now-opened == 20*time.Second {
					opened = s.now
					s.open(2)
				}
				for id, since := range idleSince {
					active := s.ledger.Find(id).State().Final()
					for _, w := range s.workers {
						for run := range w.runs {
							active = active || run.Task.Submission == id
						}
						// The deployments allow 4 s.
						is.True(w.overFor < 3*time.Second)
					}
					if active {
						idleSince[id] = s.now
					}
					// The bound, and the 6 s for which the tasks before it may run at full pace.
					if s.now-max(since, opened) > 12*time.Second {
						t.Fatalf("%v: %s has had no run for %v", s.now-time.Minute, id, s.now-since)
					}
				}
			})
			for id := range idleSince {
				is.Equal(s.ledger.Find(id).State(), workload.Completed)
			}
		})
	}
}

// Guards against an order of a pace that is sent once and lost: the run would go on at its
// full pace.
func TestLostPaceIsRepeated(t *testing.T) {
	is := is.New(t)
	s := newSharedWorkers(1)
	step := reportStep
	step.Request.MilliCPU = 12800
	s.submit("report", step)
	s.run(4*time.Second, func() {})
	s.losesPaces = true
	for s.paces == 0 {
		s.run(100*time.Millisecond, func() { is.True(s.now < 2*time.Minute) })
	}
	sent := s.paces
	s.run(time.Second, func() {})
	is.True(s.paces > sent)
}

// Guards against a task that is placed at its full pace and stopped in turn without end: the
// interference is seen too briefly to be learned.
func TestTaskStoppedAgainAndAgainCompletes(t *testing.T) {
	is := is.New(t)
	s := newSharedWorkers(1)
	step := reportStep
	step.Request.MilliCPU = 12800
	s.submit("report", step)
	s.run(time.Minute, func() { is.True(s.workers[0].overFor < 3*time.Second) })
	is.Equal(s.ledger.Find("report").State(), workload.Completed)
}
