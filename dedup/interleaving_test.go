package dedup

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cactusreel/cactusreel/result"
)

// TestMain fixes rapid's seed so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlags := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20263", "rapid.nofailfile": "true"} {
		if setFlags[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const (
	simVMs   = 3
	simIDs   = 3
	simLease = 5 * time.Second
)

// simStep is one step of a schedule. VM and N select the VM, the id, the run or
// the length of a pause, depending on the kind.
type simStep struct {
	Kind string
	VM   int
	N    int
}

var simKinds = []string{
	"arrive", "arrive", "acknowledge", "acknowledge", "miss", "start", "start", "answer", "unknown",
	"copy", "renew", "append", "read", "takeOver", "time", "synchronise", "serve", "failOver",
}

func genSteps() *rapid.Generator[[]simStep] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) simStep {
		return simStep{
			Kind: rapid.SampledFrom(simKinds).Draw(t, "kind"),
			VM:   rapid.IntRange(0, simVMs-1).Draw(t, "vm"),
			N:    rapid.IntRange(0, 40).Draw(t, "n"),
		}
	}), 20, 150)
}

// simRules disables single rules that callers of a table must follow.
type simRules struct {
	// noIntents lets runs start without the peers' acknowledgements.
	noIntents bool
	// noUnprovenPeriod lets a successor take over as if the cell had never been
	// claimed, so that it treats every unknown id as new.
	noUnprovenPeriod bool
}

type simRenewal struct {
	vm       int
	term     int64
	serial   uint64
	sentAt   time.Duration
	synced   []string
	appended bool
}

type simRun struct {
	vm      int
	run     *Run
	id      string
	started bool
}

// sim simulates one cell: its owner according to the claims stream, and the
// cell's table on each VM.
type sim struct {
	rules     simRules
	now       time.Duration
	tables    []*Table
	owner     int
	term      int64
	leaseEnd  time.Duration
	synced    map[int][]string
	renewals  []*simRenewal
	runs      []*simRun
	runCounts map[string]int
}

func runSteps(steps []simStep, rules simRules) error {
	s := &sim{rules: rules, now: time.Second, owner: -1, synced: map[int][]string{}, runCounts: map[string]int{}}
	for range simVMs {
		s.tables = append(s.tables, NewStore(DefaultLimits()).Table(Cell{DataCentre: "giza"}))
	}
	s.takeOver(0)
	for i, step := range steps {
		s.apply(step)
		for id, times := range s.runCounts {
			if times > 1 {
				return fmt.Errorf("step %d, %+v: request %s ran %d times", i, step, id, times)
			}
		}
	}
	return nil
}

func vmName(vm int) string { return fmt.Sprint("vm", vm) }

func (s *sim) apply(step simStep) {
	switch step.Kind {
	case "time":
		s.now += time.Duration(step.N) * 20 * time.Millisecond
	case "synchronise":
		s.copyTo(step.VM)
		for _, kind := range []string{"renew", "append", "read"} {
			s.renewal(simStep{Kind: kind, VM: s.owner})
		}
	case "serve":
		s.arrive(step.VM, fmt.Sprint("id", step.N%simIDs))
		for _, kind := range []string{"acknowledge", "start"} {
			s.advance(simStep{Kind: kind, N: len(s.runs) - 1})
		}
	case "failOver":
		s.now += simLease
		s.takeOver(step.VM)
	case "takeOver":
		s.takeOver(step.VM)
	case "arrive":
		s.arrive(step.VM, fmt.Sprint("id", step.N%simIDs))
	case "copy":
		s.copyTo(step.VM)
	case "renew", "append", "read":
		s.renewal(step)
	default:
		s.advance(step)
	}
}

// takeOver makes a VM the owner once the owner's lease has expired.
func (s *sim) takeOver(vm int) {
	if vm == s.owner || s.now < s.leaseEnd {
		return
	}
	k := Takeover{Term: s.term + 1, Previous: s.term, Synced: slices.Contains(s.synced[s.owner], vmName(vm)), Until: s.now + simLease}
	if s.rules.noUnprovenPeriod {
		k.Previous = 0
	}
	s.tables[vm].TakeOver(s.now, k)
	s.owner, s.term, s.leaseEnd = vm, k.Term, k.Until
}

