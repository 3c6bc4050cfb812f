package witness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

const (
	scheduleLease = 7 * time.Second
	scheduleTick  = 10 * time.Millisecond
)

// witnessProcess is a process that can be a witness.
type witnessProcess struct {
	ledger.Witness
	*Confirmations
	// earlier: its version knows no reports.
	earlier   bool
	startedAt time.Duration
}

// reportSchedule is an owner with its witnesses, of which calls and answers are late or lost,
// restart and change, and a successor that asks them.
type reportSchedule struct {
	rand      *rand.Rand
	now       time.Duration
	w         *Owner
	processes []*witnessProcess
	serial    int64
	timers    []scheduleTimer
	// answeredAt is when a worker last answered, granted is when its leases have expired.
	answeredAt, granted map[workload.Incarnation]time.Duration
	// logged is the newest set of witnesses in the log.
	logged ledger.Witnesses
	// fenced: a successor has opened its epoch, so the log takes no more records of the owner.
	fenced bool
	// holdsBack: the owner reports nothing for now.
	holdsBack bool
}

type scheduleTimer struct {
	at time.Duration
	do func()
}

func newReportSchedule(seed uint64) *reportSchedule {
	s := &reportSchedule{
		rand: rand.New(rand.NewPCG(seed, 0)), now: time.Minute, w: NewOwner(),
		answeredAt: make(map[workload.Incarnation]time.Duration), granted: make(map[workload.Incarnation]time.Duration),
	}
	s.w.reports.spare = 0
	for range 7 {
		s.startProcess(len(s.processes))
	}
	return s
}

func (s *reportSchedule) startProcess(at int) {
	s.serial++
	p := &witnessProcess{earlier: s.rand.IntN(40) == 0, startedAt: s.now}
	p.VM, p.Process = fmt.Sprint("vm-", at), s.serial
	p.PeerAddress = p.VM
	p.Confirmations = NewConfirmations(p.Process, s.now)
	if at == len(s.processes) {
		s.processes = append(s.processes, p)
	}
	s.processes[at] = p
}

func (s *reportSchedule) after(d time.Duration, do func()) {
	s.timers = append(s.timers, scheduleTimer{s.now + d, do})
}

// delay is the time that a message takes, now and then a long one.
func (s *reportSchedule) delay() time.Duration {
	if s.rand.IntN(8) == 0 {
		return time.Duration(s.rand.IntN(int(2500 * time.Millisecond)))
	}
	return time.Duration(s.rand.IntN(int(30 * time.Millisecond)))
}

func (s *reportSchedule) lost() bool { return s.rand.IntN(10) == 0 }

func (s *reportSchedule) find(process int64) *witnessProcess {
	for _, p := range s.processes {
		if p.Process == process {
			return p
		}
	}
	return nil
}

func (s *reportSchedule) advance(d time.Duration, each func()) {
	for until := s.now + d; s.now < until; s.now += scheduleTick {
		for i := 0; i < len(s.timers); i++ {
			if timer := s.timers[i]; timer.at <= s.now {
				s.timers = slices.Delete(s.timers, i, i+1)
				i--
				timer.do()
			}
		}
		if s.now%CallInterval == 0 {
			s.round()
		}
		s.work()
		each()
	}
}

// round calls the witnesses and has them recorded when they change.
func (s *reportSchedule) round() {
	if s.rand.IntN(40) == 0 {
		s.holdsBack = !s.holdsBack
	}
	if !s.holdsBack || s.w.reports.newest.number == 0 {
		s.w.Report(s.leases())
	}
	for _, c := range s.w.Calls(s.now) {
		s.call(c)
	}
	var all []Candidate
	for _, p := range s.processes {
		if s.rand.IntN(10) > 0 {
			all = append(all, Candidate{Witness: p.Witness})
		}
	}
	if chosen := s.w.Choose(all, "", s.now); chosen != nil {
		set, delay := *chosen, s.delay()
		s.after(delay, func() {
			if !s.fenced && set.Number > s.logged.Number {
				s.logged = set
				s.after(s.delay(), func() { s.w.Recorded(set.Number) })
			}
		})
	}
}

