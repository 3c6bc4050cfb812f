package standin_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/standin"
)

const (
	longLease = 10 * time.Hour
	testLag   = 2 * time.Second
)

var testCapacity = hostapi.Resources{MilliCPU: 4000, MemoryMiB: 1000, Accelerators: 1}

func newTestWorker(t *testing.T, kinds map[string]standin.TaskKindSpec, interference ...standin.Interference) *standin.Worker {
	t.Helper()
	taskKinds, err := standin.NewTaskKinds(kinds, interference)
	is.New(t).NoErr(err)
	return standin.NewWorker(standin.WorkerConfig{
		ID: "w", Boot: "b1", Capacity: testCapacity,
		UsageInterval: 500 * time.Millisecond, UsageLag: testLag, TaskKinds: taskKinds,
	}, 0)
}

func commandWithTerm(term int64) hostapi.Command {
	return hostapi.Command{Term: term, Boot: "b1", Deadline: math.MaxInt64}
}

func attemptID(task string, number int64) hostapi.AttemptID {
	return hostapi.AttemptID{Task: task, Attempt: number}
}

// newStart returns a start command for an attempt of one core with a lease that
// does not expire during a test.
func newStart(task string, number int64, work time.Duration) hostapi.Start {
	return hostapi.Start{
		Command: commandWithTerm(1), ID: attemptID(task, number), Kind: "batch",
		Requests: hostapi.Resources{MilliCPU: 1000, MemoryMiB: 100}, LeaseExpiry: longLease, Work: work,
	}
}

func attemptReport(t *testing.T, w *standin.Worker, now time.Duration, id hostapi.AttemptID) hostapi.Attempt {
	t.Helper()
	for _, a := range w.Observe(now).Attempts {
		if a.ID == id {
			return a
		}
	}
	t.Fatalf("attempt %v is not reported", id)
	return hostapi.Attempt{}
}

// Guards against run times that depend on how often the worker is observed.
func TestTaskRunsForDeclaredTime(t *testing.T) {
	for _, step := range []time.Duration{7 * time.Millisecond, 900 * time.Millisecond, time.Hour} {
		is := is.New(t)
		w := newTestWorker(t, map[string]standin.TaskKindSpec{"slow": {RunFactor: 2}})
		is.NoErr(w.Start(0, newStart("a", 1, 10*time.Second)))
		slow := newStart("b", 1, 10*time.Second)
		slow.Kind = "slow"
		is.NoErr(w.Start(0, slow))
		for now := time.Duration(0); now < 30*time.Second; now += step {
			w.Observe(now)
		}
		events := w.DrainEvents(time.Minute)
		is.Equal(len(events), 4)
		is.Equal(events[2].ID.Task, "a")
		is.Equal(events[2].State, hostapi.AttemptCompleted)
		is.Equal(events[3].State, hostapi.AttemptCompleted)
		for i, want := range []time.Duration{10 * time.Second, 20 * time.Second} {
			is.True((events[2+i].At - want).Abs() < 10*time.Microsecond) // rounding error of the steps
		}
	}
}

// Guards against a lease that lasts beyond its expiry because the worker was not
// observed, or that a late renewal restores.
func TestLeaseEndsAtExpiry(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil)
	s := newStart("a", 1, time.Hour)
	s.LeaseExpiry = 10 * time.Second
	is.NoErr(w.Start(0, s))
	renew := func(now, expiry time.Duration) {
		is.NoErr(w.Renew(now, commandWithTerm(1), []hostapi.Renewal{{ID: attemptID("other", 1), LeaseExpiry: longLease}, {ID: s.ID, LeaseExpiry: expiry}}))
	}
	renew(9*time.Second, 20*time.Second)
	renew(10*time.Second, 15*time.Second) // lower than the current expiry: no change
	renew(25*time.Second, longLease)      // late
	is.Equal(attemptReport(t, w, 26*time.Second, s.ID).State, hostapi.AttemptLapsed)
	events := w.DrainEvents(26 * time.Second)
	is.Equal(events[1].At, 20*time.Second)

	s.ID.Attempt = 2
	s.LeaseExpiry = 26 * time.Second
	is.True(errors.Is(w.Start(26*time.Second, s), hostapi.ErrDeadlinePassed))
}

