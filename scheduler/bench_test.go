package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// benchmarkCell returns a snapshot with running attempts spread over workers and
// the teams and services of the planned scale.
func benchmarkCell(b *testing.B, workers, attempts int) *Snapshot {
	b.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	list := workersOf(workers)
	share := int64(attempts/workers + 2)
	for i := range attempts {
		w := &list[i%workers]
		a := runningBatch(fmt.Sprintf("job-%d", i), resources(1, 1, 0))
		a.Requests.MilliCPU = 60 * core / share
		a.Requests.MemoryMiB = 200 << 10 / share
		a.Kind = fmt.Sprintf("kind-%d", random.IntN(20))
		a.Team = fmt.Sprintf("team-%03d", i%130)
		a.Service = i%5 == 0
		a.TargetRatio = 0.7
		w.Attempts = append(w.Attempts, a)
	}
	var teams []Team
	for i := range 130 {
		teams = append(teams, Team{Name: fmt.Sprintf("team-%03d", i), Quota: resources(int64(workers), 4*int64(workers), 0), MayBorrow: true})
	}
	return snapshotOf(b, list).WithTeams(teams)
}

// BenchmarkPlace measures one decision: a round with one pending task in a cell
// of the given size that runs the given number of attempts.
func BenchmarkPlace(b *testing.B) {
	sizes := []struct{ workers, attempts int }{
		{45, 1300}, {100, 1000}, {100, 2900}, {1000, 1000}, {1000, 29000}, {7900, 1000}, {7900, 50000}, {7900, 230000},
	}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", size.workers, size.attempts), func(b *testing.B) {
			s := benchmarkCell(b, size.workers, size.attempts)
			p := newPolicy(AllRules)
			task := pendingBatch("new", resources(1, 1, 0))
			task.Team, task.Kind = "team-007", "kind-3"
			task.Requests.MilliCPU = 500
			b.ReportAllocs()
			for b.Loop() {
				if plan := p.Place(time.Minute, s, []Task{task}); len(plan.Placements) != 1 {
					b.Fatal(plan.Unplaced)
				}
			}
		})
	}
}

// BenchmarkPlaceBacklog measures a round with many pending tasks and no free
// capacity, as after an outage.
func BenchmarkPlaceBacklog(b *testing.B) {
	for _, pending := range []int{1000, 50000, 230000} {
		b.Run(fmt.Sprintf("pending=%d", pending), func(b *testing.B) {
			s := benchmarkCell(b, 100, 2900)
			p := newPolicy(AllRules)
			tasks := make([]Task, pending)
			for i := range tasks {
				tasks[i] = pendingBatch(fmt.Sprintf("job-%d", i/20), resources(20, 60, 0))
				tasks[i].ID = fmt.Sprintf("%s/%d", tasks[i].Job, i)
				tasks[i].Team = fmt.Sprintf("team-%03d", i%130)
			}
			b.ReportAllocs()
			for b.Loop() {
				p.Place(time.Minute, s, tasks)
			}
		})
	}
}

// BenchmarkWithWorkers measures the update of a snapshot after one worker's report.
func BenchmarkWithWorkers(b *testing.B) {
	for _, workers := range []int{100, 1000, 7900} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := benchmarkCell(b, workers, 29*workers)
			w := *s.At(workers / 2)
			b.ReportAllocs()
			for b.Loop() {
				s.WithWorkers(2, w)
			}
		})
	}
}
