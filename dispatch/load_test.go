package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cactusreel/cactusreel/admission"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/dispatch/dispatchtest"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Simulated delays: the one-way network delay between data centres and the duration
// of an append.
const (
	loadNetworkDelay = 5 * time.Millisecond
	loadAppendDelay  = 10 * time.Millisecond
)

// loadSim simulates one owner and many healthy workers in virtual time, with
// submissions that arrive as in the largest deployment. It injects no faults: it
// tests queueing and placement.
type loadSim struct {
	// noise draws the errors of estimates, so that the load is the same without them.
	noise  *rand.Rand
	random *rand.Rand
	now    time.Duration
	queue  dispatchtest.Timers
	// serial counts timers and submissions; ids and images of submissions have its number.
	serial      int
	ledger      *ledger.Ledger
	machine     *dispatch.Machine
	workers     map[string]*loadWorker
	submittedAt map[string]time.Duration
	// lateness has the ratio of completion time to objective of each completed
	// submission, by queue.
	lateness map[string][]float64
	// ended is called when a submission has become final, if it is set.
	ended func(id string, took time.Duration)
	// onOutlook is called with each outlook, if it is set. startedInTime and startedLate are the ids of
	// submissions by whether their first start was of use.
	onOutlook                  func(*admission.Outlook)
	startedInTime, startedLate map[string]bool
	// decisions counts the machine's decisions by kind.
	decisions map[dispatch.DecisionKind]int
	// reasons has the reason of the last decision of each kind.
	reasons map[dispatch.DecisionKind]string
	// filled are the decisions on room that was awaited, interrupted those on interruptions that have
	// ended.
	filled, interrupted []dispatch.Decision
	// lastPlaced is the worker of the last placement.
	lastPlaced string
	// rejected counts the starts that found no room. lostStops: stops have no effect and no answer;
	// idleStops: they are answered and have no effect.
	rejected             int
	lostStops, idleStops bool
	// logStalled: appends get no answer.
	logStalled bool
	// estimateSpread is the standard deviation of the logarithm of a batch's estimate over its run
	// time, and runTimes has the run times of the batches with such an estimate.
	estimateSpread float64
	runTimes       map[string]time.Duration
	// starting are long-running tasks that are not at work yet, however long they run.
	starting map[workload.TaskID]bool
	// remoteFactor is the factor by which tasks run longer away from the rack of their data, if it is set,
	// and placedAway counts these.
	remoteFactor float64
	placedAway   int
	starts       int
	heartbeats   int
	// waits is the last result of waitingSince.
	waits map[workload.TaskID]time.Duration
	// stepTime is the real time spent in the machine's steps, stepCPU the processor time.
	stepTime, stepCPU time.Duration
	// longestStep is the longest real time of one step.
	longestStep time.Duration
}

type loadWorker struct {
	info workload.Worker
	// gone: the worker has failed without a word, and answers nothing.
	gone bool
	runs map[workload.RunID]*loadRun
	ends []workload.EndedRun
	seq  int64
	// waiting is the heartbeat that has not been answered yet, sent at sentAt. serial
	// counts the heartbeats.
	waiting *dispatch.Heartbeat
	sentAt  time.Duration
	serial  int
}

type loadRun struct {
	step    *workload.Step
	started time.Duration
}

func newLoadSim(seed uint64, workers int) *loadSim {
	l := &loadSim{
		random: rand.New(rand.NewPCG(seed, 7)), noise: rand.New(rand.NewPCG(seed, 8)), now: time.Minute, ledger: ledger.New(),
		workers: make(map[string]*loadWorker), submittedAt: make(map[string]time.Duration), lateness: make(map[string][]float64), decisions: make(map[dispatch.DecisionKind]int),
		startedInTime: make(map[string]bool), startedLate: make(map[string]bool),
		reasons: make(map[dispatch.DecisionKind]string), runTimes: make(map[string]time.Duration),
	}
	l.machine = dispatch.New(dispatch.Config{
		Epoch: 1, Lease: simLease, HeartbeatWait: 2 * time.Second, RemoteFactor: 2, StopTime: 200 * time.Millisecond, Outlook: true,
	}, l.ledger, l.now, l.wall())
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

func (l *loadSim) wall() time.Time { return time.UnixMilli(l.now.Milliseconds()) }

func (l *loadSim) after(d time.Duration, do func()) {
	l.serial++
	l.queue.Add(l.now+d, do)
}

func (l *loadSim) run(d time.Duration) {
	until := l.now + d
	for ev, ok := l.queue.Next(until); ok; ev, ok = l.queue.Next(until) {
		l.now = ev.At
		ev.Action()
	}
	l.now = until
}

func (l *loadSim) tick() {
	l.step(dispatch.Tick{Now: l.wall()})
	l.after(20*time.Millisecond, l.tick)
}

// threadCPU returns the processor time of the calling thread. Unlike real time it does not grow
// while other processes use the processor.
func threadCPU() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}