// leases is what an owner reports.
func (s *reportSchedule) leases() map[workload.Incarnation]time.Duration {
	out := make(map[workload.Incarnation]time.Duration)
	for worker, at := range s.answeredAt {
		if s.granted[worker] <= s.now && at < s.now-2*time.Second {
			continue
		}
		out[worker] = max(s.granted[worker], at+dispatch.LeaseExpiryBound(scheduleLease+700*time.Millisecond))
	}
	return out
}

func (s *reportSchedule) call(c Call) {
	sent, report := s.now, s.w.ReportFor(c, s.now)
	if s.lost() {
		return
	}
	s.after(s.delay(), func() {
		p := s.find(c.Witness.Process)
		if p == nil {
			return
		}
		if p.earlier {
			report = nil
		}
		answer := p.Confirm(p.Process, 1, report, s.now)
		if !answer.Confirmed || s.lost() {
			return
		}
		s.after(s.delay(), func() {
			if s.now-sent < CallTimeout {
				s.w.Answered(c, answer)
			}
		})
	})
}

// work lets workers answer, fall silent and get leases, and restarts a process now and then.
func (s *reportSchedule) work() {
	worker := workload.Incarnation{Worker: fmt.Sprint("w", s.rand.IntN(6)), StartMillis: int64(s.now / (3 * time.Second))}
	switch n := s.rand.IntN(200); {
	case n == 0:
		s.startProcess(s.rand.IntN(len(s.processes)))
	case n < 6:
		s.answeredAt[worker] = s.now
	}
	if s.answeredAt[worker] > 0 && s.rand.IntN(4) == 0 {
		lease := min(scheduleLease, s.w.LeaseLimit(s.now, scheduleLease))
		expiry := s.now + dispatch.LeaseExpiryBound(lease)
		if limit, limited := s.w.WorkerLimit(worker); limited {
			expiry = min(expiry, limit)
		}
		if lease > 0 && expiry > s.now {
			s.granted[worker] = max(s.granted[worker], expiry)
		}
	}
}

// takeOver asks the recorded witnesses, and returns what a majority's report tells, if it does,
// and when they last confirmed the owner.
func (s *reportSchedule) takeOver() (learned func() (map[workload.Incarnation]time.Duration, time.Duration)) {
	s.fenced = true
	named := s.logged
	inquiry := NewInquiry(named)
	answers, last := 0, time.Duration(0)
	var expiry map[workload.Incarnation]time.Duration
	for _, one := range named.All {
		if s.rand.IntN(6) == 0 {
			continue
		}
		s.after(s.delay(), func() {
			i := slices.IndexFunc(s.processes, func(other *witnessProcess) bool { return other.VM == one.VM })
			answer := s.processes[i].LastConfirmed(one.Process, 1, s.now)
			answers++
			last, _ = inquiry.Answered(answer, s.now)
			if holder, complete := inquiry.Held(one, answer.Report); complete {
				expiry = s.reportOf(holder)
			}
		})
	}
	return func() (map[workload.Incarnation]time.Duration, time.Duration) {
		if answers < named.Majority() || len(named.All) == 0 {
			return expiry, 0
		}
		return expiry, last
	}
}

// reportOf returns the expiry of the leases in the report of a process, or nil if that has been
// replaced.
func (s *reportSchedule) reportOf(holder ledger.Witness) map[workload.Incarnation]time.Duration {
	p := s.find(holder.Process)
	if p == nil {
		return nil
	}
	_, leases := p.LastReport(holder.Process, 1, s.now)
	expiry := make(map[workload.Incarnation]time.Duration)
	for worker, left := range leases {
		expiry[worker] = s.now + left
	}
	return expiry
}

