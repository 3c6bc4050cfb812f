package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestQuotaWithoutBorrowing guards against a team that exceeds a quota it may
// not exceed.
func TestQuotaWithoutBorrowing(t *testing.T) {
	is := is.New(t)
	s := snapshotOf(t, workersOf(4)).WithTeams([]Team{{Name: "a", Quota: resources(10, 100, 0)}})
	plan := newPolicy(RuleQuota).Place(0, s, []Task{pendingBatch("x", resources(8, 1, 0)), pendingBatch("y", resources(8, 1, 0))})
	is.Equal(len(plan.Placements), 1)
	is.True(strings.Contains(plan.Unplaced[0].Reason, "team a has used its quota"))
}

// TestQuotaShares guards against a team that submits so many tasks that the others
// get no capacity: each of 130 teams gets its share.
func TestQuotaShares(t *testing.T) {
	is := is.New(t)
	var teams []Team
	var pending []Task
	for i := range 130 {
		name := fmt.Sprintf("team-%03d", i)
		teams = append(teams, Team{Name: name, Quota: resources(4, 16, 0), MayBorrow: true})
		tasks := 1
		if i == 0 {
			tasks = 1000
		}
		for n := range tasks {
			task := pendingBatch(fmt.Sprintf("%s-%d", name, n), resources(2, 1, 0))
			task.Team, task.PendingSince = name, time.Duration(i)
			pending = append(pending, task)
		}
	}
	s := snapshotOf(t, workersOf(5)).WithTeams(teams) // capacity for 160 tasks
	plan := newPolicy(RuleQuota).Place(0, s, pending)
	count := map[string]int{}
	for _, p := range plan.Placements {
		count[strings.SplitN(p.Task, "-", 3)[1]]++
	}
	is.Equal(len(count), 130)
	is.Equal(count["000"], 160-129) // borrows the rest of the capacity
}

// TestQuotaReclaim guards against borrowed capacity that is never reclaimed.
func TestQuotaReclaim(t *testing.T) {
	is := is.New(t)
	workers := workersOf(1)
	for i := range 8 {
		a := runningBatch(fmt.Sprintf("borrower-%d", i), resources(8, 1, 0))
		a.Team = "b"
		workers[0].Attempts = append(workers[0].Attempts, a)
	}
	s := snapshotOf(t, workers).WithTeams([]Team{
		{Name: "a", Quota: resources(32, 100, 0)}, {Name: "b", Quota: resources(32, 100, 0), MayBorrow: true},
	})
	p := newPolicy(RuleQuota)
	task := pendingBatch("owner", resources(8, 1, 0))
	is.Equal(len(p.Place(0, s, []Task{task}).Actions), 0) // not before reclaimDelay
	plan := p.Place(reclaimDelay, s, []Task{task})
	is.Equal(len(plan.Actions), 1)
	is.Equal(plan.Actions[0].Kind, Move) // with a checkpoint
}
