package routing_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/routing"
)

// TestMain fixes rapid's seed so that every run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	setFlags := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20264", "rapid.nofailfile": "true"} {
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
	simSlots      = 8
	simLease      = 5 * time.Second
	simMaxRequest = 5 * time.Second
)

// simStep is one step of a schedule. N is the number of requests or the length
// of a pause in units of 100 ms.
type simStep struct {
	Kind string
	VM   int
	N    int
}

func genSteps() *rapid.Generator[[]simStep] {
	kinds := []string{"send", "send", "send", "choose", "sendChosen", "end", "abandon", "time", "time", "renew", "wait", "fail", "read"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) simStep {
		return simStep{
			Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			VM:   rapid.IntRange(0, 1).Draw(t, "vm"),
			N:    rapid.IntRange(1, 12).Draw(t, "n"),
		}
	}), 20, 120)
}

// simRules disables single safety rules.
type simRules struct {
	// noWaitingPeriod lets a successor use slots immediately.
	noWaitingPeriod bool
	// noPredecessorReserve lets it use the slots that are reserved for a
	// predecessor that is not known to be gone.
	noPredecessorReserve bool
	// noValidityCheck sends without checking that the slot is still valid.
	noValidityCheck bool
	// earlyRelease frees the slot of an abandoned request immediately.
	earlyRelease bool
}

// simRequest holds a slot; a request that was sent runs at the server until
// endsBy at the latest, regardless of its VM.
type simRequest struct {
	vm     int
	slot   routing.Slot
	sent   bool
	endsBy time.Duration
	// closed means that its VM no longer waits for the response.
	closed bool
}

// sim simulates one worker, the owner of its cell, and a VM that may take the
// cell over once the lease has expired.
type sim struct {
	rules    simRules
	now      time.Duration
	routers  []*routing.Router
	owner    int
	term     int64
	leaseEnd time.Duration
	requests []*simRequest
}

func runSteps(steps []simStep, rules simRules) error {
	s := &sim{rules: rules, now: time.Second, term: 1}
	for range 2 {
		r := routing.New()
		r.Update(routing.Snapshot{
			DataCentre: "giza",
			Services:   []routing.ServiceEntry{{Name: "register"}},
			Workers:    []routing.WorkerEntry{{ID: "w1", Boot: "b1", Address: "127.0.0.1:1", Slots: simSlots, Services: []string{"register"}}},
		})
		s.routers = append(s.routers, r)
	}
	s.leaseEnd = s.now + simLease
	s.routers[0].SetAuthority(0, routing.Authority{Term: 1, State: routing.Held, FullUntil: s.leaseEnd})
	for i, step := range steps {
		s.apply(step)
		s.requests = slices.DeleteFunc(s.requests, func(r *simRequest) bool { return r.sent && r.closed && s.now >= r.endsBy })
		if n := s.running(); n > simSlots {
			return fmt.Errorf("step %d, %+v: %d requests run on a worker with %d slots", i, step, n, simSlots)
		}
	}
	return nil
}

// running counts the requests that the server may be running.
func (s *sim) running() int {
	n := 0
	for _, r := range s.requests {
		if r.sent && s.now < r.endsBy {
			n++
		}
	}
	return n
}

func (s *sim) apply(step simStep) {
	switch step.Kind {
	case "time":
		s.now += time.Duration(step.N) * 100 * time.Millisecond
	case "wait":
		s.now += simLease
	case "choose":
		for range step.N {
			s.choose(step.VM)
		}
	case "send":
		for range step.N {
			if r := s.choose(step.VM); r != nil {
				s.send(r)
			}
		}
	case "sendChosen":
		for _, r := range slices.Clone(s.requests) {
			if r.vm == step.VM && !r.sent {
				s.send(r)
			}
		}
	case "end", "abandon":
		s.finish(step)
	case "renew":
		s.renew()
	case "fail":
		s.failOver()
	case "read":
		// The previous owner learns of the newer term.
		s.routers[1-s.owner].SetAuthority(0, routing.Authority{Term: s.term, State: routing.Lost})
	}
}

func (s *sim) choose(vm int) *simRequest {
	d := s.routers[vm].Choose(s.now, &routing.Request{Service: "register", Criticality: routing.High})
	if d.Code != result.OK {
		return nil
	}
	r := &simRequest{vm: vm, slot: d.Slot}
	s.requests = append(s.requests, r)
	return r
}

// send sends a request if its slot may still be used.
func (s *sim) send(r *simRequest) {
	if r.slot.Valid(s.now) || s.rules.noValidityCheck {
		r.sent, r.endsBy = true, s.now+simMaxRequest
		return
	}
	r.slot.Release()
	s.requests = slices.DeleteFunc(s.requests, func(other *simRequest) bool { return other == r })
}

// finish ends the first open request that was sent: with a response, or by
// abandoning it.
func (s *sim) finish(step simStep) {
	i := slices.IndexFunc(s.requests, func(r *simRequest) bool { return r.sent && !r.closed })
	if i < 0 {
		return
	}
	r := s.requests[i]
	r.closed = true
	switch {
	case step.Kind == "end":
		r.endsBy = min(r.endsBy, s.now)
		r.slot.Release()
	case s.rules.earlyRelease:
		r.slot.Release()
	default:
		r.slot.Abandon(r.endsBy)
	}
}

func (s *sim) renew() {
	if s.now >= s.leaseEnd {
		return
	}
	s.leaseEnd = s.now + simLease
	a := s.routers[s.owner].Authority(0)
	a.FullUntil = s.leaseEnd
	s.routers[s.owner].SetAuthority(0, a)
}

// failOver transfers the cell to the other VM once the lease has expired. It
// does so only once, because the first owner is never known to be gone.
func (s *sim) failOver() {
	if s.now < s.leaseEnd || s.owner == 1 {
		return
	}
	s.owner, s.term, s.leaseEnd = 1, s.term+1, s.now+3*simLease
	a := routing.Authority{Term: s.term, State: routing.Held, FullUntil: s.leaseEnd, UsableFrom: s.now + simMaxRequest, Predecessors: 1}
	if s.rules.noWaitingPeriod {
		a.UsableFrom = 0
	}
	if s.rules.noPredecessorReserve {
		a.Predecessors = 0
	}
	s.routers[1].SetAuthority(0, a)
}

// Guards against more concurrent requests on a worker than it has slots, in any
// order of requests, pauses, renewals and a takeover while the previous owner is
// isolated.
func TestSchedulesKeepSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runSteps(genSteps().Draw(t, "steps"), simRules{}); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against schedules that don't exercise the safety rules: with any one
// rule disabled, one of the first schedules must fail.
func TestEveryRuleIsNeeded(t *testing.T) {
	for name, rules := range map[string]simRules{
		"waiting period":      {noWaitingPeriod: true},
		"predecessor reserve": {noPredecessorReserve: true},
		"validity check":      {noValidityCheck: true},
		"abandoned slots":     {earlyRelease: true},
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
