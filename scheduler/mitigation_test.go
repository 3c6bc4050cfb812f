package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
)

// cellWithSlowedService returns a worker with a service at the given ratio of p99
// to target, and a policy that has learned that the import beside it slows it down.
func cellWithSlowedService(ratio float64) (*Policy, []Worker) {
	p := newPolicy(RuleEscalation | RuleNearlyDone)
	service := runningBatch("web", resources(8, 8, 0))
	service.Service, service.Kind, service.TargetRatio = true, "web", ratio
	workers := workersOf(1)
	workers[0].Load = 0.6
	workers[0].Attempts = []Attempt{service, runningBatch("noisy", resources(8, 8, 0)), runningBatch("quiet", resources(8, 8, 0))}
	workers[0].Attempts[2].Kind = "quiet"
	for range 40 {
		p.ObserveUsage(0, &workers[0], []hostapi.Usage{
			{ID: service.ID, Colocated: []string{"import"}, Slowdown: 1.5, Load: 0.6},
			{ID: service.ID, Colocated: []string{"quiet"}, Slowdown: 1, Load: 0.6},
		})
	}
	return p, workers
}

// TestEscalation guards against escalation steps against the wrong task, in the
// wrong order, or before reports can show the effect of the last step.
func TestEscalation(t *testing.T) {
	is := is.New(t)
	p, workers := cellWithSlowedService(1.3)
	noisy := &workers[0].Attempts[1]
	is.Equal(len(p.Act(time.Second, snapshotOf(t, workers))), 0) // one report can be noise
	now := time.Second + overTargetDelay
	var kinds []ActionKind
	for range 4 {
		actions := p.Act(now, snapshotOf(t, workers))
		is.Equal(len(actions), 1)
		is.Equal(actions[0].ID, noisy.ID)
		kinds = append(kinds, actions[0].Kind)
		if actions[0].Kind == Throttle {
			noisy.Throttle = actions[0].Share
		}
		is.Equal(len(p.Act(now+time.Second, snapshotOf(t, workers))), 0) // within the delay
		now += p.config.EscalationDelay
		if actions[0].Kind == Move {
			break
		}
	}
	is.Equal(kinds, []ActionKind{Throttle, Throttle, Move})
	noisy.Progress = 0.9
	is.Equal(len(p.Act(now+time.Minute, snapshotOf(t, workers))), 0) // nearly done
}

// TestThrottleIsEased guards against a throttle that outlasts its cause, and
// against easing it while the service is still near its target.
func TestThrottleIsEased(t *testing.T) {
	is := is.New(t)
	p, workers := cellWithSlowedService(0.9)
	workers[0].Attempts[1].Throttle = 0.5
	is.Equal(len(p.Act(0, snapshotOf(t, workers))), 0)
	is.Equal(len(p.Act(time.Hour, snapshotOf(t, workers))), 0)
	workers[0].Attempts[0].TargetRatio = 0.6
	is.Equal(len(p.Act(time.Hour, snapshotOf(t, workers))), 0)
	actions := p.Act(time.Hour+underTargetFactor*p.config.EscalationDelay, snapshotOf(t, workers))
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Share, 1.0)
}

// TestInterferencePlacement guards against placing a task beside a service that it
// is known to slow down, when another worker has as much free capacity.
func TestInterferencePlacement(t *testing.T) {
	is := is.New(t)
	p, workers := cellWithSlowedService(0.75)
	p.config.Rules = RuleInterference
	p.plugins = rulePlugins(RuleInterference)
	other := workersOf(2)[1]
	service := workers[0].Attempts[0]
	service.Kind, service.ID.Task = "mail", "mail/7/0"
	other.Attempts = []Attempt{service}
	for range 40 {
		p.ObserveUsage(0, &other, []hostapi.Usage{{ID: service.ID, Colocated: []string{"import"}, Slowdown: 1, Load: 0.2}})
	}
	workers[0].Attempts = workers[0].Attempts[:1]
	s := snapshotOf(t, []Worker{workers[0], other})
	for range 20 {
		plan := p.Place(time.Second, s, []Task{pendingBatch("new", resources(4, 4, 0))})
		is.Equal(plan.Placements[0].Worker, other.ID)
	}
}

// TestSpread guards against replicas of one service in one rack.
func TestSpread(t *testing.T) {
	is := is.New(t)
	var pending []Task
	for _, id := range []string{"0", "1", "2"} {
		task := pendingBatch("web", resources(1, 1, 0))
		task.ID, task.Service = "web/7/"+id, true
		pending = append(pending, task)
	}
	s := snapshotOf(t, workersOf(12)) // three racks
	plan := newPolicy(RuleSpread).Place(0, s, pending)
	racks := map[string]bool{}
	for _, p := range plan.Placements {
		racks[s.Worker(p.Worker).Rack] = true
	}
	is.Equal(len(racks), 3)
}

// TestUrgentIsThrottledLast guards against a service that stays over its target
// because only urgent work slows it down, and against moving or evicting that work
// instead of throttling it.
func TestUrgentIsThrottledLast(t *testing.T) {
	is := is.New(t)
	p, workers := cellWithSlowedService(1.3)
	urgent := workers[0].Attempts[1]
	urgent.Urgent, urgent.ID.Task = true, "urgent/7/0"
	workers[0].Attempts = append(workers[0].Attempts, urgent)
	noisy, last := &workers[0].Attempts[1], &workers[0].Attempts[3]
	p.Act(time.Second, snapshotOf(t, workers))
	actions := p.Act(time.Second+overTargetDelay, snapshotOf(t, workers))
	is.Equal(actions[0].ID, noisy.ID)
	noisy.Throttle, noisy.Progress, last.Throttle = lastThrottleShare, 0.9, firstThrottleShare
	is.Equal(len(p.Act(time.Minute, snapshotOf(t, workers))), 0)
	last.Throttle = 1
	actions = p.Act(2*time.Minute, snapshotOf(t, workers))
	is.Equal(len(actions), 1)
	is.Equal(actions[0].Kind, Throttle)
	is.Equal(actions[0].ID, last.ID)
}
