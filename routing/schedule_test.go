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

// TestMain fixes rapid's seed so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20264", "rapid.nofailfile": "true"} {
		if given[name] {
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

// simStep is one step of a schedule.
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

// simRules switches single rules off.
type simRules struct {
	// noWait lets a successor use slots at once.
	noWait bool
	// noPredecessor lets it use the slots of a predecessor not known gone.
	noPredecessor bool
	// noCheck sends without asking whether the slot is still valid.
	noCheck bool
	// earlyRelease frees the slot of an abandoned request at once.
	earlyRelease bool
}

// simRequest holds a slot; a request that was sent runs at the server until
// ends at the latest, whatever its VM does.
type simRequest struct {
	vm   int
	slot routing.Slot
	sent bool
	ends time.Duration
	// given means that its VM no longer waits for it.
	given bool
}

// sim has one worker, an owner of its cell and a successor by expiry.
type sim struct {
	rules    simRules
	now      time.Duration
	routers  []*routing.Router
	owner    int
	term     int64
	until    time.Duration
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
	s.until = s.now + simLease
	s.routers[0].SetAuthority(0, routing.Authority{Term: 1, State: routing.Held, FullUntil: s.until})
	for i, step := range steps {
		s.do(step)
		s.requests = slices.DeleteFunc(s.requests, func(r *simRequest) bool { return r.sent && r.given && s.now >= r.ends })
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
		if r.sent && s.now < r.ends {
			n++
		}
	}
	return n
}

func (s *sim) do(step simStep) {
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
		s.fail()
	case "read":
		// The former owner reads the newer term.
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
	if r.slot.Valid(s.now) || s.rules.noCheck {
		r.sent, r.ends = true, s.now+simMaxRequest
		return
	}
	r.slot.Release()
	s.requests = slices.DeleteFunc(s.requests, func(other *simRequest) bool { return other == r })
}

// finish ends the first request that was sent, with its response or without.
func (s *sim) finish(step simStep) {
	i := slices.IndexFunc(s.requests, func(r *simRequest) bool { return r.sent && !r.given })
	if i < 0 {
		return
	}
	r := s.requests[i]
	r.given = true
	switch {
	case step.Kind == "end":
		r.ends = min(r.ends, s.now)
		r.slot.Release()
	case s.rules.earlyRelease:
		r.slot.Release()
	default:
		r.slot.Abandon(r.ends)
	}
}

func (s *sim) renew() {
	if s.now >= s.until {
		return
	}
	s.until = s.now + simLease
	a := s.routers[s.owner].Authority(0)
	a.FullUntil = s.until
	s.routers[s.owner].SetAuthority(0, a)
}

// fail gives the cell to the other VM once the lease has ended; only one such
// change, because the first owner is never known gone.
func (s *sim) fail() {
	if s.now < s.until || s.owner == 1 {
		return
	}
	s.owner, s.term, s.until = 1, s.term+1, s.now+3*simLease
	a := routing.Authority{Term: s.term, State: routing.Held, FullUntil: s.until, UsableFrom: s.now + simMaxRequest, Predecessors: 1}
	if s.rules.noWait {
		a.UsableFrom = 0
	}
	if s.rules.noPredecessor {
		a.Predecessors = 0
	}
	s.routers[1].SetAuthority(0, a)
}

// Guards against a ninth request on a worker, under every order of requests,
// pauses, renewals and a takeover beside an isolated owner.
func TestSchedulesKeepSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runSteps(genSteps().Draw(t, "steps"), simRules{}); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against schedules in which nothing happens: without each rule one of
// the first schedules fails.
func TestEveryRuleIsNeeded(t *testing.T) {
	for name, rules := range map[string]simRules{
		"waiting period":  {noWait: true},
		"predecessor":     {noPredecessor: true},
		"check of slot":   {noCheck: true},
		"abandoned slots": {earlyRelease: true},
	} {
		t.Run(name, func(t *testing.T) {
			steps := genSteps()
			for seed := range 3000 {
				if err := runSteps(steps.Example(seed), rules); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no schedule fails without the rule")
		})
	}
}