func (l *loadSim) step(ev dispatch.Event) {
	runtime.LockOSThread()
	began, cpu := time.Now(), threadCPU()
	actions := l.machine.Step(l.now, ev)
	took := time.Since(began)
	l.stepCPU += threadCPU() - cpu
	runtime.UnlockOSThread()
	l.stepTime += took
	l.longestStep = max(l.longestStep, took)
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Append:
			if l.logStalled {
				continue
			}
			l.after(loadAppendDelay, func() { l.appended(a) })
		case dispatch.Start:
			l.after(loadNetworkDelay, func() { l.start(a) })
		case dispatch.Stop:
			l.after(loadNetworkDelay, func() { l.stop(a) })
		case dispatch.Heartbeat:
			l.after(loadNetworkDelay, func() { l.heartbeat(a) })
		case dispatch.OutlookChanged:
			if l.onOutlook != nil {
				l.onOutlook(a.Outlook)
			}
		case dispatch.Decision:
			l.decisions[a.Kind]++
			l.reasons[a.Kind] = a.Reason
			switch a.Kind {
			case dispatch.RunPlaced:
				l.lastPlaced = a.Worker
			case dispatch.SubmissionBegan:
				// A submission with 0.7 times its chain to go is of use up to three objectives.
				l.startedInTime[a.Run.Task.Submission] = a.Elapsed <= 3*a.Objective*2/3
				l.startedLate[a.Run.Task.Submission] = a.Elapsed > 3*a.Objective*2/3
			case dispatch.RoomFilled:
				l.filled = append(l.filled, a)
			case dispatch.InterruptionEnded:
				l.interrupted = append(l.interrupted, a)
			}
		}
	}
}

func (l *loadSim) appended(a dispatch.Append) {
	l.step(dispatch.Appended{ID: a.ID})
	for _, r := range a.Records {
		if r.Ended != nil {
			l.recordCompletion(r.Ended.Task.Submission)
		}
	}
}

func (l *loadSim) recordCompletion(id string) {
	e := l.ledger.Find(id)
	at, waits := l.submittedAt[id]
	if !waits || !e.State().Final() {
		return
	}
	delete(l.submittedAt, id)
	if l.ended != nil {
		l.ended(id, l.now-at)
	}
	l.lateness[e.Queue] = append(l.lateness[e.Queue], float64(l.now-at)/float64(e.Objective()))
}

func (l *loadSim) start(a dispatch.Start) {
	w := l.workers[a.Worker]
	l.starts++
	answer := dispatch.Done
	step := &l.ledger.Find(a.Run.Task.Submission).Steps[a.Run.Task.Step]
	switch {
	case w.gone:
		answer = dispatch.NoAnswer
	case !l.fits(w, step):
		answer = dispatch.NoRoom
		l.rejected++
	default:
		w.runs[a.Run] = &loadRun{step: step, started: l.now}
		if !step.LongRunning {
			spread := 0.8 + 0.4*l.random.Float64()
			runTime := l.runTime(&l.ledger.Find(a.Run.Task.Submission).Submission, step)
			if l.remoteFactor > 0 && step.DataRack != "" && step.DataRack != w.info.Rack {
				l.placedAway++
				runTime = time.Duration(l.remoteFactor * float64(runTime))
			}
			l.after(time.Duration(spread*float64(runTime)), func() { l.end(w, a.Run, workload.Succeeded) })
		}
	}
	l.after(loadNetworkDelay, func() {
		l.step(dispatch.StartAnswered{Worker: a.Worker, Run: a.Run, Answer: answer, Clock: l.now})
	})
}