// Guards against commands that take effect despite an invalid boot id, term or
// deadline, and against refused commands that raise the term.
func TestInvalidCommandsAreRefused(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil)
	_, err := w.Fence(0, 5)
	is.NoErr(err)
	_, err = w.Fence(0, 4)
	is.True(errors.Is(err, hostapi.ErrLowerTerm))
	id := attemptID("a", 1)
	for _, c := range []struct {
		command hostapi.Command
		want    error
	}{
		{hostapi.Command{Term: 4, Boot: "b1", Deadline: time.Hour}, hostapi.ErrLowerTerm},
		{hostapi.Command{Term: 9, Boot: "b0", Deadline: time.Hour}, hostapi.ErrOtherBoot},
		{hostapi.Command{Term: 9, Boot: "b1", Deadline: time.Second}, hostapi.ErrDeadlinePassed},
	} {
		s := newStart("a", 1, time.Second)
		s.Command = c.command
		now := 2 * time.Second
		is.True(errors.Is(w.Start(now, s), c.want))
		is.True(errors.Is(w.Renew(now, c.command, nil), c.want))
		_, err := w.Checkpoint(now, c.command, id)
		is.True(errors.Is(err, c.want))
		is.True(errors.Is(w.Throttle(now, c.command, id, 0.5), c.want))
		_, err = w.Stop(now, c.command, id)
		is.True(errors.Is(err, c.want))
		is.True(errors.Is(w.Forget(now, c.command, id), c.want))
		is.Equal(w.Observe(now).Term, int64(5))
		is.Equal(len(w.Observe(now).Attempts), 0)
	}
	s := newStart("a", 1, time.Second)
	s.Command = commandWithTerm(9)
	s.Requests.MilliCPU = testCapacity.MilliCPU + 1
	is.True(errors.Is(w.Start(2*time.Second, s), hostapi.ErrNoRoom))
	is.Equal(w.Observe(2*time.Second).Term, int64(5))
	_, err = w.Checkpoint(2*time.Second, commandWithTerm(9), id)
	is.True(errors.Is(err, hostapi.ErrNoAttempt))
}

// Guards against a worker that accepts more than its capacity, or does not free
// the resources of an ended attempt.
func TestCapacityIsEnforced(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil)
	for i := range 4 {
		is.NoErr(w.Start(0, newStart(fmt.Sprint(i), 1, time.Duration(i+1)*time.Minute)))
	}
	is.True(errors.Is(w.Start(0, newStart("x", 1, time.Second)), hostapi.ErrNoRoom))
	is.NoErr(w.Start(time.Minute, newStart("x", 1, time.Second))) // the first attempt has completed
	tooLarge := newStart("y", 1, time.Second)
	tooLarge.Requests = hostapi.Resources{Accelerators: 2}
	is.True(errors.Is(w.Start(time.Minute, tooLarge), hostapi.ErrNoRoom))
}

// Guards against an attempt that runs twice on a worker, or starts after it was
// stopped.
func TestAttemptNumbers(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil)
	is.NoErr(w.Start(0, newStart("a", 2, time.Second)))
	is.NoErr(w.Start(0, newStart("a", 2, time.Second))) // a repeated start
	is.True(errors.Is(w.Start(0, newStart("a", 1, time.Second)), hostapi.ErrOldAttempt))
	is.Equal(result.CodeOf(w.Forget(0, commandWithTerm(1), attemptID("a", 2)), result.OK), result.WorkerRefused)
	is.NoErr(w.Start(time.Minute, newStart("a", 2, time.Second))) // a repeated start of a completed attempt
	is.NoErr(w.Forget(time.Minute, commandWithTerm(1), attemptID("a", 2)))
	is.NoErr(w.Forget(time.Minute, commandWithTerm(1), attemptID("a", 2)))
	is.True(errors.Is(w.Start(time.Minute, newStart("a", 2, time.Second)), hostapi.ErrOldAttempt))

	report, err := w.Stop(time.Minute, commandWithTerm(1), attemptID("b", 1))
	is.NoErr(err)
	is.Equal(report, hostapi.Attempt{ID: attemptID("b", 1), State: hostapi.AttemptStopped})
	is.True(errors.Is(w.Start(time.Minute, newStart("b", 1, time.Second)), hostapi.ErrOldAttempt))
	is.NoErr(w.Start(time.Minute, newStart("b", 2, time.Hour)))
	report, err = w.Stop(2*time.Minute, commandWithTerm(1), attemptID("b", 2))
	is.NoErr(err)
	is.Equal(report.State, hostapi.AttemptStopped)
	is.Equal(len(w.DrainEvents(2*time.Minute)), 4) // two starts, two ends
}