// Guards against a lease that outlasts what a successor learns from the witnesses of its
// predecessor, whatever calls are late or lost, and however the witnesses change and restart.
func TestNoLeaseOutlastsWhatASuccessorLearns(t *testing.T) {
	told, useful := 0, 0
	for seed := range uint64(1500) {
		s := newReportSchedule(seed)
		s.advance(time.Duration(2+s.rand.IntN(15))*time.Second, func() {})
		learned, lostAt := s.takeOver(), s.now
		s.advance(11*time.Second, func() {
			expiry, last := learned()
			for worker, at := range expiry {
				if s.granted[worker] > at {
					t.Fatalf("seed %d: %v after the takeover, the leases of %s last %v longer than reported", seed, s.now-lostAt, worker.Worker, s.granted[worker]-at)
				}
			}
			for worker, granted := range s.granted {
				if bound := last + dispatch.LeaseExpiryBound(ConfirmedDuration+scheduleLease); last > 0 && granted > bound {
					t.Fatalf("seed %d: the leases of %s last %v longer than confirmed", seed, worker.Worker, granted-bound)
				}
			}
		})
		expiry, last := learned()
		if expiry != nil {
			told++
		}
		for _, at := range expiry {
			if at < last+scheduleLease-time.Second {
				useful++
			}
		}
	}
	t.Logf("%d successors were told, %d times of an expiry a second or more before that by confirmations", told, useful)
	if told < 200 || useful < 200 {
		t.Errorf("only %d successors were told, %d times of an early expiry", told, useful)
	}
}

// Guards against a report whose times are taken for those of other workers, after the workers were
// numbered anew, and against one that arrives late and replaces a newer one, follows the last, or is
// not taken over although nothing was lost.
func TestReportIsReadWithItsOwnWorkers(t *testing.T) {
	const now = time.Minute
	random := rand.New(rand.NewPCG(1, 2))
	numberings, late := int64(0), 0
	for range 300 {
		l, held, known := newOwnReports(), &heldReport{}, Known{}
		l.spare = 1
		reports := make(map[int64]map[workload.Incarnation]time.Duration)
		var delayed []*Report
		for round := range 30 {
			expiry := make(map[workload.Incarnation]time.Duration)
			for range random.IntN(4) {
				worker := workload.Incarnation{Worker: fmt.Sprint("w", round/4+random.IntN(4)), StartMillis: 1}
				expiry[worker] = now + time.Duration(1+random.IntN(100))*ReportUnit
			}
			l.add(expiry)
			l.release(l.newest.number)
			reports[l.newest.number] = expiry
			delayed = append(delayed, l.message(known, now))
			if random.IntN(3) == 0 {
				continue
			}
			i := random.IntN(len(delayed))
			if delayed[i].Number < held.number {
				late++
			}
			newest := held.number
			held.update(delayed[i], now)
			if held.number < newest {
				t.Fatalf("report %d replaces report %d", held.number, newest)
			}
			delayed = slices.Delete(delayed, i, i+1)
			known = held.known().later(known)
			told := held.leases(now)
			if len(told) != len(reports[held.number]) {
				t.Fatalf("report %d has %v, but %v is told", held.number, reports[held.number], told)
			}
			for worker, at := range reports[held.number] {
				if told[worker] != at-now {
					t.Fatalf("report %d has %v for %v, but %v is told", held.number, at-now, worker, told[worker])
				}
			}
		}
		if held.update(l.message(held.known(), now), now); held.number != l.newest.number {
			t.Fatalf("report %d is not taken over in time, but %d", l.newest.number, held.number)
		}
		numberings += l.workers.number
		l.end()
		last := l.newest.number
		if l.add(reports[1]); l.newest.number != last {
			t.Fatalf("report %d follows the last one, %d", l.newest.number, last)
		}
	}
	if numberings < 600 || late < 300 {
		t.Errorf("only %d numberings, %d late calls", numberings, late)
	}
}

// Guards against reports that pile up while no witness answers, and against none once one does.
func TestReportsThatNobodyHoldsAreFew(t *testing.T) {
	l := newOwnReports()
	worker := workload.Incarnation{Worker: "w", StartMillis: 1}
	for i := range 10 * maxPendingReports {
		l.add(map[workload.Incarnation]time.Duration{worker: time.Duration(i) * time.Second})
	}
	if len(l.limiting) != maxPendingReports || l.newest.number != maxPendingReports {
		t.Errorf("%d reports, the newest has number %d", len(l.limiting), l.newest.number)
	}
	l.release(maxPendingReports)
	l.add(map[workload.Incarnation]time.Duration{worker: time.Hour})
	if l.newest.number != maxPendingReports+1 || l.limit(worker) != (maxPendingReports-1)*time.Second {
		t.Errorf("the newest report has number %d, the limit is %v", l.newest.number, l.limit(worker))
	}
}