// used returns what the runs on a worker reserve.
func (w *loadWorker) used() hostapi.Resources {
	var used hostapi.Resources
	for _, r := range w.runs {
		request := r.step.Request
		if r.step.BestEffort {
			request.MilliCPU = 0
		}
		used = used.Add(request)
	}
	return used
}

func (l *loadSim) fits(w *loadWorker, step *workload.Step) bool {
	request := step.Request
	if step.BestEffort {
		request.MilliCPU = 0
	}
	return w.used().Add(request).Fits(w.info.Capacity)
}

func (l *loadSim) stop(a dispatch.Stop) {
	w := l.workers[a.Worker]
	if l.lostStops || w.gone {
		l.after(startTimeout, func() { l.step(dispatch.StopAnswered{Worker: a.Worker, Run: a.Run, Answer: dispatch.NoAnswer}) })
		return
	}
	if !l.idleStops {
		l.after(100*time.Millisecond, func() { l.end(w, a.Run, workload.Stopped) })
	}
	l.after(loadNetworkDelay, func() { l.step(dispatch.StopAnswered{Worker: a.Worker, Run: a.Run, Answer: dispatch.Done}) })
}

func (l *loadSim) end(w *loadWorker, run workload.RunID, outcome workload.Outcome) {
	if w.runs[run] == nil {
		return
	}
	delete(w.runs, run)
	w.seq++
	w.ends = append(w.ends, workload.EndedRun{RunID: run, Sequence: w.seq, Outcome: outcome})
	l.answerHeartbeat(w)
}

func (l *loadSim) heartbeat(h dispatch.Heartbeat) {
	w := l.workers[h.Worker]
	if w.gone {
		l.after(loadNetworkDelay, func() { l.step(dispatch.HeartbeatFailed{Worker: h.Worker, Answer: dispatch.NoAnswer}) })
		return
	}
	w.waiting, w.sentAt = &h, l.now-loadNetworkDelay
	w.serial++
	serial := w.serial
	w.ends = slices.DeleteFunc(w.ends, func(e workload.EndedRun) bool { return e.Sequence <= h.Cursor })
	if h.Wait == 0 || len(w.ends) > 0 {
		l.answerHeartbeat(w)
		return
	}
	l.after(h.Wait, func() {
		if w.serial == serial {
			l.answerHeartbeat(w)
		}
	})
}

// answerHeartbeat answers the waiting heartbeat, if there is one.
func (l *loadSim) answerHeartbeat(w *loadWorker) {
	if w.waiting == nil {
		return
	}
	l.heartbeats++
	w.waiting = nil
	report := workload.Report{Incarnation: w.info.Incarnation, Clock: l.now, Ended: slices.Clone(w.ends)}
	for _, id := range sortedRuns(w.runs) {
		r := w.runs[id]
		percent := 100
		switch {
		case l.starting[id.Task]:
			percent = 0
		case !r.step.LongRunning:
			percent = int(100 * float64(l.now-r.started) / float64(l.runTime(&l.ledger.Find(id.Task.Submission).Submission, r.step)) / 1.3)
		}
		tail := time.Duration(0)
		if r.step.LatencyTarget > 0 {
			tail = r.step.LatencyTarget * 2 / 5
		}
		report.Active = append(report.Active, workload.ActiveRun{RunID: id, ProgressPercent: percent, TailLatency: tail})
	}
	sent := w.sentAt
	l.after(loadNetworkDelay, func() { l.step(dispatch.HeartbeatAnswered{Worker: w.info.ID(), SentAt: sent, Report: report}) })
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

func (l *loadSim) submit(s *workload.Submission) {
	s.AcceptedAt = l.wall()
	l.submittedAt[s.ID] = l.now
	l.step(dispatch.EntryChanged{Entry: l.ledger.Apply(ledger.SubmittedRecord(s))})
}

// shareWithin returns the fraction of a queue's completed submissions that took at
// most limit times their objective.
func (l *loadSim) shareWithin(queue string, limit float64) float64 {
	within := 0
	for _, x := range l.lateness[queue] {
		if x <= limit {
			within++
		}
	}
	return float64(within) / float64(max(1, len(l.lateness[queue])))
}

func cmpString(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}