// Guards against a checkpoint that loses or adds work, or from which another task
// can resume.
func TestCheckpointResumesOnAnotherWorker(t *testing.T) {
	is := is.New(t)
	first, second := newTestWorker(t, nil), newTestWorker(t, nil)
	is.NoErr(first.Start(0, newStart("j/1/0", 1, 10*time.Second)))
	name, err := first.Checkpoint(4*time.Second, commandWithTerm(1), attemptID("j/1/0", 1))
	is.NoErr(err)
	is.Equal(attemptReport(t, first, 5*time.Second, attemptID("j/1/0", 1)).Checkpoint, name)

	resumed := newStart("j/1/0", 2, 10*time.Second)
	resumed.Checkpoint = name
	is.NoErr(second.Start(0, resumed))
	is.Equal(attemptReport(t, second, 0, resumed.ID).Progress, 0.4)
	events := second.DrainEvents(time.Minute)
	is.Equal(events[0].ResumedFrom, name)
	is.Equal(events[0].WorkDone, 4*time.Second)
	is.Equal(events[1].State, hostapi.AttemptCompleted)
	is.Equal(events[1].At, 6*time.Second)

	for _, bad := range []string{"x", "cp:1:5:other", "cp:3:5:j/1/0", "cp:1:-5:j/1/0", "cp:a:5:j/1/0"} {
		s := newStart("j/1/0", 3, time.Second)
		s.Checkpoint = bad
		is.Equal(result.CodeOf(second.Start(time.Minute, s), result.OK), result.BadResource)
	}
}

// Guards against throttling and interference without effect, and against usage
// reports that do not lag or that omit the neighbours.
func TestSlowdownIsReportedLate(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, nil, standin.Interference{Kind: "batch", Neighbour: "noisy", Slowdown: 1})
	is.NoErr(w.Start(0, newStart("a", 1, 10*time.Second)))
	noisy := newStart("n", 1, 0)
	noisy.Kind = "noisy"
	noisy.Requests.MilliCPU = 3000 // full load: "batch" takes twice as long
	is.NoErr(w.Start(4*time.Second, noisy))
	is.Equal(w.ServiceSlowdown(4*time.Second), 1.0) // interference is not symmetric
	usageOf := func(now time.Duration) hostapi.Usage { return w.Observe(now).Usage[0] }
	is.Equal(usageOf(5*time.Second).Slowdown, 1.0)
	is.Equal(len(usageOf(5*time.Second).Colocated), 0)
	late := usageOf(6*time.Second + 600*time.Millisecond)
	is.Equal(late.Slowdown, 2.0)
	is.Equal(late.Colocated, []string{"noisy"})
	is.Equal(late.MeasuredAt, 4500*time.Millisecond)
	is.Equal(late.Load, 1.0)
	is.Equal(late.Used.MilliCPU, int64(1000))

	// At 8 s, 6 s of work are done: 4 s alone and 4 s at half speed. A neighbour
	// throttled to 0 causes no slowdown; the remaining 4 s of work run at a
	// quarter of the speed.
	is.NoErr(w.Throttle(8*time.Second, commandWithTerm(1), noisy.ID, 0))
	is.NoErr(w.Throttle(8*time.Second, commandWithTerm(1), attemptID("a", 1), 0.25))
	is.Equal(attemptReport(t, w, 8*time.Second, attemptID("a", 1)).Progress, 0.6)
	is.Equal(attemptReport(t, w, 23*time.Second, attemptID("a", 1)).State, hostapi.AttemptRunning)
	is.Equal(attemptReport(t, w, 24*time.Second, attemptID("a", 1)).State, hostapi.AttemptCompleted)
	is.Equal(result.CodeOf(w.Throttle(25*time.Second, commandWithTerm(1), noisy.ID, math.NaN()), result.OK), result.BadResource)
}

