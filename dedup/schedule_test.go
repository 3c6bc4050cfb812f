package dedup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// schedule drives the tables of one cell at three VMs through random claims,
// renewals, copies, crashes, isolation and requests. owner, term and synced are
// the authoritative state of the log; the VMs learn of it late or never.
type schedule struct {
	rng    *rand.Rand
	now    time.Duration
	tables [3]*Table
	// incarnations counts the restarts of each VM.
	incarnations [3]int
	isolated     [3]bool
	owner        int
	term         int64
	// synced is the synced set of the owner's last recorded renewal; its members
	// are VMs with their incarnations.
	synced      []string
	renewedAt   time.Duration
	running     []runningRequest
	lastRunEnds map[string]time.Duration // when the id's last run ended or will end
	runs        int
	violations  []string
}

type runningRequest struct {
	run         *Run
	vm          int
	incarnation int
	endsAt      time.Duration
}

func newSchedule(seed uint64) *schedule {
	s := &schedule{rng: rand.New(rand.NewPCG(seed, 3)), lastRunEnds: map[string]time.Duration{}, owner: -1}
	for vm := range s.tables {
		s.tables[vm] = testStore().Table(testCell)
	}
	s.claim(0)
	return s
}

func (s *schedule) name(vm int) string { return fmt.Sprint(vm, "/", s.incarnations[vm]) }

func (s *schedule) step() {
	vm := s.rng.IntN(3)
	switch n := s.rng.IntN(100); {
	case n < 45:
		s.request(vm)
	case n < 60:
		s.advance(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
	case n < 75:
		s.renew()
	case n < 82:
		s.copyTo(vm)
	case n < 88:
		s.isolated[vm] = s.rng.IntN(3) == 0
	case n < 95:
		if s.now >= s.renewedAt+lease*101/100 {
			s.claim(vm)
		}
	case n < 97:
		s.tables[vm] = testStore().Table(testCell)
		s.incarnations[vm]++
	case n < 98:
		s.advance(time.Duration(s.rng.IntN(11)) * time.Minute)
	default:
		if !s.isolated[vm] {
			s.tables[vm].ObserveTerm(s.term)
		}
	}
}

// advance advances the time and ends the runs that are due.
func (s *schedule) advance(d time.Duration) {
	end := s.now + d
	for _, r := range s.running {
		if r.endsAt > end {
			continue
		}
		s.now = max(s.now, r.endsAt)
		if s.incarnations[r.vm] != r.incarnation {
			continue // the VM has crashed since
		}
		if s.rng.IntN(2) == 0 {
			r.run.FinishAnswered(s.now, &Answer{Status: 200})
		} else {
			r.run.FinishOutcomeUnknown(s.now)
		}
	}
	s.running = slices.DeleteFunc(s.running, func(r runningRequest) bool { return r.endsAt <= end })
	s.now = end
}

func (s *schedule) claim(vm int) {
	if s.isolated[vm] {
		return
	}
	k := Takeover{Term: s.term + 10, Previous: s.term, Until: s.now + lease}
	k.Synced = slices.Contains(s.synced, s.name(vm))
	s.term, s.owner, s.synced, s.renewedAt = k.Term, vm, nil, s.now
	s.tables[vm].TakeOver(s.now, k)
}

// renew appends a renewal of the owner. The renewal may be lost, or be recorded
// without the owner learning of it.
func (s *schedule) renew() {
	t := s.tables[s.owner]
	if term, ok := t.Home(); !ok || term != s.term || s.isolated[s.owner] {
		return
	}
	serial, synced := t.OfferRenewal()
	outcome := s.rng.IntN(10)
	if outcome < 2 {
		return
	}
	s.synced, s.renewedAt = synced, s.now
	if outcome < 4 {
		return
	}
	t.RenewalRecorded(serial)
	t.ExtendLease(s.term, s.now+lease)
}

// copyTo sends a full copy to a VM. Any part of it may be lost.
func (s *schedule) copyTo(vm int) {
	if vm == s.owner || s.isolated[vm] || s.isolated[s.owner] {
		return
	}
	for _, part := range s.tables[s.owner].ExportCopy(s.now, s.name(vm), 100) {
		if s.rng.IntN(20) == 0 {
			s.tables[s.owner].CopyFailed(s.name(vm))
			return
		}
		if full, err := s.tables[vm].ImportCopyPart(s.now, part); err == nil && full {
			s.tables[s.owner].ConfirmCopy(s.name(vm), part.Serial)
		}
	}
}

// request begins a request with one of a few ids at a VM, whether the VM is the
// home or not.
func (s *schedule) request(vm int) {
	id := testID(fmt.Sprint("id", s.rng.IntN(15)))
	if s.rng.IntN(3) == 0 {
		id.Term = s.term
		id.Text = fmt.Sprint("issued", s.term, s.rng.IntN(3))
	}
	run := s.tables[vm].Begin(s.now, id, 1).Run
	if run == nil {
		return
	}
	mayHaveRun := false
	for _, peer := range run.MissingAcknowledgements() {
		switch s.acknowledge(vm, peer, run.Intent()) {
		case result.OK:
			run.PeerAcknowledged(peer)
		case result.OutcomeUnknown:
			mayHaveRun = true
		default:
			run.PeerMissed(peer)
		}
	}
	if mayHaveRun || run.CheckSend(s.now) != result.OK || s.rng.IntN(10) == 0 {
		run.Withdraw() // in the last case no backend server accepted the request
		return
	}
	s.recordRun(vm, run, id.Text)
}

func (s *schedule) acknowledge(from int, name string, in Intent) result.Code {
	for vm := range s.tables {
		if s.name(vm) == name && !s.isolated[vm] && !s.isolated[from] {
			return result.CodeOf(s.tables[vm].AcknowledgeIntent(s.now, in), result.OK)
		}
	}
	return result.PeerUnavailable
}

func (s *schedule) recordRun(vm int, run *Run, id string) {
	s.runs++
	if ended, ok := s.lastRunEnds[id]; ok && s.now < ended+DefaultLimits().Retention {
		s.violations = append(s.violations, fmt.Sprintf("%s ran at %v and again at VM %d at %v", id, ended, vm, s.now))
	}
	endsAt := s.now + time.Duration(s.rng.IntN(5000))*time.Millisecond
	s.lastRunEnds[id] = endsAt
	s.running = append(s.running, runningRequest{run: run, vm: vm, incarnation: s.incarnations[vm], endsAt: endsAt})
}

// Guards against an id that runs twice within the retention time, in any order
// of claims, lost renewals, lost copies, crashes and isolation.
func TestRandomSchedulesRunOnce(t *testing.T) {
	runs := 0
	for seed := range uint64(300) {
		s := newSchedule(seed)
		for range 2000 {
			s.step()
		}
		for _, v := range s.violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		runs += s.runs
	}
	if runs < 10_000 {
		t.Errorf("only %d runs: the schedules run too few requests to test anything", runs)
	}
	t.Logf("%d runs", runs)
}
