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
// renewals, copies, crashes, isolation and requests. Its log is the truth;
// the VMs learn of it late or never.
type schedule struct {
	rng    *rand.Rand
	now    time.Duration
	tables [3]*Table
	// boots tells the incarnations of a VM apart.
	boots    [3]int
	isolated [3]bool
	owner    int
	term     int64
	// synced is the set of the owner's last recorded renewal, by VM and boot.
	synced   []string
	renewed  time.Duration
	running  []runningRequest
	lastRun  map[string]time.Duration // when the id's last run ended, or will
	runs     int
	offences []string
}

type runningRequest struct {
	run  *Run
	vm   int
	boot int
	ends time.Duration
}

func newSchedule(seed uint64) *schedule {
	s := &schedule{rng: rand.New(rand.NewPCG(seed, 3)), lastRun: map[string]time.Duration{}, owner: -1}
	for vm := range s.tables {
		s.tables[vm] = testStore().Table(testCell)
	}
	s.claim(0)
	return s
}

func (s *schedule) name(vm int) string { return fmt.Sprint(vm, "/", s.boots[vm]) }

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
		if s.now >= s.renewed+lease*101/100 {
			s.claim(vm)
		}
	case n < 97:
		s.tables[vm] = testStore().Table(testCell)
		s.boots[vm]++
	case n < 98:
		s.advance(time.Duration(s.rng.IntN(11)) * time.Minute)
	default:
		if !s.isolated[vm] {
			s.tables[vm].ObserveTerm(s.term)
		}
	}
}

// advance moves the time on and ends the runs that are due.
func (s *schedule) advance(d time.Duration) {
	end := s.now + d
	for _, r := range s.running {
		if r.ends > end {
			continue
		}
		s.now = max(s.now, r.ends)
		if s.boots[r.vm] != r.boot {
			continue // the VM has crashed since
		}
		if s.rng.IntN(2) == 0 {
			r.run.FinishAnswered(s.now, &Answer{Status: 200})
		} else {
			r.run.FinishOutcomeUnknown(s.now)
		}
	}
	s.running = slices.DeleteFunc(s.running, func(r runningRequest) bool { return r.ends <= end })
	s.now = end
}

func (s *schedule) claim(vm int) {
	if s.isolated[vm] {
		return
	}
	k := Takeover{Term: s.term + 10, Previous: s.term, Until: s.now + lease}
	k.Synced = slices.Contains(s.synced, s.name(vm))
	s.term, s.owner, s.synced, s.renewed = k.Term, vm, nil, s.now
	s.tables[vm].TakeOver(s.now, k)
}

// renew appends a renewal of the owner. It may be lost, or be recorded without
// the owner learning of it.
func (s *schedule) renew() {
	t := s.tables[s.owner]
	if term, ok := t.Home(); !ok || term != s.term || s.isolated[s.owner] {
		return
	}
	serial, synced := t.OfferRenewal()
	fate := s.rng.IntN(10)
	if fate < 2 {
		return
	}
	s.synced, s.renewed = synced, s.now
	if fate < 4 {
		return
	}
	t.RenewalRecorded(serial)
	t.ExtendLease(s.term, s.now+lease)
}

// copyTo sends a full copy, of which a part may get lost.
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

// request sends one of a few ids to a VM, as if it were the home.
func (s *schedule) request(vm int) {
	id := own(fmt.Sprint("id", s.rng.IntN(15)))
	if s.rng.IntN(3) == 0 {
		id.Term = s.term
		id.Text = fmt.Sprint("issued", s.term, s.rng.IntN(3))
	}
	run := s.tables[vm].Begin(s.now, id, 1).Run
	if run == nil {
		return
	}
	known := false
	for _, peer := range run.MissingAcknowledgements() {
		switch s.acknowledge(vm, peer, run.Intent()) {
		case result.OK:
			run.PeerAcknowledged(peer)
		case result.OutcomeUnknown:
			known = true
		default:
			run.PeerMissed(peer)
		}
	}
	if known || run.CheckSend(s.now) != result.OK || s.rng.IntN(10) == 0 {
		run.Withdraw() // the last case: no backend server took it
		return
	}
	s.ran(vm, run, id.Text)
}

func (s *schedule) acknowledge(from int, name string, in Intent) result.Code {
	for vm := range s.tables {
		if s.name(vm) == name && !s.isolated[vm] && !s.isolated[from] {
			return result.CodeOf(s.tables[vm].AcknowledgeIntent(s.now, in), result.OK)
		}
	}
	return result.PeerUnavailable
}

func (s *schedule) ran(vm int, run *Run, id string) {
	s.runs++
	if ended, ok := s.lastRun[id]; ok && s.now < ended+DefaultLimits().Retention {
		s.offences = append(s.offences, fmt.Sprintf("%s ran at %v and again at VM %d at %v", id, ended, vm, s.now))
	}
	ends := s.now + time.Duration(s.rng.IntN(5000))*time.Millisecond
	s.lastRun[id] = ends
	s.running = append(s.running, runningRequest{run: run, vm: vm, boot: s.boots[vm], ends: ends})
}

// Guards against any order of claims, lost renewals, lost copies, crashes and
// isolation in which an id runs twice within the retention time.
func TestRandomSchedulesRunOnce(t *testing.T) {
	runs := 0
	for seed := range uint64(300) {
		s := newSchedule(seed)
		for range 2000 {
			s.step()
		}
		for _, o := range s.offences {
			t.Errorf("seed %d: %s", seed, o)
		}
		runs += s.runs
	}
	if runs < 10_000 {
		t.Errorf("only %d runs: the schedules hardly test anything", runs)
	}
	t.Logf("%d runs", runs)
}
