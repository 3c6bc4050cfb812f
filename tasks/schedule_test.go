package tasks_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/tasks"
)

// TestMain fixes rapid's seed so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20262", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against tasks that run twice, are lost, exceed a worker or start
// after a take-out, under every combination of the faults.
func TestSchedulesKeepInvariants(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		plan := genPlan(allFaults...).Draw(t, "plan")
		if _, err := runPlan(plan, tasks.Unsafe{}, ownership.Unsafe{}); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against schedules that never fail because nothing happens in them:
// without each rule, one of the first schedules fails.
func TestEveryRuleIsNeeded(t *testing.T) {
	mute := simFault{At: 4 * time.Second, For: time.Minute, Kind: "muteWorker"}
	pause := simFault{At: 8 * time.Second, For: 20 * time.Second, Kind: "pauseVM"}
	isolate := simFault{At: 8 * time.Second, For: 40 * time.Second, Kind: "isolate"}
	cut := simFault{At: 8 * time.Second, For: 30 * time.Second, Kind: "cutWorker"}
	out := simFault{At: 5 * time.Second, For: 30 * time.Second, Kind: "takeOut"}
	rules := map[string]struct {
		unsafe tasks.Unsafe
		fault  simFault
		fast   bool
	}{
		"start deadline":   {tasks.Unsafe{NoStartDeadline: true}, out, false},
		"term fence":       {tasks.Unsafe{NoTermFence: true}, pause, false},
		"ended first":      {tasks.Unsafe{NoEndedFirst: true}, cut, false},
		"adoption once":    {tasks.Unsafe{NoAdoptOnce: true}, cut, false},
		"lease drift":      {tasks.Unsafe{NoLeaseDrift: true}, mute, true},
		"predecessor wait": {tasks.Unsafe{NoPredecessorWait: true}, isolate, false},
		"take-out":         {tasks.Unsafe{NoTakeOut: true}, out, false},
	}
	for name, rule := range rules {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plans := genPlan(rule.fault.Kind)
			for seed := range 100 {
				plan := plans.Example(seed)
				fault := rule.fault
				fault.Target = seed % 4
				plan.Faults, plan.Fast = []simFault{fault}, rule.fast
				_, err := runPlan(plan, rule.unsafe, ownership.Unsafe{})
				if err == nil {
					continue
				}
				if _, err := runPlan(plan, tasks.Unsafe{}, ownership.Unsafe{}); err != nil {
					t.Fatalf("seed %d fails with the rule in place: %v", seed, err)
				}
				t.Logf("seed %d fails without the rule: %v", seed, err)
				return
			}
			t.Fatal("no schedule fails without the rule")
		})
	}
}