func (s *sim) arrive(vm int, id string) {
	begin := s.tables[vm].Begin(s.now, ID{Text: id}, 1)
	if begin.Run != nil {
		s.runs = append(s.runs, &simRun{vm: vm, run: begin.Run, id: id})
	}
}

// copyTo transfers a full copy from the owner to a VM.
func (s *sim) copyTo(vm int) {
	if vm == s.owner {
		return
	}
	for _, part := range s.tables[s.owner].ExportCopy(s.now, vmName(vm), 64) {
		full, err := s.tables[vm].ImportCopyPart(s.now, part)
		if err != nil {
			s.tables[s.owner].CopyFailed(vmName(vm))
			return
		}
		if full {
			s.tables[s.owner].ConfirmCopy(vmName(vm), part.Serial)
		}
	}
}

// renewal sends a renewal, appends the first one in transit to the log, or lets
// the sender of the first appended one read it back.
func (s *sim) renewal(step simStep) {
	if step.Kind == "renew" {
		if term, home := s.tables[step.VM].Home(); home {
			serial, synced := s.tables[step.VM].OfferRenewal()
			s.renewals = append(s.renewals, &simRenewal{vm: step.VM, term: term, serial: serial, sentAt: s.now, synced: synced})
		}
		return
	}
	appended := step.Kind == "read"
	i := slices.IndexFunc(s.renewals, func(r *simRenewal) bool { return r.appended == appended })
	if i < 0 {
		return
	}
	r := s.renewals[i]
	if r.term != s.term {
		s.renewals = slices.Delete(s.renewals, i, i+1)
		return
	}
	if !appended {
		r.appended = true
		s.synced[r.vm] = r.synced
		// A successor measures the lease from the append, which is no earlier
		// than sentAt.
		s.leaseEnd = max(s.leaseEnd, s.now+simLease)
		return
	}
	s.renewals = slices.Delete(s.renewals, i, i+1)
	s.tables[r.vm].RenewalRecorded(r.serial)
	s.tables[r.vm].ExtendLease(r.term, r.sentAt+simLease)
}

// advance performs one step of a run.
func (s *sim) advance(step simStep) {
	if len(s.runs) == 0 || step.N < 0 {
		return
	}
	i := step.N % len(s.runs)
	r := s.runs[i]
	switch {
	case step.Kind == "acknowledge" && !r.started:
		for _, vm := range r.run.MissingAcknowledgements() {
			peer := s.tables[int(vm[2]-'0')]
			if s.rules.noIntents || peer.AcknowledgeIntent(s.now, r.run.Intent()) == nil {
				r.run.PeerAcknowledged(vm)
			}
		}
	case step.Kind == "miss" && !r.started:
		for _, vm := range r.run.MissingAcknowledgements() {
			r.run.PeerMissed(vm)
		}
	case step.Kind == "start" && !r.started:
		if r.run.CheckSend(s.now) == result.OK {
			r.started = true
			s.runCounts[r.id]++
			return
		}
		r.run.Withdraw()
		s.runs = slices.Delete(s.runs, i, i+1)
	case (step.Kind == "answer" || step.Kind == "unknown") && r.started:
		if step.Kind == "answer" {
			r.run.FinishAnswered(s.now, &Answer{Status: 200})
		} else {
			r.run.FinishOutcomeUnknown(s.now)
		}
		s.runs = slices.Delete(s.runs, i, i+1)
	}
}

// Guards against a non-idempotent request that runs twice when the steps of one
// request (intent, acknowledgement, send) interleave with other requests,
// copies, renewals, pauses and takeovers in any order.
func TestSchedulesRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runSteps(genSteps().Draw(t, "steps"), simRules{}); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against schedules that don't exercise the rules: with any one rule
// disabled, one of the first schedules must fail.
func TestEveryRuleIsNeeded(t *testing.T) {
	for name, rules := range map[string]simRules{
		"intents":         {noIntents: true},
		"unproven period": {noUnprovenPeriod: true},
	} {
		t.Run(name, func(t *testing.T) {
			steps := genSteps()
			for seed := range 3000 {
				if err := runSteps(steps.Example(seed), rules); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no schedule fails with the rule disabled")
		})
	}
}