// Guards against tasks that complete despite a failing kind or worker, and
// against a crash that leaves tasks running.
func TestFailures(t *testing.T) {
	is := is.New(t)
	w := newTestWorker(t, map[string]standin.TaskKindSpec{"broken": {FailAfter: standin.Duration(3 * time.Second)}})
	s := newStart("a", 1, 10*time.Second)
	s.Kind = "broken"
	is.NoErr(w.Start(0, s))
	is.NoErr(w.Start(0, newStart("b", 1, time.Minute)))
	is.Equal(attemptReport(t, w, 5*time.Second, s.ID).State, hostapi.AttemptFailed)
	is.Equal(w.DrainEvents(5 * time.Second)[2].At, 3*time.Second)
	w.SetFailing(5*time.Second, true)
	is.NoErr(w.Start(5*time.Second, newStart("c", 1, 10*time.Second)))
	is.Equal(attemptReport(t, w, 6*time.Second, attemptID("c", 1)).State, hostapi.AttemptFailed)
	is.Equal(attemptReport(t, w, 6*time.Second, attemptID("b", 1)).State, hostapi.AttemptRunning)
	w.DrainEvents(6 * time.Second)
	w.Crash(7 * time.Second)
	events := w.DrainEvents(7 * time.Second)
	is.Equal(len(events), 1)
	is.Equal(events[0].State, standin.AttemptLost)
}

// Guards against command sequences after which the running attempts exceed the
// capacity, an attempt runs twice, or one runs after its lease has expired.
func TestRandomCommands(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 2))
		w := newTestWorker(t, nil)
		now := time.Duration(0)
		for step := range 300 {
			now += time.Duration(random.IntN(2000)) * time.Millisecond
			s := newStart(fmt.Sprint(random.IntN(6)), int64(step/10+random.IntN(3)+1), time.Duration(random.IntN(20))*time.Second)
			s.Requests.MilliCPU = int64(random.IntN(3000))
			s.LeaseExpiry = now + time.Duration(random.IntN(10))*time.Second
			switch random.IntN(4) {
			case 0, 1:
				_ = w.Start(now, s)
			case 2:
				_, _ = w.Stop(now, s.Command, s.ID)
			case 3:
				_ = w.Renew(now, s.Command, []hostapi.Renewal{{ID: s.ID, LeaseExpiry: s.LeaseExpiry}})
			}
			var requested hostapi.Resources
			for _, a := range w.Observe(now).Attempts {
				if a.State != hostapi.AttemptRunning {
					continue
				}
				requested = requested.Add(a.Requests)
				if a.LeaseExpiry <= now {
					t.Fatalf("seed %d: attempt %v runs at %v, after its lease expired", seed, a, now)
				}
			}
			if !requested.Fits(testCapacity) {
				t.Fatalf("seed %d: running attempts request %+v at %v, more than the capacity", seed, requested, now)
			}
		}
		checkAttemptEvents(t, seed, w.DrainEvents(now))
	}
}

// checkAttemptEvents checks that each attempt starts once and ends at most once,
// and that the events are ordered by time.
func checkAttemptEvents(t *testing.T, seed uint64, events []standin.AttemptEvent) {
	t.Helper()
	states := make(map[hostapi.AttemptID]hostapi.AttemptState)
	last := time.Duration(0)
	for _, e := range events {
		before, known := states[e.ID]
		starts := e.State == hostapi.AttemptRunning
		if starts == known || !starts && before != hostapi.AttemptRunning || e.At < last {
			t.Fatalf("seed %d: event %+v after state %q", seed, e, before)
		}
		states[e.ID] = e.State
		last = e.At
	}
	if len(states) < 20 {
		t.Fatalf("seed %d: only %d attempts started", seed, len(states))
	}
}
