package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Times of the load's world: one way between data centres and an append.
const (
	loadOneWay = 5 * time.Millisecond
	loadAppend = 10 * time.Millisecond
)

// load plays one owner and many sound workers in virtual time, with
// submissions that arrive as on the largest deployment. There are no faults:
// it shows how work waits and is placed.
type load struct {
	random  *rand.Rand
	now     time.Duration
	queue   events
	serial  int
	book    *ledger.Ledger
	machine *dispatch.Machine
	workers map[string]*loadWorker
	arrived map[string]time.Duration
	// lateness is the time to completion over the objective, by queue.
	lateness map[string][]float64
	starts   int
	holds    int
	// stepped is the real time that the machine's steps took.
	stepped time.Duration
}

type loadWorker struct {
	info workload.Worker
	runs map[workload.RunID]*loadRun
	ends []workload.EndedRun
	seq  int64
	// held is the hold that waits, sent when it was sent; serial counts holds.
	held   *dispatch.Heartbeat
	sent   time.Duration
	serial int
}

type loadRun struct {
	step    *workload.Step
	started time.Duration
}

func newLoad(seed uint64, workers int) *load {
	l := &load{
		random: rand.New(rand.NewPCG(seed, 7)), now: time.Minute, book: ledger.New(),
		workers: make(map[string]*loadWorker), arrived: make(map[string]time.Duration), lateness: make(map[string][]float64),
	}
	l.machine = dispatch.New(dispatch.Config{
		Epoch: 1, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2, StopTime: 200 * time.Millisecond,
	}, l.book, l.now, l.wall())
	var list []workload.Worker
	for i := range workers {
		size := []int64{1000, 1000, 1500}[i%3]
		w := &loadWorker{runs: make(map[workload.RunID]*loadRun), info: workload.Worker{
			Incarnation: workload.Incarnation{Worker: fmt.Sprintf("w%03d", i), StartMillis: 1}, Service: "register",
			DataCentre: "giza", Rack: fmt.Sprintf("r1-%d", i/12),
			Capacity: hostapi.Resources{MilliCPU: 64 * size, MemoryMiB: 256 * size},
		}}
		w.info.Address = w.info.ID()
		l.workers[w.info.ID()] = w
		list = append(list, w.info)
	}
	l.step(dispatch.WorkersListed{Workers: list})
	l.tick()
	return l
}

func (l *load) wall() time.Time { return time.UnixMilli(l.now.Milliseconds()) }

func (l *load) after(d time.Duration, do func()) {
	l.serial++
	heap.Push(&l.queue, event{at: l.now + d, serial: l.serial, do: do})
}

func (l *load) run(d time.Duration) {
	until := l.now + d
	for len(l.queue) > 0 && l.queue[0].at <= until {
		ev := heap.Pop(&l.queue).(event)
		l.now = ev.at
		ev.do()
	}
	l.now = until
}

func (l *load) tick() {
	l.step(dispatch.Tick{Now: l.wall()})
	l.after(20*time.Millisecond, l.tick)
}

func (l *load) step(ev dispatch.Event) {
	began := time.Now()
	actions := l.machine.Step(l.now, ev)
	l.stepped += time.Since(began)
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Append:
			l.after(loadAppend, func() { l.appended(a) })
		case dispatch.Start:
			l.after(loadOneWay, func() { l.start(a) })
		case dispatch.Stop:
			l.after(loadOneWay, func() { l.stop(a) })
		case dispatch.Heartbeat:
			l.after(loadOneWay, func() { l.hold(a) })
		}
	}
}

func (l *load) appended(a dispatch.Append) {
	l.step(dispatch.Appended{Token: a.Token})
	for _, r := range a.Records {
		if r.Ended != nil {
			l.noteCompletion(r.Ended.Task.Submission)
		}
	}
}

func (l *load) noteCompletion(id string) {
	e := l.book.Find(id)
	at, waits := l.arrived[id]
	if !waits || !e.State().Final() {
		return
	}
	delete(l.arrived, id)
	l.lateness[e.Queue] = append(l.lateness[e.Queue], float64(l.now-at)/float64(e.Objective()))
}

func (l *load) start(a dispatch.Start) {
	w := l.workers[a.Worker]
	l.starts++
	answer := dispatch.Done
	step := &l.book.Find(a.Run.Task.Submission).Steps[a.Run.Task.Step]
	if !l.fits(w, step) {
		answer = dispatch.NoRoom
	} else {
		w.runs[a.Run] = &loadRun{step: step, started: l.now}
		if !step.LongRunning {
			spread := 0.8 + 0.4*l.random.Float64()
			l.after(time.Duration(spread*float64(step.Estimate)), func() { l.end(w, a.Run, workload.Succeeded) })
		}
	}
	l.after(loadOneWay, func() {
		l.step(dispatch.StartAnswered{Worker: a.Worker, Run: a.Run, Answer: answer, Clock: l.now})
	})
}

func (l *load) fits(w *loadWorker, step *workload.Step) bool {
	var used hostapi.Resources
	for _, r := range w.runs {
		request := r.step.Request
		if r.step.BestEffort {
			request.MilliCPU = 0
		}
		used = used.Add(request)
	}
	request := step.Request
	if step.BestEffort {
		request.MilliCPU = 0
	}
	return used.Add(request).Fits(w.info.Capacity)
}

