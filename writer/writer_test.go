package writer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/writer"
)

// pollTime is how often the fixture's reader reads.
const pollTime = 250 * time.Millisecond

// fixture is a writer with a reader that drops repeated records, in virtual time.
type fixture struct {
	is     *is.I
	log    *fakeLog
	writer *writer.Writer
	ctx    context.Context
	cancel context.CancelFunc
	// items maps each item that was read to how often it was applied.
	items  map[string]int
	mute   bool
	next   int64
	newest uint64
}

// runFixture runs body in a bubble of virtual time.
func runFixture(t *testing.T, plan []behaviour, options writer.Options, body func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		options.Stream = "resources"
		options.Incarnation = 0xabc
		f := &fixture{is: is.New(t), log: &fakeLog{plan: plan}, items: make(map[string]int), next: 1}
		f.writer = writer.New(f.log, options)
		f.ctx, f.cancel = context.WithCancel(t.Context())
		defer f.cancel()
		go func() { _ = f.writer.Run(f.ctx) }()
		body(f)
		f.cancel()
		time.Sleep(2 * lateTime) // late appends land before the bubble ends
		synctest.Wait()
	})
}

// poll reads the new records once.
func (f *fixture) poll() {
	page, err := f.log.Read(f.ctx, "", f.next, 0)
	f.is.NoErr(err)
	for _, r := range page.Records {
		f.next = r.Offset + 1
		id, err := record.ParseID(r.ID)
		f.is.NoErr(err)
		if id.Sequence <= f.newest {
			continue
		}
		f.newest = id.Sequence
		items, err := writer.Unframe(r.Data)
		f.is.NoErr(err)
		for _, item := range items {
			f.items[string(item)]++
		}
		f.writer.Observed(r.ID, r.Offset)
	}
}

// run lets time pass, with the reader polling.
func (f *fixture) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(pollTime)
		if !f.mute {
			f.poll()
		}
	}
	synctest.Wait()
}

func (f *fixture) submit(text string) *writer.Submission {
	s, err := f.writer.Submit([]byte(text))
	f.is.NoErr(err)
	return s
}

func (f *fixture) withdrawAfter(s *writer.Submission, d time.Duration) writer.Result {
	ctx, cancel := context.WithTimeout(f.ctx, d)
	defer cancel()
	return s.Wait(ctx)
}

// Guards against a batch per item: what is submitted while an append is in
// flight must share one record, in order.
func TestItemsGatherWhileAppendIsInFlight(t *testing.T) {
	runFixture(t, nil, writer.Options{}, func(f *fixture) {
		first := f.submit("a")
		synctest.Wait()
		var rest []*writer.Submission
		for i := range 20 {
			rest = append(rest, f.submit(fmt.Sprint(i)))
		}
		f.run(2 * time.Second)
		f.is.Equal(f.withdrawAfter(first, 0), writer.Result{Outcome: writer.Accepted, Offset: 1})
		for i, s := range rest {
			r, final := s.Result()
			f.is.True(final)
			f.is.Equal(r, writer.Result{Outcome: writer.Accepted, Offset: 2, Index: i})
		}
		f.is.Equal(len(f.log.ids()), 2)
		f.is.Equal(f.writer.Stats(), writer.Stats{Batches: 2, Items: 21, Appends: 2})
	})
}

// Guards against an append that counts as accepted before it was read back,
// and against one that is given up although its record may be missing.
func TestOnlyReadBackAccepts(t *testing.T) {
	runFixture(t, nil, writer.Options{}, func(f *fixture) {
		f.mute = true
		s := f.submit("a")
		f.run(3 * time.Second)
		_, final := s.Result()
		f.is.True(!final)
		ids := f.log.ids()
		f.is.True(len(ids) > 1) // repeated
		for _, id := range ids {
			f.is.Equal(id, ids[0])
		}
		f.mute = false
		f.run(time.Second)
		r, final := s.Result()
		f.is.True(final)
		f.is.Equal(r.Outcome, writer.Accepted)
		f.is.Equal(f.items["a"], 1)
	})
}

// Guards against a lost response that duplicates or loses an item.
func TestLostResponseIsAcceptedOnce(t *testing.T) {
	plan := []behaviour{loseResponse, failUnknown, hang, loseResponse}
	runFixture(t, plan, writer.Options{}, func(f *fixture) {
		f.mute = true
		s := f.submit("a")
		f.run(10 * time.Second)
		f.mute = false
		f.run(time.Second)
		f.is.Equal(f.withdrawAfter(s, 0), writer.Result{Outcome: writer.Accepted, Offset: 1})
		f.is.Equal(f.items["a"], 1)
	})
}

// Guards against a withdrawn item that reaches the log although its submitter
// was told that it was not sent.
func TestWithdrawnItemsAreNeverSent(t *testing.T) {
	plan := []behaviour{refuse, refuse, refuse, refuse, refuse, refuse}
	runFixture(t, plan, writer.Options{}, func(f *fixture) {
		first := f.submit("a")
		f.run(time.Second)
		second := f.submit("b")
		f.is.Equal(f.withdrawAfter(second, 10*time.Millisecond).Outcome, writer.NotSent)
		f.is.Equal(f.withdrawAfter(first, 15*time.Millisecond).Outcome, writer.NotSent)
		f.is.Equal(result.CodeOf(writer.Result{Outcome: writer.NotSent}.Err(), result.OK), result.NotRunLogUnavailable)
		third := f.submit("c")
		f.run(time.Minute)
		f.is.Equal(f.withdrawAfter(third, 0).Outcome, writer.Accepted)
		f.is.Equal(f.items, map[string]int{"c": 1})
	})
}