func (l *load) stop(a dispatch.Stop) {
	w := l.workers[a.Worker]
	l.after(100*time.Millisecond, func() { l.end(w, a.Run, workload.Stopped) })
	l.after(loadOneWay, func() { l.step(dispatch.StopAnswered{Worker: a.Worker, Run: a.Run, Answer: dispatch.Done}) })
}

func (l *load) end(w *loadWorker, run workload.RunID, outcome workload.Outcome) {
	if w.runs[run] == nil {
		return
	}
	delete(w.runs, run)
	w.seq++
	w.ends = append(w.ends, workload.EndedRun{RunID: run, Sequence: w.seq, Outcome: outcome})
	l.answer(w)
}

func (l *load) hold(h dispatch.Heartbeat) {
	w := l.workers[h.Worker]
	w.held, w.sent = &h, l.now-loadOneWay
	w.serial++
	serial := w.serial
	w.ends = slices.DeleteFunc(w.ends, func(e workload.EndedRun) bool { return e.Sequence <= h.Cursor })
	if h.Wait == 0 || len(w.ends) > 0 {
		l.answer(w)
		return
	}
	l.after(h.Wait, func() {
		if w.serial == serial {
			l.answer(w)
		}
	})
}

// answer reports to the hold that waits.
func (l *load) answer(w *loadWorker) {
	if w.held == nil {
		return
	}
	l.holds++
	w.held = nil
	report := workload.Report{Incarnation: w.info.Incarnation, Clock: l.now, Ended: slices.Clone(w.ends)}
	for _, id := range sortedRuns(w.runs) {
		r := w.runs[id]
		percent := 100
		if !r.step.LongRunning {
			percent = int(100 * float64(l.now-r.started) / float64(r.step.Estimate) / 1.3)
		}
		tail := time.Duration(0)
		if r.step.LatencyTarget > 0 {
			tail = r.step.LatencyTarget * 2 / 5
		}
		report.Active = append(report.Active, workload.ActiveRun{RunID: id, ProgressPercent: percent, TailLatency: tail})
	}
	sent := w.sent
	l.after(loadOneWay, func() { l.step(dispatch.HeartbeatAnswered{Worker: w.info.ID(), SentAt: sent, Report: report}) })
}

func sortedRuns(runs map[workload.RunID]*loadRun) []workload.RunID {
	var out []workload.RunID
	for id := range runs {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b workload.RunID) int {
		if a.Task.Submission != b.Task.Submission {
			return cmpString(a.Task.Submission, b.Task.Submission)
		}
		return a.Task.Index - b.Task.Index + 1000*(a.Task.Step-b.Task.Step)
	})
	return out
}

// submit hands a submission in.
func (l *load) submit(s *workload.Submission) {
	s.AcceptedAt = l.wall()
	l.arrived[s.ID] = l.now
	l.step(dispatch.EntryChanged{Entry: l.book.Apply(ledger.SubmittedRecord(s))})
}

// skewed draws from a log-normal-like spread around a mean.
func (l *load) skewed(mean, spread, most float64) float64 {
	return min(most, max(mean/4, mean*(1+spread*l.random.NormFloat64())))
}

// batch returns a submission of steps that follow each other.
func (l *load) batch(queue string, steps, width int, milliCPU, estimate float64, priority int) *workload.Submission {
	l.serial++
	s := &workload.Submission{
		ID: fmt.Sprintf("%s-%d", queue, l.serial), Queue: queue,
		Policy: workload.Policy{Service: "register", MaxAttempts: 4, SlackFactor: 1.5, TargetCompletion: 300 * time.Millisecond, Priority: priority},
	}
	for i := range steps {
		step := workload.Step{
			Tasks: width, Image: fmt.Sprintf("%s-%d", queue, l.serial%9), BestEffort: priority > 0,
			Request:  hostapi.Resources{MilliCPU: int64(milliCPU), MemoryMiB: int64(milliCPU) * 2},
			Estimate: time.Duration(estimate) * time.Millisecond,
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, step)
	}
	return s
}

// arrivals hands submissions of a queue in, perSecond of them on average.
func (l *load) arrivals(perSecond float64, until time.Duration, next func() *workload.Submission) {
	pause := time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second))
	if l.now+pause > until {
		return
	}
	l.after(pause, func() {
		l.submit(next())
		l.arrivals(perSecond, until, next)
	})
}

func (l *load) signIn() *workload.Submission {
	steps := 1 + l.random.IntN(2)
	return l.batch("sign-in", steps, int(l.skewed(9.5, 0.8, 57)), l.skewed(10000, 0.45, 31000), l.skewed(640, 0.5, 1600), 0)
}

func (l *load) mealClaim() *workload.Submission {
	return l.batch("meal-claim", 2, int(l.skewed(20, 0.6, 80)), l.skewed(7000, 0.3, 14000), l.skewed(1700, 0.5, 4300), 2)
}

func (l *load) officeSync() *workload.Submission {
	s := l.batch("office-sync", 1, int(l.skewed(14, 0.4, 28)), l.skewed(13000, 0.25, 20000), 500, 0)
	s.Steps[0].LongRunning, s.Steps[0].LatencyTarget = true, 50*time.Millisecond
	return s
}

// share returns the part of a queue's submissions within limit times their objective.
func (l *load) share(queue string, limit float64) float64 {
	within := 0
	for _, x := range l.lateness[queue] {
		if x <= limit {
			within++
		}
	}
	return float64(within) / float64(max(1, len(l.lateness[queue])))
}