// Guards against "not sent" for an item that a late append puts into the log.
func TestUnclearAppendIsNeverNotSent(t *testing.T) {
	for _, unclear := range []behaviour{late, hang, failUnknown, loseResponse} {
		// The refused repeats must not turn the outcome into "not sent".
		plan := []behaviour{refuse, unclear, refuse, refuse, refuse, refuse, refuse, refuse}
		runFixture(t, plan, writer.Options{}, func(f *fixture) {
			f.mute = true
			s := f.submit("a")
			r := f.withdrawAfter(s, 4*time.Second)
			f.is.Equal(r.Outcome, writer.Unknown)
			f.is.Equal(result.CodeOf(r.Err(), result.OK), result.WriteOutcomeUnknown)
			f.cancel()
			synctest.Wait()
			f.is.Equal(s.Withdraw().Outcome, writer.Unknown)
		})
	}
}

// Guards against a stop that leaves submitters waiting or reports a wrong outcome.
func TestStopEndsAllSubmissions(t *testing.T) {
	runFixture(t, []behaviour{hang}, writer.Options{}, func(f *fixture) {
		sent := f.submit("a")
		time.Sleep(time.Second)
		waiting := f.submit("b")
		f.cancel()
		<-sent.Done()
		<-waiting.Done()
		f.is.Equal(sent.Withdraw().Outcome, writer.Unknown)
		f.is.Equal(waiting.Withdraw().Outcome, writer.NotSent)
		synctest.Wait()
		_, err := f.writer.Submit([]byte("c"))
		f.is.Equal(result.CodeOf(err, result.OK), result.NotRunLogUnavailable)
	})
}

// Guards against an append that blocks the next batch, or counts as a failure,
// although its record was read back before its answer came.
func TestReadBackEndsTheAppend(t *testing.T) {
	options := writer.Options{AppendTimeout: time.Hour, Failed: func(id string, err error) { t.Errorf("%s: %v", id, err) }}
	runFixture(t, []behaviour{silent, silent}, options, func(f *fixture) {
		f.submit("a")
		f.run(time.Second)
		f.submit("b")
		f.run(time.Second)
		f.is.Equal(f.items, map[string]int{"a": 1, "b": 1})
		f.is.Equal(f.writer.Stats(), writer.Stats{Batches: 2, Items: 2, Appends: 2})
	})
}

// Guards against unbounded batches, unbounded waiting and oversized items.
func TestBounds(t *testing.T) {
	options := writer.Options{MaxBatchItems: 3, MaxBatchBytes: 40, MaxPending: 5}
	runFixture(t, []behaviour{refuse}, options, func(f *fixture) {
		_, err := f.writer.Submit(make([]byte, 31))
		f.is.Equal(result.CodeOf(err, result.OK), result.TooLarge)
		f.submit("first")
		synctest.Wait()
		for range 5 {
			f.submit("abcd")
		}
		_, err = f.writer.Submit([]byte("x"))
		f.is.Equal(result.CodeOf(err, result.OK), result.NotRunLogUnavailable)
		f.run(5 * time.Second)
		records, _ := f.log.counts()
		f.is.Equal(records, 4) // 1, then 2, 2 and 1 because of the bytes
	})
}

// Guards against a second writer of the same incarnation whose records are
// dropped as repeats, and against an interval that is not kept.
func TestSequenceContinuesAndIntervalHolds(t *testing.T) {
	options := writer.Options{LastSequence: 41, Interval: 5 * time.Second}
	runFixture(t, nil, options, func(f *fixture) {
		f.submit("a")
		f.run(time.Second)
		f.submit("b")
		f.run(3 * time.Second)
		f.is.Equal(f.log.ids(), []string{"0000000000000abc-42"})
		f.run(3 * time.Second)
		f.is.Equal(f.log.ids(), []string{"0000000000000abc-42", "0000000000000abc-43"})
		f.is.Equal(f.writer.LastSequence(), uint64(43))
	})
}

// Guards against any mix of failures that loses, duplicates or misreports an
// item, or puts two appends in flight.
func TestRandomFailures(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 1))
		var plan []behaviour
		for range 60 {
			plan = append(plan, behaviour(random.IntN(int(late)+1)))
		}
		runFixture(t, plan, writer.Options{}, func(f *fixture) {
			submissions := make(map[string]*writer.Submission)
			for i := range 100 {
				name := fmt.Sprint(i)
				submissions[name] = f.submit(name)
				f.run(time.Duration(random.IntN(800)) * time.Millisecond)
				if random.IntN(3) == 0 {
					submissions[name].Withdraw()
				}
			}
			f.run(5 * time.Minute)
			for name, s := range submissions {
				r, final := s.Result()
				if !final || (r.Outcome == writer.Accepted) != (f.items[name] == 1) || f.items[name] > 1 {
					t.Fatalf("seed %d, item %s: result %+v (final %v), applied %d times", seed, name, r, final, f.items[name])
				}
			}
			_, most := f.log.counts()
			f.is.Equal(most, 1)
		})
	}
}
